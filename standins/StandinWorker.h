#pragma once

#include "base/Clock.h"
#include "http/HttpMessages.h"
#include "workers/WorkerCodec.h"

#include <functional>
#include <map>
#include <set>

namespace Wagtail
{

// A stand-in for one of the platform's workers: runs tasks under leases and requests in slots,
// enforces its limits and records every breach of them.
class StandinWorker
{
public:
    using Respond = std::function<void(HttpResponse)>;
    // Calls a function after a delay.
    using Schedule = std::function<void(Milliseconds, std::function<void()>)>;

    StandinWorker(const Clock &clock, Schedule schedule, WorkerDescription description);

    void handle(const HttpRequest &request, const Respond &respond);

    // Ends tasks whose lease ran out and tasks that finished. Call it often.
    void advance();

    // Ends everything, as when the worker's machine fails.
    void die();

    [[nodiscard]] const WorkerDescription &description() const;
    [[nodiscard]] const std::vector<std::string> &breaches() const;

    // Returns every run of a task on this worker, and the counts of requests.
    [[nodiscard]] Json history() const;

private:
    struct Faults
    {
        bool failAll = false;
        bool leaving = false;
        Instant leavingSince;
        bool frozen = false;
        std::int64_t answerDelay = 0;
        // Every n-th request answer carries another request's identity, or loses its last byte; zero switches it off.
        std::int64_t crossEvery = 0;
        std::int64_t truncateEvery = 0;
        // Every n-th start takes effect while its answer is a failure.
        std::int64_t loseStartEvery = 0;
    };

    struct Task
    {
        TaskStart start;
        WorkerTaskState state = WorkerTaskState::Running;
        Instant startedAt;
        Instant endedAt;
        // The work still to do when the task was last started or throttled.
        Milliseconds remaining {0};
        Instant progressFrom;
        int percent = 100;
        bool fails = false;
        bool endless = false;
        std::string checkpoint;
    };

    void handleHeartbeat(const Json &document, const Respond &respond);
    void handleStart(const Json &document, const Respond &respond);
    void handleStop(const Json &document, const Respond &respond);
    void handleThrottle(const Json &document, const Respond &respond);
    void handleRequest(const HttpRequest &request, const Respond &respond);
    void answerRequest(const HttpRequest &request, const Respond &respond);
    void handleFaults(const Json &document, const Respond &respond);
    [[nodiscard]] bool isStale(FencingToken token) const;
    [[nodiscard]] bool isLate(const TaskStart &start) const;
    void begin(TaskStart start);
    void end(Task &task, WorkerTaskState state);
    void updateProgress(Task &task) const;
    [[nodiscard]] Resources used() const;
    [[nodiscard]] WorkerReport report(const std::string &knownTasks) const;
    void breach(const std::string &what);

    const Clock &m_clock;
    Schedule m_schedule;
    WorkerDescription m_description;
    Faults m_faults;
    FencingToken m_token = 0;
    Milliseconds m_lease {0};
    Instant m_leaseExpiry;
    std::string m_incarnation;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_tasksVersion = 1;
    Instant m_reportedAt;
    // When the reports were made from which a lease could still last.
    std::map<std::uint64_t, Instant> m_reports;
    std::map<std::string, std::uint64_t> m_stopped;
    std::map<TaskAttempt, Task> m_tasks;
    std::int64_t m_busySlots = 0;
    std::int64_t m_answers = 0;
    std::int64_t m_starts = 0;
    std::map<std::string, std::int64_t> m_onceRequests;
    std::map<std::string, std::int64_t> m_onceBodies;
    std::int64_t m_requests = 0;
    std::int64_t m_lastRequestAt = 0;
    std::vector<std::string> m_breaches;
    Json m_ended = Json::array();
};

}
