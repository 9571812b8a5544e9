#include "PlatformWorker.h"
#include "http/HttpStatus.h"
#include "testing/ManualClock.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

// A worker and its ledger at a time that the test sets.
class PlatformWorkerTest : public ::testing::Test
{
protected:
    static constexpr std::int64_t LeaseMilliseconds = 5'000;

    PlatformWorkerTest()
        : m_worker(m_clock, m_ledger, m_gangs,
            [this](
                Milliseconds delay, std::function<void()> action) { m_delayed.emplace_back(delay, std::move(action)); },
            {"worker-0", "127.0.0.1:1", "depot", "depot-0", {64'000, 256'000, 0}, 1.0})
    {
    }

    HttpResponse call(const std::string &path, Json body)
    {
        body.emplace("FencingToken", 1);
        std::optional<HttpResponse> answer;
        m_worker.handle({"POST", path, {}, {{"Expect-Instance", "worker-0"}}, writeJson(body)},
            [&answer](HttpResponse response) { answer = std::move(response); });
        return answer.value_or(HttpResponse {0, {}, {}});
    }

    HttpResponse start(std::uint64_t run, std::int64_t until = LeaseMilliseconds)
    {
        return call(
            "/-/run-start", {{"Task", "job.0.0.0"}, {"Run", run}, {"UntilMs", until}, {"Spec", R"({"run_ms":1000})"}});
    }

    Json report(std::uint64_t seen)
    {
        return Json::parse(call("/-/hold", {{"LastSeen", seen}}).body);
    }

    void advance(Milliseconds duration)
    {
        m_clock.advance(duration);
        m_worker.advance();
    }

    static std::string reasonOf(const HttpResponse &response)
    {
        return memberOr(Json::parse(response.body), "Reason", std::string());
    }

    ManualClock m_clock;
    RunLedger m_ledger {m_clock};
    GangRegistry m_gangs {m_clock};
    std::vector<std::pair<Milliseconds, std::function<void()>>> m_delayed;
    PlatformWorker m_worker;
};

}

TEST_F(PlatformWorkerTest, listsAnEndUntilItIsAcknowledged)
{
    start(1);
    EXPECT_EQ(report(0)["Running"].size(), 1U);
    advance(Milliseconds(1'000));
    const Json ended = report(0)["Ended"];
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0], Json({1, "job.0.0.0", 1, "done", ""}));
    EXPECT_EQ(report(1)["Ended"].size(), 0U);
}

