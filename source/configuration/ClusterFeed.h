#pragma once

#include "base/Scheduler.h"
#include "configuration/VersionedEntries.h"
#include "store/Store.h"

#include <functional>
#include <memory>

namespace Wagtail
{

// Keeps the entries below a prefix up to date: lists once, then follows one waiting watch.
class ClusterFeed
{
public:
    ClusterFeed(Store &store, Scheduler &scheduler, VersionedEntries &entries, std::string prefix);
    ~ClusterFeed();
    ClusterFeed(const ClusterFeed &) = delete;
    ClusterFeed &operator=(const ClusterFeed &) = delete;

    void start();

    // Returns whether the last call succeeded.
    [[nodiscard]] bool isFollowing() const;

private:
    void list();
    void watch();
    void retry(std::function<void()> action);

    Store &m_store;
    Scheduler &m_scheduler;
    VersionedEntries &m_entries;
    std::string m_prefix;
    bool m_following = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
