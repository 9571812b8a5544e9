#include "PlatformProgram.h"

#include "http/HttpStatus.h"
#include "logging/Log.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds TickPeriod {20};
constexpr std::uint64_t BodyLimitBytes = 4U << 20U;
constexpr int WorkersPerRack = 8;
constexpr std::int64_t WorkerMilliCores = 64'000;
constexpr std::int64_t WorkerMemoryMegabytes = 256'000;
// The clock of every third worker is this much slower.
constexpr double SlowestClockRate = 0.98;
constexpr int SlowClockEvery = 3;

HttpResponse answer(int status, const Json &document = Json::object())
{
    return {status, {{"Content-Type", "application/json"}}, writeJson(document)};
}

}

PlatformProgram::PlatformProgram(asio::io_context &context, const Clock &clock, Settings settings)
    : m_context(context)
    , m_clock(clock)
    , m_settings(std::move(settings))
    , m_ledger(clock)
    , m_gangs(clock)
    , m_api(context, clock, m_settings.limits, m_settings.seed)
    , m_links(context)
    , m_timer(context)
{
}

Status PlatformProgram::listen(std::uint16_t port, HttpServer::Handler handler)
{
    auto server = HttpServer::create(m_context, {"127.0.0.1", port, BodyLimitBytes}, std::move(handler));
    if (const Error *error = errorOf(server)) {
        return *error;
    }
    m_servers.push_back(std::get<std::unique_ptr<HttpServer>>(std::move(server)));
    return std::monostate();
}

Status PlatformProgram::open()
{
    const auto onControl = [this](const HttpRequest &request, const HttpServer::Responder &respond) {
        control(request, respond);
    };
    const auto onStoreCall = [this](const HttpRequest &request, const HttpServer::Responder &respond) {
        m_api.handle(request, respond);
    };
    for (int i = 0; i < m_settings.instances; ++i) {
        const auto port = static_cast<std::uint16_t>(m_settings.linkPort + i);
        m_links.add("store", port, m_settings.storePort);
    }
    for (const Relay &relay : m_settings.relays) {
        m_links.add(relay.kind, relay.port, relay.targetPort);
    }
    Status status = listen(m_settings.storePort, onStoreCall);
    for (int i = 0; i < m_settings.workers && errorOf(status) == nullptr; ++i) {
        addWorker(i);
        PlatformWorker &worker = *m_machines.back().worker;
        const auto port = static_cast<std::uint16_t>(m_settings.workerPort + i);
        m_links.add("worker", static_cast<std::uint16_t>(m_settings.workerLinkPort + i), port);
        status = listen(port, [&worker](const HttpRequest &request, const HttpServer::Responder &respond) {
            worker.handle(request, respond);
        });
    }
    if (errorOf(status) == nullptr) {
        status = listen(m_settings.controlPort, onControl);
    }
    tick();
    return status;
}

void PlatformProgram::addWorker(int index)
{
    PlatformWorker::Settings settings;
    settings.name = "worker-" + std::to_string(index);
    settings.address = "127.0.0.1:" + std::to_string(m_settings.workerLinkPort + index);
    settings.dataCentre = m_settings.dataCentres[static_cast<std::size_t>(index) % m_settings.dataCentres.size()];
    settings.rack = settings.dataCentre + "-" + std::to_string(index / WorkersPerRack);
    settings.capacity = {WorkerMilliCores, WorkerMemoryMegabytes, 0};
    settings.clockRate = index % SlowClockEvery == 0 ? SlowestClockRate : 1.0;
    settings.longestLease = m_settings.longestLease;
    settings.longestStop = m_settings.longestStop;
    settings.seed = m_settings.seed + static_cast<std::uint64_t>(index);
    const auto schedule = [this](Milliseconds delay, std::function<void()> action) {
        auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
        timer->async_wait([timer, action = std::move(action)](const asio::error_code &) { action(); });
    };
    Machine machine;
    machine.worker = std::make_unique<PlatformWorker>(m_clock, m_ledger, m_gangs, schedule, settings);
    machine.registration = std::make_unique<WorkerRegistration>(m_clock, m_api.store(), *machine.worker, settings.seed);
    m_machines.push_back(std::move(machine));
}

