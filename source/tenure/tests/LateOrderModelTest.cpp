#include "FaultHistory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <random>

namespace Wagtail
{

namespace
{

// Adds limits of tasks per worker, and calls that the workers carry out late or never, to the faults.
class LateOrderHistory final : public FaultHistory
{
public:
    // Lets a share of all starts, stops and reports go unanswered from now on.
    void delayCalls(int percent, int seed)
    {
        m_random.seed(static_cast<unsigned>(seed));
        for (auto &[number, instance] : m_cluster.instances) {
            if (!instance) {
                continue;
            }
            instance->gateway.filter = [this, percent](FakeWorkerGateway::CallKind, const std::string &) {
                return unansweredCall(percent);
            };
        }
    }

    void deliverCalls()
    {
        for (auto &[number, instance] : m_cluster.instances) {
            if (instance) {
                instance->gateway.filter = nullptr;
            }
        }
    }

protected:
    void submit(TestInstance &instance, JobRecord record, FakeWorkers::Behaviour behaviour) override
    {
        behaviour.perWorkerLimit = 1 + static_cast<int>(m_jobs.size() % 2);
        behaviour.stopDuration = Milliseconds(m_jobs.size() % 4 * 100);
        for (StepSpecification &step : record.specification.steps) {
            step.perWorkerLimit = behaviour.perWorkerLimit;
            step.count += static_cast<int>(m_jobs.size() % 3) * 4;
        }
        FaultHistory::submit(instance, std::move(record), std::move(behaviour));
    }

private:
    std::optional<FakeWorkerGateway::UnansweredCall> unansweredCall(int percent)
    {
        constexpr unsigned Percents = 100;
        // Most starts are carried out before their leases expire.
        constexpr std::array<int, 8> Delays {500, 900, 1'200, 1'500, 1'800, 2'500, 5'000, 12'000};
        if (static_cast<int>(m_random() % Percents) >= percent) {
            return std::nullopt;
        }
        const std::size_t choice = m_random() % (Delays.size() + 1);
        if (choice == Delays.size()) {
            return FakeWorkerGateway::UnansweredCall();
        }
        return FakeWorkerGateway::UnansweredCall {Milliseconds(Delays.at(choice))};
    }

    std::minstd_rand m_random;
};

}

// Whatever is carried out late or never, no task runs twice at once or after its noted end, and no worker gets more
// tasks of a step than allowed.
RC_GTEST_PROP(LateOrderModel, keepsTheLimitOfTasksPerWorker, ())
{
    LateOrderHistory history;
    history.wait(Milliseconds(2'000));
    const int length = *rc::gen::inRange(5, 60);
    for (int i = 0; i < length; ++i) {
        constexpr int FaultCount = static_cast<int>(FaultEvent::Count);
        // Submissions and changes of the delays are more frequent than any one fault.
        const int kind = *rc::gen::inRange(0, FaultCount + 10);
        const int choice = *rc::gen::inRange(0, 1'000);
        if (kind < FaultCount) {
            history.apply(static_cast<FaultEvent>(kind), choice);
        } else if (kind < FaultCount + 3) {
            history.delayCalls(20 + choice % 60, choice + 1);
        } else if (kind == FaultCount + 3) {
            history.deliverCalls();
        } else {
            history.apply(FaultEvent::Submit, choice);
        }
        const int unit = *rc::gen::element(20, 50, 50, 200, 200);
        history.wait(Milliseconds(*rc::gen::inRange(1, 20) * unit));
    }
    history.settle();
    history.check();
}

}
