#pragma once

#include "configuration/PrefixWatcher.h"
#include "tenure/JobApi.h"
#include "tenure/JobKeys.h"
#include "tenure/JobRouter.h"
#include "testing/FakeAdvisor.h"
#include "testing/FakeWorkers.h"
#include "testing/FaultyStore.h"

#include <deque>

namespace Wagtail
{

// Delivers HTTP calls between the instances of a test.
class FakePeerClient final : public HttpClient
{
public:
    using Server = std::function<bool(const HttpRequest &, const HttpServer::Responder &)>;

    explicit FakePeerClient(ManualScheduler &scheduler) : m_scheduler(scheduler)
    {
    }

    // Request handlers by the host part of the URL.
    std::map<std::string, Server> servers;

    void send(HttpCall call, Handler handler) override
    {
        constexpr std::string_view Scheme = "http://";
        const std::string rest = call.url.substr(Scheme.size());
        const std::string host = rest.substr(0, rest.find('/'));
        HttpRequest request;
        request.method = call.method;
        request.path = rest.substr(rest.find('/'));
        if (const std::size_t query = request.path.find('?'); query != std::string::npos) {
            request.query = request.path.substr(query + 1);
            request.path.erase(query);
        }
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

// The store and the workers as one process reaches them. Outlives the process, because calls that it sent still take
// effect after its end.
struct InstanceConnections
{
    InstanceConnections(ManualScheduler &scheduler, StandinStore &state, FakeWorkers &workers)
        : store(state, scheduler), gateway(workers, scheduler)
    {
    }

    FaultyStore store;
    FakeWorkerGateway gateway;
};

// What the platform lists, by the names of the workers.
using WorkerListings = std::map<std::string, WorkerListing>;

// One instance of the daemon with its ownership of partitions, its API and its router.
struct TestInstance
{
    TestInstance(ManualClock &clock, ManualScheduler &scheduler, InstanceConnections &connections,
        const WorkerListings &workers, HttpClient &peers, PlacementAdvisor &advisor, const PartitionPlan &plan,
        const std::string &name, int incarnation)
        : store(connections.store)
        , gateway(connections.gateway)
        , lease(store, scheduler, clock, {}, JobKeys::Instances + name)
        , cluster([](const std::string &) {})
        , feed(store, scheduler, cluster, JobKeys::Cluster)
        , self {name, name, "depot", "wheatbelt", name + "-" + std::to_string(incarnation), 250}
        , ownership(
              {clock, scheduler, store, gateway, lease, cluster, plan, discardLog, &advisor, &peers}, self, limits())
        , api(ownership)
        , router({clock, scheduler, store, peers, ownership, plan, discardLog, plan.partitions().front()})
    {
        lease.start(serialize(self));
        feed.start();
        ownership.updateWorkers(workers);
    }

    static PartitionLeader::Limits limits()
    {
        PartitionLeader::Limits limits;
        limits.scheduling.lease = Milliseconds(2'000);
        limits.scheduling.longestLease = limits.scheduling.lease;
        limits.longestWorkerLease = Milliseconds(10'000);
        return limits;
    }

    static void discardLog(std::string_view, const std::string &, const Json &)
    {
    }

    FaultyStore &store;
    FakeWorkerGateway &gateway;
    InstanceLease lease;
    VersionedEntries cluster;
    PrefixWatcher feed;
    InstanceEntry self;
    PartitionOwnership ownership;
    JobApi api;
    JobRouter router;
};

// Three instances, four workers and a store under a manual clock.
class TestCluster
{
public:
    static constexpr int InstanceCount = 3;
    static constexpr int WorkerCount = 4;
    // The number of data centres that have workers.
    static constexpr std::size_t WorkerDataCentres = 2;

    // Takes the region of each data centre. The workers are spread evenly over the first data centres.
    explicit TestCluster(const std::map<std::string, std::string> &regions = {{"depot", "wheatbelt"}})
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
                = dataCentres[static_cast<std::size_t>(i) % WorkerDataCentres % dataCentres.size()];
            workers.add({name, name + ":1", "pool", dataCentre, "rack", {}, {4'000, 8'000, 0}, 1, false});
        }
        m_seenListings = workers.listings();
        m_deliveredListings = m_seenListings;
        for (int i = 0; i < InstanceCount; ++i) {
            start(i);
        }
    }

    void start(int number)
    {
        const std::string name = "instance-" + std::to_string(number);
        m_connections.push_back(std::make_unique<InstanceConnections>(scheduler, state, workers));
        instances[number] = std::make_unique<TestInstance>(clock, scheduler, *m_connections.back(),
            withoutMissing(m_deliveredListings), peers, advisor, plan, name, ++m_incarnations);
        TestInstance *instance = instances[number].get();
        peers.servers[name] = [instance](const HttpRequest &request, const HttpServer::Responder &respond) {
            return instance->api.handle(request, respond);
        };
    }

    void kill(int number)
    {
        peers.servers.erase("instance-" + std::to_string(number));
        instances[number].reset();
    }

    // Restarts a worker in an instant, and lists it at once.
    void restartWorker(int number)
    {
        workers.restart(workerName(number));
        listAllWorkersExcept(m_missing);
    }

    // Returns the present name of a worker, which may change when it crashes.
    [[nodiscard]] std::string workerName(int number) const
    {
        return workers.nameAt("worker-" + std::to_string(number) + ":1");
    }

    void advance(Milliseconds duration)
    {
        constexpr Milliseconds Step {20};
        for (Milliseconds passed {0}; passed < duration; passed += Step) {
            scheduler.advance(Step, Step);
            state.advance();
            workers.advance();
            deliverListings();
            m_untilTick -= Step;
            if (m_untilTick.count() > 0) {
                continue;
            }
            m_untilTick = JobScheduler::TickPeriod;
            shareHeadrooms();
            for (const auto &[id, instance] : instances) {
                if (instance && !heldUp.contains(id)) {
                    instance->ownership.tick();
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

    // Submits a job with one long-running task through the owner of the first partition. Returns the worker on which
    // the task runs two seconds later.
    std::string startLongRunning(const std::string &id)
    {
        constexpr Milliseconds Deadline {3'000};
        workers.setBehaviour(id, {Milliseconds(100), 0, true});
        JobRecord record = job(id, 1, 1);
        record.specification.steps[0].longRunning = true;
        TestInstance *instance = owner();
        instance->router.submit(record, clock.now() + Deadline, [](RouteOutcome) {});
        advance(Milliseconds(2'000));
        const JobScheduler &jobs = instance->ownership.leader(plan.partitions().front())->jobScheduler();
        return jobs.find(id)->occurrences.at(0).steps[0].tasks[0].worker;
    }

    // Returns the job's phase according to the first running instance, or nothing.
    std::optional<JobPhase> phaseOf(const std::string &id)
    {
        const std::map<std::string, JobPhase> found = phasesOf({id});
        return found.empty() ? std::nullopt : std::optional(found.begin()->second);
    }

    // Returns the phases of the jobs according to the first running instance, which is asked for all at once. Jobs
    // that it does not know are missing.
    std::map<std::string, JobPhase> phasesOf(const std::vector<std::string> &ids)
    {
        std::map<std::string, JobPhase> found;
        const auto running = std::find_if(
            instances.begin(), instances.end(), [](const auto &entry) { return entry.second != nullptr; });
        if (running == instances.end()) {
            return found;
        }
        for (const std::string &id : ids) {
            running->second->router.status(
                id, clock.now() + Milliseconds(3'000), [&found, id](RouteOutcome outcome, JobPhase phase) {
                    if (outcome == RouteOutcome::Done) {
                        found[id] = phase;
                    }
                });
        }
        advance(Milliseconds(1'500));
        return found;
    }

    // Returns the instance that owns the first partition, or null.
    TestInstance *owner()
    {
        return ownerOf(plan.partitions().front());
    }

    // Returns the instance that owns the partition, or null.
    TestInstance *ownerOf(const std::string &partition)
    {
        for (const auto &[number, instance] : instances) {
            if (instance && instance->ownership.leader(partition) != nullptr) {
                return instance.get();
            }
        }
        return nullptr;
    }

    // Lists to all instances the workers except the missing ones, without the usual delay. The missing workers are
    // given by their first names, and stay unlisted when they come back under others.
    void listAllWorkersExcept(const std::set<std::string> &missing)
    {
        m_missing = missing;
        m_seenListings = workers.listings();
        m_deliveredListings = m_seenListings;
        m_listingsUnderway.clear();
        list(m_seenListings);
    }

    // Sends each partition's headroom to all instances.
    void shareHeadrooms()
    {
        for (const std::string &partition : plan.partitions()) {
            const TestInstance *owner = ownerOf(partition);
            if (owner == nullptr) {
                continue;
            }
            const PoolHeadrooms headrooms
                = instances.at(owner->self.name.back() - '0')->ownership.leader(partition)->jobScheduler().headrooms();
            for (const auto &[id, instance] : instances) {
                if (instance) {
                    instance->ownership.updateHeadroom(partition, headrooms);
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
    std::map<int, std::unique_ptr<TestInstance>> instances;
    // Instances that handle answers but do not come to what is due at a certain time.
    std::set<int> heldUp;

private:
    // Time from a change of the workers' listings until the instances have them.
    static constexpr Milliseconds ListingDelay {1'000};

    void list(const WorkerListings &listings)
    {
        for (const auto &[id, instance] : instances) {
            if (instance) {
                instance->ownership.updateWorkers(withoutMissing(listings));
            }
        }
    }

    [[nodiscard]] WorkerListings withoutMissing(WorkerListings listings) const
    {
        std::erase_if(
            listings, [this](const auto &entry) { return m_missing.contains(FakeWorkers::firstNameOf(entry.first)); });
        return listings;
    }

    // Passes changes of what the platform lists on to all instances after a delay.
    void deliverListings()
    {
        if (!workers.areListed(m_seenListings)) {
            m_seenListings = workers.listings();
            m_listingsUnderway.emplace_back(clock.now() + ListingDelay, m_seenListings);
        }
        while (!m_listingsUnderway.empty() && m_listingsUnderway.front().first <= clock.now()) {
            m_deliveredListings = m_listingsUnderway.front().second;
            m_listingsUnderway.pop_front();
            list(m_deliveredListings);
        }
    }

    int m_incarnations = 0;
    WorkerListings m_seenListings;
    WorkerListings m_deliveredListings;
    std::set<std::string> m_missing;
    std::deque<std::pair<Instant, WorkerListings>> m_listingsUnderway;
    std::vector<std::unique_ptr<InstanceConnections>> m_connections;
    Milliseconds m_untilTick {0};
};

}
