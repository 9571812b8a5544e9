#pragma once

#include "testing/SchedulerHarness.h"

#include <functional>
#include <string>

namespace Wagtail
{

// Four workers with a serving task each, whose tail latency is low for two seconds, and what tests need to know of it.
class ServingWorkers
{
public:
    // The tail latency that a serving task reports at a time.
    using TailAt = std::function<std::int64_t(Instant)>;

    static constexpr Milliseconds Second {1'000};
    static constexpr int WorkerCount = 4;
    static constexpr std::int64_t WorkerMilliCores = 64'000;
    static constexpr std::int64_t TargetMilliseconds = 50;
    static constexpr std::int64_t IdleTail = 10;

    explicit ServingWorkers(const TailAt &laterTail)
    {
        for (int i = 0; i < WorkerCount; ++i) {
            harness.addWorker("worker-" + std::to_string(i), WorkerMilliCores, 64'000);
        }
        harness.advance(Second / 2);
        const Instant risesAt = harness.clock.now() + Second * 2;
        const auto tail = [risesAt, laterTail](Instant now) {
            return now < risesAt ? IdleTail : laterTail(now);
        };
        harness.submit("watch", {servingStep(WorkerCount)}, {Second, 0, true, tail});
        harness.advance(Second * 3);
    }

    // Returns a step of backfilling tasks of the image "batch".
    [[nodiscard]] static StepSpecification fillingStep(int count)
    {
        StepSpecification step;
        step.count = count;
        step.demand = {7'000, 1'000, 0};
        step.estimate = Second * 3;
        step.image = "batch";
        step.backfills = true;
        return step;
    }

    // The same with the given image and processors, in thousandths of a core.
    [[nodiscard]] static StepSpecification stepOf(const std::string &image, int count, std::int64_t milliCores)
    {
        StepSpecification step = fillingStep(count);
        step.image = image;
        step.demand.milliCores = milliCores;
        return step;
    }

    // Returns the behaviour of tasks that use the given processors, in thousandths of a core, for a time.
    [[nodiscard]] static FakeWorkers::Behaviour workFor(Milliseconds duration, std::int64_t milliCores)
    {
        return {duration, 0, false, [milliCores](Instant) {
                    return milliCores;
                }};
    }

    SchedulerHarness harness;

private:
    [[nodiscard]] static StepSpecification servingStep(int count)
    {
        StepSpecification step;
        step.count = count;
        step.demand = {13'000, 1'000, 0};
        step.longRunning = true;
        step.perWorkerLimit = 1;
        step.image = "pump";
        step.tailTarget = Milliseconds(TargetMilliseconds);
        return step;
    }
};

}
