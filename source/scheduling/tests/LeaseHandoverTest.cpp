#include "scheduling/LeaseHandover.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};

class LeaseHandoverTest : public testing::Test
{
protected:
    WorkerState &addWorker(const std::string &name)
    {
        WorkerState &worker = m_workers[name];
        worker.listing.name = name;
        worker.listed = true;
        worker.hasAnswered = true;
        worker.leaseGrantedUntil = 1;
        return worker;
    }

    BegunLeaseRecord beginRecord()
    {
        return m_leases.beginRecord(m_now, m_workers, SchedulingAuthority::Full);
    }

    [[nodiscard]] bool isRecordDue() const
    {
        return m_leases.isRecordDue(m_now, m_workers, SchedulingAuthority::Full);
    }

    Instant m_now = Instant() + Second * 100;
    std::map<std::string, WorkerState> m_workers;
    LeaseHandover m_leases {3, Second * 6};
};

}

// Until the store has the newer record, a successor may read the older one and rely on its expiry times.
TEST_F(LeaseHandoverTest, grantsNoLeaseToALostWorkerUntilARecordWithoutItsExpiryIsStored)
{
    addWorker("a").consecutiveUnanswered = WorkerState::UnansweredBeforeUnreachable;
    addWorker("b").consecutiveUnanswered = WorkerState::UnansweredBeforeUnreachable;
    const BegunLeaseRecord first = beginRecord();
    EXPECT_FALSE(m_leases.mayGrant("a"));
    m_workers.at("a").consecutiveUnanswered = 0;
    const BegunLeaseRecord second = beginRecord();
    EXPECT_FALSE(m_leases.mayGrant("a"));
    m_leases.recordStored(first.number);
    EXPECT_FALSE(m_leases.mayGrant("a"));
    m_leases.recordStored(second.number);
    EXPECT_TRUE(m_leases.mayGrant("a"));
    EXPECT_FALSE(m_leases.mayGrant("b"));
}

// The next owner would not know of a task on a worker that the stored record lacks.
TEST_F(LeaseHandoverTest, grantsALeaseOnlyOnceTheStoredRecordNamesTheWorker)
{
    addWorker("a");
    const BegunLeaseRecord first = beginRecord();
    EXPECT_FALSE(m_leases.mayGrant("a"));
    m_leases.recordStored(first.number);
    EXPECT_TRUE(m_leases.mayGrant("a"));
    // It is not known whether the store has the second record already.
    m_workers.clear();
    const BegunLeaseRecord second = beginRecord();
    EXPECT_FALSE(m_leases.mayGrant("a"));
    addWorker("a");
    const BegunLeaseRecord third = beginRecord();
    EXPECT_FALSE(m_leases.mayGrant("a"));
    m_leases.recordStored(third.number);
    EXPECT_TRUE(m_leases.mayGrant("a"));
    EXPECT_LT(second.number, third.number);
}

// An owner may use the workers that its predecessor recorded before it has stored a record of its own.
TEST_F(LeaseHandoverTest, grantsLeasesToTheWorkersOfTheInheritedRecord)
{
    LeaseHolderRecord inherited;
    inherited.workers.push_back(addWorker("a").listing);
    inherited.finalExpiries["a"] = Second;
    m_leases.begin(inherited, {m_now, Second * 3, Second * 6}, m_now);
    EXPECT_TRUE(m_leases.mayGrant("a"));
    EXPECT_FALSE(m_leases.mayGrant("b"));
    EXPECT_TRUE(isRecordDue());
}

// The last owner has read an end that the store does not have, so its successor has to read it again.
TEST_F(LeaseHandoverTest, recordsAWorkerWithUnrecordedEndsThatIsNotListedAnyMore)
{
    WorkerState &worker = addWorker("a");
    worker.listed = false;
    worker.appliedEnd = 1;
    EXPECT_EQ(beginRecord().record.workers.size(), 1U);
    worker.recordedEnd = 1;
    EXPECT_EQ(beginRecord().record.workers.size(), 0U);
}

