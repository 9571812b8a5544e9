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
    // No call is sent, and no answer is used, later than this after the deadline. The receiver may carry the call out
    // seconds later, and the answer may say what is no longer true.
    static constexpr Milliseconds LongestLoopDelay {1'000};

    // There is no deadline until begin() is called.
    explicit CallDeadline(const HttpCall &call);

    void begin(Instant now);

    // Notes that a part of the answer was read. What comes too late to be used counts for nothing.
    void noteProgress(Instant now);

    // Returns whether the call may be put on the wire, and notes it if it may.
    [[nodiscard]] bool admitSending(Instant now);

    // Returns whether a call whose time is over, but whose socket is ready, waits until the event loop has handled
    // that. Once only if the loop is in time.
    [[nodiscard]] bool admitWaiting(Instant now);

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
    // When it was first found that the time was over.
    std::optional<Instant> m_foundOverAt;
    bool m_hasBegunAnew = false;
};

}
