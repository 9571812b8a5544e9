#include "configuration/ClusterFeed.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds WatchWait {20'000};
constexpr Milliseconds RetryDelay {500};

}

ClusterFeed::ClusterFeed(Store &store, Scheduler &scheduler, VersionedEntries &entries, std::string prefix)
    : m_store(store), m_scheduler(scheduler), m_entries(entries), m_prefix(std::move(prefix))
{
}

ClusterFeed::~ClusterFeed()
{
    *m_alive = false;
}

void ClusterFeed::start()
{
    list();
}

bool ClusterFeed::isFollowing() const
{
    return m_following;
}

void ClusterFeed::list()
{
    m_store.list(m_prefix, [this, alive = m_alive](const Result<StoreListing> &result) {
        if (!*alive) {
            return;
        }
        const StoreListing *listing = std::get_if<StoreListing>(&result);
        if (listing == nullptr) {
            m_following = false;
            retry([this] { list(); });
            return;
        }
        m_following = true;
        m_entries.applyListing(*listing);
        watch();
    });
}

void ClusterFeed::watch()
{
    m_store.watch(
        m_prefix, m_entries.revision(), WatchWait, [this, alive = m_alive](const Result<StoreEvents> &result) {
            if (!*alive) {
                return;
            }
            if (const Error *error = errorOf(result)) {
                m_following = false;
                const bool compacted = error->kind == ErrorKind::NotFound;
                retry([this, compacted] { compacted ? list() : watch(); });
                return;
            }
            m_following = true;
            m_entries.applyEvents(std::get<StoreEvents>(result));
            watch();
        });
}

void ClusterFeed::retry(std::function<void()> action)
{
    m_scheduler.after(RetryDelay, [alive = m_alive, action = std::move(action)] {
        if (*alive) {
            action();
        }
    });
}

}
