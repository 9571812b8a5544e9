#include "PlatformStoreApi.h"
#include "http/HttpStatus.h"
#include "testing/ManualClock.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

class PlatformStoreApiTest : public ::testing::Test
{
protected:
    // Returns the answer, whose status is 0 if there is none.
    HttpResponse call(const std::string &method, const std::string &path, const std::string &query, const Json &body)
    {
        std::optional<HttpResponse> answer;
        m_api.handle({method, path, query, {}, writeJson(body)},
            [&answer](HttpResponse response) { answer = std::move(response); });
        return answer.value_or(HttpResponse {0, {}, {}});
    }

    HttpResponse commit(int writes, const std::string &prefix = "key-", std::uint64_t lease = 0)
    {
        Json rows = Json::array();
        for (int i = 0; i < writes; ++i) {
            rows.push_back({{"Key", prefix + std::to_string(i)}, {"Value", "dg=="}, {"Lease", lease}});
        }
        return call("POST", "/-/kv-txn", {}, {{"Precondition", Json::array()}, {"Writes", rows}});
    }

    HttpResponse read(const std::string &key)
    {
        return call("GET", "/-/kv-key", "Key=" + key, nullptr);
    }

    ManualClock m_clock;
    asio::io_context m_context;
    PlatformStoreApi m_api {m_context, m_clock, {}, 1};
};

}

TEST_F(PlatformStoreApiTest, acceptsAtMost32EntriesInATransaction)
{
    EXPECT_EQ(commit(32).status, HttpStatus::Ok);
    EXPECT_EQ(commit(33).status, HttpStatus::BadRequest);
}

TEST_F(PlatformStoreApiTest, keepsTheOperatorsKeysFromTheSystem)
{
    EXPECT_EQ(commit(1, "op/").status, 403);
    EXPECT_EQ(commit(1, "servers/").status, 403);
}

TEST_F(PlatformStoreApiTest, returnsThePresentStateIfAPreconditionFails)
{
    commit(1);
    const HttpResponse answer = call("POST", "/-/kv-txn", {},
        {{"Precondition", {{{"Key", "key-0"}, {"Revision", 0}}, {{"Key", "other"}, {"Revision", 0}}}}});
    EXPECT_EQ(answer.status, HttpStatus::PreconditionFailed);
    const Json items = Json::parse(answer.body)["items"];
    EXPECT_GT(items[0]["Revision"], 0);
    EXPECT_EQ(items[1]["Revision"], 0);
}

TEST_F(PlatformStoreApiTest, returnsLongListingsInPages)
{
    for (int i = 0; i < 20; ++i) {
        commit(30, "list-" + std::to_string(i) + "-");
    }
    const Json first = Json::parse(call("GET", "/-/kv-range", "Prefix=list-", nullptr).body);
    EXPECT_EQ(first["items"].size(), 500U);
    EXPECT_TRUE(first["MorePages"]);
    const std::string last = first["items"].back()["Key"];
    const Json second = Json::parse(call("GET", "/-/kv-range", "Prefix=list-&After=" + last, nullptr).body);
    EXPECT_EQ(second["items"].size(), 100U);
    EXPECT_FALSE(second["MorePages"]);
}

TEST_F(PlatformStoreApiTest, answersGoneIfTheHistoryIsDropped)
{
    commit(2);
    m_api.dropHistory();
    EXPECT_EQ(call("GET", "/-/kv-watch", "Prefix=key-&After=0&WaitMs=0", nullptr).status, HttpStatus::Gone);
}

TEST_F(PlatformStoreApiTest, leasesEndOrLastLongerWhileItIsSilent)
{
    for (const bool leasesExpire : {true, false}) {
        const HttpResponse granted = call("POST", "/-/kv-lease", {}, {{"TtlMs", 1'000}});
        commit(1, "leased-", Json::parse(granted.body)["Lease"]);
        PlatformStoreApi::Faults faults;
        faults.silent = true;
        faults.leasesExpire = leasesExpire;
        m_api.setFaults(faults);
        EXPECT_EQ(read("leased-0").status, 0);
        m_clock.advance(Milliseconds(1'500));
        m_api.setFaults({});
        EXPECT_EQ(read("leased-0").status, leasesExpire ? HttpStatus::NotFound : HttpStatus::Ok);
    }
}

TEST_F(PlatformStoreApiTest, keepsKeysWithoutALeaseWhenAnUnknownLeaseEnds)
{
    commit(1);
    call("DELETE", "/-/kv-lease-end/0", {}, nullptr);
    EXPECT_EQ(read("key-0").status, HttpStatus::Ok);
}

TEST_F(PlatformStoreApiTest, refusesCallsBeyondItsLimits)
{
    constexpr int WritesPerSecond = 400;
    for (int i = 0; i < WritesPerSecond; ++i) {
        ASSERT_EQ(commit(1).status, HttpStatus::Ok);
    }
    EXPECT_EQ(commit(1).status, HttpStatus::TooManyRequests);
    m_clock.advance(Milliseconds(1'000));
    EXPECT_EQ(commit(1).status, HttpStatus::Ok);
}

}
