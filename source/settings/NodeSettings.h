#pragma once

#include "base/Clock.h"
#include "base/Error.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Wagtail
{

// Where a listener is bound.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    bool operator==(const Endpoint &) const = default;

    // Returns the form "address:port".
    [[nodiscard]] std::string text() const;

    // Parses the form that text() returns.
    [[nodiscard]] static Result<Endpoint> parse(const std::string &text);
};

// Everything that a node on a platform is told at its start.
struct NodeSettings
{
    std::string instanceName;
    std::string dataCentre;
    std::string region;
    // The region of each data centre.
    std::map<std::string, std::string> regions;
    Endpoint callers;
    Endpoint readiness;
    Endpoint peers;
    // Where other instances reach the listener for peers.
    Endpoint advertisedPeers;
    Endpoint metrics;
    Endpoint store;
    // The service that knows which workers may run a step; nothing where no queue needs it.
    std::optional<Endpoint> advisor;
    // Thousandths of a core that the process may use.
    std::int64_t milliCores = 0;
    // The longest lease that workers grant.
    Milliseconds workerLease {0};
    // How long a draining worker goes on at least.
    Milliseconds workerDrain {0};
    Milliseconds statusRetention {0};
    // The time from the request to stop until the process is killed.
    Milliseconds shutdownGrace {0};
    std::string logLevel;

    bool operator==(const NodeSettings &) const = default;
};

// Reads settings. All faults are returned in one go; each names the file, the key and the remedy.
[[nodiscard]] std::variant<NodeSettings, std::vector<Error>> parseNodeSettings(
    const std::string &text, const std::string &fileName);

}
