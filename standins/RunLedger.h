#pragma once

#include "base/Clock.h"
#include "base/JsonReader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// Records all runs of all stand-in workers, and what must never be seen from outside.
class RunLedger
{
public:
    // One run of a task, as the worker that runs it sees it.
    struct Run
    {
        std::string task;
        std::uint64_t number = 0;
        std::string worker;
    };

    explicit RunLedger(const Clock &clock);

    // A limit above 0 is the number of tasks of the same step of one occurrence that may be at work on one worker.
    void recordStart(const Run &run, int perWorkerLimit = 0);
    // The end has one of the names that workers list.
    void recordEnd(const Run &run, const std::string &how);
    // Records that an owner has acknowledged the end of a run as done, with no lapse of the worker's lease in between.
    void recordAcknowledgement(const Run &run, Instant endedAt);

    // Records that an owner of the data centre's workers has granted a lease. It is a violation if its successor has
    // granted one so long before that it no longer reckons with leases of its predecessor.
    void recordGrant(const std::string &dataCentre, std::uint64_t token);

    // Returns how many runs of the task have failed.
    [[nodiscard]] int failures(const std::string &task) const;
    [[nodiscard]] const Json &violations() const;
    // Returns how many starts had a limit per worker.
    [[nodiscard]] std::size_t limitedStarts() const;
    // Returns how many runs have ended, by the name of their end.
    [[nodiscard]] const std::map<std::string, std::size_t> &ends() const;
    // Returns for each job how many runs of its tasks have started, when the last one did, how many of its tasks run,
    // how many have ended as done, and under how many runs of one task workers have crashed at most.
    [[nodiscard]] Json jobs() const;

private:
    struct Start
    {
        Run run;
        Instant at;
        std::int64_t wallMilliseconds = 0;
        std::optional<Instant> endedAt;
        std::string how;
    };

    struct Task
    {
        std::vector<Start> starts;
        std::optional<Run> acknowledged;
        Instant doneAt;
        int failures = 0;
    };

    // A worker, and the name of a step of one occurrence.
    using StepOnWorker = std::pair<std::string, std::string>;

    // When an owner was first seen to grant leases, by its fencing token.
    using Owners = std::map<std::uint64_t, Instant>;

    void recordViolation(const std::string &what, const Run &earlier, const Run &later);
    [[nodiscard]] static StepOnWorker stepOf(const Run &run);
    // Returns all runs of a task with the times of their starts and ends.
    [[nodiscard]] static Json describe(const Task &task);

    // A run that breaks the rules in masses would otherwise fill the memory with its report.
    static constexpr std::size_t MaximumViolations = 1'000;

    // For so long after the end of its store lease an owner may grant leases, as its successors reckon.
    static constexpr Milliseconds LongestOwnerLease {3'000};

    const Clock &m_clock;
    std::map<std::string, Task> m_tasks;
    // The tasks at work, including those that are being stopped.
    std::map<StepOnWorker, std::vector<Run>> m_atWork;
    std::size_t m_limitedStarts = 0;
    std::map<std::string, std::size_t> m_ends;
    // By data centre.
    std::map<std::string, Owners> m_owners;
    Json m_violations = Json::array();
};

}
