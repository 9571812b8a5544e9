#pragma once

#include "base/Clock.h"
#include "base/JsonReader.h"
#include "base/Resources.h"

#include <string>
#include <vector>

namespace Wagtail
{

// The most tasks that one execution of a job may have.
inline constexpr std::int64_t MaximumTasks = 100'000;
// The longest time and the latest wall time that can be declared. Sums and small multiples of it stay far within 64
// bits, also in nanoseconds.
inline constexpr Milliseconds MaximumTime {1'000'000'000'000};
inline constexpr std::int64_t MaximumWallTime = 10'000'000'000'000;
// The largest declared amount of a resource. The sum over all tasks of many jobs stays far within 64 bits.
inline constexpr std::int64_t MaximumAmount = 1'000'000'000;

// One step of a job: tasks of the same kind that may run in parallel.
struct StepSpecification
{
    int count = 1;
    // The resources that each task takes on its worker. The processors of a backfilling step are not counted there.
    Resources demand;
    // The submitter's rough estimate of the run time of one task.
    Milliseconds estimate {0};
    // Earlier steps whose tasks must all be done first.
    std::vector<int> after;
    // The tasks write checkpoints, from which a later run resumes.
    bool checkpoints = false;
    // The tasks must run at the same time and end together.
    bool gang = false;
    // The tasks run much slower when they are spread over several racks.
    bool sameRack = false;
    std::string requiredLabel;
    // The rack that holds the data of the step, or empty.
    std::string dataRack;
    // Maximum number of tasks of the step on one worker; 0 for no limit.
    int perWorkerLimit = 0;
    // Copies of a task may run in parallel; the first one to finish counts.
    bool speculative = false;
    // The tasks run until the job is cancelled. They are restarted however they end.
    bool longRunning = false;
    // The program image of the tasks. Tasks of the same image are expected to behave alike.
    std::string image;
    // The target for the tail latency of a serving task towards its own users; 0 if the task does not serve.
    Milliseconds tailTarget {0};
    // The tasks use only the processors that other tasks leave idle.
    bool backfills = false;
    // How many of the long-running tasks may be unavailable at the same time because the system moves them.
    int disruptionBudget = 0;

    bool operator==(const StepSpecification &) const = default;
};

// A job as it was submitted. It does not change after its acceptance.
struct JobSpecification
{
    std::string id;
    std::string queue;
    // Passed to each task unchanged.
    std::string payload;
    std::vector<StepSpecification> steps;
    // 0 for a job that runs once; otherwise the steps run this many times.
    std::int64_t repeatCount = 0;
    // Wall time of the first occurrence and the interval between two, both in milliseconds.
    std::int64_t firstRun = 0;
    std::int64_t interval = 0;

    bool operator==(const JobSpecification &) const = default;

    // Returns whether any step runs until the job is cancelled.
    [[nodiscard]] bool isLongRunning() const;

    // Returns the number of tasks of one execution of the steps.
    [[nodiscard]] std::int64_t taskCount() const;

    // Returns when an occurrence is due, in milliseconds of wall time; 0 for a job that runs once.
    [[nodiscard]] std::int64_t dueTime(std::int64_t occurrence) const;
};

// Returns the specification as a document for the store.
[[nodiscard]] Json describe(const JobSpecification &job);

// Parses the document that describe() returns. Fails with InvalidInput if the specification is not valid.
[[nodiscard]] Result<JobSpecification> parseJobSpecification(const Json &document);

// Checks the parts of a job that a submitter can get wrong, such as missing steps, counts below one or dependencies on
// later steps.
[[nodiscard]] Status validate(const JobSpecification &job);

}
