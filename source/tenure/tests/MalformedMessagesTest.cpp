#include "TestCluster.h"

#include "scheduling/LeaseHolderRecord.h"
#include "tenure/StoreRelay.h"
#include "testing/CorruptedJson.h"
#include "testing/NestedJson.h"

#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// More levels than a stack of 8 MB bears when the library copies a document.
constexpr std::size_t DeepLevels = 200'000;

Json recordOfAJob()
{
    JobRecord record = TestCluster::job("job", 2, 2);
    CrashHistory crashes;
    crashes.addCrash(3, {"worker", CrashTiming::Late});
    record.delegated = {{{"job", 0, 0, 1}, 7, crashes}};
    return Json::parse(serialize(record));
}

}

// Entries in the store may have been written by another version. An unreadable one must not end the process.
RC_GTEST_PROP(MalformedMessages, corruptedStoreEntriesDoNotEndTheProcess, ())
{
    static_cast<void>(parseJobRecord(corruptedText(recordOfAJob())));
    const Json entry {{"request", "delegate"}, {"job", "job"}, {"record", recordOfAJob()}};
    static_cast<void>(parseInboxEntry(corruptedText(entry)));
    const Json verdict {{"request", "give-up"}, {"job", "job"}, {"given_up", recordOfAJob()["delegated"]}};
    static_cast<void>(parseInboxEntry(corruptedText(verdict)));
    const InstanceEntry instance {"instance", "10.0.0.1:1", "depot", "wheatbelt", "life", 250};
    static_cast<void>(parseInstanceEntry(corruptedText(Json::parse(serialize(instance)))));
    static_cast<void>(parseOwnerEntry(corruptedText(Json::parse(serialize(OwnerEntry {instance, 3})))));
    const PoolHeadrooms headrooms {{"pool", {}}};
    static_cast<void>(parsePoolHeadrooms(Json::parse(corruptedText(describe(headrooms)), nullptr, false)));
}

RC_GTEST_PROP(MalformedMessages, corruptedProgressLeavesTheJobConsistent, ())
{
    JobState written;
    written.specification = TestCluster::job("job", 2, 2).specification;
    TaskState &task = createOccurrence(written, 0).steps[0].tasks[1];
    task.phase = RunPhase::Delegated;
    task.delegatedTo = "other";
    task.checkpoint = "00";
    task.failedRuns = {1, 2};
    JobState read;
    read.specification = written.specification;
    restoreProgress(read, Json::parse(corruptedText(describeProgress(written)), nullptr, false));
    for (const auto &[number, occurrence] : read.occurrences) {
        for (const StepState &step : occurrence.steps) {
            const auto waiting = std::count_if(step.tasks.begin(), step.tasks.end(),
                [](const TaskState &candidate) { return candidate.phase == RunPhase::Waiting; });
            RC_ASSERT(step.waitingCount == waiting);
        }
    }
    BackfillInterferenceModel model;
    const Json learned {{"lowest_tails_ms", {{"pump", 10.0}}},
        {"pairs", {{{"serving", "pump"}, {"backfilling", "report"}, {"coefficient", 0.5}, {"observations", 3}}}}};
    model.restore(Json::parse(corruptedText(learned), nullptr, false));
    static_cast<void>(model.describe());
}

