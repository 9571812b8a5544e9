#include "tenure/PlaceSearch.h"
#include "testing/ManualClock.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

using testing::_;

class MockPlaceRequester : public PlaceRequester
{
public:
    MOCK_METHOD(
        void, request, (const std::string &partition, const PlaceRequest &request, Handler handler), (override));
};

PoolHeadrooms headroomsWith(const std::vector<std::int64_t> &gaps)
{
    PoolHeadroom headroom;
    // Tasks that can't use the gaps wait in the partition.
    headroom.freeBesideLongRunning = -50'000;
    for (const std::int64_t gap : gaps) {
        headroom.addGap({gap, 8'000, 0});
    }
    return {{"pool", headroom}};
}

TaskName taskOf(const std::string &job, int index)
{
    return {job, 0, 0, index};
}

JobRecord demand(const std::string &job, int tasks)
{
    JobRecord record;
    record.specification.id = job;
    record.specification.queue = "queue";
    record.policy.pool = "pool";
    StepSpecification step;
    step.count = tasks;
    step.demand = {3'000, 1'000, 0};
    step.longRunning = true;
    record.specification.steps = {step};
    for (int i = 0; i < tasks; ++i) {
        record.delegated.push_back({taskOf(job, i), 1});
    }
    return record;
}

class PlaceSearchTest : public testing::Test
{
protected:
    PlaceSearchTest()
    {
        ON_CALL(m_requester, request)
            .WillByDefault(
                [this](const std::string &partition, const PlaceRequest &request, PlaceRequester::Handler handler) {
                    m_released.insert(request.released.begin(), request.released.end());
                    if (!request.jobs.empty()) {
                        m_requests[partition] = request;
                        m_handlers[partition] = std::move(handler);
                    }
                });
    }

    // Returns how many tasks of all jobs the partition was asked for last.
    [[nodiscard]] std::size_t askedOf(const std::string &partition) const
    {
        std::size_t count = 0;
        const auto request = m_requests.find(partition);
        if (request != m_requests.end()) {
            for (const JobRecord &job : request->second.jobs) {
                count += job.delegated.size();
            }
        }
        return count;
    }

    ManualClock m_clock;
    testing::NiceMock<MockPlaceRequester> m_requester;
    HeadroomLedger m_headrooms {m_clock};
    std::map<std::string, PlaceRequest> m_requests;
    std::map<std::string, PlaceRequester::Handler> m_handlers;
    std::set<TaskName> m_released;
    std::map<std::string, std::set<TaskName>> m_held;
    // Tasks that have found a place at home when the answer arrives.
    std::set<TaskName> m_staying;
    PlaceSearch m_search {{m_clock, m_requester, m_headrooms,
                              [this](const std::string &partition, const std::set<TaskName> &tasks) {
                                  m_held[partition].insert(tasks.begin(), tasks.end());
                                  std::set<TaskName> leaving = tasks;
                                  std::erase_if(
                                      leaving, [this](const TaskName &task) { return m_staying.contains(task); });
                                  return leaving;
                              }},
        "home"};
};

}

// A partition with gaps got no tasks, because tasks that could not use the gaps were subtracted from its headroom.
TEST_F(PlaceSearchTest, asksAPartitionWithGapsWhateverWaitsThere)
{
    m_headrooms.update("home", headroomsWith({9'000}));
    m_headrooms.update("other", headroomsWith({3'500, 3'200, 2'900}));
    m_search.seek({demand("job", 5)});
    EXPECT_EQ(askedOf("other"), 2U);
    EXPECT_EQ(askedOf("home"), 0U);
    m_handlers.at("other")(PlaceAnswer {{taskOf("job", 1)}, headroomsWith({})});
    EXPECT_EQ(m_held.at("other"), std::set<TaskName> {taskOf("job", 1)});
}

TEST_F(PlaceSearchTest, asksOnePartitionForEachTask)
{
    m_headrooms.update("near", headroomsWith({3'500}));
    m_headrooms.update("other", headroomsWith({7'000}));
    m_search.seek({demand("first", 2), demand("second", 2)});
    EXPECT_EQ(askedOf("near") + askedOf("other"), 3U);
    EXPECT_EQ(askedOf("near"), 1U);
}

TEST_F(PlaceSearchTest, waitsForTheAnswerBeforeItAsksAgain)
{
    m_headrooms.update("other", headroomsWith({3'500}));
    const auto asks = testing::Field(&PlaceRequest::jobs, testing::Not(testing::IsEmpty()));
    const auto releases = testing::Field(&PlaceRequest::released, testing::Contains(taskOf("job", 0)));
    EXPECT_CALL(m_requester, request("other", asks, _)).Times(2);
    EXPECT_CALL(m_requester, request("other", releases, _)).Times(1);
    m_search.seek({demand("job", 1)});
    m_search.seek({demand("job", 1)});
    m_handlers.at("other")(std::nullopt);
    EXPECT_TRUE(m_held.empty());
    // A refusal is remembered for a second.
    m_search.seek({demand("job", 1)});
    m_clock.advance(Milliseconds(1'000));
    m_search.seek({demand("job", 1)});
}

// A task that came too late for a gap did not ask for the next one, which opened less than a second later.
TEST_F(PlaceSearchTest, asksAgainAsSoonAsAFullPartitionHasRoom)
{
    m_headrooms.update("other", headroomsWith({3'500}));
    m_search.seek({demand("job", 1)});
    m_handlers.at("other")(PlaceAnswer {{}, headroomsWith({2'900})});
    m_requests.clear();
    m_search.seek({demand("job", 1)});
    EXPECT_EQ(askedOf("other"), 0U);
    m_headrooms.update("other", headroomsWith({3'500}));
    m_search.seek({demand("job", 1)});
    EXPECT_EQ(askedOf("other"), 1U);
}

// What keeps a task out of a gap, such as a limit per worker, would refuse it again at once.
TEST_F(PlaceSearchTest, doesNotAskAgainAtOnceIfItWasRefusedBesideRoom)
{
    m_headrooms.update("other", headroomsWith({3'500}));
    m_search.seek({demand("job", 1)});
    m_handlers.at("other")(PlaceAnswer {{}, headroomsWith({3'500})});
    m_requests.clear();
    m_search.seek({demand("job", 1)});
    EXPECT_EQ(askedOf("other"), 0U);
    m_clock.advance(Milliseconds(1'000));
    m_search.seek({demand("job", 1)});
    EXPECT_EQ(askedOf("other"), 1U);
}

TEST_F(PlaceSearchTest, avoidsPartitionsThatReportNoMore)
{
    m_headrooms.update("other", headroomsWith({3'500}));
    m_clock.advance(Milliseconds(2'000));
    EXPECT_CALL(m_requester, request).Times(0);
    m_search.seek({demand("job", 1)});
}

// A place stayed free for seconds although other tasks waited for it.
TEST_F(PlaceSearchTest, releasesPlacesThatAreNotNeededAnyMore)
{
    m_headrooms.update("other", headroomsWith({7'000}));
    m_search.seek({demand("job", 2)});
    m_staying = {taskOf("job", 1)};
    m_handlers.at("other")(PlaceAnswer {{taskOf("job", 0), taskOf("job", 1)}, {}});
    EXPECT_EQ(m_released, m_staying);
}

// Two partitions held a place for one task.
TEST_F(PlaceSearchTest, asksNoSecondPartitionWhileTheFirstHasNotAnswered)
{
    m_headrooms.update("near", headroomsWith({3'500}));
    m_search.seek({demand("job", 1)});
    m_headrooms.update("other", headroomsWith({3'500}));
    m_search.seek({demand("job", 1)});
    EXPECT_EQ(askedOf("near"), 1U);
    EXPECT_EQ(askedOf("other"), 0U);
}

// Answers of other versions or broken peers must not make tasks leave that were not asked for.
TEST_F(PlaceSearchTest, ignoresTasksThatItDidNotAskFor)
{
    m_headrooms.update("other", headroomsWith({3'500}));
    m_search.seek({demand("job", 1)});
    m_handlers.at("other")(PlaceAnswer {{taskOf("job", 0), taskOf("job", 7), taskOf("unknown", 0)}, {}});
    EXPECT_EQ(m_held.at("other"), std::set<TaskName> {taskOf("job", 0)});
}

TEST(PlaceRequest, isUnchangedAfterTransfer)
{
    const PlaceRequest request {{demand("first", 2), demand("second", 1)}, {taskOf("third", 4)}};
    const Result<PlaceRequest> parsed = parsePlaceRequest(serialize(request));
    ASSERT_EQ(errorOf(parsed), nullptr) << errorOf(parsed)->detail;
    EXPECT_EQ(std::get<PlaceRequest>(parsed), request);
    const PlaceAnswer answer {{taskOf("first", 1)}, headroomsWith({3'500})};
    EXPECT_EQ(parsePlaceAnswer(describe(answer)), answer);
}

TEST(PlaceRequest, isRefusedIfItIsMalformedOrTooLarge)
{
    EXPECT_NE(errorOf(parsePlaceRequest("none")), nullptr);
    EXPECT_NE(errorOf(parsePlaceRequest(R"({"jobs":["{}"]})")), nullptr);
    PlaceRequest request;
    request.jobs.assign(PlaceRequest::MostJobs + 1, demand("job", 1));
    EXPECT_NE(errorOf(parsePlaceRequest(serialize(request))), nullptr);
    request.jobs = {demand("job", static_cast<int>(PlaceRequest::MostTasks) + 1)};
    EXPECT_NE(errorOf(parsePlaceRequest(serialize(request))), nullptr);
    EXPECT_TRUE(parsePlaceAnswer(Json("none")).held.empty());
}

}
