#include "daemon/Daemon.h"

#include "base/Identifier.h"
#include "base/SystemClock.h"
#include "configuration/ClusterKeys.h"
#include "configuration/PrefixWatcher.h"
#include "daemon/GossipService.h"
#include "daemon/InstanceListFeed.h"
#include "daemon/InterferenceGuard.h"
#include "daemon/PeerService.h"
#include "daemon/StoreClient.h"
#include "entry/EntryApi.h"
#include "eventloop/AsioScheduler.h"
#include "http/CurlHttpClient.h"
#include "logging/Log.h"
#include "peers/Http2PeerCaller.h"
#include "peers/PeerServer.h"
#include "placement/ScoringPlacement.h"
#include "store/HttpStore.h"
#include "workers/HttpRequestSender.h"
#include "workers/HttpWorkerControl.h"
#include "workers/WorkerCodec.h"

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <thread>

namespace Wagtail
{

namespace
{

constexpr long ControlConnectionsPerHost = 16;
constexpr long TrafficConnectionsPerHost = 32;
constexpr Milliseconds TickPeriod {50};
constexpr Milliseconds MovePeriod {1'000};
constexpr Milliseconds RelievePeriod {500};
constexpr Milliseconds WorkerTimeout {1'000};
constexpr Milliseconds RemoveDelay {300};

std::string layoutOf(const Settings &settings)
{
    Json layout = Json::object();
    for (const DataCentreSettings &dataCentre : settings.dataCentres) {
        layout[dataCentre.name] = {{"region", dataCentre.region}, {"partitions", dataCentre.partitions}};
    }
    return writeJson(layout);
}

// A thread that runs one context until it is stopped.
class ContextThread
{
public:
    ContextThread() : m_guard(asio::make_work_guard(m_context))
    {
    }

    void start()
    {
        m_thread = std::thread([this] { m_context.run(); });
    }

    void stop()
    {
        m_context.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    asio::io_context &context()
    {
        return m_context;
    }

private:
    asio::io_context m_context {1};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard;
    std::thread m_thread;
};

}

class Daemon::Implementation
{
public:
    explicit Implementation(const Settings &settings)
        : m_settings(settings)
        , m_instance(settings.instanceName + "-" + createIdentifier(m_clock.wallMilliseconds()).substr(28))
        , m_peerAddress(settings.listenAddress + ":" + std::to_string(settings.peerPort))
        , m_scheduler(m_control)
        , m_controlClient(m_control, ControlConnectionsPerHost)
        , m_trafficClient(m_upstream.context(), TrafficConnectionsPerHost)
        , m_peerCaller(m_peer.context())
        , m_timeline(m_clock, m_instance, static_cast<std::size_t>(settings.timelineEvents))
        , m_peers(m_clock)
        , m_storeClient({m_controlClient, m_peerCaller, m_peers, m_clock, m_scheduler, m_metrics, settings.storeAddress,
              settings.dataCentre})
        , m_store(m_storeClient, settings.storeAddress, Milliseconds(settings.storeTimeout))
        , m_entries([this](const std::string &key) { onEntryChanged(key); })
        , m_feed(m_store, m_scheduler, m_entries, ClusterKeys::Root)
        , m_lease(m_store, m_scheduler, m_clock, leaseLimits(settings), ClusterKeys::Instances + m_instance)
        , m_workerControl(m_controlClient, WorkerTimeout)
        , m_sender(m_upstream.context(), m_trafficClient)
        , m_interference(m_clock, m_profiles, m_timeline)
        , m_placement([this](const std::string &profile, const FleetWorker &worker) {
            return m_interference.predict(profile, worker);
        })
        , m_partitions({m_settings, m_clock, m_scheduler, m_store, m_workerControl, m_placement, m_timeline, m_lease,
              m_entries, m_peers, m_instance})
        , m_dispatcher({m_clock, m_scheduler, m_sender, m_placement, m_partitions, m_timeline, m_metrics,
              [this](
                  const std::string &worker, const std::string &profile, const RunningCounts &beside, double seconds) {
                  m_interference.observe(worker, profile, beside, seconds);
              }})
        , m_requests({m_clock, m_scheduler, m_partitions, m_peers, m_peerCaller, m_profiles, m_dispatcher, m_timeline,
              m_metrics, m_settings})
        , m_survey({m_scheduler, m_peers, m_peerCaller, m_entries, m_timeline, m_instance})
        , m_tasks(
              {m_clock, m_scheduler, m_partitions, m_peers, m_peerCaller, m_survey, m_profiles, m_timeline, m_settings})
        , m_configuration(m_store, m_scheduler, m_entries, m_timeline)
        , m_entry({m_clock, m_scheduler, m_requests, m_tasks, m_configuration, m_partitions, m_survey, m_profiles,
              m_entries, m_timeline, m_metrics, m_settings, m_instance,
              [this] {
                  return unreadiness();
              }})
        , m_gossip({m_clock, m_scheduler, m_peerCaller, m_peers, m_partitions, m_entries, m_feed, m_storeClient,
              m_timeline, m_settings, m_instance, m_peerAddress})
        , m_instances(
              {m_clock, m_scheduler, m_storeClient, m_peerCaller, m_peers, m_partitions, m_settings, m_instance})
        , m_peerService(
              {m_clock, m_requests, m_tasks, m_entry, m_gossip, m_instances, m_storeClient, m_timeline, m_metrics})
        , m_signals(m_control, SIGTERM, SIGINT)
    {
        m_timeline.onEvent([](const TimelineEvent &event) { log(LogLevel::Info, event.kind, describe(event)); });
    }

    Status open()
    {
        auto peerServer = PeerServer::create(m_peer.context(), m_settings.listenAddress, m_settings.peerPort,
            [this](PeerMessage message, PeerReply reply) {
                asio::post(m_control, [this, message = std::move(message), reply = std::move(reply)] {
                    m_peerService.handle(message, reply);
                });
            });
        if (const Error *error = errorOf(peerServer)) {
            return *error;
        }
        m_peerServer = std::move(std::get<std::unique_ptr<PeerServer>>(peerServer));
        HttpServerOptions options {
            m_settings.listenAddress, m_settings.httpPort, static_cast<std::uint64_t>(m_settings.bodyBytes)};
        auto httpServer = HttpServer::create(
            m_traffic.context(), std::move(options), [this](HttpRequest request, HttpServer::Responder respond) {
                asio::post(m_control, [this, request = std::move(request), respond = std::move(respond)]() mutable {
                    m_entry.handle(std::move(request), std::move(respond));
                });
            });
        if (const Error *error = errorOf(httpServer)) {
            return *error;
        }
        m_httpServer = std::move(std::get<std::unique_ptr<HttpServer>>(httpServer));
        return std::monostate();
    }

    int run()
    {
        log(LogLevel::Info, "daemon.started", {{"http_port", m_settings.httpPort}, {"peer_port", m_settings.peerPort}});
        m_traffic.start();
        m_upstream.start();
        m_peer.start();
        m_feed.start();
        m_lease.start(writeJson(describe(record(Leaving::No))));
        m_signals.async_wait([this](const asio::error_code &error, int) {
            if (!error) {
                beginShutdown();
            }
        });
        tick();
        m_instances.start();
        moveTasks();
        relieve();
        m_control.run();
        m_traffic.stop();
        m_upstream.stop();
        m_peer.stop();
        log(LogLevel::Info, "daemon.stopped");
        return 0;
    }

private:
    enum class Leaving {
        No,
        Yes,
    };

    static InstanceLeaseLimits leaseLimits(const Settings &settings)
    {
        InstanceLeaseLimits limits;
        limits.duration = Milliseconds(settings.instanceLease);
        limits.renewPeriod = limits.duration / 3;
        limits.margin = limits.duration / 10;
        return limits;
    }

    [[nodiscard]] InstanceRecord record(Leaving leaving) const
    {
        return {m_instance, m_settings.dataCentre, m_settings.region, m_peerAddress,
            m_settings.listenAddress + ":" + std::to_string(m_settings.httpPort), leaving == Leaving::Yes};
    }

    void onEntryChanged(const std::string &key)
    {
        m_profiles.update(m_entries, key);
        if (key.starts_with(ClusterKeys::Profiles)) {
            m_timeline.record({.kind = "configuration.in-force",
                .detail = key + " revision " + std::to_string(m_entries.revision())});
        }
        if (key.starts_with(ClusterKeys::Workers)) {
            m_partitions.setWorkers(m_partitions.workers());
        }
    }

    // Partitions and the homes of keys follow from the layout, so all instances must have the same one.
    bool layoutAgrees()
    {
        const StoreEntry *entry = m_entries.find(ClusterKeys::Layout);
        if (entry != nullptr) {
            return entry->value == layoutOf(m_settings);
        }
        if (m_lease.isHeld() && !m_layoutWritten) {
            m_layoutWritten = true;
            m_store.write({ClusterKeys::Layout, layoutOf(m_settings), MustNotExist, 0},
                [this](const Result<StoreRevision> &result) {
                    const Error *error = errorOf(result);
                    m_layoutWritten = error == nullptr || error->kind == ErrorKind::Conflict;
                });
        }
        return false;
    }

    [[nodiscard]] std::string unreadiness() const
    {
        if (m_stopping) {
            return "the instance is stopping";
        }
        if (m_entries.revision() == 0) {
            return "no configuration: neither the store nor a peer has given one";
        }
        const StoreEntry *layout = m_entries.find(ClusterKeys::Layout);
        if (layout != nullptr && layout->value != layoutOf(m_settings)) {
            return "the [[data_centres]] settings differ from those of the running instances: " + layout->value;
        }
        return "";
    }

    void tick()
    {
        if (layoutAgrees()) {
            m_partitions.tick();
        }
        m_dispatcher.tick();
        m_gossip.tick();
        flushLog();
        m_scheduler.after(TickPeriod, [this] { tick(); });
    }

    void relieve()
    {
        m_interference.tick(m_partitions);
        m_scheduler.after(RelievePeriod, [this] { relieve(); });
    }

    void moveTasks()
    {
        m_tasks.tick();
        m_scheduler.after(MovePeriod, [this] { moveTasks(); });
    }

    void beginShutdown()
    {
        m_stopping = true;
        log(LogLevel::Info, "daemon.stopping");
        m_stopAt = m_clock.now() + Milliseconds(m_settings.drain);
        m_gossip.setLeaving();
        m_lease.updateDescription(writeJson(describe(record(Leaving::Yes))));
        m_partitions.handOverAll([this] { m_handedOver = true; });
        // The balancer goes on sending for a moment; those requests are still served, through the new owners.
        waitForQuiet();
    }

    void waitForQuiet()
    {
        const bool late = m_clock.now() >= m_stopAt;
        const bool quiet = m_handedOver && m_requests.openCount() == 0;
        if (quiet || late) {
            m_requests.close();
            asio::post(m_traffic.context(), [this] { m_httpServer->close(); });
            m_lease.revoke([] {});
            m_scheduler.after(RemoveDelay, [this] { m_control.stop(); });
            return;
        }
        m_scheduler.after(TickPeriod, [this] { waitForQuiet(); });
    }

    Settings m_settings;
    SystemClock m_clock;
    std::string m_instance;
    std::string m_peerAddress;
    asio::io_context m_control {1};
    ContextThread m_traffic;
    ContextThread m_upstream;
    ContextThread m_peer;
    AsioScheduler m_scheduler;
    CurlHttpClient m_controlClient;
    CurlHttpClient m_trafficClient;
    Http2PeerCaller m_peerCaller;
    Metrics m_metrics;
    Timeline m_timeline;
    PeerDirectory m_peers;
    StoreClient m_storeClient;
    HttpStore m_store;
    ProfileCatalog m_profiles;
    VersionedEntries m_entries;
    PrefixWatcher m_feed;
    InstanceLease m_lease;
    HttpWorkerControl m_workerControl;
    HttpRequestSender m_sender;
    InterferenceGuard m_interference;
    ScoringPlacement m_placement;
    PartitionManager m_partitions;
    RequestDispatcher m_dispatcher;
    RequestRouter m_requests;
    PeerSurvey m_survey;
    TaskRouter m_tasks;
    ConfigurationService m_configuration;
    EntryApi m_entry;
    GossipService m_gossip;
    InstanceListFeed m_instances;
    PeerService m_peerService;
    asio::signal_set m_signals;
    std::unique_ptr<PeerServer> m_peerServer;
    std::unique_ptr<HttpServer> m_httpServer;
    Instant m_stopAt;
    bool m_layoutWritten = false;
    bool m_stopping = false;
    bool m_handedOver = false;
};

Result<std::unique_ptr<Daemon>> Daemon::create(const Settings &settings)
{
    auto implementation = std::make_unique<Implementation>(settings);
    const Status status = implementation->open();
    if (const Error *error = errorOf(status)) {
        return *error;
    }
    return std::unique_ptr<Daemon>(new Daemon(std::move(implementation)));
}

Daemon::Daemon(std::unique_ptr<Implementation> implementation) : m_implementation(std::move(implementation))
{
}

Daemon::~Daemon() = default;

int Daemon::run()
{
    return m_implementation->run();
}

}
