#include "scheduling/LeaseHandover.h"

#include "scheduling/JobState.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

// Which tasks a record names for a worker that is lost, and for what the next owner holds tasks back.
class LeaseHandoverTasks : public testing::Test
{
protected:
    explicit LeaseHandoverTasks(int taskCount = 3)
    {
        m_job.specification.id = "job";
        m_job.fromEarlierTerm = true;
        m_job.specification.steps.emplace_back();
        m_job.specification.steps[0].count = taskCount;
        createOccurrence(m_job, 0);
        m_leases.begin({}, {m_now, Second * 3, Second * 6}, m_now);
        m_now += Second * 10;
    }

    TaskState &task(int index)
    {
        return m_job.occurrences.at(0).steps[0].tasks[static_cast<std::size_t>(index)];
    }

    // Adds a worker that has answered with a complete report, holds a lease and answers no longer.
    WorkerState &addLostWorker(const std::string &name)
    {
        WorkerState &worker = m_workers[name];
        worker.listing.name = name;
        worker.listed = true;
        worker.hasAnswered = true;
        worker.clock.observe(1'000, m_now, m_now);
        worker.leaseGrantedUntil = 7'000;
        worker.consecutiveUnanswered = WorkerState::UnansweredBeforeUnreachable;
        m_leases.confirm(name);
        return worker;
    }

    LeaseHolderRecord record(SchedulingAuthority authority = SchedulingAuthority::KeepRunning)
    {
        return m_leases.beginRecord(m_now, m_workers, authority).record;
    }

    // Begins the term after the given record's, whose owner has answered none of its workers.
    void beginNextTerm(const LeaseHolderRecord &record)
    {
        m_leases = LeaseHandover(record.term + 1, Second * 6);
        m_leases.begin(record, {m_now, Second * 3, Second * 6}, m_now);
        for (auto &[name, worker] : m_workers) {
            const WorkerListing listing = worker.listing;
            worker = {};
            worker.listing = listing;
            worker.consecutiveUnanswered = WorkerState::UnansweredBeforeUnreachable;
        }
    }

    [[nodiscard]] bool isHeldBack(int index)
    {
        return m_leases.recoveryHolds(m_now, m_workers).isHeldBack(task(index));
    }

    Instant m_now = Instant() + Second * 100;
    JobState m_job;
    std::map<std::string, WorkerState> m_workers;
    LeaseHandover m_leases {3, Second * 6};
};

class LongLeaseHandoverTasks : public LeaseHandoverTasks
{
protected:
    static constexpr int TaskCount = 3'000;

    LongLeaseHandoverTasks() : LeaseHandoverTasks(TaskCount)
    {
    }
};

}

// Tasks that ran elsewhere waited for the leases of a worker that had left, anew after each hand-over.
TEST_F(LeaseHandoverTasks, holdsBackOnlyWhatALostWorkerMayRunInEachTermThatFollows)
{
    WorkerState &worker = addLostWorker("a");
    worker.addTask(task(0));
    worker.obsoleteRuns.add({nameOf(task(1)), 1}, m_now);
    for (int term = 0; term < 3; ++term) {
        beginNextTerm(record());
        EXPECT_TRUE(isHeldBack(0)) << term;
        EXPECT_TRUE(isHeldBack(1)) << term;
        EXPECT_FALSE(isHeldBack(2)) << term;
        m_now += Second;
    }
    m_now += Second * 4;
    EXPECT_FALSE(isHeldBack(0));
}

TEST_F(LeaseHandoverTasks, holdsBackEverythingWhileAnyWorkerMayRunAnything)
{
    addLostWorker("a");
    addLostWorker("b");
    m_leases.noteTruncatedReport("b");
    beginNextTerm(record());
    EXPECT_TRUE(isHeldBack(0));
    m_leases.confirm("b");
    EXPECT_FALSE(isHeldBack(0));
}

// A worker whose list of ends is not complete may have ended runs that the owner knows nothing of.
TEST_F(LeaseHandoverTasks, statesNoTasksAfterATruncatedReport)
{
    addLostWorker("a");
    ASSERT_TRUE(record().finalTasks.contains("a"));
    m_leases.noteTruncatedReport("a");
    EXPECT_FALSE(record().finalTasks.contains("a"));
}

// The inherited tasks are no longer all that may run on a worker to which this term grants leases.
TEST_F(LeaseHandoverTasks, forgetsInheritedTasksAfterATruncatedReport)
{
    addLostWorker("a");
    beginNextTerm(record());
    ASSERT_FALSE(isHeldBack(0));
    m_leases.noteTruncatedReport("a");
    EXPECT_TRUE(isHeldBack(0));
}

