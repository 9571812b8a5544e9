#pragma once

#include "base/Clock.h"

#include <cstdint>

namespace Wagtail
{

// What the tasks of a pool that end by themselves ask for at one moment, backfilling ones left out.
struct PassingSample
{
    // The sum over all open tasks, in thousandths of a core.
    std::int64_t milliCores = 0;
    // The sum of the squares, which weighs the size of a task by what it asks for.
    double squares = 0.0;

    void add(std::int64_t tasks, std::int64_t milliCoresOfEach);
};

// Estimates how much of a pool passing work needs.
// Load pattern: lasting jobs that come in before the passing work does, after a start of the whole system or of a
// tenure. Without a share that is kept for what has not been seen yet they take every worker for as long as they stay.
class PassingDemand
{
public:
    explicit PassingDemand(Instant beganAt);

    // Takes a sample; call it every 100 ms.
    void observe(const PassingSample &sample);

    // Returns the processors that passing work needs out of the given capacity, in thousandths of a core.
    [[nodiscard]] std::int64_t expected(Instant now, std::int64_t capacity) const;

    // Returns the size of a typical task, in thousandths of a core, where the largest worker has the given capacity.
    [[nodiscard]] std::int64_t typicalTask(std::int64_t largestWorker) const;

private:
    Instant m_beganAt;
    double m_milliCores = 0.0;
    double m_squares = 0.0;
};

}
