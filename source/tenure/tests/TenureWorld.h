#pragma once

#include "configuration/PrefixWatcher.h"
#include "tenure/JobApi.h"
#include "tenure/JobKeys.h"
#include "tenure/JobRouter.h"
#include "testing/FakeAdvisor.h"
#include "testing/FakeWorkers.h"
#include "testing/FaultyStore.h"

namespace Wagtail
{

// Carries calls between the instances of a test.
class FakePeerClient final : public HttpClient
{
public:
    using Server = std::function<bool(const HttpRequest &, const HttpServer::Responder &)>;

    explicit FakePeerClient(ManualScheduler &scheduler) : m_scheduler(scheduler)
    {
    }

    // By the host part of the URL.
    std::map<std::string, Server> servers;

    void send(HttpCall call, Handler handler) override
    {
        constexpr std::string_view Scheme = "http://";
        const std::string rest = call.url.substr(Scheme.size());
        const std::string host = rest.substr(0, rest.find('/'));
        HttpRequest request;
        request.method = call.method;
        request.path = rest.substr(rest.find('/'));
        request.body = call.body;
        m_scheduler.after(Milliseconds(1), [this, host, request, handler = std::move(handler)] {
            const auto server = servers.find(host);
            if (server == servers.end()) {
                HttpAnswer none;
                none.failure = "connection refused";
                handler(none);
                return;
            }
            server->second(request, [handler](const HttpResponse &response) {
                HttpAnswer answer;
                answer.delivery = Delivery::Answered;
                answer.status = response.status;
                answer.body = response.body;
                handler(answer);
            });
        });
    }

private:
    ManualScheduler &m_scheduler;
};

// What a process has sent goes on after its end.
struct InstanceWires
{
    InstanceWires(ManualScheduler &scheduler, StandinStore &state, FakeWorkers &workers)
        : store(state, scheduler), gateway(workers, scheduler)
    {
    }

    FaultyStore store;
    FakeWorkerGateway gateway;
};

// One process: all that it decides.
struct TenureInstance
{
    TenureInstance(ManualClock &clock, ManualScheduler &scheduler, InstanceWires &wires, FakeWorkers &workers,
        HttpClient &peers, PlacementAdvisor &advisor, const PartitionPlan &plan, const std::string &name, int life)
        : store(wires.store)
        , gateway(wires.gateway)
        , lease(store, scheduler, clock, {}, JobKeys::Instances + name)
        , cluster([](const std::string &) {})
        , feed(store, scheduler, cluster, JobKeys::Cluster)
        , card {name, name, "depot", "wheatbelt", name + "-" + std::to_string(life), 250}
        , seats({clock, scheduler, store, gateway, lease, cluster, plan, log, &advisor}, card, limits())
        , api(seats)
        , router({clock, scheduler, store, peers, seats, plan, log, plan.partitions().front()})
    {
        lease.start(serialize(card));
        feed.start();
        seats.updateWorkers(workers.listings());
    }

    static JobKeeper::Limits limits()
    {
        JobKeeper::Limits limits;
        limits.scheduling.lease = Milliseconds(2'000);
        return limits;
    }

    static void log(std::string_view, const std::string &, const Json &)
    {
    }

    FaultyStore &store;
    FakeWorkerGateway &gateway;
    InstanceLease lease;
    VersionedEntries cluster;
    PrefixWatcher feed;
    InstanceCard card;
    PartitionSeats seats;
    JobApi api;
    JobRouter router;
};

// Three instances, four workers and the store, under a fake clock.
class TenureWorld
{
public:
    static constexpr int InstanceCount = 3;
    static constexpr int WorkerCount = 4;
    // The first so many data centres have workers.
    static constexpr std::size_t WorkerPlaces = 2;

    // Takes the region of each data centre. The workers stand in the data centres in turn.
    explicit TenureWorld(const std::map<std::string, std::string> &regions = {{"depot", "wheatbelt"}})
        : scheduler(clock), state(clock), workers(clock), peers(scheduler), advisor(scheduler), plan(regions)
    {
        std::vector<std::string> dataCentres;
        dataCentres.reserve(regions.size());
        for (const auto &[dataCentre, region] : regions) {
            dataCentres.push_back(dataCentre);
        }
        for (int i = 0; i < WorkerCount; ++i) {
            const std::string name = "worker-" + std::to_string(i);
            const std::string &dataCentre
                = dataCentres[static_cast<std::size_t>(i) % WorkerPlaces % dataCentres.size()];
            workers.add({name, name + ":1", "pool", dataCentre, "rack", {}, {4'000, 8'000, 0}, 1, false});
        }
        for (int i = 0; i < InstanceCount; ++i) {
            start(i);
        }
    }

