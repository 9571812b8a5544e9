#pragma once

#include "base/Clock.h"
#include "scheduling/JobState.h"

#include <map>
#include <vector>

namespace Wagtail
{

// The places on one worker that are held for tasks on their way from other workers. A task is stopped there only when
// its next place is held, and until it arrives nothing else may take that place.
class HeldPlaces
{
public:
    // Holds a place for the next run of the task until the given time, or changes until when its place is held.
    void hold(const TaskState &task, Instant until);

    // Holds a place for a task that another partition may send here until the given time, or changes until when its
    // place is held.
    void holdForArrival(const TaskState &task, Instant until);

    // Returns whether a place is held for a task that another partition may send.
    [[nodiscard]] bool isForArrival(const TaskName &task) const;

    // Turns the place into one of a task of this partition, because the task has arrived.
    void markArrived(const TaskName &task);

    // Notes that the task is being stopped for its place, or is on its way to it, so that room for it there is taken.
    void claim(const TaskName &task);

    // Releases the place of the task. Has no effect if it has none here.
    void release(const TaskName &task);

    // Returns the tasks that have a place, with the times until which the places are held.
    [[nodiscard]] std::map<TaskName, Instant> tasks() const;

    [[nodiscard]] bool isEmpty() const;

    // Returns what is known of crashes under the tasks, other than the given one, that have a place.
    [[nodiscard]] std::vector<const CrashHistory *> crashesOfOthers(const TaskName &task) const;

    // Returns how many places are held for tasks of the step.
    [[nodiscard]] int countOf(const StepState &step) const;

    // Returns the resources of all places.
    [[nodiscard]] const Resources &resources() const;

    // Returns the resources of the places that tasks other than the given one have claimed. The other places may still
    // be in use by batch tasks.
    [[nodiscard]] Resources claimedByOthers(const TaskName &task) const;

    // Returns the part of them that is held for long-running tasks.
    [[nodiscard]] const Resources &resourcesOfLongRunning() const;

private:
    struct Place
    {
        Instant until;
        Resources resources;
        bool longRunning = false;
        bool forArrival = false;
        bool claimed = false;
        // As of when the place was last held for the task.
        CrashHistory crashes;
    };

    // Adds a place for the task unless it has one.
    Place &add(const TaskState &task, Instant until);

    std::map<TaskName, Place> m_places;
    Resources m_resources;
    Resources m_resourcesOfLongRunning;
};

}
