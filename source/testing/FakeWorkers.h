#pragma once

#include "scheduling/WorkerGateway.h"
#include "testing/CapacityHistory.h"
#include "testing/CrashRecord.h"
#include "testing/ManualScheduler.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Wagtail
{

// Workers that follow the platform's rules for runs, leases and tokens, and record what callers must never see.
class FakeWorkers
{
public:
    // How runs crash the worker that they run on.
    struct Crash
    {
        // Time from the start of the run to the crash. If it is zero, the worker does not even answer the start.
        Milliseconds after {10};
        // The index of the only task of a step that crashes its workers. All do if it is missing.
        std::optional<int> index;
    };

    // How a worker comes back after a crash.
    struct Recovery
    {
        enum class Identity {
            SameName,
            NewName,
        };

        Identity identity = Identity::SameName;
        Milliseconds downtime {3'500};
    };

    // What a worker does with starts for which it has no room.
    enum class CapacityGuard {
        None,
        RefusesStarts,
    };

    // How the tasks of a job behave.
    struct Behaviour
    {
        Milliseconds duration {300};
        // So many runs of each task fail before one succeeds.
        int failures = 0;
        bool lasting = false;
        // The usage that a worker reports for the task's run at the given time. See RunningTask::usage.
        std::function<std::int64_t(Instant)> usage = [](Instant) {
            return std::int64_t {0};
        };
        std::optional<Crash> crash = {};
        // The room that each run takes until its end is listed.
        Resources demand = {};
        // How long a run goes on after it was told to stop.
        Milliseconds stopDuration {0};
        // How many tasks of one step may be on a worker at the same time, including those that are being stopped. 0 for
        // no limit.
        int perWorkerLimit = 0;
    };

    explicit FakeWorkers(ManualClock &clock) : m_clock(clock)
    {
    }

    // How many run ends a report lists at most.
    std::size_t mostEndsPerReport = 500;

    void add(const WorkerListing &listing)
    {
        Worker &worker = m_workers[listing.name];
        worker.listing = listing;
        worker.bornAt = m_clock.now();
        worker.capacities.change(m_clock.now(), listing.capacity);
    }

    // Ends everything that runs on the worker and begins a new incarnation of it under its name.
    void restart(const std::string &name)
    {
        Worker &worker = m_workers.at(name);
        if (!worker.downUntil) {
            recordCrashes(worker);
        }
        beginLife(worker);
    }

    // Ends everything that runs on the worker without any notice. The worker answers nothing until it is back.
    void crash(const std::string &name)
    {
        Worker &worker = m_workers.at(name);
        if (worker.downUntil) {
            return;
        }
        recordCrashes(worker);
        worker.running.clear();
        worker.ended.clear();
        worker.crashedAt = m_clock.now();
        worker.downUntil = m_clock.now() + worker.recovery.downtime;
    }

    void setRecovery(const std::string &name, Recovery recovery)
    {
        m_workers.at(name).recovery = recovery;
    }

    void setCapacityGuard(const std::string &name, CapacityGuard guard)
    {
        m_workers.at(name).guard = guard;
    }

    // Changes the capacity of a worker while it runs. Nothing that runs ends.
    void setCapacity(const std::string &name, const Resources &capacity)
    {
        Worker &worker = m_workers.at(name);
        worker.listing.capacity = capacity;
        worker.capacities.change(m_clock.now(), capacity);
    }

    // Returns the name of the latest worker at the address, which may be down.
    [[nodiscard]] std::string nameAt(const std::string &address) const
    {
        for (const auto &[name, worker] : m_workers) {
            if (worker.listing.address == address) {
                return name;
            }
        }
        return {};
    }

    // Returns the name that a worker had before it came back under others.
    [[nodiscard]] static std::string firstNameOf(const std::string &name)
    {
        return name.substr(0, name.find('.'));
    }

    // Returns what the platform lists. A worker that has crashed stays listed for a while.
    [[nodiscard]] std::map<std::string, WorkerListing> listings() const
    {
        std::map<std::string, WorkerListing> listings;
        for (const auto &[name, worker] : m_workers) {
            if (isListed(worker)) {
                listings.emplace(name, worker.listing);
            }
        }
        return listings;
    }

    // Returns whether listings() would return the given listings.
    [[nodiscard]] bool areListed(const std::map<std::string, WorkerListing> &listings) const
    {
        std::size_t listed = 0;
        for (const auto &[name, worker] : m_workers) {
            if (!isListed(worker)) {
                continue;
            }
            const auto found = listings.find(name);
            if (found == listings.end() || found->second != worker.listing) {
                return false;
            }
            ++listed;
        }
        return listed == listings.size();
    }

    // Returns the incarnation of a worker, or 0 if no worker has the name.
    [[nodiscard]] std::int64_t incarnationOf(const std::string &name) const
    {
        const auto found = m_workers.find(name);
        return found == m_workers.end() ? 0 : found->second.listing.incarnation;
    }

    void setBehaviour(const std::string &job, Behaviour behaviour)
    {
        m_behaviours[job] = behaviour;
    }

    // Starts of the job's tasks need the ticket that FakeAdvisor gives for the worker.
    void requireTickets(const std::string &job)
    {
        m_advisedJobs.insert(job);
    }

    // Lets time pass: tasks end, leases run out, workers crash and come back.
    void advance()
    {
        for (auto &[name, worker] : m_workers) {
            advance(worker);
        }
        reviveWorkers();
    }

    OrderAnswer start(const std::string &name, FencingToken token, const StartOrder &order)
    {
        advance();
        if (!isUp(name)) {
            return {outcomeOfAbsent(name), std::nullopt};
        }
        Worker &worker = m_workers.at(name);
        if (token < worker.token) {
            return {OrderOutcome::Fenced, clockOf(worker)};
        }
        worker.token = token;
        const bool isRunning = std::any_of(
            worker.running.begin(), worker.running.end(), [&order](const Run &run) { return run.name == order.run; });
        if (isRunning) {
            extendLeases(worker, order.leaseUntil);
            return {OrderOutcome::Accepted, clockOf(worker)};
        }
        if (m_advisedJobs.contains(order.run.task.job) && order.ticket != "ticket of " + name) {
            return {OrderOutcome::TicketRefused, clockOf(worker)};
        }
        const auto closed = worker.closed.find(order.run.task);
        if (closed != worker.closed.end() && order.run.run <= closed->second) {
            extendLeases(worker, order.leaseUntil);
            return {OrderOutcome::Superseded, clockOf(worker)};
        }
        if (order.leaseUntil < clockOf(worker)) {
            return {OrderOutcome::Expired, clockOf(worker)};
        }
        extendLeases(worker, order.leaseUntil);
        const Resources demandAfter = demandOn(worker) + m_behaviours[order.run.task.job].demand;
        if (worker.guard == CapacityGuard::RefusesStarts && !demandAfter.fitsInto(worker.listing.capacity)) {
            return {OrderOutcome::NoRoom, clockOf(worker)};
        }
        begin(worker, order);
        advance(worker);
        return worker.downUntil ? OrderAnswer() : OrderAnswer {OrderOutcome::Accepted, clockOf(worker)};
    }

    OrderAnswer stop(const std::string &name, FencingToken token, const RunName &runName)
    {
        advance();
        if (!isUp(name)) {
            return {outcomeOfAbsent(name), std::nullopt};
        }
        Worker &worker = m_workers.at(name);
        if (token < worker.token) {
            return {OrderOutcome::Fenced, clockOf(worker)};
        }
        worker.token = token;
        std::uint64_t &closed = worker.closed[runName.task];
        closed = std::max(closed, runName.run);
        for (Run &run : worker.running) {
            if (run.name == runName && !run.stopsAt) {
                run.stopsAt = m_clock.now() + run.behaviour.stopDuration;
            }
        }
        advance(worker);
        return {OrderOutcome::Accepted, clockOf(worker)};
    }

    // Pauses a run if it may work at no speed. Any other speed counts as full speed.
    OrderAnswer throttle(const std::string &name, FencingToken token, const RunName &runName, int percent)
    {
        advance();
        if (!isUp(name)) {
            return {outcomeOfAbsent(name), std::nullopt};
        }
        Worker &worker = m_workers.at(name);
        if (token < worker.token) {
            return {OrderOutcome::Fenced, clockOf(worker)};
        }
        for (Run &run : worker.running) {
            if (run.name == runName && run.paused != (percent == 0)) {
                run.workedBefore = workedFor(run);
                run.workingSince = m_clock.now();
                run.paused = percent == 0;
            }
        }
        return {OrderOutcome::Accepted, clockOf(worker)};
    }

    std::variant<RunReport, OrderOutcome> report(
        const std::string &name, FencingToken token, const ReportRequest &request)
    {
        advance();
        if (!isUp(name)) {
            return outcomeOfAbsent(name);
        }
        Worker &worker = m_workers.at(name);
        if (token < worker.token) {
            return OrderOutcome::Fenced;
        }
        worker.token = token;
        if (request.leaseUntil) {
            extendLeases(worker, *request.leaseUntil);
        }
        for (const EndedTask &ended : worker.ended) {
            if (ended.number <= request.recordedEnd) {
                note(worker, ended);
            }
        }
        std::erase_if(worker.ended, [&](const EndedTask &ended) { return ended.number <= request.recordedEnd; });
        RunReport report;
        report.workerClock = clockOf(worker);
        report.incarnation = worker.listing.incarnation;
        report.ended.assign(worker.ended.begin(),
            worker.ended.begin() + static_cast<std::ptrdiff_t>(std::min(worker.ended.size(), mostEndsPerReport)));
        report.truncated = report.ended.size() >= mostEndsPerReport;
        for (const Run &run : worker.running) {
            report.running.push_back({run.name, {}, percentOf(run), run.behaviour.usage(m_clock.now())});
        }
        return report;
    }

    // Returns what must never happen and did.
    [[nodiscard]] std::vector<std::string> violations() const
    {
        std::vector<std::string> found = m_violations;
        const std::vector<std::string> crashViolations = m_crashRecord.violations();
        found.insert(found.end(), crashViolations.begin(), crashViolations.end());
        for (const auto &[task, starts] : m_starts) {
            const auto done = m_notedDone.find(task);
            if (done == m_notedDone.end()) {
                continue;
            }
            for (const Instant start : starts) {
                if (start > done->second) {
                    found.push_back(task.text() + " was started after its noted end");
                }
            }
        }
        return found;
    }

    [[nodiscard]] std::size_t runningCount() const
    {
        std::size_t count = 0;
        for (const auto &[name, worker] : m_workers) {
            count += worker.running.size();
        }
        return count;
    }

    // Returns how many runs of the job's tasks work, that is, are not paused.
    [[nodiscard]] int workingCount(const std::string &job) const
    {
        int count = 0;
        for (const auto &[name, worker] : m_workers) {
            count += static_cast<int>(std::count_if(worker.running.begin(), worker.running.end(),
                [&job](const Run &run) { return run.name.task.job == job && !run.paused; }));
        }
        return count;
    }

    [[nodiscard]] std::size_t startCount(const TaskName &task) const
    {
        const auto found = m_starts.find(task);
        return found == m_starts.end() ? 0 : found->second.size();
    }

    // Returns how many workers have crashed while they ran the task.
    [[nodiscard]] int crashesUnder(const TaskName &task) const
    {
        return m_crashRecord.crashesUnder(task);
    }

    // Returns whether the job may be given up, because two workers have crashed under one of its tasks.
    [[nodiscard]] bool mayBeGivenUp(const std::string &job) const
    {
        const auto &crashes = m_crashRecord.crashes();
        return std::any_of(crashes.begin(), crashes.end(),
            [&job](const auto &entry) { return entry.first.job == job && entry.second >= CrashesBeforeGivingUp; });
    }

    // Notes that an instance has read a report.
    void noteRead(const RunReport &report)
    {
        for (const EndedTask &ended : report.ended) {
            if (ended.end == RunEnd::Failed) {
                m_readFailures[ended.run.task].insert(ended.run.run);
            }
        }
    }

    // Returns whether the job may be shown as failed: it may be given up, or as many failed runs of one of its tasks as
    // allowed have been read.
    [[nodiscard]] bool mayFail(const std::string &job) const
    {
        const bool failed = std::any_of(m_readFailures.begin(), m_readFailures.end(),
            [&job](const auto &entry) { return entry.first.job == job && entry.second.size() >= MostAttempts; });
        return failed || mayBeGivenUp(job);
    }

private:
    struct Run
    {
        RunName name;
        std::int64_t leaseUntil = 0;
        // When the run last started to work, and how long it had worked before that.
        Instant workingSince;
        Behaviour behaviour;
        bool fails = false;
        bool paused = false;
        Milliseconds workedBefore {0};
        std::optional<Instant> stopsAt = {};
        std::optional<Instant> crashesAt = {};
    };

    struct Worker
    {
        WorkerListing listing;
        Instant bornAt;
        FencingToken token = 0;
        std::vector<Run> running;
        std::vector<EndedTask> ended;
        std::uint64_t nextEnd = 1;
        std::map<TaskName, std::uint64_t> closed;
        // The lease of everything on the worker, on its clock, and how often it has run out.
        std::int64_t leaseUntil = 0;
        int lapses = 0;
        std::map<std::uint64_t, int> lapsesAtEnd;
        // The actual capacity; the listing shows the present one.
        CapacityHistory capacities;
        CapacityGuard guard = CapacityGuard::None;
        Recovery recovery;
        Instant crashedAt;
        // Has a value while the worker is down.
        std::optional<Instant> downUntil;
    };

    [[nodiscard]] bool isListed(const Worker &worker) const
    {
        return !worker.downUntil || m_clock.now() - worker.crashedAt < SilenceBeforeUnlisted;
    }

    [[nodiscard]] bool isUp(const std::string &name) const
    {
        const auto found = m_workers.find(name);
        return found != m_workers.end() && !found->second.downUntil;
    }

    // Returns how a call ends whose target is down, or has come back under another name.
    [[nodiscard]] OrderOutcome outcomeOfAbsent(const std::string &name) const
    {
        const auto former = m_formerAddresses.find(name);
        const bool replaced = former != m_formerAddresses.end() && isUp(nameAt(former->second));
        return replaced ? OrderOutcome::OtherIncarnation : OrderOutcome::Unknown;
    }

    void advance(Worker &worker)
    {
        if (worker.leaseUntil > 0 && worker.leaseUntil < clockOf(worker)) {
            worker.leaseUntil = 0;
            ++worker.lapses;
        }
        const std::vector<Run> running = worker.running;
        for (const Run &run : running) {
            if (run.leaseUntil < clockOf(worker)) {
                end(worker, run, RunEnd::LeaseExpired);
            } else if (run.crashesAt && m_clock.now() >= *run.crashesAt) {
                crash(worker.listing.name);
                return;
            } else if (run.stopsAt) {
                if (m_clock.now() >= *run.stopsAt) {
                    end(worker, run, RunEnd::Stopped);
                }
            } else if (!run.behaviour.lasting && workedFor(run) >= run.behaviour.duration) {
                end(worker, run, run.fails ? RunEnd::Failed : RunEnd::Done);
            }
        }
    }

    void recordCrashes(const Worker &worker)
    {
        for (const Run &run : worker.running) {
            m_crashRecord.recordCrash(run.name.task);
        }
    }

    // Replaces what the worker runs and knows by that of a new incarnation.
    void beginLife(Worker &worker)
    {
        const Worker former = std::move(worker);
        worker = Worker();
        worker.listing = former.listing;
        worker.listing.incarnation = former.listing.incarnation + 1;
        worker.bornAt = m_clock.now();
        worker.capacities = former.capacities;
        worker.guard = former.guard;
        worker.recovery = former.recovery;
    }

    void reviveWorkers()
    {
        std::vector<std::string> due;
        for (const auto &[name, worker] : m_workers) {
            if (worker.downUntil && m_clock.now() >= *worker.downUntil) {
                due.push_back(name);
            }
        }
        for (const std::string &name : due) {
            Worker &worker = m_workers.at(name);
            beginLife(worker);
            if (worker.recovery.identity == Recovery::Identity::NewName) {
                rename(name);
            }
        }
    }

    // Gives the worker a new name, which contains the incarnation.
    void rename(const std::string &name)
    {
        auto node = m_workers.extract(name);
        WorkerListing &listing = node.mapped().listing;
        m_formerAddresses[name] = listing.address;
        listing.name = firstNameOf(name) + "." + std::to_string(listing.incarnation);
        node.key() = listing.name;
        m_workers.insert(std::move(node));
    }

    // Returns the room that runs take on the worker, including those that are being stopped.
    [[nodiscard]] static Resources demandOn(const Worker &worker)
    {
        Resources sum;
        for (const Run &run : worker.running) {
            sum = sum + run.behaviour.demand;
        }
        return sum;
    }

    [[nodiscard]] std::int64_t clockOf(const Worker &worker) const
    {
        return std::chrono::duration_cast<Milliseconds>(m_clock.now() - worker.bornAt).count();
    }

    [[nodiscard]] int percentOf(const Run &run) const
    {
        constexpr int AtWork = 100;
        const auto worked = workedFor(run).count();
        return run.behaviour.lasting ? AtWork : static_cast<int>(AtWork * worked / run.behaviour.duration.count());
    }

    [[nodiscard]] Milliseconds workedFor(const Run &run) const
    {
        const auto since = std::chrono::duration_cast<Milliseconds>(m_clock.now() - run.workingSince);
        return run.paused ? run.workedBefore : run.workedBefore + since;
    }

    // Workers grant no lease beyond the longest one.
    [[nodiscard]] std::int64_t shortened(const Worker &worker, std::int64_t until) const
    {
        return std::min(until, clockOf(worker) + LongestLease.count());
    }

    // Extends the lease of the worker and of all that runs on it, whichever order brought the new expiry.
    void extendLeases(Worker &worker, std::int64_t until) const
    {
        const std::int64_t granted = shortened(worker, until);
        worker.leaseUntil = std::max(worker.leaseUntil, granted);
        for (Run &run : worker.running) {
            run.leaseUntil = std::max(run.leaseUntil, granted);
        }
    }

    // Returns how many tasks of a step are on the worker, including those that are being stopped.
    [[nodiscard]] static std::size_t tasksOfStep(const Worker &worker, const TaskName &task)
    {
        return static_cast<std::size_t>(std::count_if(worker.running.begin(), worker.running.end(),
            [&task](const Run &run) { return isOfSameStep(run.name.task, task); }));
    }

    [[nodiscard]] static bool isOfSameStep(const TaskName &left, const TaskName &right)
    {
        return left.job == right.job && left.occurrence == right.occurrence && left.step == right.step;
    }

    void begin(Worker &worker, const StartOrder &order)
    {
        const TaskName &task = order.run.task;
        for (const auto &[name, other] : m_workers) {
            for (const Run &run : other.running) {
                if (run.name.task == task) {
                    m_violations.push_back(task.text() + " runs on " + name + " and " + worker.listing.name);
                }
            }
        }
        const Behaviour behaviour = m_behaviours[task.job];
        if (behaviour.failures > 0 && m_notedFailures[task].size() >= MostAttempts) {
            m_violations.push_back(task.text() + " was started after its last attempt");
        }
        const Resources permitted = worker.capacities.permitted(m_clock.now());
        if (worker.guard == CapacityGuard::None && !(demandOn(worker) + behaviour.demand).fitsInto(permitted)) {
            m_violations.push_back(task.text() + " was started on " + worker.listing.name + " over its capacity");
        }
        const auto limit = static_cast<std::size_t>(behaviour.perWorkerLimit);
        if (limit > 0 && tasksOfStep(worker, task) >= limit) {
            m_violations.push_back(
                task.text() + " was started on " + worker.listing.name + " beyond the limit of its step");
        }
        m_starts[task].push_back(m_clock.now());
        const bool fails = failureCount(task) < static_cast<std::size_t>(behaviour.failures);
        Run run {order.run, shortened(worker, order.leaseUntil), m_clock.now(), behaviour, fails};
        const bool crashes = behaviour.crash && behaviour.crash->index.value_or(task.index) == task.index;
        if (crashes) {
            run.crashesAt = m_clock.now() + behaviour.crash->after;
        }
        m_crashRecord.recordStart(task, crashes ? CrashRecord::Kind::CrashesWorkers : CrashRecord::Kind::Innocent);
        worker.running.push_back(std::move(run));
    }

    // Returns how many failures of a task have been acknowledged or are still listed by a worker.
    [[nodiscard]] std::size_t failureCount(const TaskName &task) const
    {
        const auto found = m_acknowledgedFailures.find(task);
        std::set<std::uint64_t> runs
            = found == m_acknowledgedFailures.end() ? std::set<std::uint64_t>() : found->second;
        for (const auto &[name, worker] : m_workers) {
            for (const EndedTask &ended : worker.ended) {
                if (ended.run.task == task && ended.end == RunEnd::Failed) {
                    runs.insert(ended.run.run);
                }
            }
        }
        return runs.size();
    }

    void end(Worker &worker, const Run &run, RunEnd how)
    {
        std::uint64_t &closed = worker.closed[run.name.task];
        closed = std::max(closed, run.name.run);
        worker.ended.push_back({worker.nextEnd, run.name, how, {}});
        worker.lapsesAtEnd[worker.nextEnd] = worker.lapses;
        ++worker.nextEnd;
        m_endedAt[run.name] = m_clock.now();
        std::erase_if(worker.running, [&run](const Run &other) { return other.name == run.name; });
    }

    // An end counts as noted when it is acknowledged, unless the worker's lease ran out in between: by then its owner
    // may have given the task to another worker.
    void note(const Worker &worker, const EndedTask &ended)
    {
        if (ended.end == RunEnd::Failed) {
            m_acknowledgedFailures[ended.run.task].insert(ended.run.run);
        }
        if (worker.lapsesAtEnd.at(ended.number) != worker.lapses) {
            return;
        }
        if (ended.end == RunEnd::Failed) {
            m_notedFailures[ended.run.task].insert(ended.run.run);
        }
        if (ended.end == RunEnd::Done) {
            const Instant when = m_endedAt[ended.run];
            const auto [entry, added] = m_notedDone.emplace(ended.run.task, when);
            entry->second = std::min(entry->second, when);
        }
    }

    static constexpr std::size_t MostAttempts = 3;
    static constexpr int CrashesBeforeGivingUp = 2;
    static constexpr Milliseconds LongestLease {2'000};
    // Time after a crash until the platform removes a worker that is still down from its list.
    static constexpr Milliseconds SilenceBeforeUnlisted {3'000};

    ManualClock &m_clock;
    std::map<std::string, Worker> m_workers;
    // The addresses of workers that came back under another name, by their former name.
    std::map<std::string, std::string> m_formerAddresses;
    CrashRecord m_crashRecord;
    std::map<std::string, Behaviour> m_behaviours;
    std::set<std::string> m_advisedJobs;
    std::map<TaskName, std::vector<Instant>> m_starts;
    std::map<RunName, Instant> m_endedAt;
    std::map<TaskName, Instant> m_notedDone;
    std::map<TaskName, std::set<std::uint64_t>> m_notedFailures;
    std::map<TaskName, std::set<std::uint64_t>> m_acknowledgedFailures;
    // All failures that an instance has read, even if no acknowledgement of them has reached the worker.
    std::map<TaskName, std::set<std::uint64_t>> m_readFailures;
    std::vector<std::string> m_violations;
};

// One instance's way to the workers, which can be cut, lose answers and carry orders out late.
class FakeWorkerGateway final : public WorkerGateway
{
public:
    FakeWorkerGateway(FakeWorkers &workers, ManualScheduler &scheduler) : m_workers(workers), m_scheduler(scheduler)
    {
    }

    bool cut = false;
    enum class CallKind {
        Start,
        Stop,
        Report,
    };

    // What becomes of a call that gets no answer.
    struct UnansweredCall
    {
        // Time until the worker carries the call out. It never does if this is missing.
        std::optional<Milliseconds> delay;
        // When the instance gives the call up.
        Milliseconds givenUpAfter = Timeout;
    };

    // Decides which calls to a worker get no answer.
    using CallFilter = std::function<std::optional<UnansweredCall>(CallKind, const std::string &worker)>;
    CallFilter filter;
    // Whether a worker that has restarted under its name carries out late calls to its former incarnation. If not, the
    // calls are lost with that incarnation.
    bool lateCallsOutliveRestarts = false;
    // Workers by the name that they had at first. They stay cut off when they come back under another name.
    std::set<std::string> cutWorkers;
    int loseAnswers = 0;
    int lateOrders = 0;
    // How long the instance takes until it reads a worker's answer to a report request.
    std::map<std::string, Milliseconds> reportDelays;
    // How long a worker waits for run ends before it answers a report request at most.
    Milliseconds longestWait {100};

    void start(const OrderTarget &target, const StartOrder &order, AnswerHandler handler) override
    {
        carry(target, std::move(handler), CallKind::Start,
            [this, target, order] { return m_workers.start(target.worker, target.token, order); });
    }

    void stop(const OrderTarget &target, const RunName &run, AnswerHandler handler) override
    {
        carry(target, std::move(handler), CallKind::Stop,
            [this, target, run] { return m_workers.stop(target.worker, target.token, run); });
    }

    void throttle(const OrderTarget &target, const RunName &run, int percent, AnswerHandler handler) override
    {
        carry(target, std::move(handler), {},
            [this, target, run, percent] { return m_workers.throttle(target.worker, target.token, run, percent); });
    }

    void report(const OrderTarget &target, const ReportRequest &request, ReportHandler handler) override
    {
        if (isCut(target)) {
            m_scheduler.after(Timeout, [handler = std::move(handler)] { handler(OrderOutcome::Unknown); });
            return;
        }
        if (const auto unanswered = filtered(CallKind::Report, target)) {
            carryLate(target, *unanswered,
                [this, target, request] { (void)m_workers.report(target.worker, target.token, request); });
            m_scheduler.after(Timeout, [handler = std::move(handler)] { handler(OrderOutcome::Unknown); });
            return;
        }
        const Milliseconds wait = std::min(request.wait, longestWait);
        m_scheduler.after(Delay + wait, [this, target, request, handler = std::move(handler)] {
            std::variant<RunReport, OrderOutcome> result = m_workers.report(target.worker, target.token, request);
            const auto slow = reportDelays.find(target.worker);
            const Milliseconds readingDelay = slow == reportDelays.end() ? Milliseconds(0) : slow->second;
            const auto *outcome = std::get_if<OrderOutcome>(&result);
            const bool unanswered = outcome != nullptr && *outcome == OrderOutcome::Unknown;
            m_scheduler.after(unanswered ? Timeout : Delay + readingDelay, [this, handler, result = std::move(result)] {
                if (const auto *report = std::get_if<RunReport>(&result)) {
                    m_workers.noteRead(*report);
                }
                handler(result);
            });
        });
    }

private:
    static constexpr Milliseconds Delay {2};
    static constexpr Milliseconds Timeout {400};
    static constexpr Milliseconds LateDelay {3'000};

    [[nodiscard]] bool isCut(const OrderTarget &target) const
    {
        return cut || cutWorkers.contains(FakeWorkers::firstNameOf(target.worker));
    }

    [[nodiscard]] std::optional<UnansweredCall> filtered(std::optional<CallKind> kind, const OrderTarget &target) const
    {
        return filter && kind ? filter(*kind, target.worker) : std::nullopt;
    }

    void carryLate(const OrderTarget &target, const UnansweredCall &call, std::function<void()> work)
    {
        if (!call.delay) {
            return;
        }
        const std::int64_t incarnation = m_workers.incarnationOf(target.worker);
        m_scheduler.after(*call.delay, [this, work = std::move(work), worker = target.worker, incarnation] {
            if (lateCallsOutliveRestarts || m_workers.incarnationOf(worker) == incarnation) {
                work();
            }
        });
    }

    template<typename Work>
    void carry(const OrderTarget &target, AnswerHandler handler, std::optional<CallKind> kind, Work work)
    {
        if (isCut(target)) {
            m_scheduler.after(Timeout, [handler = std::move(handler)] { handler({}); });
            return;
        }
        std::optional<UnansweredCall> late = filtered(kind, target);
        if (!late && lateOrders > 0) {
            --lateOrders;
            late = UnansweredCall {LateDelay};
        }
        if (late) {
            carryLate(target, *late, [work] { (void)work(); });
            m_scheduler.after(late->givenUpAfter, [handler = std::move(handler)] { handler({}); });
            return;
        }
        const bool lost = loseAnswers > 0;
        loseAnswers -= lost ? 1 : 0;
        m_scheduler.after(Delay, [this, lost, work, handler = std::move(handler)] {
            const OrderAnswer given = work();
            const OrderAnswer answer = lost ? OrderAnswer() : given;
            const bool unanswered = answer.outcome == OrderOutcome::Unknown;
            m_scheduler.after(unanswered ? Timeout : Delay, [handler, answer] { handler(answer); });
        });
    }

    FakeWorkers &m_workers;
    ManualScheduler &m_scheduler;
};

}
