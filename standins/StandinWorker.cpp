#include "StandinWorker.h"

#include "base/Identifier.h"

namespace Wagtail
{

namespace
{

constexpr int StatusConflict = 409;
constexpr int StatusUnprocessable = 422;
constexpr int StatusUnavailable = 503;
// New work may still arrive for a few seconds after a worker began to leave.
constexpr Milliseconds LeavingGrace {4'000};
constexpr std::size_t HistoryLimit = 200'000;

std::int64_t ticks(Instant instant)
{
    return std::chrono::duration_cast<Milliseconds>(instant.time_since_epoch()).count();
}

HttpResponse answer(int status, const Json &document)
{
    return {status, {{"Content-Type", "application/json"}}, writeJson(document)};
}

HttpResponse refusal(int status, const std::string &why)
{
    return {status, {{"Content-Type", "application/json"}, {"Wagtail-Refused", why}}, writeJson({{"detail", why}})};
}

}

StandinWorker::StandinWorker(const Clock &clock, Schedule schedule, WorkerDescription description)
    : m_clock(clock)
    , m_schedule(std::move(schedule))
    , m_description(std::move(description))
    , m_incarnation(createIdentifier(clock.wallMilliseconds()))
{
}

void StandinWorker::die()
{
    for (auto &[attempt, task] : m_tasks) {
        if (task.state == WorkerTaskState::Running) {
            end(task, WorkerTaskState::LeaseExpired);
        }
    }
}

const std::vector<std::string> &StandinWorker::breaches() const
{
    return m_breaches;
}

const WorkerDescription &StandinWorker::description() const
{
    return m_description;
}

void StandinWorker::handle(const HttpRequest &request, const Respond &respond)
{
    if (request.path == "/v1/breaches") {
        respond(answer(200, {{"breaches", m_breaches}}));
        return;
    }
    if (request.path == "/v1/history") {
        respond(answer(200, history()));
        return;
    }
    const bool isFaults = request.path == "/v1/faults";
    if (m_faults.frozen && !isFaults) {
        // A frozen worker answers nobody; its calls are taken up when it thaws.
        m_schedule(Milliseconds(50), [this, request, respond] { handle(request, respond); });
        return;
    }
    if (request.path == "/v1/requests") {
        handleRequest(request, respond);
        return;
    }
    const Result<Json> parsed = parseJson(request.body, "the call");
    if (const Error *error = errorOf(parsed)) {
        respond(answer(400, {{"detail", error->detail}}));
        return;
    }
    const Json &document = std::get<Json>(parsed);
    if (isFaults) {
        handleFaults(document, respond);
        return;
    }
    if (isStale(memberOr(document, "token", FencingToken {0}))) {
        respond(refusal(StatusConflict, "stale token, the present one is " + std::to_string(m_token)));
        return;
    }
    if (request.path == "/v1/heartbeat") {
        handleHeartbeat(document, respond);
    } else if (request.path == "/v1/tasks") {
        handleStart(document, respond);
    } else if (request.path == "/v1/tasks/stop") {
        handleStop(document, respond);
    } else if (request.path == "/v1/tasks/throttle") {
        handleThrottle(document, respond);
    } else {
        respond(answer(404, {{"detail", "no such path"}}));
    }
}

bool StandinWorker::isStale(FencingToken token) const
{
    return token < m_token;
}

bool StandinWorker::isLate(const TaskStart &start) const
{
    const auto report = m_reports.find(start.lastReportSequence);
    return report == m_reports.end() || m_clock.now() >= report->second + m_lease;
}

void StandinWorker::handleHeartbeat(const Json &document, const Respond &respond)
{
    advance();
    const Heartbeat heartbeat = parseHeartbeat(document);
    m_token = heartbeat.token;
    m_lease = Milliseconds(heartbeat.leaseMilliseconds);
    if (heartbeat.echoedSequence != 0 && heartbeat.echoedSequence == m_sequence) {
        m_leaseExpiry = std::max(m_leaseExpiry, m_reportedAt + m_lease);
    }
    ++m_sequence;
    m_reportedAt = m_clock.now();
    m_reports[m_sequence] = m_reportedAt;
    std::erase_if(m_reports, [this](const auto &report) { return report.second + m_lease <= m_reportedAt; });
    for (const TaskAttempt &attempt : heartbeat.recordedEnds) {
        const auto found = m_tasks.find(attempt);
        if (found != m_tasks.end() && found->second.state != WorkerTaskState::Running) {
            m_tasks.erase(found);
            ++m_tasksVersion;
        }
    }
    respond(answer(200, describe(report(heartbeat.knownTasksVersion))));
}

void StandinWorker::handleStart(const Json &document, const Respond &respond)
{
    advance();
    if (memberOr(document, "token", FencingToken {0}) != m_token || m_clock.now() >= m_leaseExpiry) {
        respond(refusal(StatusConflict, "the token holds no lease here"));
        return;
    }
    TaskStart start = parseTaskStart(document);
    if (start.incarnation != m_incarnation) {
        respond(refusal(StatusConflict, "the worker began anew since the assignment"));
        return;
    }
    if (isLate(start)) {
        respond(refusal(StatusUnavailable, "the start took longer than a lease"));
        return;
    }
    if (m_tasks.contains(start.attempt)) {
        respond(answer(200, {{"state", nameOf(m_tasks.at(start.attempt).state)}}));
        return;
    }
    const auto stopped = m_stopped.find(start.attempt.task);
    if (stopped != m_stopped.end() && start.attempt.attempt <= stopped->second) {
        respond(refusal(StatusUnavailable, "the attempt was stopped before it started"));
        return;
    }
    if (m_faults.leaving) {
        if (m_clock.now() - m_faults.leavingSince > LeavingGrace) {
            breach("start of " + start.attempt.task + " on a worker that has long been leaving");
        }
        respond(refusal(StatusUnavailable, "the worker is leaving"));
        return;
    }
    for (const auto &[attempt, task] : m_tasks) {
        if (attempt.task == start.attempt.task && task.state == WorkerTaskState::Running) {
            breach("task " + attempt.task + " started while it runs here");
        }
    }
    if (!(used() + start.resources).fitsInto(m_description.capacity)) {
        breach("start of " + start.attempt.task + " over capacity");
        respond(refusal(StatusUnprocessable, "no room"));
        return;
    }
    begin(std::move(start));
    ++m_starts;
    if (m_faults.loseStartEvery > 0 && m_starts % m_faults.loseStartEvery == 0) {
        respond(answer(500, {{"detail", "the answer was lost"}}));
        return;
    }
    respond(answer(201, {{"state", "running"}}));
}

void StandinWorker::begin(TaskStart start)
{
    Task task;
    const Result<Json> payload = parseJson(start.payload, "the payload");
    const Json work = errorOf(payload) != nullptr ? Json::object() : std::get<Json>(payload);
    const std::int64_t total = memberOr(work, "run_ms", std::int64_t {100});
    const std::int64_t finished = std::strtoll(start.checkpoint.c_str(), nullptr, 10);
    task.remaining = Milliseconds(std::max<std::int64_t>(0, total - finished));
    task.endless = memberOr(work, "endless", false);
    task.fails = m_faults.failAll || memberOr(work, "fail", false);
    task.startedAt = m_clock.now();
    task.progressFrom = task.startedAt;
    const TaskAttempt attempt = start.attempt;
    task.start = std::move(start);
    m_tasks.emplace(attempt, std::move(task));
    ++m_tasksVersion;
}

void StandinWorker::handleStop(const Json &document, const Respond &respond)
{
    advance();
    const TaskAttempt attempt = parseTaskAttempt(document);
    m_stopped[attempt.task] = std::max(m_stopped[attempt.task], attempt.attempt);
    const auto found = m_tasks.find(attempt);
    if (found == m_tasks.end()) {
        respond(answer(200, {{"state", "absent"}, {"incarnation", m_incarnation}}));
        return;
    }
    Task &task = found->second;
    if (task.state == WorkerTaskState::Running) {
        end(task, WorkerTaskState::Stopped);
    }
    respond(answer(200,
        {{"state", nameOf(task.state)}, {"incarnation", m_incarnation}, {"checkpoint", task.checkpoint},
            {"result", "ok"}}));
}

void StandinWorker::handleThrottle(const Json &document, const Respond &respond)
{
    const auto found = m_tasks.find(parseTaskAttempt(document));
    if (found != m_tasks.end()) {
        updateProgress(found->second);
        found->second.percent = std::clamp(memberOr(document, "percent", 100), 1, 100);
    }
    respond(answer(200, Json::object()));
}

void StandinWorker::updateProgress(Task &task) const
{
    // A task does not run on past its lease, even when nobody was there to end it.
    const Instant now = std::max(task.progressFrom, std::min(m_clock.now(), m_leaseExpiry));
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(now - task.progressFrom);
    task.remaining = std::max(Milliseconds(0), task.remaining - elapsed * task.percent / 100);
    task.progressFrom = now;
}

void StandinWorker::end(Task &task, WorkerTaskState state)
{
    ++m_tasksVersion;
    updateProgress(task);
    task.state = state;
    task.endedAt = std::min(m_clock.now(), m_leaseExpiry);
    const Result<Json> payload = parseJson(task.start.payload, "the payload");
    const Json work = errorOf(payload) != nullptr ? Json::object() : std::get<Json>(payload);
    const std::int64_t total = memberOr(work, "run_ms", std::int64_t {100});
    if (state == WorkerTaskState::Stopped && memberOr(work, "checkpoints", true)) {
        task.checkpoint = std::to_string(total - task.remaining.count());
    }
    if (m_ended.size() < HistoryLimit) {
        m_ended.push_back({{"task", task.start.attempt.task}, {"attempt", task.start.attempt.attempt},
            {"started", ticks(task.startedAt)}, {"ended", ticks(task.endedAt)}, {"state", nameOf(state)},
            {"checkpoint", task.checkpoint}, {"resumed_from", task.start.checkpoint}});
    }
}

void StandinWorker::advance()
{
    if (m_faults.frozen) {
        return;
    }
    const Instant now = m_clock.now();
    for (auto &[attempt, task] : m_tasks) {
        if (task.state != WorkerTaskState::Running) {
            continue;
        }
        updateProgress(task);
        if (task.remaining.count() == 0 && (!task.endless || task.fails)) {
            end(task, task.fails ? WorkerTaskState::Failed : WorkerTaskState::Done);
        } else if (now >= m_leaseExpiry) {
            end(task, WorkerTaskState::LeaseExpired);
        }
    }
}

void StandinWorker::handleRequest(const HttpRequest &request, const Respond &respond)
{
    const FencingToken token = std::strtoull(request.header("Wagtail-Token").value_or("0").c_str(), nullptr, 10);
    if (isStale(token)) {
        respond(refusal(StatusConflict, "stale token"));
        return;
    }
    if (m_faults.leaving) {
        respond(refusal(StatusUnavailable, "the worker is leaving"));
        return;
    }
    if (m_busySlots >= m_description.slots) {
        breach("request over the slots");
        respond(refusal(StatusUnavailable, "no slot is free"));
        return;
    }
    const std::string identity = request.header("Wagtail-Request").value_or("");
    if (request.header("Wagtail-Once")) {
        ++m_onceBodies[request.body];
    }
    if (request.header("Wagtail-Once") && ++m_onceRequests[identity] > 1) {
        breach("non-idempotent request " + identity + " ran twice");
    }
    ++m_busySlots;
    ++m_requests;
    m_lastRequestAt = ticks(m_clock.now());
    const std::int64_t work = std::strtoll(request.parameter("work_ms").value_or("0").c_str(), nullptr, 10);
    std::int64_t delay = work + m_faults.answerDelay;
    constexpr std::string_view WorkPrefix = "work_ms=";
    if (request.body.starts_with(WorkPrefix)) {
        delay += std::strtoll(request.body.c_str() + WorkPrefix.size(), nullptr, 10);
    }
    if (delay == 0) {
        answerRequest(request, respond);
        return;
    }
    m_schedule(Milliseconds(delay), [this, request, respond] { answerRequest(request, respond); });
}

void StandinWorker::answerRequest(const HttpRequest &request, const Respond &respond)
{
    --m_busySlots;
    ++m_answers;
    HttpResponse response;
    std::string identity = request.header("Wagtail-Request").value_or("");
    response.body = "answer:" + request.body;
    const std::string length = std::to_string(response.body.size());
    if (m_faults.crossEvery > 0 && m_answers % m_faults.crossEvery == 0) {
        identity = "another-request";
        response.body = "answer:for another request";
    }
    if (m_faults.truncateEvery > 0 && m_answers % m_faults.truncateEvery == 0) {
        response.body.pop_back();
    }
    response.status = m_faults.failAll ? 500 : 200;
    response.headers = {{"Content-Type", "application/octet-stream"}, {"Wagtail-Request", identity},
        {"Wagtail-Attempt", request.header("Wagtail-Attempt").value_or("")}, {"Wagtail-Length", length}};
    respond(std::move(response));
}

void StandinWorker::handleFaults(const Json &document, const Respond &respond)
{
    m_faults.failAll = memberOr(document, "fail_all", m_faults.failAll);
    const bool wasLeaving = std::exchange(m_faults.leaving, memberOr(document, "leaving", m_faults.leaving));
    if (m_faults.leaving && !wasLeaving) {
        m_faults.leavingSince = m_clock.now();
    }
    m_faults.frozen = memberOr(document, "frozen", m_faults.frozen);
    m_faults.answerDelay = memberOr(document, "answer_delay_ms", m_faults.answerDelay);
    m_faults.crossEvery = memberOr(document, "cross_every", m_faults.crossEvery);
    m_faults.truncateEvery = memberOr(document, "truncate_every", m_faults.truncateEvery);
    m_faults.loseStartEvery = memberOr(document, "lose_start_every", m_faults.loseStartEvery);
    respond(answer(200, Json::object()));
}

Resources StandinWorker::used() const
{
    Resources sum;
    for (const auto &[attempt, task] : m_tasks) {
        if (task.state == WorkerTaskState::Running) {
            sum = sum + task.start.resources;
        }
    }
    return sum;
}

WorkerReport StandinWorker::report(const std::string &knownTasks) const
{
    WorkerReport report {m_sequence, m_incarnation, m_description.capacity, m_description.slots,
        m_description.connections, m_busySlots, m_faults.leaving, m_incarnation + "/" + std::to_string(m_tasksVersion),
        false, {}};
    if (report.tasksVersion == knownTasks) {
        report.tasksUnchanged = true;
        return report;
    }
    for (const auto &[attempt, task] : m_tasks) {
        const std::string result = task.state == WorkerTaskState::Done ? "ok" : "";
        report.tasks.push_back({attempt, task.state, task.start.profile, task.start.resources, task.start.resources,
            task.checkpoint, result});
    }
    return report;
}

void StandinWorker::breach(const std::string &what)
{
    m_breaches.push_back(m_description.name + ": " + what);
}

Json StandinWorker::history() const
{
    Json running = Json::array();
    for (const auto &[attempt, task] : m_tasks) {
        if (task.state == WorkerTaskState::Running) {
            running.push_back({{"task", attempt.task}, {"attempt", attempt.attempt}, {"started", ticks(task.startedAt)},
                {"resumed_from", task.start.checkpoint}});
        }
    }
    return {{"worker", m_description.name}, {"ended", m_ended}, {"running", running}, {"requests", m_requests},
        {"last_request_at", m_lastRequestAt}, {"once", m_onceRequests}, {"once_bodies", m_onceBodies},
        {"now", ticks(m_clock.now())}};
}

}
