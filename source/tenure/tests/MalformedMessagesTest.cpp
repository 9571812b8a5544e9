#include "TestCluster.h"

#include "tenure/StoreRelay.h"
#include "testing/CorruptedJson.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

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

}
