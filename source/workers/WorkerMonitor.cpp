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
    Contact contact;
    contact.address = address;
    contact.nextHeartbeat = m_clock.now();
    contact.leasesEnd = unreachedUntil;
    const auto [position, inserted] = m_contacts.try_emplace(worker, std::move(contact));
    if (!inserted) {
        position->second.address = address;
    }
}

void WorkerMonitor::remove(const std::string &worker)
{
    m_contacts.erase(worker);
}

void WorkerMonitor::tick()
{
    const Instant now = m_clock.now();
    std::vector<std::string> lost;
    for (auto &[worker, contact] : m_contacts) {
        if (!contact.waiting && now >= contact.nextHeartbeat) {
            beat(worker, contact);
        }
        if (!contact.lost && now >= contact.leasesEnd) {
            contact.lost = true;
            lost.push_back(worker);
        }
    }
    for (const std::string &worker : lost) {
        m_listener.onWorkerLost(worker);
    }
}

void WorkerMonitor::beat(const std::string &worker, Contact &contact)
{
    contact.waiting = true;
    contact.nextHeartbeat = m_clock.now() + m_limits.heartbeatPeriod;
    Heartbeat heartbeat;
    heartbeat.owner = m_owner;
    heartbeat.token = m_token;
    heartbeat.leaseMilliseconds = m_limits.taskLease.count();
    // A worker that was given up starts afresh: its tasks run elsewhere, so its lease there must not be renewed.
    heartbeat.echoedSequence = contact.lost ? 0 : contact.sequence;
    heartbeat.knownTasksVersion = contact.lost ? std::string() : contact.knownTasks;
    heartbeat.recordedEnds = contact.settled;
    const std::size_t settledCount = contact.settled.size();
    m_control.heartbeat(contact.address, std::move(heartbeat),
        [this, alive = m_alive, worker, settledCount](const Result<WorkerReport> &result) {
            if (*alive) {
                onAnswer(worker, settledCount, result);
            }
        });
}

void WorkerMonitor::onAnswer(const std::string &worker, std::size_t settledCount, const Result<WorkerReport> &result)
{
    const auto found = m_contacts.find(worker);
    if (found == m_contacts.end()) {
        return;
    }
    Contact &contact = found->second;
    contact.waiting = false;
    const Instant now = m_clock.now();
    if (const Error *error = errorOf(result)) {
        contact.nextHeartbeat = now + m_limits.retryPeriod;
        if (error->kind == ErrorKind::StaleToken) {
            m_listener.onWorkerTokenRejected(worker);
        } else {
            m_listener.onWorkerSilent(worker);
        }
        return;
    }
    const WorkerReport &report = std::get<WorkerReport>(result);
    const bool first = contact.reports == 0 || contact.lost;
    contact.settled.erase(contact.settled.begin(), contact.settled.begin() + static_cast<std::ptrdiff_t>(settledCount));
    contact.sequence = report.sequence;
    contact.reports = contact.lost ? 1 : contact.reports + 1;
    contact.lost = false;
    contact.leasesEnd = now + m_limits.taskLease + m_limits.margin;
    if (first) {
        contact.knownTasks.clear();
        // The lease begins only with the heartbeat that echoes this report.
        contact.nextHeartbeat = now;
    }
    const ReportProcessing use = m_listener.onWorkerReport(worker, report, first);
    const auto present = m_contacts.find(worker);
    if (present != m_contacts.end()) {
        present->second.knownTasks = use == ReportProcessing::Complete ? report.tasksVersion : std::string();
    }
}

void WorkerMonitor::acknowledgeEnd(const std::string &worker, TaskAttempt attempt)
{
    const auto found = m_contacts.find(worker);
    if (found != m_contacts.end()) {
        found->second.settled.push_back(std::move(attempt));
    }
}

bool WorkerMonitor::holdsLease(const std::string &worker) const
{
    const auto found = m_contacts.find(worker);
    constexpr std::uint64_t ReportsForLease = 2;
    return found != m_contacts.end() && !found->second.lost && found->second.reports >= ReportsForLease;
}

std::uint64_t WorkerMonitor::lastReportSequence(const std::string &worker) const
{
    const auto found = m_contacts.find(worker);
    return found == m_contacts.end() ? 0 : found->second.sequence;
}

bool WorkerMonitor::isLost(const std::string &worker) const
{
    const auto found = m_contacts.find(worker);
    return found != m_contacts.end() && found->second.lost;
}

}
