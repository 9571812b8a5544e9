#pragma once

#include "scheduling/WorkerClock.h"

#include <optional>

namespace Wagtail
{

// Tracks the start orders of one worker until it is known which incarnation of the worker they reached. An order names
// only the worker, so the next incarnation carries out what was meant for the former one. Once all starts are settled,
// no incarnation later than the known one can have run anything.
class UnsettledStarts
{
public:
    void sent();

    // Applies the answer to a start order, or its absence. A run that the order started on another incarnation holds
    // its lease until the given time at the latest.
    void answered(AnsweringIncarnation incarnation, Instant now, Instant leaseExpiresAt);

    // Applies a report of the known incarnation that was requested at the given time.
    void confirmIncarnation(Instant requestedAt);

    // Returns whether all start orders reached the known incarnation, if any.
    [[nodiscard]] bool isEmpty() const;

    // Returns whether an answer left open which incarnation the order reached, and no later report has shown it.
    [[nodiscard]] bool isUnclear() const;

    // Returns when the leases of runs on an unknown incarnation have surely expired, if there may be any.
    [[nodiscard]] std::optional<Instant> leaseExpiry() const;

private:
    int m_unanswered = 0;
    std::optional<Instant> m_unclearSince;
    Instant m_leaseExpiresAt;
};

}
