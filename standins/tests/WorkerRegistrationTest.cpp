#include "WorkerRegistration.h"
#include "http/HttpStatus.h"
#include "testing/ManualClock.h"

#include <gtest/gtest.h>

#include <restinio/utils/base64.hpp>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Tick {100};
constexpr Milliseconds DrainDuration {3'000};
constexpr Milliseconds Downtime {2'000};
// The heartbeat that announces the change, or the longest time until an entry is there again.
constexpr Milliseconds LongestPublication {2'500};

class WorkerRegistrationTest : public ::testing::Test
{
protected:
    WorkerRegistrationTest()
        : m_worker(m_clock, m_ledger, m_gangs, [](Milliseconds, const std::function<void()> &) {},
            {"worker-0", "127.0.0.1:1", "depot", "depot-0", {64'000, 256'000, 0}, 1.0})
    {
        m_registration.advance();
    }

    void start()
    {
        const Json order {{"Task", "job.0.0.0"}, {"Run", 1}, {"UntilMs", 10'000}, {"Spec", R"({"lasting":true})"},
            {"FencingToken", 1}};
        m_worker.handle({"POST", "/-/run-start", {}, {}, writeJson(order)}, [](const HttpResponse &) {});
    }

    void advance(Milliseconds duration, bool storeIsReachable = true)
    {
        for (Milliseconds passed {0}; passed < duration; passed += Tick) {
            m_clock.advance(Tick);
            m_worker.advance();
            if (storeIsReachable) {
                m_store.advance();
                m_registration.advance();
            }
        }
    }

    // Returns the state in a worker's entry, or nothing without one.
    std::string stateOf(const std::string &name)
    {
        const auto entry = m_store.read("servers/" + name);
        if (!entry) {
            return {};
        }
        const auto text = restinio::utils::base64::try_decode(entry->value);
        return memberOr(Json::parse(text ? *text : std::string("{}")), "State", std::string());
    }

    bool isRunning()
    {
        const Json jobs = m_ledger.jobs();
        return jobs["job"]["running"] == 1;
    }

    ManualClock m_clock;
    RunLedger m_ledger {m_clock};
    GangRegistry m_gangs {m_clock};
    StandinStore m_store {m_clock};
    PlatformWorker m_worker;
    WorkerRegistration m_registration {m_clock, m_store, m_worker, 1};
};

}

TEST_F(WorkerRegistrationTest, removesTheEntryOfAWorkerThatHasDrained)
{
    start();
    m_worker.drain(DrainDuration, Downtime);
    advance(LongestPublication);
    EXPECT_EQ(stateOf("worker-0"), "draining");
    EXPECT_TRUE(isRunning());
    advance(DrainDuration);
    EXPECT_EQ(stateOf("worker-0"), "");
    EXPECT_FALSE(isRunning());
    EXPECT_EQ(m_ledger.jobs()["job"]["crashes"], 0);
    advance(Downtime + LongestPublication);
    EXPECT_EQ(stateOf("worker-0"), "");
    EXPECT_EQ(stateOf("worker-0-1"), "ready");
}

// A worker serves on until the store has accepted its report, however long that takes.
TEST_F(WorkerRegistrationTest, doesNotLeaveBeforeTheStoreKnowsThatItDrains)
{
    start();
    m_worker.drain(DrainDuration, Downtime);
    advance(2 * DrainDuration, false);
    EXPECT_TRUE(isRunning());
    advance(LongestPublication);
    EXPECT_EQ(stateOf("worker-0"), "draining");
    EXPECT_TRUE(isRunning());
    advance(DrainDuration);
    EXPECT_FALSE(isRunning());
}

}
