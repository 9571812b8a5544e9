#include "PlatformWorker.h"

#include "http/HttpStatus.h"

#include <algorithm>
#include <cstdio>

namespace Wagtail
{

namespace
{

constexpr std::size_t MaximumEndsPerReport = 500;
constexpr Milliseconds LongestWait {2'000};
constexpr Milliseconds CheckpointPeriod {2'000};
constexpr Milliseconds RestoreTime {250};
constexpr int FullSpeed = 100;
// How much later than its call an order is carried out at least, if it is late.
constexpr Milliseconds LeastOrderDelay {500};
// How long a member of a gang waits for the others.
constexpr Milliseconds GangTimeout {3'000};

// Returns whether a task, whose name has the form JOB.OCCURRENCE.STEP.INDEX, belongs to its job's first step.
bool isOfFirstStep(const std::string &task)
{
    const std::size_t index = task.rfind('.');
    return index != std::string::npos && index >= 2 && task.substr(index - 2, 2) == ".0";
}

std::string checkpointAt(Milliseconds work)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(work.count()));
    return text;
}

}

PlatformWorker::PlatformWorker(
    const Clock &clock, RunLedger &ledger, GangRegistry &gangs, Schedule schedule, Settings settings)
    : m_clock(clock)
    , m_ledger(ledger)
    , m_gangs(gangs)
    , m_schedule(std::move(schedule))
    , m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_name(m_settings.name)
{
    startNextLife();
}

void PlatformWorker::startNextLife()
{
    if (m_newNameInNextLife) {
        m_name = m_settings.name + "-" + std::to_string(m_life);
    }
    ++m_life;
    m_downUntil.reset();
    m_drain.reset();
    m_bornAt = m_clock.now();
    m_bornWallMilliseconds = m_clock.wallMilliseconds();
    m_token = 0;
    m_leaseUntil = 0;
    m_nextEnd = 1;
    m_ends.clear();
    m_closed.clear();
}

void PlatformWorker::crash(Milliseconds downtime, bool underNewName)
{
    if (isUp()) {
        m_drain.reset();
        goDown(downtime, underNewName, "crashed");
    }
}

void PlatformWorker::drain(Milliseconds duration, Milliseconds downtime)
{
    if (isUp() && !m_drain) {
        m_drain = {duration, downtime};
    }
}

void PlatformWorker::notifyDrainingPublished()
{
    if (m_drain && !m_drain->leavesAt) {
        m_drain->leavesAt = m_clock.now() + m_drain->duration;
    }
}

bool PlatformWorker::isDraining() const
{
    return isUp() && m_drain;
}

bool PlatformWorker::hasLeft() const
{
    return !isUp() && m_drain;
}

void PlatformWorker::goDown(Milliseconds downtime, bool underNewName, const char *how)
{
    for (const Run &run : m_running) {
        // A gang that was done just before counts as done, although this worker lists no end of it any more.
        const bool done = run.gang && m_gangs.stateOf(*run.gang) == GangRegistry::State::Done;
        m_ledger.recordEnd(run.name, done ? "done" : how);
        if (run.gang) {
            m_gangs.leave(*run.gang);
        }
    }
    m_running.clear();
    m_waiting.clear();
    m_newNameInNextLife = underNewName;
    m_downUntil = m_clock.now() + downtime;
}

void PlatformWorker::setFaults(const Faults &faults)
{
    m_faults = faults;
    m_tokenAtFault = m_token;
}

void PlatformWorker::recordGrant(const Json &order)
{
    const std::uint64_t token = memberOr(order, "FencingToken", std::uint64_t {0});
    if (order.contains("UntilMs") && token >= m_token) {
        m_ledger.recordGrant(m_settings.dataCentre, token);
    }
}

bool PlatformWorker::isUp() const
{
    return !m_downUntil;
}

const std::string &PlatformWorker::name() const
{
    return m_name;
}

Json PlatformWorker::entry() const
{
    return {{"Service", "workers"}, {"Address", m_settings.address}, {"Zone", m_settings.dataCentre}, {"Version", "1"},
        {"Slots", 8}, {"State", m_drain ? "draining" : "ready"}, {"ColdRemainingMs", 0}, {"Seq", 1},
        {"born", m_bornWallMilliseconds}, {"Labels", {"a", m_settings.rack}},
        {"Capacity",
            {{"Cpu", m_settings.capacity.milliCores}, {"MemMb", m_settings.capacity.memoryMegabytes}, {"Gpu", 0}}}};
}

std::int64_t PlatformWorker::clock() const
{
    const std::chrono::duration<double, std::milli> age = m_clock.now() - m_bornAt;
    return static_cast<std::int64_t>(age.count() * m_settings.clockRate);
}

bool PlatformWorker::happens(double share)
{
    return share > 0.0 && std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < share;
}

Milliseconds PlatformWorker::upTo(Milliseconds least, Milliseconds most)
{
    return Milliseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
}

HttpResponse PlatformWorker::reply(int status, Json body) const
{
    body["ClockMs"] = clock();
    body["born"] = m_bornWallMilliseconds;
    return {status, {{"Content-Type", "application/json"}}, writeJson(body)};
}

HttpResponse PlatformWorker::refusal(const char *reason) const
{
    return reply(HttpStatus::Conflict, {{"Reason", reason}});
}

// A connection on which a call is not answered stays open and silent.
void PlatformWorker::handle(const HttpRequest &request, const Respond &respond)
{
    advance();
    if (!isUp() || m_faults.silent) {
        return;
    }
    if (happens(m_faults.refuse)) {
        respond(reply(HttpStatus::ServiceUnavailable));
        return;
    }
    const Result<Json> parsed = parseJson(request.body, "the order");
    const Json *order = std::get_if<Json>(&parsed);
    const bool isOfOwner = order == nullptr || memberOr(*order, "FencingToken", std::uint64_t {0}) <= m_tokenAtFault;
    const bool cutOff = isOfOwner && (m_faults.ownerRequestsCut || m_faults.ownerAnswersCut);
    if (!isOfOwner && m_faults.successorsCut) {
        return;
    }
    if (cutOff && m_faults.ownerRequestsCut) {
        return;
    }
    if (order != nullptr) {
        recordGrant(*order);
    }
    if (happens(request.path == "/-/hold" ? m_faults.reportLate : m_faults.carryOutLate)) {
        // The worker has taken the order in, so it is lost with this life of the worker.
        m_schedule(upTo(LeastOrderDelay, m_faults.longestDelay), [this, request, life = m_life] {
            if (isUp() && m_life == life) {
                carryOut(request, [](const HttpResponse &) {});
            }
        });
        return;
    }
    if (cutOff || happens(m_faults.loseAnswers)) {
        carryOut(request, [](const HttpResponse &) {});
        return;
    }
    carryOut(request, respond);
}

void PlatformWorker::carryOut(const HttpRequest &request, const Respond &respond)
{
    advance();
    if (request.header("Expect-Instance").value_or(m_name) != m_name) {
        respond(reply(HttpStatus::MisdirectedRequest));
        return;
    }
    const Result<Json> parsed = parseJson(request.body, "the order");
    if (errorOf(parsed) != nullptr) {
        respond(reply(HttpStatus::BadRequest));
        return;
    }
    const Json &order = std::get<Json>(parsed);
    const std::uint64_t token = memberOr(order, "FencingToken", std::uint64_t {0});
    if (token < m_token) {
        respond(refusal("fence"));
        return;
    }
    m_token = token;
    if (request.path == "/-/run-start") {
        start(order, respond);
    } else if (request.path == "/-/run-stop") {
        stop(order, respond);
    } else if (request.path == "/-/pace") {
        pace(order, respond);
    } else if (request.path == "/-/hold") {
        report(order, respond);
    } else {
        respond(reply(HttpStatus::NotFound));
    }
}

void PlatformWorker::extendLease(const Json &order)
{
    const std::int64_t until = memberOr(order, "UntilMs", std::int64_t {0});
    m_leaseUntil = std::max(m_leaseUntil, std::min(until, clock() + m_settings.longestLease.count()));
}

void PlatformWorker::start(const Json &order, const Respond &respond)
{
    const std::string task = memberOr(order, "Task", std::string());
    const std::uint64_t number = memberOr(order, "Run", std::uint64_t {0});
    if (task.empty() || number == 0) {
        respond(reply(HttpStatus::BadRequest));
        return;
    }
    if (find(task, number) != nullptr) {
        extendLease(order);
        respond(reply(HttpStatus::Ok));
        return;
    }
    const auto closed = m_closed.find(task);
    if (closed != m_closed.end() && number <= closed->second) {
        extendLease(order);
        respond(refusal("old"));
        return;
    }
    if (memberOr(order, "UntilMs", std::int64_t {0}) <= clock()) {
        respond(refusal("late"));
        return;
    }
    extendLease(order);
    const Result<Json> payload = parseJson(memberOr(order, "Spec", std::string()), "the payload");
    if (errorOf(payload) != nullptr) {
        respond(reply(HttpStatus::BadRequest));
        return;
    }
    const Json &work = std::get<Json>(payload);
    const bool fills = memberOr(work, "fills", false);
    const Resources demand {
        fills ? 0 : memberOr(work, "millicores", std::int64_t {0}), memberOr(work, "memory_mb", std::int64_t {0}), 0};
    if (!(used() + demand).fitsInto(m_settings.capacity)) {
        respond(refusal("room"));
        return;
    }
    Run run;
    run.name = {task, number, m_name};
    run.demand = demand;
    run.workNeeded = Milliseconds(memberOr(work, "run_ms", std::int64_t {0}));
    run.workDone = Milliseconds(std::strtoll(memberOr(order, "Checkpoint", std::string()).c_str(), nullptr, 16));
    run.fails = m_ledger.failures(task) < memberOr(work, "fail_first", 0);
    run.lasting = memberOr(work, "lasting", false);
    run.saves = memberOr(work, "saves", false);
    const int members = memberOr(work, "gang", 0);
    if (members > 0 && isOfFirstStep(task)) {
        run.gang = GangRegistry::Member {task, number, members, run.workNeeded};
    }
    const int perWorkerLimit = memberOr(work, "per_worker", 0);
    if (m_faults.longestStartLag.count() == 0) {
        begin(std::move(run), perWorkerLimit);
        respond(reply(HttpStatus::Ok));
        return;
    }
    m_schedule(upTo(Milliseconds(0), m_faults.longestStartLag), [this, run, perWorkerLimit, respond, life = m_life] {
        if (!isUp() || m_life != life || find(run.name.task, run.name.number) != nullptr) {
            return;
        }
        const auto stopped = m_closed.find(run.name.task);
        if (stopped != m_closed.end() && run.name.number <= stopped->second) {
            respond(refusal("old"));
            return;
        }
        begin(run, perWorkerLimit);
        respond(reply(HttpStatus::Ok));
    });
}

void PlatformWorker::begin(Run run, int perWorkerLimit)
{
    run.startedAt = m_clock.now();
    run.progressFrom = run.startedAt + (run.workDone.count() > 0 ? RestoreTime : Milliseconds(0));
    if (run.gang) {
        m_gangs.join(*run.gang);
    }
    m_ledger.recordStart(run.name, perWorkerLimit);
    m_running.push_back(std::move(run));
}

void PlatformWorker::stop(const Json &order, const Respond &respond)
{
    const std::string task = memberOr(order, "Task", std::string());
    const std::uint64_t number = memberOr(order, "Run", std::uint64_t {0});
    std::uint64_t &closed = m_closed[task];
    closed = std::max(closed, number);
    Run *run = find(task, number);
    if (run != nullptr && !run->stopsAt) {
        run->stopsAt = m_clock.now() + upTo(Milliseconds(0), m_settings.longestStop);
    }
    respond(reply(HttpStatus::Ok));
}

void PlatformWorker::pace(const Json &order, const Respond &respond)
{
    Run *run = find(memberOr(order, "Task", std::string()), memberOr(order, "Run", std::uint64_t {0}));
    if (run != nullptr) {
        updateProgress(*run);
        run->percent = std::clamp(memberOr(order, "Percent", FullSpeed), 0, FullSpeed);
    }
    respond(reply(HttpStatus::Ok));
}

void PlatformWorker::report(const Json &order, const Respond &respond)
{
    if (order.contains("UntilMs")) {
        extendLease(order);
    }
    const std::uint64_t seen = memberOr(order, "LastSeen", std::uint64_t {0});
    for (const End &end : m_ends) {
        if (end.number <= seen && end.how == "done" && end.lapses == m_lapses) {
            m_ledger.recordAcknowledgement(end.run, end.at);
        }
    }
    std::erase_if(m_ends, [seen](const End &end) { return end.number <= seen; });
    const Milliseconds wait(
        std::clamp<std::int64_t>(memberOr(order, "WaitMs", std::int64_t {0}), 0, LongestWait.count()));
    if (wait.count() > 0 && m_ends.empty()) {
        m_waiting.push_back({m_clock.now() + wait, respond});
        return;
    }
    respond(reportNow());
}

HttpResponse PlatformWorker::reportNow()
{
    Json running = Json::array();
    for (Run &run : m_running) {
        updateProgress(run);
        const std::int64_t percent = run.lasting || run.workNeeded.count() == 0
            ? FullSpeed
            : FullSpeed * run.workDone.count() / run.workNeeded.count();
        const Milliseconds saved = run.workDone - run.workDone % CheckpointPeriod;
        running.push_back(
            {run.name.task, run.name.number, run.saves && saved.count() > 0 ? checkpointAt(saved) : std::string(),
                percent, run.demand.milliCores * run.percent / FullSpeed});
    }
    Json ended = Json::array();
    for (const End &end : m_ends) {
        if (ended.size() == MaximumEndsPerReport) {
            break;
        }
        ended.push_back({end.number, end.run.task, end.run.number, end.how, end.checkpoint});
    }
    return reply(HttpStatus::Ok, {{"Running", std::move(running)}, {"Ended", std::move(ended)}});
}

void PlatformWorker::updateProgress(Run &run) const
{
    const Instant now = m_clock.now();
    if (now > run.progressFrom) {
        const auto passed = std::chrono::duration_cast<Milliseconds>(now - run.progressFrom);
        run.workDone += passed * run.percent / FullSpeed;
        run.progressFrom += passed;
    }
}

void PlatformWorker::advance()
{
    if (m_downUntil) {
        if (m_clock.now() >= *m_downUntil) {
            startNextLife();
        }
        return;
    }
    if (m_drain && m_drain->leavesAt && m_clock.now() >= *m_drain->leavesAt) {
        goDown(m_drain->downtime, true, "left");
        return;
    }
    const bool lapsed = m_leaseUntil > 0 && clock() > m_leaseUntil;
    if (lapsed) {
        m_leaseUntil = 0;
        ++m_lapses;
    }
    std::vector<std::pair<Run, std::string>> over;
    for (Run &run : m_running) {
        updateProgress(run);
        if (lapsed) {
            over.emplace_back(run, "lapsed");
        } else if (run.stopsAt) {
            if (m_clock.now() >= *run.stopsAt) {
                over.emplace_back(run, "stopped");
            }
        } else if (const std::optional<std::string> how = endOf(run)) {
            over.emplace_back(run, *how);
        }
    }
    for (const auto &[run, how] : over) {
        end(run, how);
    }
    answerWaitingReports(!over.empty());
}

std::optional<std::string> PlatformWorker::endOf(const Run &run) const
{
    if (run.gang) {
        switch (m_gangs.stateOf(*run.gang)) {
        case GangRegistry::State::Assembling:
            return m_clock.now() - run.startedAt >= GangTimeout ? std::optional<std::string>("alone") : std::nullopt;
        case GangRegistry::State::Working:
            return std::nullopt;
        case GangRegistry::State::Done:
            return "done";
        case GangRegistry::State::Broken:
            return "broken";
        }
    }
    const Milliseconds needed = run.fails ? run.workNeeded / 2 : run.workNeeded;
    if (run.lasting || run.workDone < needed) {
        return std::nullopt;
    }
    return run.fails ? "failed" : "done";
}

void PlatformWorker::end(const Run &run, const std::string &how)
{
    std::uint64_t &closed = m_closed[run.name.task];
    closed = std::max(closed, run.name.number);
    const std::string checkpoint = run.saves && how == "stopped" ? checkpointAt(run.workDone) : std::string();
    m_ends.push_back({m_nextEnd++, run.name, how, checkpoint, m_clock.now(), m_lapses});
    m_ledger.recordEnd(run.name, how);
    if (run.gang) {
        m_gangs.leave(*run.gang);
    }
    std::erase_if(m_running,
        [&run](const Run &other) { return other.name.task == run.name.task && other.name.number == run.name.number; });
}

void PlatformWorker::answerWaitingReports(bool endListed)
{
    std::vector<WaitingReport> due;
    const auto isDue = [this, endListed](const WaitingReport &waiting) {
        return endListed || waiting.until <= m_clock.now();
    };
    std::copy_if(m_waiting.begin(), m_waiting.end(), std::back_inserter(due), isDue);
    std::erase_if(m_waiting, isDue);
    for (const WaitingReport &waiting : due) {
        waiting.respond(reportNow());
    }
}

PlatformWorker::Run *PlatformWorker::find(const std::string &task, std::uint64_t run)
{
    const auto found = std::find_if(m_running.begin(), m_running.end(),
        [&](const Run &candidate) { return candidate.name.task == task && candidate.name.number == run; });
    return found == m_running.end() ? nullptr : &*found;
}

Resources PlatformWorker::used() const
{
    Resources sum;
    for (const Run &run : m_running) {
        sum = sum + run.demand;
    }
    return sum;
}

}
