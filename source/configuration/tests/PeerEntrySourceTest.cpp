#include "configuration/PeerEntrySource.h"
#include "configuration/EntryShare.h"
#include "configuration/PrefixWatcher.h"
#include "configuration/StoreListingCodec.h"
#include "http/HttpStatus.h"
#include "testing/FaultyStore.h"
#include "testing/ManualScheduler.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr const char *SharedPath = "/v1/configuration";
constexpr const char *SourceAddress = "source:1";
constexpr Milliseconds Second {1'000};
constexpr Milliseconds WatchWait {1'000};

// Delivers calls to the instance that serves its copy, unless that one is silent.
class PeerNetwork final : public HttpClient
{
public:
    explicit PeerNetwork(Scheduler &scheduler) : m_scheduler(scheduler)
    {
    }

    void send(HttpCall call, Handler handler) override
    {
        ++calls;
        const std::size_t pathAt = call.url.find('/', std::string("http://").size());
        const std::size_t queryAt = call.url.find('?');
        HttpRequest request;
        request.method = call.method;
        request.path = call.url.substr(pathAt, queryAt - pathAt);
        request.query = queryAt == std::string::npos ? std::string() : call.url.substr(queryAt + 1);
        const auto isAnswered = std::make_shared<bool>(false);
        const auto answer = [isAnswered, handler](HttpAnswer result) {
            if (!std::exchange(*isAnswered, true)) {
                handler(std::move(result));
            }
        };
        m_scheduler.after(Milliseconds(call.timeoutMilliseconds), [answer] {
            HttpAnswer lost;
            lost.delivery = Delivery::Lost;
            answer(lost);
        });
        if (isSilent || share == nullptr) {
            return;
        }
        share->handle(request, [this, answer](const HttpResponse &response) {
            if (isSilent) {
                return;
            }
            HttpAnswer result;
            result.delivery = Delivery::Answered;
            result.status = response.status;
            result.body = response.body;
            answer(result);
        });
    }

    EntryShare *share = nullptr;
    bool isSilent = false;
    int calls = 0;

private:
    Scheduler &m_scheduler;
};

// Two instances: one reads the store and serves its copy, the other one reads that copy.
class PeerEntrySourceTest : public testing::Test
{
protected:
    PeerEntrySourceTest()
        : m_scheduler(m_clock)
        , m_network(m_scheduler)
        , m_state(m_clock)
        , m_sourceStore(m_state, m_scheduler)
        , m_readerStore(m_state, m_scheduler)
        , m_sourceEntries([this](const std::string &) { m_share.entryChanged(); })
        , m_source(
              {m_clock, m_sourceStore, m_network, [] { return std::vector<std::string>(); }, logNothing}, SharedPath)
        , m_share({m_clock, m_scheduler, m_sourceEntries,
                      [this] {
                          return m_source.isCurrent();
                      }},
              SharedPath)
        , m_readerEntries([](const std::string &) {})
        , m_reader(
              {m_clock, m_readerStore, m_network, [] { return std::vector<std::string> {SourceAddress}; }, logNothing},
              SharedPath)
        , m_sourceWatcher(m_source, m_scheduler, m_sourceEntries, "op/", WatchWait)
        , m_readerWatcher(m_reader, m_scheduler, m_readerEntries, "op/", WatchWait)
    {
        m_network.share = &m_share;
    }

    static void logNothing(std::string_view, const std::string &, const Json &)
    {
    }

    void writeConfiguration(const std::string &value)
    {
        EXPECT_EQ(errorOf(m_state.write({"op/config", value, std::nullopt, 0})), nullptr);
    }

    void startBoth()
    {
        m_sourceWatcher.start();
        advance(Milliseconds(100));
        m_readerWatcher.start();
        advance(Milliseconds(100));
    }

    void advance(Milliseconds duration)
    {
        constexpr Milliseconds Step {10};
        for (Milliseconds passed {0}; passed < duration; passed += Step) {
            m_state.advance();
            m_scheduler.advance(Step, Step);
        }
    }

    [[nodiscard]] std::string readerValue() const
    {
        const StoreEntry *entry = m_readerEntries.find("op/config");
        return entry == nullptr ? std::string() : entry->value;
    }

    ManualClock m_clock;
    ManualScheduler m_scheduler;
    PeerNetwork m_network;
    StandinStore m_state;
    FaultyStore m_sourceStore;
    FaultyStore m_readerStore;
    VersionedEntries m_sourceEntries;
    PeerEntrySource m_source;
    EntryShare m_share;
    VersionedEntries m_readerEntries;
    PeerEntrySource m_reader;
    PrefixWatcher m_sourceWatcher;
    PrefixWatcher m_readerWatcher;
};

}

// Guards against a link between regions that is filled by one download of each change for each instance.
TEST_F(PeerEntrySourceTest, readsChangesFromAPeerAndNotFromTheStore)
{
    writeConfiguration("first");
    startBoth();
    EXPECT_EQ(readerValue(), "first");
    writeConfiguration(std::string("second \xff\0", 9));
    advance(Milliseconds(200));
    EXPECT_EQ(readerValue(), std::string("second \xff\0", 9));
    EXPECT_EQ(m_readerStore.watches, 0);
    EXPECT_EQ(m_readerStore.lists, 0);
}

// A store that drops its history makes the source list again, although nothing has changed.
TEST_F(PeerEntrySourceTest, readsNothingAnewWhileNothingChanges)
{
    writeConfiguration("first");
    startBoth();
    const StoreRevision revision = m_readerEntries.revision();
    EXPECT_EQ(errorOf(m_state.write({"other/key", "value", std::nullopt, 0})), nullptr);
    m_state.dropHistory();
    advance(4 * Second);
    EXPECT_GT(m_sourceEntries.revision(), revision);
    EXPECT_EQ(m_readerEntries.revision(), revision);
}

TEST_F(PeerEntrySourceTest, readsFromTheStoreWhileThePeerIsSilent)
{
    writeConfiguration("first");
    startBoth();
    m_network.isSilent = true;
    advance(Milliseconds(1'600));
    writeConfiguration("second");
    advance(Milliseconds(200));
    EXPECT_EQ(readerValue(), "second");
    m_network.isSilent = false;
    advance(6 * Second);
    const int watches = m_readerStore.watches;
    advance(3 * Second);
    EXPECT_EQ(m_readerStore.watches, watches);
}

// Guards against an old configuration that goes on in force because the peer has lost the store.
TEST_F(PeerEntrySourceTest, readsFromTheStoreWhenThePeerDoesNotReachIt)
{
    writeConfiguration("first");
    startBoth();
    m_sourceStore.down = true;
    advance(Second);
    writeConfiguration("second");
    advance(4 * Second);
    EXPECT_EQ(readerValue(), "second");
}

// Guards against an old configuration that stays in force because changes in quick succession delayed the next reading.
TEST_F(PeerEntrySourceTest, readsChangesInQuickSuccessionWithoutDelay)
{
    writeConfiguration("0");
    startBoth();
    for (int number = 1; number <= 12; ++number) {
        writeConfiguration(std::to_string(number));
        advance(Milliseconds(300));
        EXPECT_EQ(readerValue(), std::to_string(number));
    }
}

TEST_F(PeerEntrySourceTest, forgetsEntriesThatWereErased)
{
    writeConfiguration("first");
    EXPECT_EQ(errorOf(m_state.write({"op/wave/1", "wave", std::nullopt, 0})), nullptr);
    startBoth();
    EXPECT_NE(m_readerEntries.find("op/wave/1"), nullptr);
    EXPECT_EQ(errorOf(m_state.erase("op/wave/1", std::nullopt)), nullptr);
    advance(Milliseconds(200));
    EXPECT_EQ(m_readerEntries.find("op/wave/1"), nullptr);
    EXPECT_EQ(readerValue(), "first");
}

TEST(StoreListingCodecTest, keepsEntriesWithAnyBytes)
{
    const StoreListing listing {7, {{"op/config", std::string("\0\xff{", 3), 5, 0}, {"op/wave/1", "", 6, 9}}};
    const Result<StoreListing> parsed = parseStoreListing(serialize(listing));
    ASSERT_EQ(errorOf(parsed), nullptr);
    EXPECT_EQ(std::get<StoreListing>(parsed).revision, listing.revision);
    EXPECT_EQ(std::get<StoreListing>(parsed).entries, listing.entries);
}

TEST(StoreListingCodecTest, rejectsTruncatedText)
{
    const std::string text = serialize({7, {{"op/config", "value", 5, 0}}});
    EXPECT_NE(errorOf(parseStoreListing(text + "x")), nullptr);
    for (std::size_t length = 0; length < text.size(); ++length) {
        EXPECT_NE(errorOf(parseStoreListing(text.substr(0, length))), nullptr);
    }
}

}
