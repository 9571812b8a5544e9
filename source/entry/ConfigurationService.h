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

// The revision from which an operator made a change. None means whatever is there.
struct ChangeCondition
{
    std::optional<StoreRevision> expected;
};

// Changes configuration entries by compare-and-swap. A change is acknowledged only when the store holds it.
class ConfigurationService
{
public:
    using Handler = std::function<void(Result<StoreRevision>)>;

    ConfigurationService(Store &store, Scheduler &scheduler, VersionedEntries &entries, Timeline &timeline);

    // Writes an entry. Conflict names the present revision and value; StoreUnavailable says that the change is not
    // acknowledged and may or may not come into force.
    void write(const std::string &key, const Json &value, ChangeCondition condition, Handler handler);

    void erase(const std::string &key, ChangeCondition condition, Handler handler);

private:
    void settle(const std::string &key, const std::string &value, StoreRevision before, int triesLeft, Handler handler);
    void conflict(const std::string &key, const Handler &handler);

    Store &m_store;
    Scheduler &m_scheduler;
    VersionedEntries &m_entries;
    Timeline &m_timeline;
};

}
