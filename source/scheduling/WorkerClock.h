#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace Wagtail
{

// Which incarnation of a worker has answered a call.
enum class AnsweringIncarnation {
    // The one whose reports are known.
    Known,
    // A later one.
    Next,
    Unclear,
};

// Tracks the steady clock of a worker, in milliseconds, from the readings in its answers. The clock may run up to 2 %
// slow.
class WorkerClock
{
public:
    // The platform specifies that the clock of a worker may run up to 2 % slow.
    static constexpr double SlowestRate = 0.98;

    // Applies a reading from an answer. Readings of earlier incarnations and out-of-order answers are ignored.
    void observe(std::int64_t reading, Instant sentAt, Instant receivedAt);

    // Discards all readings after a restart of the worker. Answers to calls sent before then are of the old clock and
    // are ignored.
    void reset(Instant now);

    [[nodiscard]] bool isKnown() const;

    // Returns the reading of the worker's clock at which a lease that begins now expires at the latest. It lasts for
    // the given length, less the time that the last answer took to arrive. The clock must be known.
    [[nodiscard]] std::int64_t leaseEnd(Instant now, Milliseconds length) const;

    // Returns the time by which the worker's clock has passed the reading even at its slowest rate.
    [[nodiscard]] Instant expiryUpperBound(std::int64_t reading) const;

    // Returns which incarnation gave a reading in its answer to a call that was sent at the given time. The clock of a
    // later incarnation starts anew.
    [[nodiscard]] AnsweringIncarnation incarnationOf(std::int64_t reading, Instant sentAt) const;

    // Returns how long a time on the worker's clock takes at most.
    [[nodiscard]] static Milliseconds longestDuration(Milliseconds onWorkerClock);

private:
    // Returns the reading that the clock has at least, at its slowest rate.
    [[nodiscard]] std::int64_t leastReading(Instant now) const;

    bool m_known = false;
    Instant m_validFrom;
    std::int64_t m_reading = 0;
    Instant m_receivedAt;
};

}
