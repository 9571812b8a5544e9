#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string>

namespace Wagtail
{

// The entry under which an instance registers itself in the store.
struct InstanceEntry
{
    std::string name;
    // The address at which the other instances reach it, as ip:port.
    std::string address;
    std::string dataCentre;
    std::string region;
    // Identifies the process: a restarted instance keeps its name and gets a new incarnation.
    std::string incarnation;
    // Processor time that the process may use, in thousandths of a core.
    std::int64_t milliCores = 0;
    // The version of the messages between partitions that the process reads. Those that an earlier process would not
    // understand are sent once all instances read them.
    std::int64_t messageVersion = CurrentMessageVersion;

    // The first version with tasks that are given back. Processes of before have none.
    static constexpr std::int64_t ReturnVersion = 1;
    // The first version with jobs that are handed over as a whole, and with delegated tasks of steps that depend on
    // others.
    static constexpr std::int64_t MoveVersion = 2;
    static constexpr std::int64_t CurrentMessageVersion = MoveVersion;

    // What the process takes for a fixed computation, in microseconds. Zero if it is an earlier version that does not
    // measure it. See ProcessorProbe.
    std::int64_t probeMicroseconds = 0;

    bool operator==(const InstanceEntry &) const = default;
};

[[nodiscard]] std::string serialize(const InstanceEntry &entry);
[[nodiscard]] Result<InstanceEntry> parseInstanceEntry(const std::string &text);

// The value of a partition's owner key.
struct OwnerEntry
{
    InstanceEntry instance;
    // The number of the owner's leader term, counted from 0.
    std::uint64_t term = 0;

    bool operator==(const OwnerEntry &) const = default;
};

[[nodiscard]] std::string serialize(const OwnerEntry &entry);
[[nodiscard]] Result<OwnerEntry> parseOwnerEntry(const std::string &text);

}
