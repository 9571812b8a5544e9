#include "testing/SchedulerHarness.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr std::int64_t Core = 1'000;
constexpr std::int64_t Memory = 64'000;
constexpr Milliseconds StopDuration {200};

StepSpecification lastingStep(int count)
{
    StepSpecification step;
    step.count = count;
    step.demand = {Core, 500, 0};
    step.estimate = Second;
    step.longRunning = true;
    return step;
}

StepSpecification batchStep(int count)
{
    StepSpecification step = lastingStep(count);
    step.longRunning = false;
    return step;
}

FakeWorkers::Behaviour lasting()
{
    FakeWorkers::Behaviour behaviour {Second, 0, true};
    behaviour.demand = {Core, 500, 0};
    behaviour.stopDuration = StopDuration;
    return behaviour;
}

FakeWorkers::Behaviour batch(Milliseconds duration)
{
    FakeWorkers::Behaviour behaviour {duration};
    behaviour.demand = {Core, 500, 0};
    return behaviour;
}

class Evacuation : public testing::Test
{
protected:
    // Lets a worker with so many processors run as many lasting jobs of one task as it has room for.
    void startLasting(const std::string &worker, int jobs)
    {
        m_harness.addWorker(worker, jobs * Core, Memory);
        m_harness.advance(Second);
        submitLasting(jobs);
        ASSERT_EQ(runsOn(worker), static_cast<std::size_t>(jobs));
    }

    void submitLasting(int jobs)
    {
        for (int i = 0; i < jobs; ++i) {
            m_harness.submit("lasting-" + std::to_string(i), {lastingStep(1)}, lasting());
        }
        m_harness.advance(Second);
    }

    // Returns how many lasting tasks run on the worker or are being stopped there.
    [[nodiscard]] std::size_t runsOn(const std::string &worker) const
    {
        return count([&worker](const TaskState &task) { return task.worker == worker; });
    }

    [[nodiscard]] std::size_t countInPhase(RunPhase phase) const
    {
        return count([phase](const TaskState &task) { return task.phase == phase; });
    }

    void advanceUntilATaskIsStopped()
    {
        for (int i = 0; i < 100 && countInPhase(RunPhase::Stopping) == 0; ++i) {
            m_harness.advance(Milliseconds(20));
        }
        ASSERT_EQ(countInPhase(RunPhase::Stopping), 1U);
    }

    SchedulerHarness m_harness;

private:
    template<typename Predicate> [[nodiscard]] std::size_t count(Predicate predicate) const
    {
        std::size_t matching = 0;
        for (const std::string &id : m_harness.jobs().jobIds()) {
            const StepState &step = m_harness.jobs().find(id)->occurrences.at(0).steps[0];
            if (step.specification().longRunning) {
                matching += static_cast<std::size_t>(std::count_if(step.tasks.begin(), step.tasks.end(), predicate));
            }
        }
        return matching;
    }
};

}

// All tasks of a draining worker were stopped for the only free place, several in one millisecond. All but one of them
// waited from then on, though they could have gone on until their worker left.
TEST_F(Evacuation, stopsOnlyOneTaskForOneFreePlace)
{
    startLasting("leaving", 10);
    m_harness.addWorker("other", Core, Memory);
    m_harness.advance(Second);
    m_harness.drainWorker("leaving");
    for (int i = 0; i < 140; ++i) {
        m_harness.advance(Milliseconds(20));
        ASSERT_GE(countInPhase(RunPhase::Running), 9U) << "more tasks are away than there are places";
    }
    EXPECT_EQ(runsOn("leaving"), 9U);
    EXPECT_EQ(runsOn("other"), 1U);
    EXPECT_EQ(m_harness.workers.violations(), std::vector<std::string>());
}

// Batch tasks took the place while the task for which it had been chosen was being stopped.
TEST_F(Evacuation, keepsThePlaceOfAStoppedTaskFromBatchTasks)
{
    startLasting("leaving", 1);
    m_harness.addWorker("other", Core, Memory);
    m_harness.advance(Second);
    m_harness.drainWorker("leaving");
    advanceUntilATaskIsStopped();
    m_harness.submit("batch", {batchStep(20)}, batch(Second * 5));
    m_harness.advance(StopDuration * 2);
    EXPECT_EQ(runsOn("other"), 1U);
    EXPECT_EQ(countInPhase(RunPhase::Running), 1U);
    EXPECT_EQ(m_harness.workers.violations(), std::vector<std::string>());
}

