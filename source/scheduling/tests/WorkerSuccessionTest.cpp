#include "scheduling/WorkerSuccession.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

class WorkerSuccessionTest : public testing::Test
{
protected:
    WorkerSuccessionTest()
    {
        m_former.listing.address = "host:1";
        m_former.lastContact = m_now;
        m_next.listing.address = "host:1";
        m_next.answeredRequestSentAt = m_now + Milliseconds(1);
    }

    const Instant m_now = Instant() + Milliseconds(60'000);
    std::map<std::string, WorkerState> m_workers {{"former", {}}, {"next", {}}};
    WorkerState &m_former = m_workers.at("former");
    WorkerState &m_next = m_workers.at("next");
};

}

TEST_F(WorkerSuccessionTest, needsAnAnswerToARequestThatWasSentAfterTheLastContact)
{
    EXPECT_TRUE(hasSuccessor(m_former, m_workers));
    // The worker itself may have answered since the request was sent.
    m_next.answeredRequestSentAt = m_now;
    EXPECT_FALSE(hasSuccessor(m_former, m_workers));
    m_next.answeredRequestSentAt = {};
    EXPECT_FALSE(hasSuccessor(m_former, m_workers));
}

TEST_F(WorkerSuccessionTest, needsAnotherWorkerAtTheSameAddress)
{
    m_next.listing.address = "host:2";
    EXPECT_FALSE(hasSuccessor(m_former, m_workers));
    m_former.answeredRequestSentAt = m_now + Milliseconds(1);
    EXPECT_FALSE(hasSuccessor(m_former, m_workers));
}

}
