#pragma once

#include "base/Clock.h"
#include "base/JsonReader.h"

#include <string>

namespace Wagtail
{

// How the jobs of one queue are treated.
struct QueuePolicy
{
    std::string queue;
    // The pool of workers that runs the queue's tasks.
    std::string pool;
    // 0 comes first and may preempt others.
    int priority = 0;
    // After this many failed attempts of one task its job has failed.
    int maximumAttempts = 1;
    // The latency objective of a job is its longest chain of work times the stretch, plus the latency target.
    double stretch = 1.0;
    Milliseconds latencyTarget {0};
    // The workers must be asked for from the placement advisor first.
    bool advised = false;

    bool operator==(const QueuePolicy &) const = default;
};

[[nodiscard]] Json describe(const QueuePolicy &policy);
[[nodiscard]] QueuePolicy parseQueuePolicy(const Json &document);

}
