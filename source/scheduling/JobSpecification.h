#pragma once

#include "base/Clock.h"
#include "base/JsonReader.h"
#include "base/Resources.h"

#include <string>
#include <vector>

namespace Wagtail
{

// One step of a job: tasks of the same kind that may run side by side.
struct StepSpecification
{
    int count = 1;
    // What each task takes up on its worker. The processors of a backfilling step are not counted.
    Resources demand;
    // The submitter's rough estimate of one task's run time.
    Milliseconds estimate {0};
    // Earlier steps whose tasks must all be done first.
    std::vector<int> after;
    bool checkpoints = false;
    // The tasks only work together and end together.
    bool gang = false;
    // The tasks run much slower when they are spread over racks.
    bool sameRack = false;
    std::string requiredLabel;
    // The rack that holds the step's data, or empty.
    std::string dataRack;
    // The most tasks of the step on one worker; 0 for no limit.
    int perWorkerLimit = 0;
    // Copies of a task may run side by side; the first to finish counts.
    bool speculative = false;
    // The tasks run until the job is cancelled, and are started again however they end.
    bool longRunning = false;
    // What the tasks run. Tasks of the same image behave alike.
    std::string image;
    // The tail latency that a lasting task owes its own users; 0 for none.
    Milliseconds tailTarget {0};
    // Backfilling tasks live on the processors that other tasks leave unused.
    bool backfills = false;
    // How many lasting tasks may be away at once because of the system's own actions.
    int disruptionBudget = 0;

    bool operator==(const StepSpecification &) const = default;
};

// A job as it was submitted. It never changes after its acceptance.
struct JobSpecification
{
    std::string id;
    std::string queue;
    // Handed to each task as it is.
    std::string payload;
    std::vector<StepSpecification> steps;
    // 0 for a job that runs once; otherwise the steps run this many times.
    std::int64_t repeatCount = 0;
    // Wall time of the first occurrence and the time between two, both in milliseconds.
    std::int64_t firstRun = 0;
    std::int64_t interval = 0;

    bool operator==(const JobSpecification &) const = default;

    // Returns whether any step lasts until the job is cancelled.
    [[nodiscard]] bool isLongRunning() const;

    // Returns when an occurrence is due, in milliseconds of wall time; 0 for a job that runs once.
    [[nodiscard]] std::int64_t dueTime(std::int64_t occurrence) const;
};

// Writes a specification in the form that the store keeps.
[[nodiscard]] Json describe(const JobSpecification &job);

// Reads what describe() wrote. Fails with InvalidInput that names what is wrong.
[[nodiscard]] Result<JobSpecification> parseJobSpecification(const Json &document);

// Checks what a submitter can get wrong: no steps, counts below one, dependencies on later steps.
[[nodiscard]] Status validate(const JobSpecification &job);

}