    void start(int number)
    {
        const std::string name = "instance-" + std::to_string(number);
        m_wires.push_back(std::make_unique<InstanceWires>(scheduler, state, workers));
        instances[number] = std::make_unique<TenureInstance>(
            clock, scheduler, *m_wires.back(), workers, peers, advisor, plan, name, ++m_lives);
        TenureInstance *instance = instances[number].get();
        peers.servers[name] = [instance](const HttpRequest &request, const HttpServer::Responder &respond) {
            return instance->api.handle(request, respond);
        };
    }

    void kill(int number)
    {
        peers.servers.erase("instance-" + std::to_string(number));
        instances[number].reset();
    }

    void restartWorker(int number)
    {
        workers.restart("worker-" + std::to_string(number));
        for (const auto &[id, instance] : instances) {
            if (instance) {
                instance->seats.updateWorkers(workers.listings());
            }
        }
    }

    void advance(Milliseconds duration)
    {
        constexpr Milliseconds Step {20};
        for (Milliseconds passed {0}; passed < duration; passed += Step) {
            scheduler.advance(Step, Step);
            state.advance();
            workers.advance();
            m_untilTick -= Step;
            if (m_untilTick.count() > 0) {
                continue;
            }
            m_untilTick = JobScheduler::TickPeriod;
            shareRooms();
            for (const auto &[id, instance] : instances) {
                if (instance) {
                    instance->seats.tick();
                }
            }
        }
    }

    static JobRecord job(const std::string &id, int steps, int width)
    {
        JobRecord record;
        record.specification.id = id;
        record.specification.queue = "queue";
        record.specification.payload = "work of " + id;
        for (int i = 0; i < steps; ++i) {
            StepSpecification step;
            step.count = width;
            step.demand = {1'000, 500, 0};
            step.estimate = Milliseconds(300);
            if (i > 0) {
                step.after = {i - 1};
            }
            record.specification.steps.push_back(step);
        }
        record.policy = {"queue", "pool", 0, 3, 2.0, Milliseconds(1'000), false};
        record.acceptedWall = 0;
        return record;
    }

    // Returns what any instance answers for the job's state, or nothing.
    std::optional<JobPhase> phaseOf(const std::string &id)
    {
        std::optional<JobPhase> found;
        for (const auto &[number, instance] : instances) {
            if (!instance) {
                continue;
            }
            instance->router.status(
                id, clock.now() + Milliseconds(3'000), [&found](RouteOutcome outcome, JobPhase phase) {
                    if (outcome == RouteOutcome::Done) {
                        found = phase;
                    }
                });
            advance(Milliseconds(1'500));
            return found;
        }
        return found;
    }

    // Returns the instance that owns the first partition, or null.
    TenureInstance *owner()
    {
        return ownerOf(plan.partitions().front());
    }

    // Returns the instance that owns the partition, or null.
    TenureInstance *ownerOf(const std::string &partition)
    {
        for (const auto &[number, instance] : instances) {
            if (instance && instance->seats.keeper(partition) != nullptr) {
                return instance.get();
            }
        }
        return nullptr;
    }

    // Shows all instances the workers except the named ones.
    void listWorkersWithout(const std::set<std::string> &missing)
    {
        std::map<std::string, WorkerListing> listings = workers.listings();
        for (const std::string &name : missing) {
            listings.erase(name);
        }
        for (const auto &[id, instance] : instances) {
            if (instance) {
                instance->seats.updateWorkers(listings);
            }
        }
    }

    // Tells all owners what the others have room for.
    void shareRooms()
    {
        for (const std::string &partition : plan.partitions()) {
            const TenureInstance *owner = ownerOf(partition);
            if (owner == nullptr) {
                continue;
            }
            const PoolHeadrooms rooms
                = instances.at(owner->card.name.back() - '0')->seats.keeper(partition)->jobs().headrooms();
            for (const auto &[id, instance] : instances) {
                if (instance) {
                    instance->seats.updateRoom(partition, rooms);
                }
            }
        }
    }

    ManualClock clock;
    ManualScheduler scheduler;
    StandinStore state;
    FakeWorkers workers;
    FakePeerClient peers;
    FakeAdvisor advisor;
    PartitionPlan plan;
    std::map<int, std::unique_ptr<TenureInstance>> instances;

private:
    int m_lives = 0;
    std::vector<std::unique_ptr<InstanceWires>> m_wires;
    Milliseconds m_untilTick {0};
};

}
