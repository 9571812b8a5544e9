#pragma once

#include "base/Clock.h"
#include "base/JsonReader.h"

#include <string>

namespace Wagtail
{

// Bounds that keep the latency objective of any job far within 64 bits, also in nanoseconds.
inline constexpr double MaximumStretch = 10'000.0;
inline constexpr Milliseconds MaximumLatencyTarget {1'000'000'000'000};

// Scheduling policy for the jobs of one queue.
struct QueuePolicy
{
    std::string queue;
    // The pool of workers that runs the tasks of the queue.
    std::string pool;
    // 0 is the highest priority, and may preempt others.
    int priority = 0;
    // A job fails once this many attempts of one of its tasks have failed.
    int maximumAttempts = 1;
    // A job meets its latency objective if it is done within stretch * critical path + latencyTarget of its acceptance.
    double stretch = 1.0;
    Milliseconds latencyTarget {0};
    // Tasks may only be placed on workers that the placement advisor has permitted.
    bool advised = false;
    // The version of the configuration that it was read from, or 0 if it is not known.
    std::int64_t version = 0;

    // Returns whether the policies are the same but for their versions.
    [[nodiscard]] bool hasSameRules(const QueuePolicy &other) const;

    bool operator==(const QueuePolicy &) const = default;
};

[[nodiscard]] Json describe(const QueuePolicy &policy);
[[nodiscard]] QueuePolicy parseQueuePolicy(const Json &document);

}
