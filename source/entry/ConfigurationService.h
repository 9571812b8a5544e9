#pragma once

#include "base/Scheduler.h"
#include "configuration/VersionedEntries.h"
#include "profiles/Profile.h"
#include "store/Store.h"
#include "timeline/Timeline.h"

#include <functional>
#include <optional>
#include <string>

namespace Wagtail
{

// The revision that an entry must have for a change to apply. Without a value the change applies to the revision that
// this instance currently holds.
struct ChangeCondition
{
    std::optional<StoreRevision> expected;
};

// Changes configuration entries in the store by compare-and-swap. A change is acknowledged only once the store holds
// it. Used on the control thread.
class ConfigurationService
{
public:
    using Handler = std::function<void(Result<StoreRevision>)>;

    ConfigurationService(Store &store, Scheduler &scheduler, VersionedEntries &entries, Timeline &timeline);

    // Writes an entry. The error Conflict names the current revision and value. StoreUnavailable means that the change
    // is not acknowledged and may or may not take effect.
    void write(const std::string &key, const Json &value, ChangeCondition condition, Handler handler);

    // Erases an entry. Fails like write(), and with NotFound when there is no such entry.
    void erase(const std::string &key, ChangeCondition condition, Handler handler);

private:
    void confirmWrite(
        const std::string &key, const std::string &value, StoreRevision before, int attemptsLeft, Handler handler);
    void reportConflict(const std::string &key, const Handler &handler);

    Store &m_store;
    Scheduler &m_scheduler;
    VersionedEntries &m_entries;
    Timeline &m_timeline;
};

}
