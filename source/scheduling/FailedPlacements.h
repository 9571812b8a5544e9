#pragma once

#include "scheduling/JobState.h"

#include <vector>

namespace Wagtail
{

// The demands that found no worker during one round of placements. Room only shrinks within a round, so a demand that
// asks for at least as much can be passed over without a look at the workers.
// Load pattern: bursts that leave hundreds of steps waiting behind full workers, each of which would otherwise search
// all workers after every report.
class FailedPlacements
{
public:
    void clear();

    // Notes that a task of the step found no worker.
    void note(const StepState &step);

    // Returns whether a task of the step can't find a worker either.
    [[nodiscard]] bool ruleOut(const StepState &step) const;

private:
    struct Entry
    {
        // Demands compare only within a pool, and only between steps that are placed by the same rules.
        std::string pool;
        bool lasting = false;
        bool backfills = false;
        // Where backfilling tasks may go depends on their image.
        ImageId image = 0;
        Resources demand;
    };

    [[nodiscard]] static Entry entryOf(const StepState &step);

    std::vector<Entry> m_entries;
};

}
