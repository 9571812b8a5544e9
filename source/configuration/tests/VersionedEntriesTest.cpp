#include "configuration/VersionedEntries.h"

#include "StandinStore.h"
#include "testing/ManualClock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// One message on its way to the instance: a listing or the events after some revision, taken at some moment.
struct Message
{
    bool isListing = false;
    StoreListing listing;
    StoreEvents events;
};

StoreEvents eventsAfter(StandinStore &store, StoreRevision after)
{
    StoreEvents result;
    store.watch("k", after, Milliseconds(0),
        [&result](Result<StoreEvents> answer) { result = std::get<StoreEvents>(std::move(answer)); });
    // A wait of no time ends here at the latest.
    store.advance();
    return result;
}

}

// Whatever listings, snapshots and events come late, twice or crossed, no key ever goes back, and in the end the
// newest state is in force.
RC_GTEST_PROP(VersionedEntries, neverRevertsAndArrivesAtTheNewestState, ())
{
    ManualClock clock;
    StandinStore store(clock);
    std::map<std::string, StoreRevision> seen;
    VersionedEntries *held = nullptr;
    VersionedEntries entries([&](const std::string &key) {
        const StoreEntry *entry = held->find(key);
        if (entry != nullptr) {
            RC_ASSERT(entry->revision > seen[key]);
            seen[key] = entry->revision;
        }
    });
    held = &entries;
    std::vector<Message> onTheWay;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 1000)));
    for (const auto &[kind, argument] : steps) {
        const std::string key = "k" + std::to_string(argument % 4);
        if (kind == 0 || kind == 1) {
            const Result<StoreRevision> written = store.write({key, std::to_string(argument), std::nullopt, 0});
            if (kind == 1) {
                entries.applyOwnWrite({key, std::to_string(argument), std::get<StoreRevision>(written), 0});
            }
        } else if (kind == 2) {
            (void)store.erase(key, std::nullopt);
        } else if (kind == 3) {
            onTheWay.push_back({true, store.list("k"), {}});
        } else if (kind == 4) {
            onTheWay.push_back({false, {}, eventsAfter(store, entries.revision())});
        } else if (!onTheWay.empty()) {
            const Message &message = onTheWay[static_cast<std::size_t>(argument) % onTheWay.size()];
            message.isListing ? (void)entries.applyListing(message.listing) : entries.applyEvents(message.events);
        }
    }
    entries.applyListing(store.list("k"));
    RC_ASSERT(entries.snapshot().entries == store.list("k").entries);
}

// The end of a lease erases all its keys at one revision.
TEST(VersionedEntries, appliesAllEventsOfOneRevision)
{
    VersionedEntries entries([](const std::string &) {});
    entries.applyListing({5, {{"a", "x", 3, 1}, {"b", "y", 4, 1}}});
    entries.applyEvents({9, {{{"a", {}, 9, 0}, true}, {{"b", {}, 9, 0}, true}}});
    EXPECT_EQ(entries.find("a"), nullptr);
    EXPECT_EQ(entries.find("b"), nullptr);
}

}
