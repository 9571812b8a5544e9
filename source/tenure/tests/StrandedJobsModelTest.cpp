#include "TestCluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
const std::map<std::string, std::string> Regions {
    {"a", "wheatbelt"}, {"b", "wheatbelt"}, {"c", "wheatbelt"}, {"d", "coastal"}};

enum class Event {
    Submit,
    LoseWorker,
    ReturnWorkers,
    ChangePool,
    RestartOwner,
    KillOwner,
    StopOwner,
    StartAll,
    CutStore,
    HealStore,
    LoseStoreAnswers,
    LoseOrderAnswers,
    Count,
};

enum class Kind {
    Batch,
    Long,
    ChainWithKind,
    Gang,
    Advised,
    LongRunning,
    DependentLongRunning,
    AdvisedLongRunning,
    Moved,
    Count,
};

// Jobs of all kinds on workers of two kinds and two pools in three partitions, while workers leave, owners change and a
// queue is sent to another pool.
class StrandedJobsHistory
{
public:
    StrandedJobsHistory() : m_cluster(Regions)
    {
        add("kind-0", "pool", "a", {"kind"});
        add("kind-1", "pool", "b", {"kind"});
        add("kind-2", "pool", "d", {"kind"});
        add("new-0", "new", "b", {});
        add("new-1", "new", "d", {});
        m_cluster.advisor.suitable = {"worker-1", "kind-1"};
        configure();
        m_cluster.advance(Second * 4);
    }

    void apply(Event event, int choice)
    {
        const int number = choice % TestCluster::InstanceCount;
        TestInstance *instance = m_cluster.instances[number].get();
        if (event == Event::Submit) {
            submit(choice);
        } else if (event == Event::LoseWorker) {
            const WorkerListings listings = m_cluster.workers.listings();
            auto lost = listings.begin();
            std::advance(lost, choice % static_cast<int>(listings.size()));
            m_lostWorkers.insert(FakeWorkers::firstNameOf(lost->first));
        } else if (event == Event::ReturnWorkers) {
            m_lostWorkers.clear();
        } else if (event == Event::ChangePool) {
            m_movedPool = m_movedPool == "pool" ? "new" : "pool";
            ++m_version;
            configure();
        } else if (event == Event::RestartOwner || event == Event::KillOwner || event == Event::StopOwner) {
            const std::vector<std::string> partitions = m_cluster.plan.partitions();
            endOwner(partitions[static_cast<std::size_t>(choice) % partitions.size()], event);
        } else if (event == Event::StartAll) {
            startAll();
        } else if (instance != nullptr) {
            injectFault(*instance, event, choice);
        }
        applyWorkerLoss();
    }

    void settle(bool returnWorkers)
    {
        if (returnWorkers) {
            m_lostWorkers.clear();
        }
        startAll();
        for (const auto &[number, instance] : m_cluster.instances) {
            instance->store.down = false;
        }
        applyWorkerLoss();
        wait(Second * 30);
    }

    // Checks that no job that has nothing running waits for seconds beside workers with room for twice its demand.
    void check()
    {
        std::map<std::string, std::string> stranded = strandedJobs();
        constexpr int Samples = 3;
        for (int i = 0; i < Samples && !stranded.empty(); ++i) {
            wait(Second);
            const std::map<std::string, std::string> present = strandedJobs();
            std::erase_if(stranded, [&present](const auto &entry) { return !present.contains(entry.first); });
        }
        RC_ASSERT(stranded == (std::map<std::string, std::string>()));
        RC_ASSERT(m_cluster.workers.violations() == std::vector<std::string>());
        for (const std::string &id : m_accepted) {
            RC_ASSERT(m_cluster.phaseOf(id).has_value());
        }
    }

    void wait(Milliseconds duration)
    {
        m_cluster.advance(duration);
    }

private:
    void add(const std::string &name, const std::string &pool, const std::string &dataCentre,
        const std::set<std::string> &labels)
    {
        m_cluster.workers.add({name, name + ":1", pool, dataCentre, "rack", labels, {4'000, 8'000, 0}, 1, false});
    }

