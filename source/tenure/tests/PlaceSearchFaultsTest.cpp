#include "tenure/PlaceSearch.h"
#include "testing/ManualClock.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

class RecordingRequester final : public PlaceRequester
{
public:
    struct Sent
    {
        std::string partition;
        PlaceRequest request;
        Handler handler;
    };

    void request(const std::string &partition, const PlaceRequest &request, Handler handler) override
    {
        sent.push_back({partition, request, std::move(handler)});
    }

    std::vector<Sent> sent;
};

class PlaceSearchFaults : public testing::Test
{
protected:
    PlaceSearchFaults()
        : m_headrooms(m_clock)
        , m_search({m_clock, m_requester, m_headrooms,
                       [](const std::string &, const std::set<TaskName> &tasks) {
                           return tasks;
                       }},
              "home")
    {
    }

    static JobRecord demand()
    {
        JobRecord record;
        record.specification.id = "job";
        record.specification.queue = "queue";
        record.policy.pool = "pool";
        StepSpecification step;
        step.demand = {3'000, 1'000, 0};
        step.longRunning = true;
        record.specification.steps = {step};
        record.delegated.push_back({{"job", 0, 0, 0}, 1});
        return record;
    }

    ManualClock m_clock;
    HeadroomLedger m_headrooms;
    RecordingRequester m_requester;
    PlaceSearch m_search;
};

}

// The request may have been carried out although its answer was lost, and the place then stayed idle.
TEST_F(PlaceSearchFaults, releasesThePlaceIfTheAnswerIsLost)
{
    PoolHeadroom headroom;
    headroom.addGap({4'000, 8'000, 0});
    m_headrooms.update("other", {{"pool", headroom}});
    m_search.seek({demand()});
    ASSERT_EQ(m_requester.sent.size(), 1U);
    const PlaceRequester::Handler handler = m_requester.sent.front().handler;
    handler(std::nullopt);
    ASSERT_EQ(m_requester.sent.size(), 2U);
    EXPECT_EQ(m_requester.sent.back().request.released.size(), 1U);
}

// Eight workers with many processors and no memory hid one that has both.
TEST_F(PlaceSearchFaults, findsAGapBesideLargerOnesThatLackMemory)
{
    PoolHeadroom headroom;
    for (int i = 0; i < 8; ++i) {
        headroom.addGap({8'000, 100, 0});
    }
    headroom.addGap({4'000, 8'000, 0});
    m_headrooms.update("other", {{"pool", headroom}});
    m_search.seek({demand()});
    EXPECT_EQ(m_requester.sent.size(), 1U);
}

}
