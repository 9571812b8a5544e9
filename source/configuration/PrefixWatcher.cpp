#include "configuration/PrefixWatcher.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds RetryDelay {500};
// A store answers a watch with some hundred events at most; as many as this mean that more are waiting.
constexpr std::size_t ManyEvents = 200;

}

PrefixWatcher::PrefixWatcher(Store &store, Scheduler &scheduler, VersionedEntries &entries, std::string prefix,
    Milliseconds watchWait, Milliseconds gatherTime)
    : m_store(store)
    , m_scheduler(scheduler)
    , m_entries(entries)
    , m_prefix(std::move(prefix))
    , m_watchWait(watchWait)
    , m_gatherTime(gatherTime)
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
    return m_following;
}

void PrefixWatcher::list()
{
    m_store.list(m_prefix, [this, alive = m_alive](const Result<StoreListing> &result) {
        if (!*alive) {
            return;
        }
        const StoreListing *listing = std::get_if<StoreListing>(&result);
        if (listing == nullptr) {
            m_following = false;
            runAfter(RetryDelay, [this] { list(); });
            return;
        }
        m_following = true;
        m_entries.applyListing(*listing);
        watch();
    });
}

void PrefixWatcher::watch()
{
    m_store.watch(
        m_prefix, m_entries.revision(), m_watchWait, [this, alive = m_alive](const Result<StoreEvents> &result) {
            if (!*alive) {
                return;
            }
            if (const Error *error = errorOf(result)) {
                m_following = false;
                if (error->kind == ErrorKind::NotFound) {
                    // The store no longer has the changes since then.
                    list();
                } else {
                    runAfter(RetryDelay, [this] { watch(); });
                }
                return;
            }
            m_following = true;
            const StoreEvents &events = std::get<StoreEvents>(result);
            m_entries.applyEvents(events);
            const bool behind = events.events.size() >= ManyEvents;
            if (events.events.empty() || behind || m_gatherTime.count() == 0) {
                watch();
            } else {
                runAfter(m_gatherTime, [this] { watch(); });
            }
        });
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