// Every call of another instance is answered exactly once, even if it is malformed.
RC_GTEST_PROP(MalformedMessages, callsOfOtherInstancesAreAnswered, ())
{
    TestCluster cluster;
    cluster.advance(Milliseconds(1'500));
    TestInstance *owner = cluster.owner();
    RC_ASSERT(owner != nullptr);
    const std::vector<std::string> paths {"/v1/partitions/fleet/jobs", "/v1/partitions/fleet/jobs/job",
        "/v1/partitions/fleet/queues/queue", "/v1/partitions/fleet/room", "/v1/partitions/", "/v1/partitions/fleet",
        "/v1/partitions/fleet/jobs//"};
    const std::vector<std::string> methods {"GET", "POST", "DELETE", "PUT", ""};
    HttpRequest request;
    request.method = methods[*rc::gen::inRange<std::size_t>(0, methods.size())];
    request.path = paths[*rc::gen::inRange<std::size_t>(0, paths.size())];
    request.body = corruptedText(recordOfAJob());
    int answers = 0;
    RC_ASSERT(owner->api.handle(request, [&answers](const HttpResponse &) { ++answers; }));
    cluster.advance(Milliseconds(1'000));
    RC_ASSERT(answers == 1);
}

// Guards against a record or a peer's message that overflows the stack of each instance that reads it.
TEST(MalformedMessages, deeplyNestedRecordsAreRejected)
{
    for (const std::string &deep : {nestedArrays(DeepLevels), nestedObjects(DeepLevels)}) {
        for (const char *member : {"job", "policy", "delegated", "record", "given_up", "instance", "address"}) {
            for (const char *request : {"submit", "cancel", "delegate", "give-up"}) {
                const std::string text
                    = R"({"request":")" + std::string(request) + R"(",")" + member + "\":" + deep + "}";
                EXPECT_NE(errorOf(parseInboxEntry(text)), nullptr) << request << " " << member;
                EXPECT_NE(errorOf(parseJobRecord(text)), nullptr) << member;
                EXPECT_NE(errorOf(parseInstanceEntry(text)), nullptr) << member;
                EXPECT_NE(errorOf(parseOwnerEntry(text)), nullptr) << member;
            }
        }
        EXPECT_TRUE(parseLeaseHolderRecord(R"({"i-1":)" + deep + "}").workers.empty());
    }
}

TEST(MalformedMessages, deeplyNestedCallsOfOtherInstancesAreRejected)
{
    TestCluster cluster;
    cluster.advance(Milliseconds(1'500));
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    for (const char *member : {"job", "policy", "delegated"}) {
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/partitions/fleet/jobs";
        request.body = "{\"" + std::string(member) + "\":" + nestedArrays(DeepLevels) + "}";
        int status = 0;
        ASSERT_TRUE(owner->api.handle(request, [&status](const HttpResponse &response) { status = response.status; }));
        EXPECT_EQ(status, 400) << member;
    }
}

// Guards against a stored entry that ends each owner of the partition in turn.
TEST(MalformedMessages, deeplyNestedStoredStateDoesNotEndTheNextOwner)
{
    TestCluster cluster;
    cluster.advance(Milliseconds(1'500));
    const std::string deep = nestedArrays(DeepLevels);
    const std::string entry = R"({"job":)" + deep + R"(,"occurrences":)" + deep + R"(,"pairs":)" + deep + "}";
    const std::string partition = "fleet";
    for (const std::string &key : {JobKeys::jobs(partition) + "odd", JobKeys::progress(partition) + "odd",
             JobKeys::leaseHolders(partition), JobKeys::interferenceModel(partition), JobKeys::head(partition),
             JobKeys::inboxSubmission(partition, "odd"), JobKeys::Instances + "odd"}) {
        static_cast<void>(cluster.state.write({key, entry, std::nullopt, 0}));
    }
    for (int number = 0; number < TestCluster::InstanceCount; ++number) {
        if (cluster.instances[number]->ownership.leader(partition) != nullptr) {
            cluster.kill(number);
            break;
        }
    }
    cluster.advance(Milliseconds(15'000));
    TestInstance *owner = cluster.owner();
    ASSERT_NE(owner, nullptr);
    owner->router.submit(TestCluster::job("job", 1, 1), cluster.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
    cluster.advance(Milliseconds(15'000));
    EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Done);
}

// Guards against a record that makes the owner create more occurrences than fit into its memory, or the same one twice.
TEST(MalformedMessages, oddOccurrencesInProgressAreLeftOut)
{
    JobState read;
    read.specification = TestCluster::job("job", 1, 50'000).specification;
    read.specification.repeatCount = 10;
    read.specification.interval = 1'000;
    Json occurrences = Json::object();
    for (const char *key : {"0", "00", "1", "2", "3", "4", "5", "-1", "10", "x", "", "99999999999999999999999"}) {
        occurrences[key] = Json::array({{{"done", "0"}}});
    }
    restoreProgress(read, {{"next", 1e300}, {"finished", -7}, {"occurrences", std::move(occurrences)}});
    EXPECT_EQ(read.occurrences.size(), 4);
    for (const auto &[number, occurrence] : read.occurrences) {
        EXPECT_EQ(occurrence.steps.size(), 1);
        EXPECT_GE(number, 0);
        EXPECT_LT(number, 10);
    }
    EXPECT_GE(read.nextOccurrence, 0);
    EXPECT_EQ(read.finishedOccurrences, 0);
}

TEST(MalformedMessages, positionsOfTheScheduleStayWithinTheJob)
{
    for (const Json &number : {Json(-1e18), Json(1'000'000), Json(std::numeric_limits<std::int64_t>::min())}) {
        JobState read;
        read.specification = TestCluster::job("job", 1, 1).specification;
        restoreProgress(read, {{"next", number}, {"finished", number}});
        EXPECT_GE(read.nextOccurrence, 0);
        EXPECT_LE(read.nextOccurrence, 1);
        EXPECT_LE(read.finishedOccurrences, read.nextOccurrence);
    }
}

// Guards against an exception at each take-over of a partition with a delegated job.
TEST(MalformedMessages, crashHistoriesOfStepsThatAreNoListAreIgnored)
{
    JobState read;
    read.specification = TestCluster::job("job", 2, 2).specification;
    createOccurrence(read, 0);
    for (const Json &steps : {Json {{"a", 1}, {"b", 2}}, Json("text"), Json(7)}) {
        EXPECT_NO_THROW(restoreDelegatedProgress(read, {{"occurrences", {{"0", steps}}}}));
    }
}

TEST(MalformedMessages, timesAndRunNumbersOfRecordsAreBounded)
{
    Json record = recordOfAJob();
    record["accepted_ms"] = std::numeric_limits<std::int64_t>::min();
    record["policy"]["stretch"] = 1e300;
    record["policy"]["latency_target_ms"] = std::numeric_limits<std::int64_t>::max();
    const Result<JobRecord> read = parseJobRecord(writeJson(record));
    ASSERT_EQ(errorOf(read), nullptr);
    EXPECT_EQ(std::get<JobRecord>(read).acceptedWall, 0);
    EXPECT_LE(std::get<JobRecord>(read).policy.stretch, MaximumStretch);
    EXPECT_LE(std::get<JobRecord>(read).policy.latencyTarget, MaximumLatencyTarget);
    record["delegated"][0]["last_run"] = std::numeric_limits<std::uint64_t>::max();
    EXPECT_NE(errorOf(parseJobRecord(writeJson(record))), nullptr);
    record = recordOfAJob();
    record["job"]["steps"][0]["millicores"] = std::numeric_limits<std::int64_t>::max();
    EXPECT_NE(errorOf(parseJobRecord(writeJson(record))), nullptr);
}

// Guards against a lease whose end wraps around to the past, after which another run would start too early.
TEST(MalformedMessages, leaseTimesOutOfRangeAreNotUsed)
{
    const LeaseHolderRecord record = parseLeaseHolderRecord(
        R"({"i-1":{"address":"a:1","lease_ms":6000,"expires_ms":9223372036854775807,"term":3},
            "i-2":{"address":"a:2","lease_ms":9223372036854775807,"expires_ms":4000,"term":3}})");
    EXPECT_EQ(record.workers.size(), 2);
    EXPECT_FALSE(record.leaseDuration.has_value());
    EXPECT_EQ(record.finalExpiries, (std::map<std::string, Milliseconds> {{"i-2", Milliseconds(4'000)}}));
}

TEST(MalformedMessages, headroomsOfOtherInstancesStayWithinWhatCanBeAdded)
{
    const std::int64_t huge = std::numeric_limits<std::int64_t>::max();
    const Json document {{"pool",
        {{"capacity", huge}, {"free_beside_lasting", -huge}, {"passing", huge},
            {"largest_gap", {{"millicores", huge}}}}}};
    const PoolHeadroom headroom = parsePoolHeadrooms(document).at("pool");
    EXPECT_LE(headroom.capacity, huge / 1'000);
    EXPECT_GE(headroom.freeBesideLongRunning, -huge / 1'000);
    EXPECT_LE(headroom.batchDemand, huge / 1'000);
    EXPECT_LE(headroom.largestGap.milliCores, huge / 1'000);
}

// Guards against a record that reserves memory for the pairs of very many images, or makes the learning rate infinite.
TEST(MalformedMessages, largeInterferenceModelsAreReadInPart)
{
    constexpr int Images = 20'000;
    Json tails = Json::object();
    for (int i = 0; i < Images; ++i) {
        tails["image-" + std::to_string(i)] = 5.0;
    }
    Json pairs = Json::array({{{"serving", "image-0"}, {"backfilling", "image-1"}, {"observations", -2}}});
    for (int i = 0; i < Images; ++i) {
        const std::string name = "other-" + std::to_string(i);
        pairs.push_back({{"serving", name}, {"backfilling", name}, {"observations", 3}});
    }
    BackfillInterferenceModel model;
    model.restore({{"lowest_tails_ms", std::move(tails)}, {"pairs", std::move(pairs)}});
    EXPECT_LE(model.describe()["lowest_tails_ms"].size(), 1'000);
    EXPECT_LE(model.describe()["pairs"].size(), 1'000);
}

// Guards against a partition that nobody takes over any more.
TEST(MalformedMessages, replacedOwnerEntriesDoNotLeaveThePartitionWithoutAnOwner)
{
    for (const char *entry : {"{", "{}", R"({"instance":{"name":"odd","address":"a/b"},"tenure":3})"}) {
        TestCluster cluster;
        cluster.advance(Milliseconds(1'500));
        ASSERT_NE(cluster.owner(), nullptr);
        static_cast<void>(cluster.state.write({JobKeys::owner("fleet"), entry, std::nullopt, 0}));
        cluster.advance(Milliseconds(15'000));
        TestInstance *owner = cluster.owner();
        ASSERT_NE(owner, nullptr) << entry;
        owner->router.submit(
            TestCluster::job("job", 1, 1), cluster.clock.now() + Milliseconds(3'000), [](RouteOutcome) {});
        cluster.advance(Milliseconds(15'000));
        EXPECT_EQ(cluster.phaseOf("job"), JobPhase::Done) << entry;
    }
}

TEST(MalformedMessages, termsOutOfRangeInTheHeadDoNotWrapAround)
{
    for (const char *head : {R"({"tenure":18446744073709551615})", R"({"tenure":184467440737095})"}) {
        TestCluster cluster;
        cluster.advance(Milliseconds(1'500));
        static_cast<void>(cluster.state.write({JobKeys::head("fleet"), head, std::nullopt, 0}));
        for (int number = 0; number < TestCluster::InstanceCount; ++number) {
            if (cluster.instances[number]->ownership.leader("fleet") != nullptr) {
                cluster.kill(number);
                break;
            }
        }
        cluster.advance(Milliseconds(15'000));
        TestInstance *owner = cluster.owner();
        ASSERT_NE(owner, nullptr);
        const std::uint64_t term = owner->ownership.leader("fleet")->position().term;
        EXPECT_GT(term, 0);
        EXPECT_LE(term, 1'000'000'000);
    }
}

}
