#include "TestCluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// A step of a random history. The test waits after each.
enum class Event {
    Submit,
    Cancel,
    KillInstance,
    StartInstance,
    CutStore,
    HealStore,
    LoseStoreAnswers,
    CutWorkers,
    CutOneWorker,
    HealWorkers,
    LoseOrderAnswers,
    DelayOrders,
    RestartWorker,
    Count,
};

struct Submitted
{
    bool acknowledged = false;
    bool cancelled = false;
    int failures = 0;
};

// Submits and cancels jobs, injects faults, and checks the results of the jobs.
class FaultHistory
{
public:
    void apply(Event event, int choice)
    {
        TestInstance *instance = m_cluster.instances[choice % TestCluster::InstanceCount].get();
        switch (event) {
        case Event::Submit:
            submit(instance, choice);
            return;
        case Event::Cancel:
            cancel(instance, choice);
            return;
        case Event::KillInstance:
            m_cluster.kill(choice % TestCluster::InstanceCount);
            return;
        case Event::StartInstance:
            if (instance == nullptr) {
                m_cluster.start(choice % TestCluster::InstanceCount);
            }
            return;
        case Event::RestartWorker:
            m_cluster.restartWorker(choice % TestCluster::WorkerCount);
            return;
        default:
            break;
        }
        if (instance != nullptr) {
            injectFault(*instance, event, choice);
        }
    }

    // Removes all faults and gives the jobs time to finish.
    void settle()
    {
        for (int i = 0; i < TestCluster::InstanceCount; ++i) {
            if (!m_cluster.instances[i]) {
                m_cluster.start(i);
            }
            TestInstance &instance = *m_cluster.instances[i];
            instance.store.down = false;
            instance.gateway.cut = false;
            instance.gateway.cutWorkers.clear();
            instance.gateway.lateOrders = 0;
        }
        m_cluster.advance(Milliseconds(40'000));
    }

    void check()
    {
        const std::vector<std::string> violations = m_cluster.workers.violations();
        RC_ASSERT(violations == std::vector<std::string>());
        for (const auto &[id, job] : m_jobs) {
            if (!job.acknowledged) {
                continue;
            }
            const std::optional<JobPhase> phase = m_cluster.phaseOf(id);
            RC_ASSERT(phase.has_value());
            const JobPhase expected = job.failures >= Attempts ? JobPhase::Failed : JobPhase::Done;
            RC_ASSERT(*phase == expected || (job.cancelled && *phase == JobPhase::Cancelled));
        }
        RC_ASSERT(m_cluster.workers.runningCount() == 0U);
    }

    void wait(Milliseconds duration)
    {
        m_cluster.advance(duration);
    }

private:
    static constexpr int Attempts = 3;
    static constexpr int AllAttempts = 1'000;

    void submit(TestInstance *instance, int choice)
    {
        if (instance == nullptr) {
            return;
        }
        const std::string id = "job-" + std::to_string(m_jobs.size());
        Submitted &job = m_jobs[id];
        // Most jobs succeed, some fail once, and a few fail in every attempt.
        job.failures = choice % 7 == 0 ? 1 : choice % 11 == 0 ? AllAttempts : 0;
        m_cluster.workers.setBehaviour(id, {Milliseconds(200 + choice % 600), job.failures, false});
        instance->router.submit(TestCluster::job(id, 1 + choice % 3, 1 + choice % 4),
            m_cluster.clock.now() + Milliseconds(3'000),
            [&job](RouteOutcome outcome) { job.acknowledged = job.acknowledged || outcome == RouteOutcome::Done; });
    }

    void cancel(TestInstance *instance, int choice)
    {
        if (instance == nullptr || m_jobs.empty()) {
            return;
        }
        const std::string id = "job-" + std::to_string(static_cast<std::size_t>(choice) % m_jobs.size());
        m_jobs[id].cancelled = true;
        instance->router.cancel(id, m_cluster.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
    }

    static void injectFault(TestInstance &instance, Event event, int choice)
    {
        if (event == Event::CutStore) {
            instance.store.down = true;
        } else if (event == Event::HealStore) {
            instance.store.down = false;
        } else if (event == Event::LoseStoreAnswers) {
            instance.store.loseAnswers = 1 + choice % 3;
        } else if (event == Event::CutWorkers) {
            instance.gateway.cut = true;
        } else if (event == Event::CutOneWorker) {
            instance.gateway.cutWorkers.insert("worker-" + std::to_string(choice % TestCluster::WorkerCount));
        } else if (event == Event::HealWorkers) {
            instance.gateway.cut = false;
            instance.gateway.cutWorkers.clear();
        } else if (event == Event::LoseOrderAnswers) {
            instance.gateway.loseAnswers = 1 + choice % 4;
        } else if (event == Event::DelayOrders) {
            instance.gateway.lateOrders = 1 + choice % 4;
        }
    }

    TestCluster m_cluster;
    std::map<std::string, Submitted> m_jobs;
};

}

// Under any combination of faults no task runs twice at the same time or after its recorded end, none gets more
// attempts than allowed, and every acknowledged job ends with the expected result.
RC_GTEST_PROP(PartitionOwnershipModel, keepsItsGuaranteesUnderFaults, ())
{
    FaultHistory history;
    history.wait(Milliseconds(1'500));
    const int length = *rc::gen::inRange(5, 40);
    for (int i = 0; i < length; ++i) {
        // Submissions are more frequent than any one fault.
        const int kind = *rc::gen::inRange(0, static_cast<int>(Event::Count) + 6);
        const Event event = kind < static_cast<int>(Event::Count) ? static_cast<Event>(kind) : Event::Submit;
        history.apply(event, *rc::gen::inRange(0, 1'000));
        history.wait(Milliseconds(*rc::gen::inRange(1, 20) * 50));
    }
    history.settle();
    history.check();
}

}
