#pragma once

#include "base/Scheduler.h"
#include "store/Store.h"

#include <functional>
#include <memory>
#include <string>

namespace Wagtail
{

// Times of an instance's lease in the store. The margin is subtracted from the duration when the instance decides
// whether it still holds the lease.
struct InstanceLeaseLimits
{
    Milliseconds duration {3000};
    Milliseconds renewPeriod {1000};
    Milliseconds margin {300};
};

// Keeps a lease in the store while this instance is alive, with a key attached to it that describes the instance. An
// expired lease is replaced by a new one. Used on the control thread.
class InstanceLease
{
public:
    InstanceLease(Store &store, Scheduler &scheduler, const Clock &clock, InstanceLeaseLimits limits, std::string key);
    ~InstanceLease();
    InstanceLease(const InstanceLease &) = delete;
    InstanceLease &operator=(const InstanceLease &) = delete;

    // Obtains the lease, writes the key and then renews the lease periodically.
    void start(std::string description);

    // Rewrites the key, for example when the instance starts to leave.
    void updateDescription(std::string description);

    // Revokes the lease, so that other instances need not wait for it to expire.
    void revoke(std::function<void()> done);

    // Returns whether the lease is certainly still valid in the store.
    [[nodiscard]] bool isHeld() const;

    // Returns the start of the last call by which the store confirmed a lease of this instance.
    [[nodiscard]] Instant confirmedAt() const;

    // Returns the lease, or zero if there is none.
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
    Instant m_confirmedAt;
    bool m_keyWritten = false;
    bool m_revoked = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
