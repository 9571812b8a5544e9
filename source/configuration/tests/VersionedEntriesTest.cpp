#include "configuration/VersionedEntries.h"

#include "StandinStore.h"
#include "testing/ManualClock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// A message in flight to the instance: a listing, or the events after a revision, as of the time it was sent.
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
    // Ends the watch, which has a wait of zero.
    store.advance();
    return result;
}

}

// Listings and events may arrive late, repeatedly or out of order. No key may go back to a lower revision, and the copy
// must finally equal the store.
RC_GTEST_PROP(VersionedEntries, neverRevertsAndConvergesToNewestState, ())
{
    ManualClock clock;
    StandinStore store(clock);
    std::map<std::string, StoreRevision> seen;
    VersionedEntries *entriesPointer = nullptr;
    VersionedEntries entries([&](const std::string &key) {
        const StoreEntry *entry = entriesPointer->find(key);
        if (entry != nullptr) {
            RC_ASSERT(entry->revision > seen[key]);
            seen[key] = entry->revision;
        }
    });
    entriesPointer = &entries;
    std::vector<Message> inFlight;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 1000)));
    for (const auto &[action, argument] : steps) {
        const std::string key = "k" + std::to_string(argument % 4);
        if (action == 0 || action == 1) {
            const Result<StoreRevision> written = store.write({key, std::to_string(argument), std::nullopt, 0});
            if (action == 1) {
                entries.applyOwnWrite({key, std::to_string(argument), std::get<StoreRevision>(written), 0});
            }
        } else if (action == 2) {
            (void)store.erase(key, std::nullopt);
        } else if (action == 3) {
            inFlight.push_back({true, store.list("k"), {}});
        } else if (action == 4) {
            inFlight.push_back({false, {}, eventsAfter(store, entries.revision())});
        } else if (!inFlight.empty()) {
            const Message &message = inFlight[static_cast<std::size_t>(argument) % inFlight.size()];
            message.isListing ? (void)entries.applyListing(message.listing) : entries.applyEvents(message.events);
        }
    }
    entries.applyListing(store.list("k"));
    RC_ASSERT(entries.snapshot().entries == store.list("k").entries);
}

// Guards against dropping all but the first of several events at one revision: the end of a lease erases all its keys
// at one revision.
TEST(VersionedEntries, appliesAllEventsOfOneRevision)
{
    VersionedEntries entries([](const std::string &) {});
    entries.applyListing({5, {{"a", "x", 3, 1}, {"b", "y", 4, 1}}});
    entries.applyEvents({9, {{{"a", {}, 9, 0}, true}, {{"b", {}, 9, 0}, true}}});
    EXPECT_EQ(entries.find("a"), nullptr);
    EXPECT_EQ(entries.find("b"), nullptr);
}

}