// A record that is rewritten faster than the store answers would never be known to be stored.
TEST_F(LeaseHandoverTest, beginsNoRecordWhileOneIsUnderway)
{
    addWorker("a");
    EXPECT_TRUE(isRecordDue());
    const BegunLeaseRecord begun = beginRecord();
    addWorker("b");
    EXPECT_FALSE(isRecordDue());
    m_leases.recordStored(begun.number);
    EXPECT_TRUE(isRecordDue());
    m_leases.recordStored(beginRecord().number);
    EXPECT_FALSE(isRecordDue());
}

// A worker whose list of ends is not complete is not confirmed, but it may have got leases of this term.
TEST_F(LeaseHandoverTest, recordsTheLeasesOfThisTermOfAWorkerWithUnreadEnds)
{
    LeaseHolderRecord inherited;
    WorkerState &worker = addWorker("a");
    inherited.workers.push_back(worker.listing);
    inherited.term = 2;
    inherited.finalExpiries["a"] = Second;
    m_leases.begin(inherited, {m_now, Second * 3, Second * 6}, m_now);
    worker.clock.observe(1'000, m_now, m_now);
    worker.leaseGrantedUntil = 7'000;
    const BegunLeaseRecord begun = m_leases.beginRecord(m_now, m_workers, SchedulingAuthority::KeepRunning);
    ASSERT_TRUE(begun.record.finalExpiries.contains("a"));
    EXPECT_GE(begun.record.finalExpiries.at("a"), Second * 6);
    m_now += Second * 30;
    EXPECT_EQ(m_leases.recoveryStage(m_now, m_workers), RecoveryStage::Reports);
    worker.consecutiveUnanswered = WorkerState::UnansweredBeforeUnreachable;
    EXPECT_EQ(m_leases.recoveryStage(m_now, m_workers), RecoveryStage::Over);
}

// An owner that was replaced just before an outage started tasks after its successor took them to be known.
TEST_F(LeaseHandoverTest, reckonsWithStartsOfAnOwnerThatGoesOnInAnOutage)
{
    m_leases.begin({{}, Second * 6, 2, {}, true, false}, {m_now, Second * 3, Second * 6}, m_now);
    EXPECT_FALSE(m_leases.haveEarlierStartsEnded(m_now + Second * 4)) << "it may resume if the store is away";
    EXPECT_TRUE(m_leases.haveEarlierStartsEnded(m_now + Second * 5));
    m_leases.extendEarlierGrants(m_now + Second * 20);
    EXPECT_FALSE(m_leases.haveEarlierStartsEnded(m_now + Second * 19));
    EXPECT_TRUE(m_leases.haveEarlierStartsEnded(m_now + Second * 20));
}

// An owner that was replaced twice just before an outage goes on in it. The owner between has recorded when the leases
// of the first one end, by what it knew before the outage.
TEST_F(LeaseHandoverTest, extendsExpiriesThatTheOwnerBetweenHasRecordedForAnEarlierOne)
{
    WorkerState &worker = m_workers["a"];
    worker.listing.name = "a";
    worker.listed = true;
    m_leases.begin({{worker.listing}, Second * 6, 2, {}, true, false}, {m_now, Second * 3, Second * 6}, m_now);
    const BegunLeaseRecord between = m_leases.beginRecord(m_now + Second, m_workers, SchedulingAuthority::KeepRunning);
    ASSERT_FALSE(between.record.endedStarts);
    LeaseHandover next {4, Second * 6};
    next.begin(between.record, {m_now + Second * 2, Second * 3, Second * 6}, m_now + Second * 2);
    next.extendEarlierGrants(m_now + Second * 20);
    EXPECT_GE(next.leaseExpiryOf("a"), m_now + Second * 26);
}

}
