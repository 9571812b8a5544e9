#include "membership/InstanceLease.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds RetryDelay {250};

}

InstanceLease::InstanceLease(
    Store &store, Scheduler &scheduler, const Clock &clock, InstanceLeaseLimits limits, std::string key)
    : m_store(store), m_scheduler(scheduler), m_clock(clock), m_limits(limits), m_key(std::move(key))
{
}

InstanceLease::~InstanceLease()
{
    *m_alive = false;
}

void InstanceLease::start(std::string description)
{
    m_description = std::move(description);
    grant();
}

void InstanceLease::updateDescription(std::string description)
{
    m_description = std::move(description);
    m_keyWritten = false;
    if (m_lease != 0) {
        writeKey();
    }
}

void InstanceLease::grant()
{
    // The store starts the lease after the call was sent, so counting from this time never overestimates its end.
    const Instant sentAt = m_clock.now();
    m_lease = 0;
    m_keyWritten = false;
    m_store.grantLease(m_limits.duration, [this, alive = m_alive, sentAt](const Result<LeaseIdentifier> &result) {
        if (!*alive || m_revoked) {
            return;
        }
        const LeaseIdentifier *lease = std::get_if<LeaseIdentifier>(&result);
        if (lease == nullptr) {
            m_scheduler.after(RetryDelay, [this, stillAlive = m_alive] {
                if (*stillAlive) {
                    grant();
                }
            });
            return;
        }
        m_lease = *lease;
        m_confirmedAt = sentAt;
        m_heldUntil = sentAt + m_limits.duration - m_limits.margin;
        writeKey();
        scheduleRenewal(m_limits.renewPeriod);
    });
}

void InstanceLease::writeKey()
{
    const LeaseIdentifier lease = m_lease;
    m_store.write({m_key, m_description, std::nullopt, lease},
        [this, alive = m_alive, lease, description = m_description](const Result<StoreRevision> &result) {
            if (*alive && errorOf(result) == nullptr && lease == m_lease && description == m_description) {
                m_keyWritten = true;
            }
        });
}

void InstanceLease::scheduleRenewal(Milliseconds delay)
{
    m_scheduler.after(delay, [this, alive = m_alive] {
        if (*alive && !m_revoked) {
            renew();
        }
    });
}

void InstanceLease::renew()
{
    const Instant sentAt = m_clock.now();
    m_store.renewLease(m_lease, [this, alive = m_alive, sentAt](const Status &status) {
        if (!*alive || m_revoked) {
            return;
        }
        const Error *error = errorOf(status);
        if (error != nullptr && error->kind == ErrorKind::NotFound) {
            grant();
            return;
        }
        if (error != nullptr) {
            scheduleRenewal(RetryDelay);
            return;
        }
        m_confirmedAt = sentAt;
        m_heldUntil = sentAt + m_limits.duration - m_limits.margin;
        if (!m_keyWritten) {
            writeKey();
        }
        scheduleRenewal(m_limits.renewPeriod);
    });
}

void InstanceLease::revoke(std::function<void()> done)
{
    m_revoked = true;
    m_heldUntil = Instant();
    m_store.revokeLease(m_lease, [done = std::move(done)](const Status &) { done(); });
}

bool InstanceLease::isHeld() const
{
    return m_lease != 0 && m_clock.now() < m_heldUntil;
}

Instant InstanceLease::confirmedAt() const
{
    return m_confirmedAt;
}

LeaseIdentifier InstanceLease::lease() const
{
    return m_lease;
}

}
