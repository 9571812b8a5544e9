#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace Wagtail
{

// What is known of a worker's own steady clock, in milliseconds. It may run up to 2 % slow.
class WorkerClock
{
public:
    // The platform states that a worker's clock may be 2 % slow.
    static constexpr double SlowestRate = 0.98;

    // Takes a reading that arrived in an answer.
    void observe(std::int64_t reading, Instant sentAt, Instant receivedAt);

    // Forgets everything, for a worker that started anew. Answers to calls sent before then are not of its clock.
    void reset(Instant now);

    [[nodiscard]] bool isKnown() const;

    // Returns the reading at which a lease of the given length that begins now ends. The clock must be known.
    [[nodiscard]] std::int64_t leaseEnd(Instant now, Milliseconds length) const;

    // Returns the time by which the worker's clock has surely passed the reading, however slowly it runs.
    [[nodiscard]] Instant surelyPast(std::int64_t reading) const;

private:
    bool m_known = false;
    Instant m_validFrom;
    std::int64_t m_reading = 0;
    Instant m_sentAt;
    Instant m_receivedAt;
};

}