void PlatformProgram::tick()
{
    m_api.advance();
    for (const Machine &machine : m_machines) {
        machine.worker->advance();
        if (m_api.isReachable()) {
            machine.registration->advance();
        }
    }
    flushLog();
    m_timer.expires_after(TickPeriod);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void PlatformProgram::control(const HttpRequest &request, const HttpServer::Responder &respond)
{
    if (request.path == "/violations") {
        respond(answer(HttpStatus::Ok, m_ledger.violations()));
        return;
    }
    if (request.path == "/counts") {
        const auto draining = std::count_if(
            m_machines.begin(), m_machines.end(), [](const Machine &machine) { return machine.worker->isDraining(); });
        respond(answer(HttpStatus::Ok,
            {{"limited_starts", m_ledger.limitedStarts()}, {"draining", draining}, {"ends", m_ledger.ends()},
                {"connections", m_links.counts()}}));
        return;
    }
    if (request.path == "/jobs") {
        respond(answer(HttpStatus::Ok, m_ledger.jobs()));
        return;
    }
    const Result<Json> parsed = parseJson(request.body, "the fault");
    if (const Error *error = errorOf(parsed)) {
        respond(answer(HttpStatus::BadRequest, {{"detail", error->detail}, {"remedy", error->remedy}}));
        return;
    }
    const Json &order = std::get<Json>(parsed);
    log(LogLevel::Info, "fault", {{"subject", request.path}, {"order", order}});
    if (request.path == "/store") {
        changeStore(order);
    } else if (request.path == "/lease") {
        dropLease(order);
    } else if (request.path == "/links") {
        m_links.apply(order);
    } else if (request.path == "/workers") {
        changeWorkers(order);
    } else {
        respond(answer(HttpStatus::NotFound, {{"detail", "no such path"}, {"remedy", "see PlatformProgram.h"}}));
        return;
    }
    respond(answer(HttpStatus::Ok));
}

// Every order states all faults of the store; what it does not name is over.
void PlatformProgram::changeStore(const Json &order)
{
    PlatformStoreApi::Faults faults;
    faults.silent = memberOr(order, "silent", false);
    faults.leasesExpire = memberOr(order, "leases_expire", true);
    faults.delay = Milliseconds(memberOr(order, "delay_ms", std::int64_t {0}));
    faults.loseAnswers = memberOr(order, "lose_answers", 0.0);
    faults.refuse = memberOr(order, "refuse", 0.0);
    faults.carryOutLate = memberOr(order, "carry_out_late", 0.0);
    if (memberOr(order, "expire_leases", false)) {
        m_api.store().expireLeases();
    }
    if (memberOr(order, "drop_history", false)) {
        m_api.store().dropHistory();
    }
    m_api.setFaults(faults);
}

void PlatformProgram::dropLease(const Json &order)
{
    if (const auto entry = m_api.store().read(memberOr(order, "key", std::string()))) {
        m_api.store().revokeLease(entry->lease);
    }
}

void PlatformProgram::changeWorkers(const Json &order)
{
    PlatformWorker::Faults faults;
    faults.loseAnswers = memberOr(order, "lose_answers", 0.0);
    faults.carryOutLate = memberOr(order, "carry_out_late", 0.0);
    faults.reportLate = memberOr(order, "report_late", 0.0);
    faults.longestDelay = Milliseconds(memberOr(order, "longest_delay_ms", std::int64_t {faults.longestDelay.count()}));
    faults.longestStartLag = Milliseconds(memberOr(order, "start_lag_ms", std::int64_t {0}));
    faults.refuse = memberOr(order, "refuse", 0.0);
    faults.silent = memberOr(order, "silent", false);
    faults.ownerRequestsCut = memberOr(order, "owner_requests_cut", false);
    faults.ownerAnswersCut = memberOr(order, "owner_answers_cut", false);
    faults.successorsCut = memberOr(order, "successors_cut", false);
    const Milliseconds drain(memberOr(order, "drain_ms", std::int64_t {0}));
    const Milliseconds downtime(memberOr(order, "downtime_ms", std::int64_t {0}));
    for (const std::size_t index : memberOr(order, "workers", std::vector<std::size_t>())) {
        if (index >= m_machines.size()) {
            continue;
        }
        PlatformWorker &worker = *m_machines[index].worker;
        worker.setFaults(faults);
        if (drain.count() > 0) {
            worker.drain(drain, downtime);
        } else if (downtime.count() > 0 && worker.isUp()) {
            worker.crash(downtime, memberOr(order, "new_name", false));
            m_links.noteRestart("worker", index);
        }
    }
}

}
