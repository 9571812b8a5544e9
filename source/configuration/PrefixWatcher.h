#pragma once

#include "base/Backoff.h"
#include "base/Scheduler.h"
#include "configuration/VersionedEntries.h"
#include "store/EntrySource.h"

#include <functional>
#include <memory>

namespace Wagtail
{

// Keeps a copy of a source's entries below a prefix up to date: lists the prefix once and then repeats a waiting
// watch. It lists again if the source's history no longer reaches back to the last revision. Failed calls are repeated
// after growing delays. Used on the control thread.
class PrefixWatcher
{
public:
    // Each watch waits at most watchWait, so that a change which the store has dropped from its history is noticed
    // within that time. After a watch has returned events, the next one begins after batchDelay, so that many changes
    // share a call. It begins at once if there were so many events that the store may have more.
    PrefixWatcher(EntrySource &source, Scheduler &scheduler, VersionedEntries &entries, std::string prefix,
        Milliseconds watchWait = LongestWatchWait, Milliseconds batchDelay = Milliseconds(0));
    ~PrefixWatcher();
    PrefixWatcher(const PrefixWatcher &) = delete;
    PrefixWatcher &operator=(const PrefixWatcher &) = delete;

    void start();

    static constexpr Milliseconds LongestWatchWait {20'000};
    // A configuration change must take effect within 3 seconds, also right after an outage. A call that began in the
    // outage may take a second to fail.
    static constexpr Milliseconds LongestRetryDelay {1'500};

    // Returns whether the last call to the store succeeded.
    [[nodiscard]] bool lastCallSucceeded() const;

private:
    void list();
    void watch();
    void onWatchFailed(const Error &error);
    void runAfter(Milliseconds delay, std::function<void()> action);

    EntrySource &m_source;
    Scheduler &m_scheduler;
    VersionedEntries &m_entries;
    std::string m_prefix;
    Milliseconds m_watchWait;
    Milliseconds m_batchDelay;
    Backoff m_backoff;
    bool m_lastCallSucceeded = false;
    // Whether a watch has succeeded since the prefix was listed.
    bool m_watchedSinceListing = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
