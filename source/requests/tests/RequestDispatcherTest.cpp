#include "requests/RequestDispatcher.h"

#include "placement/ScoringPlacement.h"
#include "testing/ManualScheduler.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// Holds every attempt until the test answers it, and counts what each worker was given.
class HeldSender final : public RequestSender
{
public:
    void send(RequestAttempt attempt, Handler handler) override
    {
        ++given[attempt.workerAddress];
        held.emplace_back(std::move(attempt), std::move(handler));
    }

    void answer(std::size_t position, const RequestResult &result)
    {
        const auto [attempt, handler] = std::move(held[position]);
        held.erase(held.begin() + static_cast<std::ptrdiff_t>(position));
        --given[attempt.workerAddress];
        handler(result);
    }

    std::vector<std::pair<RequestAttempt, Handler>> held;
    std::map<std::string, int> given;
};

class OneFleet final : public FleetDirectory
{
public:
    std::vector<Fleet *> fleets() override
    {
        return {&fleet};
    }

    Fleet fleet;
};

RequestResult done(int status)
{
    return {Outcome::Done, status, "text/plain", "answer", {}};
}

}

// No worker is ever given more than its slots and resources; every request is answered exactly once, at most-once
// requests are handed over at most once unless refused, and "not run" is said only of requests that no worker ran.
RC_GTEST_PROP(RequestDispatcher, countsInOnePlaceAndAnswersOnce, ())
{
    ManualClock clock;
    ManualScheduler scheduler(clock);
    HeldSender sender;
    OneFleet directory;
    Timeline timeline(clock, "test", 100);
    Metrics metrics;
    ScoringPlacement placement([](const std::string &, const FleetWorker &) { return 0.0; });
    RequestDispatcher dispatcher({clock, scheduler, sender, placement, directory, timeline, metrics,
        [](const std::string &, const std::string &, const std::map<std::string, std::int64_t> &, double) {
        }});
    constexpr int Slots = 2;
    for (const char *name : {"a", "b"}) {
        directory.fleet.upsert({name, name, "dc", "rack", {1000, 1000, 0}, Slots, 64, false}, 1);
        directory.fleet.setAdmission(name, WorkerAdmission::Open);
    }
    std::map<std::string, int> answers;
    std::map<std::string, int> ran;
    std::map<std::string, Outcome> told;
    std::set<std::string> once;
    int submitted = 0;
    const auto steps = *rc::gen::resize(80,
        rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 1000))));
    for (const auto &[kind, argument] : steps) {
        if (kind <= 1) {
            auto profile = std::make_shared<Profile>();
            profile->name = kind == 0 ? "check" : "bill";
            profile->queueLimit = 3;
            profile->resources.milliCores = 300;
            profile->repeatability = kind == 0 ? Repeatability::Idempotent : Repeatability::AtMostOnce;
            const std::string identity = "r" + std::to_string(submitted++);
            if (kind == 1) {
                once.insert(identity);
            }
            const Instant deadline = clock.now() + Milliseconds(argument);
            dispatcher.submit(
                {identity, profile, deadline, deadline, "body"}, [&, identity](const RequestResult &result) {
                    ++answers[identity];
                    told[identity] = result.outcome;
                });
        } else if (kind == 2) {
            scheduler.advance(Milliseconds(argument % 200), Milliseconds(10));
            dispatcher.tick();
        } else if (!sender.held.empty()) {
            const std::size_t position = static_cast<std::size_t>(argument) % sender.held.size();
            const std::string identity = sender.held[position].first.request;
            if (kind == 5) {
                sender.answer(position, {Outcome::NotRun, 0, {}, {}, {ErrorKind::Overloaded, "refused", "retry"}});
            } else {
                ++ran[identity];
                const RequestResult unknown {Outcome::Unknown, 0, {}, {}, {ErrorKind::Internal, "lost", "ask"}};
                sender.answer(position, kind == 3 ? done(argument % 7 == 0 ? 500 : 200) : unknown);
            }
            scheduler.runDue();
        }
        for (const auto &[worker, count] : sender.given) {
            RC_ASSERT(count <= Slots);
        }
    }
    for (int round = 0; round < 400 && (!sender.held.empty() || dispatcher.queuedCount() > 0); ++round) {
        while (!sender.held.empty()) {
            ++ran[sender.held.front().first.request];
            sender.answer(0, done(200));
            scheduler.runDue();
        }
        scheduler.advance(Milliseconds(50));
        dispatcher.tick();
    }
    RC_ASSERT(answers.size() == static_cast<std::size_t>(submitted));
    for (const auto &[identity, count] : answers) {
        RC_ASSERT(count == 1);
        RC_ASSERT((told[identity] != Outcome::NotRun || ran[identity] == 0));
        RC_ASSERT((!once.contains(identity) || ran[identity] <= 1));
    }
}

}
