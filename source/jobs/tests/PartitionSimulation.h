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

// Gives every team the same quota, or none.
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

// An instance that owns or has owned the partition, with its own connections to the store and to the workers.
struct SimulatedInstance
{
    SimulatedInstance(ManualClock &clock, ManualScheduler &scheduler, StandinStore &state, WorkerSite &site, int number)
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
    std::unique_ptr<PartitionController> controller;
    Instant supersededAt;
    bool superseded = false;
    bool paused = false;
};

// Simulates a partition with three workers, its current owner and all previous ones, under a manual clock.
class PartitionSimulation
{
public:
    static constexpr int WorkerCount = 3;
    static constexpr Milliseconds Step {50};
    // An instance that cannot renew its lease stops acting as owner within this time.
    static constexpr Milliseconds LeaseExpiryTime {2'500};

    PartitionSimulation() : m_scheduler(clock), store(clock), site(clock, m_scheduler)
    {
        for (int i = 0; i < WorkerCount; ++i) {
            workers.push_back({"worker-" + std::to_string(i), "10.0.0." + std::to_string(i) + ":1", "depot", "rack",
                {4000, 4000, 0}, 8, 64, false});
            site.start(workers.back());
        }
        takeOver();
    }

    // Makes a new instance the owner. The previous one continues until it notices or its lease expires.
    void takeOver()
    {
        if (!instances.empty() && !currentInstance().superseded) {
            currentInstance().superseded = true;
            currentInstance().supersededAt = clock.now();
        }
        auto instance
            = std::make_unique<SimulatedInstance>(clock, m_scheduler, store, site, static_cast<int>(instances.size()));
        LeaderTerm term;
        term.partition = {"depot", 0};
        term.instance = "instance-" + std::to_string(instances.size());
        term.token = ++m_token;
        term.unreachedHold = LeaseExpiryTime + Milliseconds(6'000);
        SimulatedInstance *raw = instance.get();
        const PartitionContext context {
            clock, m_scheduler, raw->store, raw->control, raw->placement, raw->timeline, quotas};
        instance->controller = std::make_unique<PartitionController>(
            context, term, [this, raw] { m_scheduler.post([raw] { raw->controller.reset(); }); });
        instance->controller->start();
        instance->controller->setWorkers(workers);
        instances.push_back(std::move(instance));
    }

    [[nodiscard]] SimulatedInstance &currentInstance()
    {
        return *instances.back();
    }

    void submit(const std::string &task, Repeatability repeatability, std::int64_t runMilliseconds, bool fails)
    {
        if (!currentInstance().controller) {
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
        currentInstance().controller->submit({specification, 0, "", 0}, [this, task](const Result<TaskEntry> &result) {
            if (errorOf(result) == nullptr) {
                acknowledgedTasks.insert(task);
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
            tickControllers();
            m_scheduler.runDue();
        }
    }

    // Removes all faults and advances time until all tasks have finished.
    void recoverAndFinish()
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
        if (!currentInstance().controller) {
            takeOver();
        }
        constexpr int Rounds = 48;
        for (int i = 0; i < Rounds && !allTasksFinished(); ++i) {
            advance(Milliseconds(5'000));
        }
        advance(Milliseconds(10'000));
    }

    // Returns whether every acknowledged task has finished.
    [[nodiscard]] bool allTasksFinished()
    {
        return currentInstance().controller && std::ranges::all_of(acknowledgedTasks, [this](const std::string &task) {
            const TaskEntry *entry = currentInstance().controller->table().find(task);
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
    void tickControllers()
    {
        for (const auto &instance : instances) {
            if (!instance->controller || instance->paused) {
                continue;
            }
            const bool over = instance->superseded && clock.now() - instance->supersededAt >= LeaseExpiryTime;
            const OwnershipState ownershipState = over ? OwnershipState::CutOff
                : instance->store.down                 ? OwnershipState::StoreOutage
                                                       : OwnershipState::Held;
            instance->controller->tick(ownershipState);
        }
    }

    ManualScheduler m_scheduler;

public:
    StandinStore store;
    WorkerSite site;
    std::vector<WorkerDescription> workers;
    std::vector<std::unique_ptr<SimulatedInstance>> instances;
    std::map<std::string, TaskSpecification> specifications;
    std::set<std::string> acknowledgedTasks;

private:
    FencingToken m_token = 0;
};

}
