#pragma once

#include "GangRegistry.h"
#include "PlatformLinks.h"
#include "PlatformStoreApi.h"
#include "PlatformWorker.h"
#include "RunLedger.h"
#include "WorkerRegistration.h"

#include <asio/steady_timer.hpp>
#include <memory>
#include <vector>

namespace Wagtail
{

// The platform that wagtail-node runs on: a store, workers that register in it, and links with a relay from each
// instance to the store, to each worker and to the listeners of the instances themselves. Faults are switched on and
// off, and violations are read, over HTTP on the control port.
class PlatformProgram
{
public:
    // A relay from one port to another one. What it leads to names its kind.
    struct Relay
    {
        std::string kind;
        std::uint16_t port = 0;
        std::uint16_t targetPort = 0;
    };

    struct Settings
    {
        std::uint16_t controlPort = 0;
        std::uint16_t storePort = 0;
        // The first of the ports at which the instances reach the store, one for each.
        std::uint16_t linkPort = 0;
        // The first of the ports on which workers listen, and of those that they register: the relays in front of them.
        std::uint16_t workerPort = 0;
        std::uint16_t workerLinkPort = 0;
        // Further relays, between instances and to them.
        std::vector<Relay> relays;
        int instances = 1;
        int workers = 1;
        std::vector<std::string> dataCentres;
        Milliseconds longestLease {10'000};
        // How long a worker takes to stop a run at most.
        Milliseconds longestStop {900};
        std::uint64_t seed = 1;
        PlatformStoreApi::Limits limits;
    };

    PlatformProgram(asio::io_context &context, const Clock &clock, Settings settings);

    // Opens all ports and begins to serve.
    [[nodiscard]] Status open();

private:
    // A worker with what listens and registers for it.
    struct Machine
    {
        std::unique_ptr<PlatformWorker> worker;
        std::unique_ptr<WorkerRegistration> registration;
    };

    void addWorker(int index);
    void tick();
    void control(const HttpRequest &request, const HttpServer::Responder &respond);
    void changeStore(const Json &order);
    // Ends the lease of one key, with all keys of that lease.
    void dropLease(const Json &order);
    void changeWorkers(const Json &order);
    [[nodiscard]] Status listen(std::uint16_t port, HttpServer::Handler handler);

    asio::io_context &m_context;
    const Clock &m_clock;
    Settings m_settings;
    RunLedger m_ledger;
    GangRegistry m_gangs;
    PlatformStoreApi m_api;
    std::vector<Machine> m_machines;
    PlatformLinks m_links;
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    asio::steady_timer m_timer;
};

}
