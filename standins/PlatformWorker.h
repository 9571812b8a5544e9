#pragma once

#include "GangRegistry.h"
#include "RunLedger.h"
#include "base/Clock.h"
#include "base/Resources.h"
#include "http/HttpMessages.h"

#include <functional>
#include <map>
#include <random>
#include <vector>

namespace Wagtail
{

// A stand-in for a worker in the platform's published protocol: starts, stops and paces runs under a lease on its own
// clock, and lists what runs and what has ended. What a run does is told by its payload, a JSON object with run_ms,
// millicores, memory_mb, fail_first (so many runs of the task fail), lasting, saves (checkpoints its progress), gang
// (the tasks of the first step are a gang of so many members), fills (its processors don't count) and per_worker (at
// most so many tasks of a step may be at work on one worker; 0 stands for no limit).
class PlatformWorker
{
public:
    using Respond = std::function<void(HttpResponse)>;
    // Calls a function after a delay.
    using Schedule = std::function<void(Milliseconds, std::function<void()>)>;

    struct Settings
    {
        std::string name;
        std::string address;
        std::string dataCentre;
        std::string rack;
        Resources capacity;
        // The speed of the worker's clock.
        double clockRate = 1.0;
        Milliseconds longestLease {10'000};
        Milliseconds longestStop {900};
        std::uint64_t seed = 1;
    };

    // The shares of calls, from 0 to 1, that meet a fault.
    struct Faults
    {
        double loseAnswers = 0.0;
        double carryOutLate = 0.0;
        // The same for report requests, which also extend leases.
        double reportLate = 0.0;
        // How much later than its call an order is carried out at most.
        Milliseconds longestDelay {4'000};
        // How much later than its checks a run begins at most. It is answered then, and not listed before.
        Milliseconds longestStartLag {0};
        double refuse = 0.0;
        bool silent = false;
        // Calls with the highest fencing token that the worker has seen when the fault begins, or a lower one, don't
        // arrive, or are carried out and not answered: the present owner is cut off and its successor is not.
        bool ownerRequestsCut = false;
        bool ownerAnswersCut = false;
        // The opposite: calls with a higher token don't arrive.
        bool successorsCut = false;
    };

    PlatformWorker(const Clock &clock, RunLedger &ledger, GangRegistry &gangs, Schedule schedule, Settings settings);

    void handle(const HttpRequest &request, const Respond &respond);

    // Ends runs that are over or whose lease has expired, and begins a new life after a crash. Call it often.
    void advance();

    // Ends everything that runs. The worker answers nothing until it starts again under its name or a new one.
    void crash(Milliseconds downtime, bool underNewName);

    // Announces that the worker will leave and end everything that runs so long after the store has the announcement.
    // It starts again under a new name after the downtime.
    void drain(Milliseconds duration, Milliseconds downtime);
    // The store has the entry that says that the worker drains.
    void notifyDrainingPublished();
    [[nodiscard]] bool isDraining() const;
    // Returns whether the worker is down because it has left as announced.
    [[nodiscard]] bool hasLeft() const;

    void setFaults(const Faults &faults);
    [[nodiscard]] bool isUp() const;
    [[nodiscard]] const std::string &name() const;
    // Returns what the worker registers about itself.
    [[nodiscard]] Json entry() const;

private:
    struct Run
    {
        RunLedger::Run name;
        Resources demand;
        Milliseconds workNeeded {0};
        Milliseconds workDone {0};
        Instant progressFrom;
        int percent = 100;
        bool fails = false;
        bool lasting = false;
        bool saves = false;
        std::optional<Instant> stopsAt = std::nullopt;
        Instant startedAt = {};
        std::optional<GangRegistry::Member> gang = std::nullopt;
    };

    struct End
    {
        std::uint64_t number = 0;
        RunLedger::Run run;
        std::string how;
        std::string checkpoint;
        Instant at;
        // How often the worker's lease had expired before the end.
        int lapses = 0;
    };

    struct Drain
    {
        Milliseconds duration {0};
        Milliseconds downtime {0};
        std::optional<Instant> leavesAt = std::nullopt;
    };

    // A request for a report that waits for an end.
    struct WaitingReport
    {
        Instant until;
        Respond respond;
    };

    void carryOut(const HttpRequest &request, const Respond &respond);
    void start(const Json &order, const Respond &respond);
    void begin(Run run, int perWorkerLimit);
    void stop(const Json &order, const Respond &respond);
    void pace(const Json &order, const Respond &respond);
    void report(const Json &order, const Respond &respond);
    // Returns how the run has ended by itself, or nothing while it goes on.
    [[nodiscard]] std::optional<std::string> endOf(const Run &run) const;
    void recordGrant(const Json &order);
    void end(const Run &run, const std::string &how);
    void extendLease(const Json &order);
    void updateProgress(Run &run) const;
    void goDown(Milliseconds downtime, bool underNewName, const char *how);
    void startNextLife();
    void answerWaitingReports(bool endListed);
    [[nodiscard]] Run *find(const std::string &task, std::uint64_t run);
    [[nodiscard]] Resources used() const;
    [[nodiscard]] std::int64_t clock() const;
    [[nodiscard]] HttpResponse reportNow();
    [[nodiscard]] HttpResponse reply(int status, Json body = Json::object()) const;
    [[nodiscard]] HttpResponse refusal(const char *reason) const;
    [[nodiscard]] bool happens(double share);
    [[nodiscard]] Milliseconds upTo(Milliseconds least, Milliseconds most);

    const Clock &m_clock;
    RunLedger &m_ledger;
    GangRegistry &m_gangs;
    Schedule m_schedule;
    Settings m_settings;
    Faults m_faults;
    std::mt19937_64 m_random;
    std::string m_name;
    int m_life = 0;
    Instant m_bornAt;
    std::int64_t m_bornWallMilliseconds = 0;
    std::optional<Instant> m_downUntil;
    bool m_newNameInNextLife = false;
    std::optional<Drain> m_drain;
    std::uint64_t m_token = 0;
    std::uint64_t m_tokenAtFault = 0;
    std::int64_t m_leaseUntil = 0;
    int m_lapses = 0;
    std::vector<Run> m_running;
    std::vector<End> m_ends;
    std::uint64_t m_nextEnd = 1;
    std::map<std::string, std::uint64_t> m_closed;
    std::vector<WaitingReport> m_waiting;
};

}