TEST_F(PlatformWorkerTest, reportsAStartAfterAnAcknowledgedEndAsDone)
{
    start(1);
    advance(Milliseconds(1'000));
    report(1);
    start(2);
    EXPECT_EQ(m_ledger.violations().size(), 1U);
}

TEST_F(PlatformWorkerTest, reportsAStartBetweenAnEndAsDoneAndItsAcknowledgement)
{
    start(1);
    advance(Milliseconds(1'000));
    start(2);
    EXPECT_EQ(m_ledger.violations().size(), 0U);
    report(1);
    EXPECT_EQ(m_ledger.violations().size(), 1U);
}

TEST_F(PlatformWorkerTest, allowsAnotherStartIfTheLeaseExpiredBetweenTheEndAndItsAcknowledgement)
{
    start(1);
    advance(Milliseconds(1'000));
    advance(Milliseconds(LeaseMilliseconds));
    report(1);
    start(2, 2 * LeaseMilliseconds);
    EXPECT_EQ(m_ledger.violations().size(), 0U);
}

TEST_F(PlatformWorkerTest, endsRunsWhenTheLeaseExpires)
{
    start(1, 500);
    advance(Milliseconds(501));
    EXPECT_EQ(report(0)["Ended"][0][3], "lapsed");
}

TEST_F(PlatformWorkerTest, refusesOldLateAndFencedStarts)
{
    EXPECT_EQ(reasonOf(start(1, 0)), "late");
    call("/-/run-stop", {{"Task", "job.0.0.0"}, {"Run", 3}, {"FencingToken", 2}});
    EXPECT_EQ(reasonOf(start(4)), "fence");
    EXPECT_EQ(reasonOf(call("/-/run-start", {{"Task", "job.0.0.0"}, {"Run", 3}, {"FencingToken", 2}})), "old");
    EXPECT_EQ(m_ledger.jobs().size(), 0U);
}

TEST_F(PlatformWorkerTest, listsAtMost500EndsAtOnce)
{
    constexpr int Runs = 600;
    for (int run = 1; run <= Runs; ++run) {
        call("/-/run-start",
            {{"Task", "job.0.0." + std::to_string(run)}, {"Run", 1}, {"UntilMs", LeaseMilliseconds},
                {"Spec", R"({"run_ms":0})"}});
        advance(Milliseconds(1));
    }
    EXPECT_EQ(report(0)["Ended"].size(), 500U);
    EXPECT_EQ(report(500)["Ended"].size(), 100U);
}

TEST_F(PlatformWorkerTest, forgetsEverythingInACrash)
{
    start(1);
    m_worker.crash(Milliseconds(500), false);
    EXPECT_EQ(start(1).status, 0);
    advance(Milliseconds(500));
    EXPECT_EQ(report(0)["Running"].size(), 0U);
    EXPECT_EQ(start(1).status, HttpStatus::Ok);
    EXPECT_EQ(m_ledger.violations().size(), 0U);
}

TEST(RunLedgerTest, reportsTwoRunsAtOnce)
{
    const ManualClock clock;
    RunLedger ledger(clock);
    ledger.recordStart({"job.0.0.0", 1, "worker-0"});
    ledger.recordStart({"job.0.0.1", 1, "worker-1"});
    EXPECT_EQ(ledger.violations().size(), 0U);
    ledger.recordStart({"job.0.0.0", 2, "worker-1"});
    EXPECT_EQ(ledger.violations().size(), 1U);
}

TEST_F(PlatformWorkerTest, carriesOutALateOrderWhileItsTimeHasNotPassed)
{
    PlatformWorker::Faults faults;
    faults.carryOutLate = 1.0;
    faults.longestDelay = Milliseconds(12'000);
    m_worker.setFaults(faults);
    for (const std::uint64_t run : {1U, 2U}) {
        EXPECT_EQ(start(run).status, 0);
    }
    ASSERT_EQ(m_delayed.size(), 2U);
    EXPECT_LE(m_delayed[0].first, faults.longestDelay);
    m_clock.advance(Milliseconds(LeaseMilliseconds - 1));
    m_delayed[0].second();
    EXPECT_EQ(report(0)["Running"].size(), 1U);
    m_clock.advance(Milliseconds(1));
    m_delayed[1].second();
    EXPECT_EQ(m_ledger.jobs()["job"]["starts"], 1);
}

// The worker has compared the order's token before a higher one arrives.
TEST_F(PlatformWorkerTest, beginsALaggingRunAfterAHigherTokenButNotAfterItsStop)
{
    PlatformWorker::Faults faults;
    faults.longestStartLag = Milliseconds(80);
    m_worker.setFaults(faults);
    std::vector<int> answers;
    for (const std::uint64_t run : {1U, 2U}) {
        const Json order {{"Task", "job.0." + std::to_string(run) + ".0"}, {"Run", run}, {"FencingToken", 1},
            {"UntilMs", LeaseMilliseconds}, {"Spec", R"({"run_ms":1000})"}};
        m_worker.handle({"POST", "/-/run-start", {}, {}, writeJson(order)},
            [&answers](const HttpResponse &response) { answers.push_back(response.status); });
    }
    EXPECT_EQ(Json::parse(call("/-/hold", {{"LastSeen", 0}, {"FencingToken", 2}}).body)["Running"].size(), 0U);
    call("/-/run-stop", {{"Task", "job.0.2.0"}, {"Run", 2}, {"FencingToken", 2}});
    EXPECT_EQ(answers.size(), 0U);
    ASSERT_EQ(m_delayed.size(), 2U);
    EXPECT_LE(m_delayed[0].first, faults.longestStartLag);
    m_delayed[0].second();
    m_delayed[1].second();
    EXPECT_EQ(answers, std::vector<int>({HttpStatus::Ok, HttpStatus::Conflict}));
    EXPECT_EQ(m_ledger.jobs()["job"]["starts"], 1);
}

// Runs that are being stopped still count against the limit of tasks per worker.
TEST_F(PlatformWorkerTest, reportsAStartBeyondTheLimitPerWorker)
{
    const auto startTask = [this](const std::string &task) {
        call("/-/run-start",
            {{"Task", task}, {"Run", 1}, {"UntilMs", LeaseMilliseconds},
                {"Spec", R"({"run_ms":1000,"per_worker":1})"}});
    };
    startTask("job.0.0.0");
    startTask("job.0.1.0");
    startTask("job.1.0.0");
    EXPECT_EQ(m_ledger.violations().size(), 0U);
    call("/-/run-stop", {{"Task", "job.0.0.0"}, {"Run", 1}});
    startTask("job.0.0.1");
    EXPECT_EQ(m_ledger.violations().size(), 1U);
    advance(Milliseconds(1'000));
    startTask("job.0.0.2");
    EXPECT_EQ(m_ledger.violations().size(), 1U);
}

// A successor must be able to reach a worker that its predecessor can't reach.
TEST_F(PlatformWorkerTest, answersNewOwnersWhileTheFormerOneIsCutOff)
{
    ASSERT_EQ(start(1).status, HttpStatus::Ok);
    PlatformWorker::Faults faults;
    faults.ownerAnswersCut = true;
    m_worker.setFaults(faults);
    EXPECT_EQ(call("/-/run-stop", {{"Task", "job.0.0.0"}, {"Run", 1}}).status, 0);
    EXPECT_EQ(call("/-/hold", {{"LastSeen", 0}, {"FencingToken", 2}}).status, HttpStatus::Ok);
}

// The members of a gang work only together.
TEST_F(PlatformWorkerTest, endsAMemberOfAGangThatStaysAlone)
{
    const Json order {
        {"Task", "job.0.0.0"}, {"Run", 1}, {"UntilMs", LeaseMilliseconds}, {"Spec", R"({"run_ms":100,"gang":2})"}};
    ASSERT_EQ(call("/-/run-start", order).status, HttpStatus::Ok);
    advance(Milliseconds(3'000));
    const Json ended = report(0)["Ended"];
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended[0][3], "alone");
}

// A job was reported as shown done too early, because a worker crashed a few milliseconds after its gang was done.
TEST_F(PlatformWorkerTest, countsAGangAsDoneThatEndedJustBeforeACrash)
{
    const Json order {
        {"Task", "job.0.0.0"}, {"Run", 1}, {"UntilMs", LeaseMilliseconds}, {"Spec", R"({"run_ms":100,"gang":1})"}};
    ASSERT_EQ(call("/-/run-start", order).status, HttpStatus::Ok);
    m_clock.advance(Milliseconds(101));
    m_worker.crash(Milliseconds(500), false);
    EXPECT_EQ(m_ledger.jobs()["job"]["done"], 1);
}

// One member that ends early breaks the others off, and the end of all as done comes at the same time.
TEST(GangRegistry, knowsWhenAGangIsDoneOrBroken)
{
    ManualClock clock;
    GangRegistry gangs(clock);
    const GangRegistry::Member first {"job.0.0.0", 1, 2, Milliseconds(100)};
    const GangRegistry::Member second {"job.0.0.1", 1, 2, Milliseconds(100)};
    gangs.join(first);
    EXPECT_EQ(gangs.stateOf(first), GangRegistry::State::Assembling);
    gangs.join(second);
    EXPECT_EQ(gangs.stateOf(first), GangRegistry::State::Working);
    clock.advance(Milliseconds(100));
    gangs.leave(first);
    EXPECT_EQ(gangs.stateOf(second), GangRegistry::State::Done);
    const GangRegistry::Member other {"job.0.0.1", 2, 2, Milliseconds(100)};
    gangs.join(other);
    gangs.leave({"job.0.0.0", 2, 2, Milliseconds(100)});
    EXPECT_EQ(gangs.stateOf(other), GangRegistry::State::Broken);
}

}
