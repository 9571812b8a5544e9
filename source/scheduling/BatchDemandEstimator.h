#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace Wagtail
{

// The processors that the batch tasks of a pool ask for at one moment. Batch tasks are those that end by themselves.
// Backfilling tasks are not included.
struct BatchDemandSample
{
    // Sum over all unfinished tasks, in thousandths of a core.
    std::int64_t milliCores = 0;
    // Sum of the squares of each task's demand, which weighs the size of a task by its demand.
    double sumOfSquares = 0.0;

    void add(std::int64_t tasks, std::int64_t milliCoresOfEach);
};

// Estimates how many processors the batch tasks of a pool need, as a moving average.
// Load pattern: long-running jobs that are submitted before batch jobs, after a start of the whole system or of a
// leader term. Without a share reserved for batch tasks that have not been seen yet, they take every worker until they
// are cancelled.
class BatchDemandEstimator
{
public:
    explicit BatchDemandEstimator(Instant startedAt);

    // Adds a sample. It must be called every 100 ms.
    void observe(const BatchDemandSample &sample);

    // Returns the part of the given capacity that batch tasks need, both in thousandths of a core.
    [[nodiscard]] std::int64_t expectedMilliCores(Instant now, std::int64_t capacity) const;

    // Returns the size of a typical batch task, in thousandths of a core, given the capacity of the largest worker.
    [[nodiscard]] std::int64_t typicalTaskMilliCores(std::int64_t largestWorker) const;

private:
    Instant m_startedAt;
    double m_milliCores = 0.0;
    double m_sumOfSquares = 0.0;
};

}
