#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Second {1'000};
constexpr Milliseconds Moment {20};

class RelocationFaults : public testing::Test
{
protected:
    explicit RelocationFaults(const std::map<std::string, std::string> &regions
        = {{"a", "wheatbelt"}, {"b", "wheatbelt"}, {"c", "wheatbelt"}, {"d", "coastal"}})
        : m_cluster(regions)
    {
        m_cluster.advance(Second * 3);
    }

    void submit(const std::string &partition, const std::string &id, int tasks, std::int64_t milliCores,
        bool longRunning = true, Milliseconds duration = Milliseconds(100), Milliseconds stop = Milliseconds(0))
    {
        FakeWorkers::Behaviour behaviour {duration, 0, longRunning};
        behaviour.demand = {milliCores, 500, 0};
        behaviour.stopDuration = stop;
        m_cluster.workers.setBehaviour(id, behaviour);
        JobRecord record = TestCluster::job(id, 1, tasks);
        record.specification.steps[0].longRunning = longRunning;
        record.specification.steps[0].demand = behaviour.demand;
        m_cluster.ownerOf(partition)->ownership.leader(partition)->submit(
            record, PartitionLeader::Placement::ThisPartition, [](const AcceptResult &) {});
        m_cluster.advance(Second * 2);
    }

    void addWorker(const std::string &name, const std::string &dataCentre, std::int64_t milliCores)
    {
        m_cluster.workers.add({name, name + ":1", "pool", dataCentre, "rack", {}, {milliCores, 8'000, 0}, 1, false});
    }

    void drain(const std::set<std::string> &names)
    {
        WorkerListings listings = m_cluster.workers.listings();
        for (const std::string &name : names) {
            listings.at(name).draining = true;
        }
        for (const auto &[number, instance] : m_cluster.instances) {
            instance->ownership.updateWorkers(listings);
        }
    }

    const JobScheduler &jobs(const std::string &partition)
    {
        return m_cluster.ownerOf(partition)->ownership.leader(partition)->jobScheduler();
    }

    const std::vector<TaskState> &tasks(const std::string &partition, const std::string &id)
    {
        return jobs(partition).find(id)->occurrences.at(0).steps[0].tasks;
    }

    std::size_t runsIn(const std::string &partition)
    {
        std::size_t count = 0;
        for (const auto &[name, worker] : jobs(partition).workers()) {
            count += worker.tasks.size();
        }
        return count;
    }

    int countIn(const std::string &partition, const std::string &id, RunPhase phase)
    {
        const std::vector<TaskState> &all = tasks(partition, id);
        return static_cast<int>(
            std::count_if(all.begin(), all.end(), [phase](const TaskState &task) { return task.phase == phase; }));
    }

    TestCluster m_cluster;
};

class ManyPartitions : public RelocationFaults
{
protected:
    ManyPartitions() : RelocationFaults(regions())
    {
    }

    static std::map<std::string, std::string> regions()
    {
        std::map<std::string, std::string> all;
        for (char name = 'a'; name <= 'q'; ++name) {
            all[std::string(1, name)] = std::string("region-") + name;
        }
        return all;
    }
};

}

// All tasks of a step on a draining worker were stopped at once, beyond the step's disruption budget.
TEST_F(RelocationFaults, keepsTheDisruptionBudgetWhenTasksLeaveForAnotherPartition)
{
    submit("a", "job", 4, 700);
    ASSERT_NE(jobs("a").find("job"), nullptr);
    ASSERT_EQ(countIn("a", "job", RunPhase::Running), 4);
    const std::string leaving = tasks("a", "job")[0].worker;
    for (const std::string name : {"worker-0", "worker-2"}) {
        if (name != leaving) {
            m_cluster.workers.setCapacity(name, {500, 8'000, 0});
        }
    }
    m_cluster.advance(Second * 2);
    ASSERT_EQ(countIn("a", "job", RunPhase::Running), 4);
    drain({leaving});
    int most = 0;
    for (int i = 0; i < 35; ++i) {
        m_cluster.advance(Moment);
        most = std::max(most, 4 - countIn("a", "job", RunPhase::Running) - countIn("a", "job", RunPhase::Delegated));
    }
    EXPECT_LE(most, 1);
}

// A task was stopped for a place in another partition that batch tasks still used.
TEST_F(RelocationFaults, keepsATaskRunningUntilItsPlaceInAnotherPartitionIsFree)
{
    submit("b", "batch", 2, 4'000, false, Second * 20);
    submit("a", "job", 2, 3'000);
    ASSERT_EQ(m_cluster.workers.runningCount(), 4U);
    drain({"worker-0"});
    for (int i = 0; i < 100; ++i) {
        m_cluster.advance(Moment);
        ASSERT_EQ(m_cluster.workers.runningCount(), 4U) << "after " << ((i + 1) * Moment).count() << " ms";
    }
}

// A task that was delegated here stayed on its draining worker although another partition had room.
TEST_F(RelocationFaults, movesADelegatedTaskOffADrainingWorkerToAnotherPartition)
{
    submit("a", "job", 2, 3'000);
    drain({"worker-0"});
    m_cluster.advance(Milliseconds(1'500));
    ASSERT_EQ(runsIn("b"), 1U);
    addWorker("worker-4", "c", 4'000);
    m_cluster.advance(Second * 2);
    drain({"worker-0", "worker-1", "worker-3"});
    m_cluster.advance(Second * 3);
    EXPECT_EQ(runsIn("c"), 1U);
    EXPECT_EQ(runsIn("b"), 0U);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The store went away after a task was stopped for a place elsewhere. It was delegated all the same and stayed without
// a worker, although one of its own partition had room.
TEST_F(RelocationFaults, placesAStoppedTaskHereWhileTheStoreIsAway)
{
    submit("a", "job", 2, 3'000, true, Milliseconds(100), Milliseconds(1'000));
    drain({"worker-0"});
    for (int i = 0; i < 50 && countIn("a", "job", RunPhase::Stopping) == 0; ++i) {
        m_cluster.advance(Moment);
    }
    ASSERT_EQ(countIn("a", "job", RunPhase::Stopping), 1);
    for (const auto &[number, instance] : m_cluster.instances) {
        instance->store.down = true;
    }
    m_cluster.advance(Milliseconds(1'300));
    EXPECT_EQ(countIn("a", "job", RunPhase::Delegated), 0);
    drain({});
    m_cluster.advance(Milliseconds(1'500));
    EXPECT_EQ(countIn("a", "job", RunPhase::Delegated), 0);
    EXPECT_EQ(m_cluster.workers.runningCount(), 2U);
}

// Tasks of one job found places in fifteen partitions at once, and their delegations never fitted into one transaction.
TEST_F(ManyPartitions, delegatesTasksOfAJobToFifteenPartitionsAtOnce)
{
    for (const std::string name : {"worker-0", "worker-1", "worker-2", "worker-3"}) {
        m_cluster.workers.setCapacity(name, {500, 8'000, 0});
    }
    addWorker("worker-big", "a", 20'000);
    addWorker("worker-small", "a", 500);
    for (char name = 'c'; name <= 'q'; ++name) {
        addWorker(std::string("worker-") + name, std::string(1, name), 1'000);
    }
    m_cluster.advance(Second * 4);
    submit("region-a", "job", 15, 700);
    ASSERT_EQ(m_cluster.workers.runningCount(), 15U);
    drain({"worker-big"});
    m_cluster.advance(Second * 10);
    EXPECT_EQ(countIn("region-a", "job", RunPhase::Delegated), 15);
    EXPECT_EQ(m_cluster.workers.runningCount(), 15U);
    // What other jobs change is still recorded.
    m_cluster.workers.setBehaviour("small", {Milliseconds(100)});
    JobRecord small = TestCluster::job("small", 1, 1);
    small.specification.steps[0].demand = {100, 100, 0};
    m_cluster.ownerOf("region-a")
        ->ownership.leader("region-a")
        ->submit(small, PartitionLeader::Placement::ThisPartition, [](const AcceptResult &) {});
    m_cluster.advance(Second * 5);
    ASSERT_NE(jobs("region-a").find("small"), nullptr);
    EXPECT_EQ(jobs("region-a").find("small")->phase, JobPhase::Done);
}

// An owner that was held up, so that its authority was not current, stopped a run when the answer came.
TEST_F(RelocationFaults, stopsNothingForAPlaceWhileItsAuthorityIsNotCurrent)
{
    submit("a", "job", 2, 3'000);
    std::vector<std::function<void()>> answers;
    for (auto &entry : m_cluster.peers.servers) {
        entry.second
            = [&answers, server = entry.second](const HttpRequest &request, const HttpServer::Responder &respond) {
                  if (!request.path.ends_with("/places")) {
                      return server(request, respond);
                  }
                  return server(request, [&answers, respond](const HttpResponse &response) {
                      answers.emplace_back([respond, response] { respond(response); });
                  });
              };
    }
    drain({"worker-0"});
    for (int i = 0; i < 50 && answers.empty(); ++i) {
        m_cluster.advance(Moment);
    }
    ASSERT_FALSE(answers.empty());
    for (const auto &[number, instance] : m_cluster.instances) {
        if (instance->ownership.leader("a") != nullptr) {
            m_cluster.heldUp.insert(number);
        }
    }
    m_cluster.advance(Milliseconds(1'600));
    ASSERT_EQ(countIn("a", "job", RunPhase::Running), 2);
    for (const auto &answer : answers) {
        answer();
    }
    EXPECT_EQ(countIn("a", "job", RunPhase::Running), 2);
}

// What each tick of an owner costs with a large batch job. Only prints it.
TEST_F(RelocationFaults, looksForStoppedTasksBesideALargeBatchJob)
{
    submit("a", "batch", 90'000, 1'000, false, Second * 100);
    ASSERT_NE(jobs("a").find("batch"), nullptr);
    constexpr int Repetitions = 100;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < Repetitions; ++i) {
        ASSERT_TRUE(const_cast<JobScheduler &>(jobs("a")).stoppedForRelocation().empty());
    }
    const auto took = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin);
    std::printf("%.3f ms each\n", took.count() / Repetitions);
}

// Two tasks that may crash their worker got places on the same one, although another one was empty, because isolation
// did not see the tasks for which places are held.
TEST_F(RelocationFaults, holdsPlacesOfSuspectsOnDifferentWorkers)
{
    PartitionLeader &leader = *m_cluster.ownerOf("b")->ownership.leader("b");
    PlaceRequest request;
    for (const std::string id : {"left", "right"}) {
        JobRecord record = TestCluster::job(id, 1, 1);
        record.specification.steps[0].longRunning = true;
        DelegatedTask task {{id, 0, 0, 0}, 1};
        task.crashes.addCrash(1, {"worker-of-" + id, CrashTiming::Prompt});
        record.delegated.push_back(task);
        request.jobs.push_back(record);
    }
    ASSERT_EQ(leader.holdPlaces(request).held.size(), 2U);
    for (const auto &[name, worker] : jobs("b").workers()) {
        EXPECT_EQ(worker.heldPlaces.tasks().size(), 1U) << name;
    }
}

// A task that had come to be suspected after a place was held for it was started there beside another suspect.
TEST_F(RelocationFaults, startsNoSuspectAtAPlaceBesideAnotherSuspect)
{
    drain({"worker-3"});
    m_cluster.advance(Second);
    PlaceRequest request;
    std::map<std::string, JobRecord> records;
    for (const std::string id : {"left", "right"}) {
        m_cluster.workers.setBehaviour(id, {Milliseconds(100), 0, true});
        JobRecord &record = records[id];
        record = TestCluster::job(id, 1, 1);
        record.specification.steps[0].longRunning = true;
        record.delegated = {{{id, 0, 0, 0}, 1}};
    }
    request.jobs = {records["left"]};
    ASSERT_EQ(m_cluster.ownerOf("b")->ownership.leader("b")->holdPlaces(request).held.size(), 1U);
    auto &scheduler = const_cast<JobScheduler &>(jobs("b"));
    for (const std::string id : {"right", "left"}) {
        JobRecord &record = records[id];
        record.delegated[0].crashes.addCrash(1, {"worker-of-" + id, CrashTiming::Prompt});
        scheduler.addDelegated(record.specification, record.policy, record.acceptedWall, record.delegated);
        m_cluster.advance(Milliseconds(500));
    }
    ASSERT_NE(jobs("b").find("left"), nullptr);
    EXPECT_EQ(tasks("b", "right")[0].worker, "worker-1");
    EXPECT_EQ(tasks("b", "left")[0].worker, "");
    EXPECT_EQ(runsIn("b"), 1U);
}

// Requests that no owner sends.
TEST_F(RelocationFaults, refusesOrIgnoresMalformedRequests)
{
    TestInstance *owner = m_cluster.ownerOf("b");
    JobRecord record = TestCluster::job("absent", 2, 2);
    record.specification.steps[0].longRunning = true;
    record.delegated
        = {{{"absent", 0, 7, 0}, 1}, {{"absent", 0, 0, 99}, 1}, {{"absent", 5, 0, 0}, 1}, {{"other", 0, 0, 0}, 1}};
    std::vector<std::string> bodies {"", "[]", "5", "null", "{}", R"({"jobs":5,"released":{"a":1}})",
        R"({"jobs":["{}","5"]})", R"({"jobs":[{}]})", R"({"released":["x.-1.0.0","x.0.0.0.","...."]})",
        serialize(PlaceRequest {{record}})};
    for (const std::string &body : bodies) {
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/partitions/b/places";
        request.body = body;
        int status = 0;
        std::string text;
        ASSERT_TRUE(owner->api.handle(request, [&](const HttpResponse &response) {
            status = static_cast<int>(response.status);
            text = response.body;
        }));
        std::printf("%-60.60s -> %d %.90s\n", body.c_str(), status, text.c_str());
    }
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// What one request may cost.
TEST_F(RelocationFaults, answersTheLargestRequestQuickly)
{
    TestInstance *owner = m_cluster.ownerOf("b");
    PlaceRequest places;
    for (int i = 0; i < 32; ++i) {
        const std::string id = "job-" + std::to_string(i);
        JobRecord record = TestCluster::job(id, 2, 1);
        record.specification.steps[0].longRunning = true;
        record.specification.steps[1].after = {};
        record.specification.steps[1].count = 99'000;
        record.delegated = {{{id, 0, 0, 0}, 1}};
        places.jobs.push_back(record);
    }
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/partitions/b/places";
    request.body = serialize(places);
    const auto begin = std::chrono::steady_clock::now();
    ASSERT_TRUE(owner->api.handle(request, [](const HttpResponse &) {}));
    const auto took = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - begin);
    std::printf("body %zu bytes, %lld ms, TaskState %zu bytes\n", request.body.size(),
        static_cast<long long>(took.count()), sizeof(TaskState));
    // An owner that has not come to its tick for so long may schedule nothing.
    EXPECT_LT(took, Second);
}

}
