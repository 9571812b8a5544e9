#pragma once

#include "base/Scheduler.h"
#include "store/Store.h"

#include <functional>
#include <memory>
#include <string>

namespace Wagtail
{

// How an instance keeps its lease in the store.
struct InstanceLeaseLimits
{
    Milliseconds duration {3000};
    Milliseconds renewPeriod {1000};
    Milliseconds margin {300};
};

// Keeps one lease in the store that stands for the life of this instance, with a key that describes it.
class InstanceLease
{
public:
    InstanceLease(Store &store, Scheduler &scheduler, const Clock &clock, InstanceLeaseLimits limits, std::string key);
    ~InstanceLease();
    InstanceLease(const InstanceLease &) = delete;
    InstanceLease &operator=(const InstanceLease &) = delete;

    // Grants the lease, writes the key and keeps renewing from then on.
    void start(std::string description);

    // Rewrites the key, for instance to say that the instance is leaving.
    void updateDescription(std::string description);

    // Gives the lease up, so that others need not wait for it to lapse.
    void revoke(std::function<void()> done);

    // Returns whether the store surely still regards the lease as held.
    [[nodiscard]] bool isHeld() const;

    // Returns the lease, or zero while there is none.
    [[nodiscard]] LeaseIdentifier lease() const;

private:
    void grant();
    void writeKey();
    void renew();
    void scheduleRenewal(Milliseconds delay);

    Store &m_store;
    Scheduler &m_scheduler;
    const Clock &m_clock;
    InstanceLeaseLimits m_limits;
    std::string m_key;
    std::string m_description;
    LeaseIdentifier m_lease = 0;
    Instant m_heldUntil;
    bool m_written = false;
    bool m_revoked = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
