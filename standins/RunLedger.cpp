#include "RunLedger.h"

#include "logging/Log.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

Json describe(const RunLedger::Run &run)
{
    return {{"run", run.number}, {"worker", run.worker}};
}

}

Json RunLedger::describe(const Task &task)
{
    Json runs = Json::array();
    for (const Start &start : task.starts) {
        Json run = Wagtail::describe(start.run);
        run["began_ms"] = start.wallMilliseconds;
        if (start.endedAt) {
            const auto lasted = std::chrono::duration_cast<Milliseconds>(*start.endedAt - start.at);
            run["over_ms"] = start.wallMilliseconds + lasted.count();
            run["how"] = start.how;
        }
        runs.push_back(std::move(run));
    }
    return runs;
}

RunLedger::RunLedger(const Clock &clock) : m_clock(clock)
{
}

RunLedger::StepOnWorker RunLedger::stepOf(const Run &run)
{
    return {run.worker, run.task.substr(0, run.task.rfind('.'))};
}

void RunLedger::recordStart(const Run &run, int perWorkerLimit)
{
    log(LogLevel::Info, "run-began", {{"subject", run.task}, {"run", run.number}, {"worker", run.worker}});
    Task &task = m_tasks[run.task];
    for (const Start &start : task.starts) {
        if (!start.endedAt) {
            recordViolation("two runs at once", start.run, run);
        }
    }
    if (task.acknowledged) {
        recordViolation("started after an acknowledged end as done", *task.acknowledged, run);
    }
    std::vector<Run> &atWork = m_atWork[stepOf(run)];
    atWork.push_back(run);
    if (perWorkerLimit > 0) {
        ++m_limitedStarts;
        if (atWork.size() > static_cast<std::size_t>(perWorkerLimit)) {
            const std::string what = "beyond the limit per worker: " + std::to_string(atWork.size()) + " of "
                + std::to_string(perWorkerLimit) + ", with " + atWork.front().task;
            recordViolation(what, atWork.front(), run);
        }
    }
    task.starts.push_back({run, m_clock.now(), m_clock.wallMilliseconds(), std::nullopt, {}});
}

void RunLedger::recordEnd(const Run &run, const std::string &how)
{
    log(LogLevel::Info, "run-over", {{"subject", run.task}, {"run", run.number}, {"worker", run.worker}, {"how", how}});
    ++m_ends[how];
    Task &task = m_tasks[run.task];
    for (Start &start : task.starts) {
        if (!start.endedAt && start.run.number == run.number && start.run.worker == run.worker) {
            start.endedAt = m_clock.now();
            start.how = how;
            const auto atWork = m_atWork.find(stepOf(run));
            std::erase_if(atWork->second,
                [&run](const Run &other) { return other.task == run.task && other.number == run.number; });
            if (atWork->second.empty()) {
                m_atWork.erase(atWork);
            }
        }
    }
    if (how == "failed") {
        ++task.failures;
    }
}

void RunLedger::recordAcknowledgement(const Run &run, Instant endedAt)
{
    Task &task = m_tasks[run.task];
    if (task.acknowledged) {
        return;
    }
    task.acknowledged = run;
    task.doneAt = endedAt;
    for (const Start &start : task.starts) {
        const bool isSame = start.run.number == run.number && start.run.worker == run.worker;
        if (start.at >= endedAt && !isSame) {
            recordViolation("started after an acknowledged end as done", run, start.run);
        }
    }
}

void RunLedger::recordGrant(const std::string &dataCentre, std::uint64_t token)
{
    Owners &owners = m_owners[dataCentre];
    const auto [owner, isNew] = owners.emplace(token, m_clock.now());
    const auto successor = std::next(owner);
    if (successor == owners.end()) {
        return;
    }
    const auto late = std::chrono::duration_cast<Milliseconds>(m_clock.now() - successor->second);
    if (late > LongestOwnerLease) {
        recordViolation("lease granted by an owner that was replaced " + std::to_string(late.count()) + " ms before",
            {dataCentre, successor->first, {}}, {dataCentre, token, {}});
    }
}

void RunLedger::recordViolation(const std::string &what, const Run &earlier, const Run &later)
{
    Json violation = {{"subject", later.task}, {"what", what}, {"earlier", Wagtail::describe(earlier)},
        {"later", Wagtail::describe(later)}, {"runs", describe(m_tasks[later.task])}};
    log(LogLevel::Error, "violation", violation);
    if (m_violations.size() < MaximumViolations) {
        violation["time_ms"] = m_clock.wallMilliseconds();
        m_violations.push_back(std::move(violation));
    }
}

int RunLedger::failures(const std::string &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? 0 : found->second.failures;
}

std::size_t RunLedger::limitedStarts() const
{
    return m_limitedStarts;
}

const std::map<std::string, std::size_t> &RunLedger::ends() const
{
    return m_ends;
}

const Json &RunLedger::violations() const
{
    return m_violations;
}

Json RunLedger::jobs() const
{
    Json jobs = Json::object();
    for (const auto &[name, task] : m_tasks) {
        Json &job = jobs[name.substr(0, name.find('.'))];
        const bool done = std::any_of(
            task.starts.begin(), task.starts.end(), [](const Start &start) { return start.how == "done"; });
        job["starts"] = memberOr(job, "starts", std::size_t {0}) + task.starts.size();
        job["done"] = memberOr(job, "done", 0) + (done ? 1 : 0);
        const bool runs
            = std::any_of(task.starts.begin(), task.starts.end(), [](const Start &start) { return !start.endedAt; });
        job["running"] = memberOr(job, "running", 0) + (runs ? 1 : 0);
        for (const Start &start : task.starts) {
            job["last_began_ms"] = std::max(memberOr(job, "last_began_ms", std::int64_t {0}), start.wallMilliseconds);
        }
        const auto crashes = std::count_if(
            task.starts.begin(), task.starts.end(), [](const Start &start) { return start.how == "crashed"; });
        job["crashes"] = std::max(memberOr(job, "crashes", std::int64_t {0}), std::int64_t {crashes});
    }
    return jobs;
}

}
