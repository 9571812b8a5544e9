#pragma once

#include "TestCluster.h"

#include <rapidcheck.h>

namespace Wagtail
{

// A step of a random history. The test waits after each.
enum class FaultEvent {
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

// Submits and cancels jobs, injects faults, and checks the results of the jobs.
class FaultHistory
{
public:
    FaultHistory() = default;
    FaultHistory(const FaultHistory &) = delete;
    FaultHistory &operator=(const FaultHistory &) = delete;
    virtual ~FaultHistory() = default;

    void apply(FaultEvent event, int choice)
    {
        TestInstance *instance = m_cluster.instances[choice % TestCluster::InstanceCount].get();
        switch (event) {
        case FaultEvent::Submit:
            submit(instance, choice);
            return;
        case FaultEvent::Cancel:
            cancel(instance, choice);
            return;
        case FaultEvent::KillInstance:
            m_cluster.kill(choice % TestCluster::InstanceCount);
            return;
        case FaultEvent::StartInstance:
            if (instance == nullptr) {
                m_cluster.start(choice % TestCluster::InstanceCount);
            }
            return;
        case FaultEvent::RestartWorker:
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
    virtual void settle()
    {
        removeFaults();
        m_cluster.advance(Milliseconds(40'000));
    }

    void check()
    {
        const std::vector<std::string> violations = m_cluster.workers.violations();
        RC_ASSERT(violations == std::vector<std::string>());
        std::vector<std::string> acknowledged;
        for (const auto &[id, job] : m_jobs) {
            if (job.acknowledged) {
                acknowledged.push_back(id);
            }
        }
        const std::map<std::string, JobPhase> phases = m_cluster.phasesOf(acknowledged);
        RC_ASSERT(phases.size() == acknowledged.size());
        for (const auto &[id, phase] : phases) {
            const Submitted &job = m_jobs.at(id);
            RC_LOG() << id << " is " << nameOf(phase)
                     << (m_cluster.workers.mayFail(id) ? ", and may have failed\n" : ", and has no cause to fail\n");
            RC_ASSERT(mayEnd(id, job, phase) || (job.cancelled && phase == JobPhase::Cancelled));
        }
        RC_ASSERT(m_cluster.workers.runningCount() == 0U);
    }

    void wait(Milliseconds duration)
    {
        m_cluster.advance(duration);
    }

protected:
    struct Submitted
    {
        bool acknowledged = false;
        bool cancelled = false;
        int failures = 0;
        bool crashes = false;
    };

    // Returns whether the job, unless it is cancelled, may have this phase in the end. A job may be given up although
    // its tasks do not fail if restarts of workers hit one of them twice. It may also fail because of three failed runs
    // of a task that is to fail less often, if restarts lose failures after they were read and before they were
    // acknowledged.
    [[nodiscard]] virtual bool mayEnd(const std::string &id, const Submitted &job, JobPhase phase) const
    {
        const JobPhase expected = job.failures >= Attempts ? JobPhase::Failed : JobPhase::Done;
        return phase == expected || (phase == JobPhase::Failed && m_cluster.workers.mayFail(id));
    }

    // Returns what the next job is to be called.
    [[nodiscard]] std::string nextJobName() const
    {
        return "job-" + std::to_string(m_jobs.size());
    }

    // Hands a job in to the instance, with the behaviour of its tasks.
    virtual void submit(TestInstance &instance, JobRecord record, FakeWorkers::Behaviour behaviour)
    {
        const std::string id = record.specification.id;
        Submitted &job = m_jobs[id];
        job.failures = behaviour.failures;
        job.crashes = behaviour.crash.has_value();
        m_cluster.workers.setBehaviour(id, std::move(behaviour));
        instance.router.submit(std::move(record), m_cluster.clock.now() + Milliseconds(3'000),
            [&job](RouteOutcome outcome) { job.acknowledged = job.acknowledged || outcome == RouteOutcome::Done; });
    }

    void removeFaults()
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
            instance.gateway.filter = nullptr;
        }
    }

    static constexpr int Attempts = 3;
    static constexpr int AllAttempts = 1'000;

    TestCluster m_cluster;
    std::map<std::string, Submitted> m_jobs;

private:
    void submit(TestInstance *instance, int choice)
    {
        if (instance == nullptr) {
            return;
        }
        // Most jobs succeed, some fail once, and a few fail in every attempt.
        const int failures = choice % 7 == 0 ? 1 : choice % 11 == 0 ? AllAttempts : 0;
        submit(*instance, TestCluster::job(nextJobName(), 1 + choice % 3, 1 + choice % 4),
            {Milliseconds(200 + choice % 600), failures, false});
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

    static void injectFault(TestInstance &instance, FaultEvent event, int choice)
    {
        if (event == FaultEvent::CutStore) {
            instance.store.down = true;
        } else if (event == FaultEvent::HealStore) {
            instance.store.down = false;
        } else if (event == FaultEvent::LoseStoreAnswers) {
            instance.store.loseAnswers = 1 + choice % 3;
        } else if (event == FaultEvent::CutWorkers) {
            instance.gateway.cut = true;
        } else if (event == FaultEvent::CutOneWorker) {
            instance.gateway.cutWorkers.insert("worker-" + std::to_string(choice % TestCluster::WorkerCount));
        } else if (event == FaultEvent::HealWorkers) {
            instance.gateway.cut = false;
            instance.gateway.cutWorkers.clear();
        } else if (event == FaultEvent::LoseOrderAnswers) {
            instance.gateway.loseAnswers = 1 + choice % 4;
        } else if (event == FaultEvent::DelayOrders) {
            instance.gateway.lateOrders = 1 + choice % 4;
        }
    }
};

}
