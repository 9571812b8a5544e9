#pragma once

#include "base/Clock.h"
#include "http/HttpMessages.h"

namespace Wagtail
{

// When a call is given up. The event loop may be late: then a call that was only not sent, or whose answer was only not
// read, gets its time once more.
class CallDeadline
{
public:
    // Lateness from which on the event loop counts as late. Timers on a busy machine are late by less.
    static constexpr Milliseconds ShortestLoopDelay {50};
    // A call is not sent later than this after its time was over, since the receiver may carry it out seconds later.
    static constexpr Milliseconds LongestSendDelay {1'000};
    // An answer that is read later than this after the deadline may say what is long no longer true.
    static constexpr Milliseconds LongestReadDelay {2'000};

    // There is no deadline until begin() is called.
    explicit CallDeadline(const HttpCall &call);

    void begin(Instant now);

    // Notes that a part of the answer was read. What comes too late to be used counts for nothing.
    void noteProgress(Instant now);

    // Returns whether the call may be put on the wire, and notes it if it may.
    [[nodiscard]] bool admitSending(Instant now);

    // Returns whether an answer that is read now may still be used.
    [[nodiscard]] bool admitsAnswer(Instant now) const;

    [[nodiscard]] Instant time() const;

private:
    [[nodiscard]] bool isLoopLate(Instant now) const;
    void beginAnew(Instant now);

    Milliseconds m_timeout;
    std::optional<LongAnswerLimits> m_longAnswer;
    // When the answer is late or has stalled, and when the call is given up in any case.
    Instant m_stalledAt = Instant::max();
    Instant m_endsAt = Instant::max();
    bool m_hasBegunAnew = false;
};

}
