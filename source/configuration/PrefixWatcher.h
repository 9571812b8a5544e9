#pragma once

#include "base/Scheduler.h"
#include "configuration/VersionedEntries.h"
#include "store/Store.h"

#include <functional>
#include <memory>

namespace Wagtail
{

// Keeps the entries below a prefix up to date: lists once, then follows one waiting watch.
class PrefixWatcher
{
public:
    // Each watch waits for at most the given time, so that a change which the store's history lost is noticed by then.
    // After events the next watch begins once the gather time is over, so that many changes share a call;
    // at once when there were so many that the store may hold more back.
    PrefixWatcher(Store &store, Scheduler &scheduler, VersionedEntries &entries, std::string prefix,
        Milliseconds watchWait = LongestWatchWait, Milliseconds gatherTime = Milliseconds(0));
    ~PrefixWatcher();
    PrefixWatcher(const PrefixWatcher &) = delete;
    PrefixWatcher &operator=(const PrefixWatcher &) = delete;

    void start();

    static constexpr Milliseconds LongestWatchWait {20'000};

    // Returns whether the last call succeeded.
    [[nodiscard]] bool lastCallSucceeded() const;

private:
    void list();
    void watch();
    void runAfter(Milliseconds delay, std::function<void()> action);

    Store &m_store;
    Scheduler &m_scheduler;
    VersionedEntries &m_entries;
    std::string m_prefix;
    Milliseconds m_watchWait;
    Milliseconds m_gatherTime;
    bool m_following = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
