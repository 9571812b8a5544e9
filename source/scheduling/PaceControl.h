#pragma once

namespace Wagtail
{

// The worst serving task on a worker that also runs backfilling tasks.
struct TailReading
{
    // Tail latency over its target.
    double ratio = 0.0;
    // The share of their speed at which the backfilling tasks work now, in percent.
    int percent = 100;
};

// Returns the share of their speed that backfilling tasks get next, in percent.
// Load pattern: serving load that swings within seconds beside backfilling waves; the share is cut before the
// target is reached and restored in small steps once there is slack.
[[nodiscard]] int nextBackfillPercent(const TailReading &reading);

}