    void configure()
    {
        QueuePolicy moved = TestCluster::job("job", 1, 1).policy;
        moved.queue = "moved";
        moved.pool = m_movedPool;
        moved.version = m_version;
        QueuePolicy plain = TestCluster::job("job", 1, 1).policy;
        plain.version = m_version;
        QueuePolicy advised = plain;
        advised.queue = "advised";
        advised.advised = true;
        m_policies = {{"queue", plain}, {"moved", moved}, {"advised", advised}};
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance) {
                instance->ownership.updatePolicies(m_policies);
            }
        }
    }

    void submit(int choice)
    {
        const std::string id = "job-" + std::to_string(m_submitted++);
        const Kind kind = static_cast<Kind>(choice % static_cast<int>(Kind::Count));
        JobRecord record = TestCluster::job(
            id, kind == Kind::ChainWithKind || kind == Kind::DependentLongRunning ? 2 : 1, 1 + choice / 10 % 3);
        StepSpecification &last = record.specification.steps.back();
        FakeWorkers::Behaviour behaviour {Second, 0, false};
        last.demand.milliCores = 1'000 + choice / 30 % 3 * 1'000;
        if (kind == Kind::Long) {
            behaviour.duration = Second * 50;
            last.count = 6;
        } else if (kind == Kind::ChainWithKind) {
            last.requiredLabel = "kind";
        } else if (kind == Kind::Gang) {
            last.gang = true;
        } else if (kind == Kind::LongRunning || kind == Kind::AdvisedLongRunning) {
            last.longRunning = true;
            behaviour.lasting = true;
        } else if (kind == Kind::DependentLongRunning) {
            last.longRunning = true;
        }
        if (kind == Kind::AdvisedLongRunning) {
            last.count = 6;
        }
        const bool isAdvised = kind == Kind::Advised || kind == Kind::AdvisedLongRunning;
        record.specification.queue = isAdvised ? "advised" : kind == Kind::Moved ? "moved" : "queue";
        record.policy = m_policies.at(record.specification.queue);
        m_cluster.workers.setBehaviour(id, behaviour);
        const auto running = std::find_if(m_cluster.instances.begin(), m_cluster.instances.end(),
            [](const auto &entry) { return entry.second != nullptr; });
        if (running != m_cluster.instances.end()) {
            running->second->router.submit(
                record, m_cluster.clock.now() + Second * 3, [this, id](RouteOutcome outcome) {
                    if (outcome == RouteOutcome::Done) {
                        m_accepted.push_back(id);
                    }
                });
        }
        if (kind == Kind::DependentLongRunning) {
            // The first step has started by now, and only the second one lasts.
            m_cluster.advance(Milliseconds(400));
            behaviour.lasting = true;
            m_cluster.workers.setBehaviour(id, behaviour);
        }
    }

    void startAll()
    {
        for (int i = 0; i < TestCluster::InstanceCount; ++i) {
            if (!m_cluster.instances[i]) {
                m_cluster.start(i);
                m_cluster.instances[i]->ownership.updatePolicies(m_policies);
            }
        }
    }

    void endOwner(const std::string &partition, Event event)
    {
        TestInstance *owner = m_cluster.ownerOf(partition);
        if (owner == nullptr) {
            return;
        }
        const int number = owner->self.name.back() - '0';
        if (event == Event::StopOwner) {
            owner->ownership.release([] {});
            m_cluster.advance(Milliseconds(400));
        }
        m_cluster.kill(number);
        if (event != Event::KillOwner) {
            m_cluster.start(number);
            m_cluster.instances[number]->ownership.updatePolicies(m_policies);
        }
    }

    void applyWorkerLoss()
    {
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance) {
                instance->gateway.cutWorkers = m_lostWorkers;
            }
        }
        m_cluster.listAllWorkersExcept(m_lostWorkers);
    }

    static void injectFault(TestInstance &instance, Event event, int choice)
    {
        if (event == Event::CutStore) {
            instance.store.down = true;
        } else if (event == Event::HealStore) {
            instance.store.down = false;
        } else if (event == Event::LoseStoreAnswers) {
            instance.store.loseAnswers = 1 + choice % 3;
        } else if (event == Event::LoseOrderAnswers) {
            instance.gateway.loseAnswers = 1 + choice % 4;
        }
    }

    // Returns how many tasks of the step could start now on the workers of a partition.
    [[nodiscard]] int placesFor(const StepState &step, const std::string &partition)
    {
        const StepSpecification &specification = step.specification();
        const QueuePolicy &policy = step.occurrence->job->policy;
        TestInstance *owner = m_cluster.ownerOf(partition);
        if (owner == nullptr) {
            return 0;
        }
        int places = 0;
        for (const auto &[name, worker] : owner->ownership.leader(partition)->jobScheduler().workers()) {
            const bool isSuitable = worker.listed && worker.listing.pool == policy.pool
                && (specification.requiredLabel.empty() || worker.listing.labels.contains(specification.requiredLabel))
                && (!policy.advised || m_cluster.advisor.suitable.contains(name));
            const Resources free = worker.freeResources();
            for (Resources needed = specification.demand; isSuitable && needed.fitsInto(free);
                 needed = needed + specification.demand) {
                ++places;
            }
        }
        return places;
    }

    // Returns whether a job has nothing running though a step of it could start. A gang has to fit into one partition.
    [[nodiscard]] bool isStranded(const JobState &job)
    {
        bool runs = false;
        bool hasRoom = false;
        for (const auto &[number, occurrence] : job.occurrences) {
            for (const StepState &step : occurrence.steps) {
                for (const TaskState &task : step.tasks) {
                    runs = runs || (task.phase != RunPhase::Waiting && task.phase != RunPhase::Done);
                }
                const bool isGang = step.specification().gang;
                const int needed = isGang ? static_cast<int>(step.tasks.size()) : 1;
                const bool waits = step.waitingCount > 0 && occurrence.isEligible(step);
                for (const std::string &partition : m_cluster.plan.partitions()) {
                    hasRoom = hasRoom || (waits && placesFor(step, partition) >= 2 * needed);
                }
            }
        }
        return !runs && hasRoom;
    }

    // Returns the jobs that could run and don't, with their partitions.
    [[nodiscard]] std::map<std::string, std::string> strandedJobs()
    {
        std::map<std::string, std::string> stranded;
        for (const std::string &partition : m_cluster.plan.partitions()) {
            TestInstance *owner = m_cluster.ownerOf(partition);
            if (owner == nullptr) {
                continue;
            }
            const JobScheduler &jobs = owner->ownership.leader(partition)->jobScheduler();
            for (const std::string &id : jobs.jobIds()) {
                const JobState *job = jobs.find(id);
                if (!job->isFinished() && !job->ownedElsewhere && isStranded(*job)) {
                    stranded[id] = partition + " " + writeJson(describe(job->specification));
                }
            }
        }
        return stranded;
    }

    TestCluster m_cluster;
    std::map<std::string, QueuePolicy> m_policies;
    std::string m_movedPool = "pool";
    std::int64_t m_version = 1;
    int m_submitted = 0;
    std::vector<std::string> m_accepted;
    std::set<std::string> m_lostWorkers;
};

}

// Whatever workers leave, owners change and queues are sent elsewhere, no accepted job waits beside room for it in any
// partition, and none runs twice.
RC_GTEST_PROP(StrandedJobsModel, noJobWaitsBesideRoomAnywhere, ())
{
    StrandedJobsHistory history;
    const int length = *rc::gen::inRange(5, 25);
    for (int i = 0; i < length; ++i) {
        const int kind = *rc::gen::inRange(0, static_cast<int>(Event::Count) + 6);
        // Submissions are more frequent than disruptions.
        history.apply(kind < static_cast<int>(Event::Count) ? static_cast<Event>(kind) : Event::Submit,
            *rc::gen::inRange(0, 1'000));
        history.wait(Milliseconds(*rc::gen::inRange(1, 30) * 100));
    }
    history.settle(*rc::gen::inRange(0, 2) == 0);
    history.check();
}

}