TEST_F(LeaseHandoverTasks, statesNoTasksOfAWorkerThatThisTermHasNotHeard)
{
    WorkerState &worker = addLostWorker("a");
    worker.hasAnswered = false;
    EXPECT_FALSE(record().finalTasks.contains("a")) << "its next incarnation has not answered";
    LeaseHolderRecord former = record();
    former.finalTasks.clear();
    beginNextTerm(former);
    EXPECT_FALSE(record().finalTasks.contains("a"));
}

// The order may start its run on the next incarnation of the worker.
TEST_F(LeaseHandoverTasks, statesNoTasksWhileAStartIsOnItsWay)
{
    WorkerState &worker = addLostWorker("a");
    worker.unsettledStarts.sent();
    EXPECT_FALSE(record().finalTasks.contains("a"));
}

// The task whose end the store lacks is no longer assigned to the worker, and would be started again.
TEST_F(LeaseHandoverTasks, holdsBackATaskWhoseEndTheStoreLacks)
{
    WorkerState &worker = addLostWorker("a");
    worker.appliedEnd = 1;
    worker.unrecordedEnds[1] = nameOf(task(0));
    beginNextTerm(record());
    EXPECT_TRUE(isHeldBack(0));
    EXPECT_FALSE(isHeldBack(1));
}

// A replaced owner that still acts may start any task on the next incarnation of a worker that restarts.
TEST_F(LeaseHandoverTasks, statesNoTasksWhileAnEarlierOwnerMayStartThem)
{
    m_leases = LeaseHandover(3, Second * 6);
    m_leases.begin({}, {m_now, Second * 3, Second * 6}, m_now);
    addLostWorker("a");
    EXPECT_FALSE(record().finalTasks.contains("a"));
    m_now += Second * 5;
    EXPECT_TRUE(record().finalTasks.contains("a"));
}

// An owner before the last one may have been replaced just before an outage, in which it goes on.
TEST_F(LeaseHandoverTasks, holdsBackEverythingAfterAnOutageInWhichAnEarlierOwnerActed)
{
    addLostWorker("a");
    const LeaseHolderRecord killed = record(SchedulingAuthority::Full);
    ASSERT_TRUE(killed.finalTasks.contains("a"));
    beginNextTerm(killed);
    ASSERT_FALSE(isHeldBack(0));
    m_leases.extendEarlierGrants(m_now + Second * 20);
    EXPECT_TRUE(isHeldBack(0));
}

// Only the owner of the next term knows that nobody has started anything on the worker since the record was written.
TEST_F(LeaseHandoverTasks, reliesOnNoTasksOfAnEarlierRecord)
{
    addLostWorker("a");
    LeaseHolderRecord former = record();
    --former.term;
    m_leases = LeaseHandover(former.term + 2, Second * 6);
    m_leases.begin(former, {m_now, Second * 3, Second * 6}, m_now);
    EXPECT_TRUE(isHeldBack(0));
}

// The store has the older record until it has the newer one, and the successor reads either.
TEST_F(LeaseHandoverTasks, grantsNoLeaseToAWorkerWhoseTasksAnyRecordStates)
{
    WorkerState &worker = addLostWorker("a");
    const BegunLeaseRecord stating = m_leases.beginRecord(m_now, m_workers, SchedulingAuthority::Full);
    ASSERT_TRUE(stating.record.finalTasks.contains("a"));
    EXPECT_FALSE(m_leases.mayGrant("a")) << "the store may have it";
    m_leases.recordStored(stating.number);
    worker.consecutiveUnanswered = 0;
    const BegunLeaseRecord other = m_leases.beginRecord(m_now, m_workers, SchedulingAuthority::Full);
    ASSERT_FALSE(other.record.finalTasks.contains("a"));
    EXPECT_FALSE(m_leases.mayGrant("a")) << "the store may lack its replacement";
    m_leases.recordStored(other.number);
    EXPECT_TRUE(m_leases.mayGrant("a"));
}

// A value of the store is limited.
TEST_F(LongLeaseHandoverTasks, statesNoTasksOfAWorkerWithTooMany)
{
    WorkerState &worker = addLostWorker("a");
    for (int i = 0; i < TaskCount; ++i) {
        worker.addTask(task(i));
    }
    addLostWorker("b").addTask(task(0));
    const LeaseHolderRecord stated = record();
    EXPECT_TRUE(stated.finalExpiries.contains("a"));
    EXPECT_FALSE(stated.finalTasks.contains("a"));
    EXPECT_TRUE(stated.finalTasks.contains("b"));
}

}
