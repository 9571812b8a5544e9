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

}
