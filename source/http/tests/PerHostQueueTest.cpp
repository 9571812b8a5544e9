#include "http/PerHostQueue.h"
#include "testing/ManualScheduler.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>

namespace Wagtail
{

namespace
{

constexpr Milliseconds Timeout {400};
constexpr int OpenPerHost = 3;

// Keeps calls until a test answers them.
class HeldCalls final : public HttpClient
{
public:
    void send(HttpCall call, Handler handler) override
    {
        open.emplace_back(std::move(call), std::move(handler));
    }

    // Answers the open call with the given URL.
    void answer(const std::string &url)
    {
        const auto found
            = std::find_if(open.begin(), open.end(), [&url](const auto &entry) { return entry.first.url == url; });
        ASSERT_NE(found, open.end());
        const Handler handler = std::move(found->second);
        open.erase(found);
        HttpAnswer answer;
        answer.delivery = Delivery::Answered;
        handler(std::move(answer));
    }

    [[nodiscard]] std::vector<std::string> urls() const
    {
        std::vector<std::string> found;
        for (const auto &[call, handler] : open) {
            found.push_back(call.url);
        }
        return found;
    }

    std::vector<std::pair<HttpCall, Handler>> open;
};

class PerHostQueueTest : public testing::Test
{
protected:
    void send(const std::string &url)
    {
        HttpCall call;
        call.url = url;
        call.timeoutMilliseconds = Timeout.count();
        queue.send(std::move(call), [this, url](const HttpAnswer &answer) { answers[url] = answer.delivery; });
    }

    ManualClock clock;
    ManualScheduler scheduler {clock};
    HeldCalls client;
    PerHostQueue queue {clock, scheduler, client, OpenPerHost};
    std::map<std::string, Delivery> answers;
};

using Urls = std::vector<std::string>;

}

// Bursts of orders took so many of a worker's connections that four owners that lost power in turn left none.
TEST_F(PerHostQueueTest, keepsFewCallsOpenToOneHost)
{
    for (int i = 0; i < 40; ++i) {
        send("http://worker-1:80/" + std::to_string(i));
    }
    EXPECT_EQ(client.open.size(), static_cast<std::size_t>(OpenPerHost));
    send("http://worker-2:80/0");
    EXPECT_EQ(client.open.size(), static_cast<std::size_t>(OpenPerHost) + 1);
}

TEST_F(PerHostQueueTest, passesCallsOnInTheirOrder)
{
    for (const std::string path : {"1", "2", "3", "4", "5"}) {
        send("http://worker/" + path);
    }
    EXPECT_EQ(client.urls(), (Urls {"http://worker/1", "http://worker/2", "http://worker/3"}));
    client.answer("http://worker/2");
    client.answer("http://worker/1");
    EXPECT_EQ(client.urls(), (Urls {"http://worker/3", "http://worker/4", "http://worker/5"}));
    EXPECT_EQ(answers.size(), 2U);
}

// A request whose answer the worker holds back must not keep orders and stops waiting.
TEST_F(PerHostQueueTest, doesNotWaitForTheCallsOfAnotherQueue)
{
    PerHostQueue orders(clock, scheduler, client, 1);
    for (const std::string path : {"1", "2", "3", "4"}) {
        send("http://worker/wait-" + path);
    }
    HttpCall stop;
    stop.url = "http://worker/stop";
    orders.send(stop, [](const HttpAnswer &) {});
    EXPECT_EQ(client.urls().back(), "http://worker/stop");
}

TEST_F(PerHostQueueTest, countsTheWaitIntoTheTimeout)
{
    for (const std::string path : {"1", "2", "3", "late"}) {
        send("http://worker/" + path);
    }
    scheduler.advance(Timeout / 2, Milliseconds(10));
    client.answer("http://worker/1");
    EXPECT_EQ(client.urls().back(), "http://worker/late");
    EXPECT_EQ(client.open.back().first.timeoutMilliseconds, (Timeout / 2).count());
}

// An order that did not leave has certainly not been carried out, so another worker may get the task.
TEST_F(PerHostQueueTest, answersCallsThatDidNotLeaveInTimeAsNotSent)
{
    for (const std::string path : {"1", "2", "3", "late"}) {
        send("http://worker/" + path);
    }
    scheduler.advance(Timeout + Milliseconds(20), Milliseconds(10));
    ASSERT_TRUE(answers.contains("http://worker/late"));
    EXPECT_EQ(answers.at("http://worker/late"), Delivery::NotSent);
    client.answer("http://worker/1");
    EXPECT_EQ(client.open.size(), 2U);
    EXPECT_EQ(answers.size(), 2U);
}

// Guards against orders that count as undeliverable though only their sender was late to read the answers before them.
TEST_F(PerHostQueueTest, passesCallsOnAfterALateLoopHasReadTheAnswers)
{
    for (const std::string path : {"1", "2", "3", "late", "last"}) {
        send("http://worker/" + path);
    }
    clock.advance(Timeout + Milliseconds(300));
    scheduler.runDue();
    EXPECT_TRUE(answers.empty());
    client.answer("http://worker/1");
    EXPECT_EQ(client.urls().back(), "http://worker/late");
    EXPECT_EQ(client.open.back().first.timeoutMilliseconds, Timeout.count());
    scheduler.advance(Milliseconds(100), Milliseconds(10));
    ASSERT_TRUE(answers.contains("http://worker/last"));
    EXPECT_EQ(answers.at("http://worker/last"), Delivery::NotSent);
    EXPECT_FALSE(answers.contains("http://worker/late"));
}

// An answer may be read before the timer of a waiting call fires.
TEST_F(PerHostQueueTest, passesCallsOnWhenALateLoopReadsTheAnswersFirst)
{
    for (const std::string path : {"1", "2", "3", "late"}) {
        send("http://worker/" + path);
    }
    clock.advance(Timeout + Milliseconds(300));
    client.answer("http://worker/1");
    EXPECT_EQ(client.urls().back(), "http://worker/late");
}

// A worker may carry an order out seconds after it was sent, but what its owner assumes of that has an end.
TEST_F(PerHostQueueTest, passesNoCallOnLongAfterItsTime)
{
    for (const std::string path : {"1", "2", "3", "late"}) {
        send("http://worker/" + path);
    }
    clock.advance(Timeout + Milliseconds(1'100));
    client.answer("http://worker/1");
    scheduler.runDue();
    ASSERT_TRUE(answers.contains("http://worker/late"));
    EXPECT_EQ(answers.at("http://worker/late"), Delivery::NotSent);
}

// A handler may send the next call at once.
TEST_F(PerHostQueueTest, takesCallsFromWithinHandlers)
{
    HttpCall first;
    first.url = "http://worker/first";
    queue.send(first, [this](const HttpAnswer &) { send("http://worker/second"); });
    client.answer("http://worker/first");
    EXPECT_EQ(client.urls(), Urls {"http://worker/second"});
    client.answer("http://worker/second");
    EXPECT_TRUE(answers.contains("http://worker/second"));
}

}
