#include "configuration/PrefixWatcher.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds FirstRetryDelay {500};
// A store returns a few hundred events per watch at most. A batch of this size means that more may be pending.
constexpr std::size_t LargeBatchEventCount = 200;

StoreListing listingOf(const StoreEvents &events)
{
    StoreListing listing {events.revision, {}};
    for (const StoreEvent &event : events.events) {
        listing.entries.push_back(event.entry);
    }
    return listing;
}

}

PrefixWatcher::PrefixWatcher(EntrySource &source, Scheduler &scheduler, VersionedEntries &entries, std::string prefix,
    Milliseconds watchWait, Milliseconds batchDelay)
    : m_source(source)
    , m_scheduler(scheduler)
    , m_entries(entries)
    , m_prefix(std::move(prefix))
    , m_watchWait(watchWait)
    , m_batchDelay(batchDelay)
    , m_backoff(FirstRetryDelay, LongestRetryDelay)
{
}

PrefixWatcher::~PrefixWatcher()
{
    *m_alive = false;
}

void PrefixWatcher::start()
{
    list();
}

bool PrefixWatcher::lastCallSucceeded() const
{
    return m_lastCallSucceeded;
}

void PrefixWatcher::list()
{
    m_source.list(m_prefix, [this, alive = m_alive](const Result<StoreListing> &result) {
        if (!*alive) {
            return;
        }
        const StoreListing *listing = std::get_if<StoreListing>(&result);
        if (listing == nullptr) {
            m_lastCallSucceeded = false;
            runAfter(m_backoff.next(), [this] { list(); });
            return;
        }
        m_lastCallSucceeded = true;
        m_watchedSinceListing = false;
        m_entries.applyListing(*listing);
        watch();
    });
}

void PrefixWatcher::watch()
{
    m_source.watch(
        m_prefix, m_entries.revision(), m_watchWait, [this, alive = m_alive](const Result<StoreEvents> &result) {
            if (!*alive) {
                return;
            }
            if (const Error *error = errorOf(result)) {
                onWatchFailed(*error);
                return;
            }
            m_lastCallSucceeded = true;
            m_watchedSinceListing = true;
            m_backoff.reset();
            const StoreEvents &events = std::get<StoreEvents>(result);
            if (events.isListing) {
                m_entries.applyListing(listingOf(events));
            } else {
                m_entries.applyEvents(events);
            }
            const bool mayHaveMore = events.events.size() >= LargeBatchEventCount;
            if (events.events.empty() || mayHaveMore || m_batchDelay.count() == 0) {
                watch();
            } else {
                runAfter(m_batchDelay, [this] { watch(); });
            }
        });
}

void PrefixWatcher::onWatchFailed(const Error &error)
{
    m_lastCallSucceeded = false;
    if (error.kind != ErrorKind::NotFound) {
        runAfter(m_backoff.next(), [this] { watch(); });
    } else if (m_watchedSinceListing) {
        // The store's history no longer reaches back to the last revision.
        list();
    } else {
        // It did not even reach back to the listing.
        runAfter(m_backoff.next(), [this] { list(); });
    }
}

void PrefixWatcher::runAfter(Milliseconds delay, std::function<void()> action)
{
    m_scheduler.after(delay, [alive = m_alive, action = std::move(action)] {
        if (*alive) {
            action();
        }
    });
}

}
