#include "workers/WorkerMonitor.h"

namespace Wagtail
{

WorkerMonitor::WorkerMonitor(WorkerControl &control, const Clock &clock, Listener &listener, WorkerMonitorLimits limits,
    std::string owner, FencingToken token)
    : m_control(control)
    , m_clock(clock)
    , m_listener(listener)
    , m_limits(limits)
    , m_owner(std::move(owner))
    , m_token(token)
{
}

WorkerMonitor::~WorkerMonitor()
{
    *m_alive = false;
}

void WorkerMonitor::add(const std::string &worker, const std::string &address, Instant unreachedUntil)
{
    WorkerState state;
    state.address = address;
    state.nextHeartbeat = m_clock.now();
    state.leasesEndAt = unreachedUntil;
    const auto [position, inserted] = m_workers.try_emplace(worker, std::move(state));
    if (!inserted) {
        position->second.address = address;
    }
}

void WorkerMonitor::remove(const std::string &worker)
{
    m_workers.erase(worker);
}

void WorkerMonitor::tick()
{
    const Instant now = m_clock.now();
    std::vector<std::string> lost;
    for (auto &[worker, state] : m_workers) {
        if (!state.awaitingAnswer && now >= state.nextHeartbeat) {
            sendHeartbeat(worker, state);
        }
        if (!state.lost && now >= state.leasesEndAt) {
            state.lost = true;
            lost.push_back(worker);
        }
    }
    for (const std::string &worker : lost) {
        m_listener.onWorkerLost(worker);
    }
}

void WorkerMonitor::sendHeartbeat(const std::string &worker, WorkerState &state)
{
    state.awaitingAnswer = true;
    state.nextHeartbeat = m_clock.now() + m_limits.heartbeatPeriod;
    Heartbeat heartbeat;
    heartbeat.owner = m_owner;
    heartbeat.token = m_token;
    heartbeat.leaseMilliseconds = m_limits.taskLease.count();
    // A lost worker starts over: its tasks were given to other workers, so its leases must not be renewed.
    heartbeat.echoedSequence = state.lost ? 0 : state.sequence;
    heartbeat.knownTasksVersion = state.lost ? std::string() : state.knownTasksVersion;
    heartbeat.recordedEnds = state.recordedEnds;
    const std::size_t acknowledgedCount = state.recordedEnds.size();
    m_control.heartbeat(state.address, std::move(heartbeat),
        [this, alive = m_alive, worker, acknowledgedCount](const Result<WorkerReport> &result) {
            if (*alive) {
                onHeartbeatAnswer(worker, acknowledgedCount, result);
            }
        });
}

void WorkerMonitor::onHeartbeatAnswer(
    const std::string &worker, std::size_t acknowledgedCount, const Result<WorkerReport> &result)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end()) {
        return;
    }
    WorkerState &state = found->second;
    state.awaitingAnswer = false;
    const Instant now = m_clock.now();
    if (const Error *error = errorOf(result)) {
        state.nextHeartbeat = now + m_limits.retryPeriod;
        if (error->kind == ErrorKind::StaleToken) {
            m_listener.onWorkerTokenRejected(worker);
        } else {
            m_listener.onWorkerSilent(worker);
        }
        return;
    }
    const WorkerReport &report = std::get<WorkerReport>(result);
    const bool first = state.reportCount == 0 || state.lost;
    state.recordedEnds.erase(
        state.recordedEnds.begin(), state.recordedEnds.begin() + static_cast<std::ptrdiff_t>(acknowledgedCount));
    state.sequence = report.sequence;
    state.reportCount = state.lost ? 1 : state.reportCount + 1;
    state.lost = false;
    state.leasesEndAt = now + m_limits.taskLease + m_limits.margin;
    if (first) {
        state.knownTasksVersion.clear();
        // The lease begins only with a heartbeat that echoes this report, so that heartbeat is sent at the next tick.
        state.nextHeartbeat = now;
    }
    const ReportProcessing processing = m_listener.onWorkerReport(worker, report, first);
    const auto current = m_workers.find(worker);
    // The listener may have removed the worker.
    if (current != m_workers.end()) {
        current->second.knownTasksVersion
            = processing == ReportProcessing::Complete ? report.tasksVersion : std::string();
    }
}

void WorkerMonitor::acknowledgeEnd(const std::string &worker, TaskAttempt attempt)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        found->second.recordedEnds.push_back(std::move(attempt));
    }
}

bool WorkerMonitor::holdsLease(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    // The second report answers the heartbeat that echoed the first one and thereby started the lease.
    constexpr std::uint64_t MinimumReportsForLease = 2;
    return found != m_workers.end() && !found->second.lost && found->second.reportCount >= MinimumReportsForLease;
}

std::uint64_t WorkerMonitor::lastReportSequence(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? 0 : found->second.sequence;
}

bool WorkerMonitor::isLost(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found != m_workers.end() && found->second.lost;
}

}
