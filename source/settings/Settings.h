#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Wagtail
{

struct DataCentreSettings
{
    std::string name;
    std::string region;
    int partitions = 0;

    auto operator<=>(const DataCentreSettings &) const = default;
};

// Everything that a daemon is told at its start. Durations are in milliseconds, sizes in bytes.
struct Settings
{
    std::string instanceName;
    std::string dataCentre;
    std::string region;
    std::string listenAddress;
    std::uint16_t httpPort = 0;
    std::uint16_t peerPort = 0;
    std::string storeAddress;
    std::int64_t storeTimeout = 0;
    std::vector<std::string> peerSeeds;
    std::vector<DataCentreSettings> dataCentres;
    std::int64_t bodyBytes = 0;
    std::int64_t instanceLease = 0;
    std::int64_t taskLease = 0;
    std::int64_t heartbeat = 0;
    std::int64_t drain = 0;
    std::int64_t unreachedHold = 0;
    std::int64_t claimWindow = 0;
    std::int64_t timelineEvents = 0;
    std::string logLevel;

    bool operator==(const Settings &) const = default;
};

// Reads settings. All faults are returned in one go; each names the file, the key and the remedy.
[[nodiscard]] std::variant<Settings, std::vector<Error>> parseSettings(
    const std::string &text, const std::string &fileName);

}
