#pragma once

#include "base/Clock.h"
#include "base/JsonReader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Wagtail
{

// When a worker crashed, counted from the start of a run on it.
enum class CrashTiming {
    // The worker gave no answer later than CrashHistory::PromptLimit after the start.
    Prompt,
    // The same, but another task on the worker that had been started lately may have crashed it.
    PromptShared,
    // The same, but the run may have been completed before the crash without its owner having read the end.
    PromptUnread,
    // The worker was still alive at that time.
    Late,
    // The same, but another task on the worker that had been started lately may have crashed it, or is known to have.
    LateShared,
    // The run began under an earlier leader term, so its start is not known well enough.
    Unknown,
    // The worker did not confirm the start, so it may have crashed before. No other task on it had been started lately.
    Unconfirmed,
    // The worker did not confirm the start, and another task that had been started lately may have crashed it before.
    Ambiguous,
};

[[nodiscard]] std::string_view nameOf(CrashTiming timing);

// The crash of a worker under a run.
struct CrashedRun
{
    std::string worker;
    CrashTiming timing = CrashTiming::Unknown;
    // The incarnation of the worker that crashed, or 0 if it is not known.
    std::int64_t incarnation = 0;

    bool operator==(const CrashedRun &) const = default;
};

// The worker that runs a task or may have run it, as far as it must be known after a take-over.
struct OpenRun
{
    std::string worker;
    std::string address;
    std::int64_t incarnation = 0;
    // Set while it is being found out whether the worker has crashed. Not recorded.
    std::optional<CrashTiming> timingIfCrashed;

    bool operator==(const OpenRun &) const = default;
};

// The evidence on whether a task crashes its workers: the runs under which a worker has crashed, and the runs whose end
// is not known yet. Runs are kept by number, because after a take-over evidence arrives twice and in any order.
class CrashHistory
{
public:
    // A worker that crashes this soon after a run's start has probably been crashed by it.
    static constexpr Milliseconds PromptLimit {250};
    // A worker that crashes later after a run's start was probably not crashed by it, if there is another cause.
    static constexpr Milliseconds LikelyLimit {5'000};
    // A long-running task that has run for longer than this does not crash its workers.
    static constexpr Milliseconds LongestSuspicion {30'000};

    // Counts a crash and closes the run. Returns false if the crash of this run was counted before.
    bool addCrash(std::uint64_t run, CrashedRun crash);

    // Notes that a run may be under way. It stays open until its end is known or can't be found out any more.
    void open(std::uint64_t run, OpenRun openRun);
    // Returns false if the run was not open.
    bool close(std::uint64_t run);

    // Notes that the worker of an open run may have crashed, and how that would count.
    void markLost(std::uint64_t run, CrashTiming timing);

    // Notes that another task is known to have caused a crash. Returns whether the crash was counted for this one.
    bool explain(const CrashedRun &cause);

    // Discards all evidence.
    void clear();

    [[nodiscard]] const std::map<std::uint64_t, CrashedRun> &crashes() const;
    [[nodiscard]] const std::map<std::uint64_t, OpenRun> &openRuns() const;

    // Returns whether a crash has been counted, or may be counted as one that was not late.
    [[nodiscard]] bool isSuspect() const;

    // Returns whether a crash has been or may be counted that was not late, so that the task may well have caused it.
    [[nodiscard]] bool mayBeCause() const;
    [[nodiscard]] bool isEmpty() const;

    // Adds the history to the entry of a task in the progress of its job.
    void describe(Json &entry) const;

    // Reads the history from such an entry. Missing and malformed parts are left out.
    [[nodiscard]] static CrashHistory parse(const Json &entry);

    bool operator==(const CrashHistory &) const = default;

private:
    std::map<std::uint64_t, CrashedRun> m_crashes;
    std::map<std::uint64_t, OpenRun> m_openRuns;
};

}
