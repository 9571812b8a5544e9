#pragma once

#include "scheduling/JobState.h"

#include <vector>

namespace Wagtail
{

// Remembers the resource demands for which no worker was found during one round of placement. Free resources only
// shrink within a round, so a step that asks for at least as much can be skipped without searching the workers.
// Load pattern: bursts that leave hundreds of steps waiting behind full workers. Without this class each of them would
// search all workers after every report.
class FailedPlacements
{
public:
    void clear();

    // Records that no worker was found for a task of the step.
    void add(const StepState &step);

    // Returns whether an earlier failure in this round shows that no worker can be found for the step either.
    [[nodiscard]] bool covers(const StepState &step) const;

private:
    struct Entry
    {
        // Demands are compared only within a pool, and only between steps that follow the same placement rules.
        std::string pool;
        bool longRunning = false;
        bool backfills = false;
        // Set for backfilling steps only, whose placement depends on the image.
        ImageId image = 0;
        Resources demand;
    };

    [[nodiscard]] static Entry entryOf(const StepState &step);

    std::vector<Entry> m_entries;
};

}