// Batch tasks that wait for processors filled each gap again, so that no place was found until the worker had left.
TEST_F(Evacuation, makesRoomBesideBatchTasksBeforeTheWorkerLeaves)
{
    startLasting("leaving", 2);
    m_harness.addWorker("other", 4 * Core, Memory);
    m_harness.advance(Second);
    m_harness.submit("batch", {batchStep(200)}, batch(Milliseconds(600)));
    m_harness.advance(Second);
    m_harness.drainWorker("leaving");
    m_harness.advance(Milliseconds(2'800));
    EXPECT_EQ(runsOn("other"), 2U);
    EXPECT_EQ(countInPhase(RunPhase::Running), 2U);
    EXPECT_EQ(m_harness.workers.violations(), std::vector<std::string>());
}

// Two places were held on a worker, and a task was moved only when both were free.
TEST_F(Evacuation, usesAFreePlaceWhileAnotherOneIsStillInUse)
{
    startLasting("leaving", 2);
    m_harness.addWorker("other", 2 * Core, Memory);
    m_harness.advance(Second);
    m_harness.submit("short", {batchStep(1)}, batch(Milliseconds(1'500)));
    m_harness.submit("long", {batchStep(1)}, batch(Second * 20));
    m_harness.advance(Second);
    m_harness.drainWorker("leaving");
    m_harness.advance(Milliseconds(2'500));
    EXPECT_EQ(runsOn("other"), 1U);
    EXPECT_EQ(runsOn("leaving"), 1U);
    EXPECT_EQ(countInPhase(RunPhase::Running), 2U);
    EXPECT_EQ(m_harness.workers.violations(), std::vector<std::string>());
}

// A worker left before its task was moved. The task could not run again before its leases had expired, and the place
// stayed free.
TEST_F(Evacuation, releasesThePlaceOfATaskWhoseWorkerHasLeft)
{
    startLasting("leaving", 1);
    m_harness.addWorker("other", Core, Memory);
    m_harness.advance(Second);
    m_harness.submit("long", {batchStep(1)}, batch(Milliseconds(3'200)));
    m_harness.advance(Second);
    m_harness.drainWorker("leaving");
    m_harness.advance(Milliseconds(1'500));
    m_harness.removeWorker("leaving");
    m_harness.advance(Milliseconds(900));
    m_harness.submit("waiting", {lastingStep(1)}, lasting());
    m_harness.advance(Milliseconds(300));
    EXPECT_EQ(runsOn("other"), 1U);
    EXPECT_EQ(m_harness.workers.violations(), std::vector<std::string>());
}

// The tasks of two workers were stopped for the same place.
TEST_F(Evacuation, stopsOnlyOneTaskOfTwoDrainingWorkersForOnePlace)
{
    m_harness.addWorker("first", Core, Memory);
    m_harness.addWorker("second", Core, Memory);
    m_harness.advance(Second);
    submitLasting(2);
    m_harness.addWorker("other", Core, Memory);
    m_harness.advance(Second);
    m_harness.drainWorker("first");
    m_harness.drainWorker("second");
    for (int i = 0; i < 140; ++i) {
        m_harness.advance(Milliseconds(20));
        ASSERT_GE(countInPhase(RunPhase::Running), 1U);
    }
    EXPECT_EQ(runsOn("other"), 1U);
    EXPECT_EQ(countInPhase(RunPhase::Running), 2U);
}

// A step with a limit per worker counts the places that are held for its tasks.
TEST_F(Evacuation, holdsNoMorePlacesOnAWorkerThanTheStepMayHaveTasksThere)
{
    StepSpecification step = lastingStep(2);
    step.perWorkerLimit = 1;
    step.disruptionBudget = 2;
    FakeWorkers::Behaviour behaviour = lasting();
    behaviour.perWorkerLimit = 1;
    m_harness.addWorker("first", 4 * Core, Memory);
    m_harness.addWorker("second", 4 * Core, Memory);
    m_harness.advance(Second);
    m_harness.submit("lasting", {step}, behaviour);
    m_harness.advance(Second);
    m_harness.addWorker("other", 4 * Core, Memory);
    m_harness.advance(Second);
    m_harness.drainWorker("first");
    m_harness.drainWorker("second");
    for (int i = 0; i < 140; ++i) {
        m_harness.advance(Milliseconds(20));
        ASSERT_GE(countInPhase(RunPhase::Running), 1U);
    }
    EXPECT_EQ(runsOn("other"), 1U);
    EXPECT_EQ(m_harness.workers.violations(), std::vector<std::string>());
}

TEST_F(Evacuation, releasesThePlaceOfATaskThatEndsOtherwise)
{
    startLasting("leaving", 1);
    m_harness.addWorker("other", Core, Memory);
    m_harness.advance(Second);
    m_harness.drainWorker("leaving");
    advanceUntilATaskIsStopped();
    m_harness.cancel("lasting-0");
    m_harness.submit("batch", {batchStep(1)}, batch(Milliseconds(300)));
    m_harness.advance(Second);
    EXPECT_NE(m_harness.durationOf("batch"), std::nullopt);
}

TEST_F(Evacuation, findsAnotherPlaceIfTheWorkerOfTheHeldOneDrainsAsWell)
{
    startLasting("leaving", 1);
    m_harness.addWorker("other", Core, Memory);
    m_harness.advance(Second);
    m_harness.drainWorker("leaving");
    advanceUntilATaskIsStopped();
    m_harness.addWorker("third", Core, Memory);
    m_harness.drainWorker("other");
    m_harness.advance(Second);
    EXPECT_EQ(runsOn("third"), 1U);
    EXPECT_EQ(countInPhase(RunPhase::Running), 1U);
}

TEST_F(Evacuation, holdsNoPlaceForEverForATaskThatDoesNotStop)
{
    FakeWorkers::Behaviour stubborn = lasting();
    stubborn.stopDuration = Second * 20;
    m_harness.addWorker("leaving", Core, Memory);
    m_harness.advance(Second);
    m_harness.submit("lasting", {lastingStep(1)}, stubborn);
    m_harness.advance(Second);
    m_harness.addWorker("other", Core, Memory);
    m_harness.advance(Second);
    m_harness.drainWorker("leaving");
    advanceUntilATaskIsStopped();
    m_harness.submit("batch", {batchStep(1)}, batch(Milliseconds(300)));
    m_harness.advance(Second * 4);
    EXPECT_EQ(countInPhase(RunPhase::Stopping), 1U);
    EXPECT_NE(m_harness.durationOf("batch"), std::nullopt);
    EXPECT_EQ(m_harness.workers.violations(), std::vector<std::string>());
}

// The routes of a queue may change while a task is on its way.
TEST_F(Evacuation, placesNoTaskOnAHeldPlaceOfAPoolThatItsQueueHasLeft)
{
    startLasting("leaving", 1);
    m_harness.addWorker("other", Core, Memory);
    m_harness.advance(Second);
    m_harness.drainWorker("leaving");
    advanceUntilATaskIsStopped();
    m_harness.changePool("another pool");
    m_harness.advance(Second);
    EXPECT_EQ(runsOn("other"), 0U);
    m_harness.changePool("pool");
    m_harness.advance(Second);
    EXPECT_EQ(runsOn("other"), 1U);
}

// Tasks without a place end with their worker. They waited until leases of full length had expired.
TEST(EvacuationWithoutPlace, restartsTasksSoonAfterTheirWorkerHasLeft)
{
    SchedulingLimits limits = SchedulerHarness::limits();
    limits.drain = limits.lease / 2;
    SchedulerHarness harness({}, limits);
    harness.addWorker("leaving", Core, Memory);
    harness.advance(Second);
    harness.submit("lasting", {lastingStep(1)}, lasting());
    harness.advance(Second);
    harness.drainWorker("leaving");
    harness.advance(limits.lease + limits.drain);
    ASSERT_EQ(harness.workers.runningCount(), 1U);
    harness.removeWorker("leaving");
    harness.addWorker("other", Core, Memory);
    harness.advance(limits.drain + Second / 4);
    EXPECT_EQ(harness.workers.runningCount(), 1U);
    EXPECT_EQ(harness.workers.violations(), std::vector<std::string>());
}

}
