#pragma once

#include "base/Clock.h"

#include <array>

namespace Wagtail
{

// What a task does or waits for, as far as its owner knows.
enum class TaskActivity {
    // The steps that the task depends on are not done yet, or the task is done.
    None,
    // The task has no worker.
    Waiting,
    // An order to start or stop the task is on its way.
    Ordering,
    Running,
    // The task holds a worker but may not work there, because it would disturb serving tasks.
    Paused,
};

// Adds up how long a task has spent in each activity, to explain afterwards why a job was late.
class TaskTimes
{
public:
    // Ends the current activity and begins the given one.
    void begin(TaskActivity activity, Instant now);

    // Returns the time spent in an activity up to the last change.
    [[nodiscard]] Milliseconds spent(TaskActivity activity) const;

private:
    static constexpr std::size_t ActivityCount = 5;

    TaskActivity m_current = TaskActivity::None;
    Instant m_since;
    std::array<Milliseconds, ActivityCount> m_spent {};
};

}
