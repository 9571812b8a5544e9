#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// A start that was recorded while the ends of other runs were being acknowledged was withdrawn, and its task placed and
// recorded anew, again and again on workers where runs end all the time.
TEST(HeldStart, isSentToAWorkerWhoseRunsEndAllTheTime)
{
    constexpr Milliseconds Second {1'000};
    constexpr int RestoredJobs = 20;
    SchedulerHarness harness;
    harness.startRecordingTime = Milliseconds(80);
    harness.addWorker("worker", 64'000, 64'000);
    harness.advance(Second);
    StepSpecification step;
    step.count = 2'000;
    step.demand = {1'000, 500, 0};
    step.estimate = Milliseconds(20);
    step.perWorkerLimit = 4;
    for (int i = 0; i < 4; ++i) {
        harness.submit("short-" + std::to_string(i), {step}, {Milliseconds(20 + 20 * i), 0, false});
    }
    harness.advance(Second);
    step.count = 1;
    step.estimate = Second;
    for (int i = 0; i < RestoredJobs; ++i) {
        harness.restore("restored-" + std::to_string(i), step, {Second, 0, false});
        harness.advance(Milliseconds(140));
    }
    harness.advance(Second * 3);
    int placements = 0;
    for (int i = 0; i < RestoredJobs; ++i) {
        const JobState *job = harness.jobs().find("restored-" + std::to_string(i));
        EXPECT_EQ(job->phase, JobPhase::Done);
        placements += job->occurrences.at(0).steps[0].tasks[0].placements;
    }
    EXPECT_EQ(placements, RestoredJobs);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
