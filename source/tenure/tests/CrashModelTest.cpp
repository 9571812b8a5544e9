#include "FaultHistory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace Wagtail
{

namespace
{

// What happens in a history besides the faults of FaultHistory.
enum class CrashEvent {
    SubmitCrashing,
    CrashWorker,
    ShrinkCapacity,
    GrowCapacity,
    // The process of the owner starts anew, and takes its partition over from itself without waiting.
    RestartOwner,
    KillOwner,
    Count,
};

// Adds tasks that crash their workers, crashes by chance and changes of capacity to the faults.
class CrashFaultHistory final : public FaultHistory
{
public:
    // The workers come back under their names or under new ones, and guard their capacity or not.
    void setUpWorkers(int choice)
    {
        for (int i = 0; i < TestCluster::WorkerCount; ++i, choice /= 2) {
            const std::string name = m_cluster.workerName(i);
            FakeWorkers::Recovery recovery;
            recovery.identity = choice % 2 == 0 ? FakeWorkers::Recovery::Identity::SameName
                                                : FakeWorkers::Recovery::Identity::NewName;
            recovery.downtime = Milliseconds(500 + choice % 5 * 1'000);
            m_cluster.workers.setRecovery(name, recovery);
            m_cluster.workers.setCapacityGuard(
                name, choice % 3 == 0 ? FakeWorkers::CapacityGuard::RefusesStarts : FakeWorkers::CapacityGuard::None);
        }
        m_cluster.advance(Milliseconds(1'500));
    }

    void apply(CrashEvent event, int choice)
    {
        const int worker = choice % TestCluster::WorkerCount;
        if (event == CrashEvent::SubmitCrashing) {
            submitCrashing(choice);
        } else if (event == CrashEvent::CrashWorker) {
            m_cluster.workers.crash(m_cluster.workerName(worker));
        } else if (event == CrashEvent::ShrinkCapacity) {
            m_cluster.workers.setCapacity(m_cluster.workerName(worker), {1'000 + choice % 3 * 1'000, 8'000, 0});
        } else if (event == CrashEvent::GrowCapacity) {
            m_cluster.workers.setCapacity(m_cluster.workerName(worker), FullCapacity);
        } else if (const TestInstance *owner = m_cluster.owner(); owner != nullptr) {
            const int number = owner->self.name.back() - '0';
            m_cluster.kill(number);
            if (event == CrashEvent::RestartOwner) {
                m_cluster.start(number);
            }
        }
    }

    using FaultHistory::apply;

    // Removes all faults and gives the jobs time to finish, as long as the tasks that crash workers need.
    void settle() override
    {
        constexpr Milliseconds Pause {5'000};
        constexpr int MostPauses = 24;
        removeFaults();
        for (int i = 0; i < TestCluster::WorkerCount; ++i) {
            m_cluster.workers.setCapacity(m_cluster.workerName(i), FullCapacity);
        }
        m_cluster.advance(Pause);
        for (int i = 0; i < MostPauses && !areFinished(); ++i) {
            m_cluster.advance(Pause);
        }
    }

protected:
    // A job with a task that crashes its workers is given up. Others may fail only with a cause, for example because
    // workers crashed twice under a task that did not crash them itself.
    [[nodiscard]] bool mayEnd(const std::string &id, const Submitted &job, JobPhase phase) const override
    {
        if (phase == JobPhase::Failed) {
            return m_cluster.workers.mayFail(id);
        }
        return phase == JobPhase::Done && job.failures < Attempts && !job.crashes;
    }

    // Some jobs leave no room for others on a worker whose capacity has shrunk, and some take a while to stop.
    void submit(TestInstance &instance, JobRecord record, FakeWorkers::Behaviour behaviour) override
    {
        const auto number = static_cast<std::int64_t>(m_jobs.size());
        behaviour.demand = {1'000 + number % 3 * 1'000, 500, 0};
        behaviour.stopDuration = Milliseconds(number % 4 * 100);
        for (StepSpecification &step : record.specification.steps) {
            step.demand = behaviour.demand;
        }
        FaultHistory::submit(instance, std::move(record), std::move(behaviour));
    }

private:
    static constexpr Resources FullCapacity {4'000, 8'000, 0};

    // Submits a job of which one task crashes its workers, and others work beside it.
    void submitCrashing(int choice)
    {
        constexpr std::array<int, 5> TimesToCrash {0, 10, 300, 1'500, 3'000};
        TestInstance *instance = m_cluster.instances[choice % TestCluster::InstanceCount].get();
        if (instance == nullptr) {
            return;
        }
        const int width = 1 + choice % 4;
        FakeWorkers::Crash crash;
        crash.after = Milliseconds(TimesToCrash.at(static_cast<std::size_t>(choice) % TimesToCrash.size()));
        crash.index = choice % width;
        FakeWorkers::Behaviour behaviour;
        behaviour.duration = crash.after + Milliseconds(200 + choice % 300);
        behaviour.crash = crash;
        submit(*instance, TestCluster::job(nextJobName(), 1 + choice % 2, width), behaviour);
    }

    [[nodiscard]] bool areFinished()
    {
        const std::string partition = m_cluster.plan.partitions().front();
        TestInstance *owner = m_cluster.owner();
        if (owner == nullptr) {
            return false;
        }
        return std::all_of(m_jobs.begin(), m_jobs.end(), [&](const auto &entry) {
            const std::optional<JobPhase> phase = owner->ownership.leader(partition)->phaseOf(entry.first);
            return phase ? *phase != JobPhase::Pending && *phase != JobPhase::Running : !entry.second.acknowledged;
        });
    }
};

}

// Tasks that crash each worker that starts them are given up after two crashes and before they have been started too
// often, whatever happens to the owner at that time. Nothing else fails without a cause, and no worker is overfilled.
RC_GTEST_PROP(CrashModel, givesUpTasksThatCrashTheirWorkers, ())
{
    CrashFaultHistory history;
    history.setUpWorkers(*rc::gen::inRange(0, 1'000));
    const int length = *rc::gen::inRange(5, 60);
    for (int i = 0; i < length; ++i) {
        constexpr int FaultCount = static_cast<int>(FaultEvent::Count);
        constexpr int CrashCount = static_cast<int>(CrashEvent::Count);
        // Submissions are more frequent than any one fault.
        const int kind = *rc::gen::inRange(0, FaultCount + CrashCount + 6);
        const int choice = *rc::gen::inRange(0, 1'000);
        if (kind < FaultCount) {
            history.apply(static_cast<FaultEvent>(kind), choice);
        } else if (kind < FaultCount + CrashCount) {
            history.apply(static_cast<CrashEvent>(kind - FaultCount), choice);
        } else {
            history.apply(FaultEvent::Submit, choice);
        }
        // Most waits are as short as the time between an order and its answer, or between a crash and its discovery.
        const int unit = *rc::gen::element(20, 20, 50, 50, 50, 200);
        history.wait(Milliseconds(*rc::gen::inRange(1, 20) * unit));
    }
    history.settle();
    history.check();
}

}
