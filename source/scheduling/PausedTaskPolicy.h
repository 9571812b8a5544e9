#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// A backfilling task that may not work at the moment, because it would disturb the serving tasks on its worker.
struct PausedTask
{
    Milliseconds pausedFor {0};
    // Whether a later run resumes from the progress at the time of a stop.
    bool checkpoints = false;
    // The progress of the run.
    int percent = 0;
    // How long the task has not worked, here or elsewhere.
    Milliseconds idleFor {0};
    // Whether it started as a probe and no other task of its job works.
    bool isStarvedProbe = false;
    // The progress that earlier runs have lost in the same way, in percent of the task's work.
    int lostPercent = 0;
};

// Decides how long a paused task keeps its worker. All calls come from the control thread.
class PausedTaskPolicy
{
public:
    PausedTaskPolicy() = default;
    PausedTaskPolicy(const PausedTaskPolicy &) = delete;
    PausedTaskPolicy &operator=(const PausedTaskPolicy &) = delete;
    virtual ~PausedTaskPolicy() = default;

    // Returns whether the task should be stopped, so that it waits for another worker like the tasks that have none.
    [[nodiscard]] virtual bool shouldRequeue(const PausedTask &task) const = 0;
};

}
