#pragma once

#include "jobs/PartitionController.h"
#include "placement/ScoringPlacement.h"
#include "testing/FaultyNetwork.h"
#include "testing/FaultyStore.h"
#include "workers/HttpWorkerControl.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Wagtail
{

// The same quota for every team, or none.
class FixedQuotas final : public TeamQuotas
{
public:
    [[nodiscard]] std::optional<Resources> quota(const std::string &) const override
    {
        return limit;
    }

    [[nodiscard]] Resources usedElsewhere(const std::string &, const std::string &) const override
    {
        return elsewhere;
    }

    std::optional<Resources> limit;
    Resources elsewhere;
};

// One instance with a tenure of the partition under test, its own way to the store and to the workers.
struct KeeperInstance
{
    KeeperInstance(ManualClock &clock, ManualScheduler &scheduler, StandinStore &state, WorkerSite &site, int number)
        : store(state, scheduler)
        , network(site, scheduler)
        , control(network, Milliseconds(1000))
        , placement([](const std::string &, const FleetWorker &) { return 0.0; })
        , timeline(clock, "instance-" + std::to_string(number), 20'000)
    {
    }

    FaultyStore store;
    FaultyNetwork network;
    HttpWorkerControl control;
    ScoringPlacement placement;
    Timeline timeline;
    std::unique_ptr<PartitionController> keeper;
    Instant replacedAt;
    bool replaced = false;
    bool paused = false;
};

// A partition with three workers, its present owner and all earlier ones, under a fake clock.
class KeeperWorld
{
public:
    static constexpr int WorkerCount = 3;
    static constexpr Milliseconds Step {50};
    // An instance that can't renew its lease stops acting within this time.
    static constexpr Milliseconds StopBy {2'500};

    KeeperWorld() : m_scheduler(clock), store(clock), site(clock, m_scheduler)
    {
        for (int i = 0; i < WorkerCount; ++i) {
            workers.push_back({"worker-" + std::to_string(i), "10.0.0." + std::to_string(i) + ":1", "depot", "rack",
                {4000, 4000, 0}, 8, 64, false});
            site.start(workers.back());
        }
        takeOver();
    }

    // Puts a new instance into office. The old one goes on until it notices or its lease is over.
    void takeOver()
    {
        if (!instances.empty() && !present().replaced) {
            present().replaced = true;
            present().replacedAt = clock.now();
        }
        auto instance
            = std::make_unique<KeeperInstance>(clock, m_scheduler, store, site, static_cast<int>(instances.size()));
        KeeperTenure tenure;
        tenure.partition = {"depot", 0};
        tenure.instance = "instance-" + std::to_string(instances.size());
        tenure.token = ++m_token;
        tenure.unreachedHold = StopBy + Milliseconds(6'000);
        KeeperInstance *raw = instance.get();
        const KeeperContext context {
            clock, m_scheduler, raw->store, raw->control, raw->placement, raw->timeline, quotas};
        instance->keeper = std::make_unique<PartitionController>(
            context, tenure, [this, raw] { m_scheduler.post([raw] { raw->keeper.reset(); }); });
        instance->keeper->start();
        instance->keeper->setWorkers(workers);
        instances.push_back(std::move(instance));
    }

    [[nodiscard]] KeeperInstance &present()
    {
        return *instances.back();
    }

    void submit(const std::string &task, Repeatability repeatability, std::int64_t runMilliseconds, bool fails)
    {
        if (!present().keeper) {
            return;
        }
        TaskSpecification specification;
        specification.task = task;
        specification.profile = "batch";
        specification.team = "finance";
        specification.resources = {1500, 1000, 0};
        specification.payload = writeJson({{"run_ms", runMilliseconds}, {"fail", fails}});
        specification.maximumAttempts = 2;
        specification.repeatability = repeatability;
        specification.deadline = clock.wallMilliseconds() + 600'000;
        specifications[task] = specification;
        present().keeper->submit({specification, 0, "", 0}, [this, task](const Result<TaskEntry> &result) {
            if (errorOf(result) == nullptr) {
                acknowledged.insert(task);
            }
        });
    }

    void advance(Milliseconds duration)
    {
        for (Milliseconds passed {0}; passed < duration; passed += Step) {
            clock.advance(Step);
            store.advance();
            site.advance();
            m_scheduler.runDue();
            tickKeepers();
            m_scheduler.runDue();
        }
    }

    // Ends all faults and lets the system come to rest.
    void settle()
    {
        for (const auto &instance : instances) {
            instance->store.down = false;
            instance->store.loseAnswers = 0;
            instance->network.cut.clear();
            instance->network.loseAnswers = 0;
            instance->network.delayCalls = 0;
            instance->paused = false;
        }
        for (const WorkerDescription &worker : workers) {
            setFault(worker.address, {{"frozen", false}, {"fail_all", false}, {"lose_start_every", 0}});
        }
        if (!present().keeper) {
            takeOver();
        }
        constexpr int Rounds = 48;
        for (int i = 0; i < Rounds && !isAtRest(); ++i) {
            advance(Milliseconds(5'000));
        }
        advance(Milliseconds(10'000));
    }

    // Returns whether every acknowledged task has come to an end.
    [[nodiscard]] bool isAtRest()
    {
        return present().keeper && std::ranges::all_of(acknowledged, [this](const std::string &task) {
            const TaskEntry *entry = present().keeper->table().find(task);
            return entry != nullptr && isFinal(entry->phase);
        });
    }

    void setFault(const std::string &address, const Json &faults) const
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/faults";
        request.body = writeJson(faults);
        site.find(address)->handle(request, [](const HttpResponse &) {});
    }

    [[nodiscard]] std::vector<std::string> breaches() const
    {
        std::vector<std::string> all;
        for (const auto &worker : site.all()) {
            all.insert(all.end(), worker->breaches().begin(), worker->breaches().end());
        }
        return all;
    }

    ManualClock clock;
    FixedQuotas quotas;

private:
    void tickKeepers()
    {
        for (const auto &instance : instances) {
            if (!instance->keeper || instance->paused) {
                continue;
            }
            const bool over = instance->replaced && clock.now() - instance->replacedAt >= StopBy;
            const OwnershipState standing = over ? OwnershipState::CutOff
                : instance->store.down           ? OwnershipState::StoreOutage
                                                 : OwnershipState::Held;
            instance->keeper->tick(standing);
        }
    }

    ManualScheduler m_scheduler;

public:
    StandinStore store;
    WorkerSite site;
    std::vector<WorkerDescription> workers;
    std::vector<std::unique_ptr<KeeperInstance>> instances;
    std::map<std::string, TaskSpecification> specifications;
    std::set<std::string> acknowledged;

private:
    FencingToken m_token = 0;
};

}
