#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// What a team's tasks hold in one partition.
struct TeamUse
{
    std::string team;
    std::int64_t milliCores = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;

    MSGPACK_DEFINE_ARRAY(team, milliCores, memoryMegabytes, accelerators)
};

// What one partition has to offer, for the choice of where to forward.
struct PartitionOffer
{
    std::string partition;
    std::uint64_t token = 0;
    bool ready = false;
    std::int64_t freeSlots = 0;
    std::int64_t freeMilliCores = 0;
    std::int64_t freeMemoryMegabytes = 0;
    std::int64_t freeAccelerators = 0;
    std::int64_t waitingTasks = 0;
    // The largest worker of the partition in each dimension, whatever runs on it.
    std::int64_t largestMilliCores = 0;
    std::int64_t largestMemoryMegabytes = 0;
    std::int64_t largestAccelerators = 0;
    std::vector<TeamUse> teams;

    MSGPACK_DEFINE_ARRAY(partition, token, ready, freeSlots, freeMilliCores, freeMemoryMegabytes, freeAccelerators,
        waitingTasks, largestMilliCores, largestMemoryMegabytes, largestAccelerators, teams)
};

// What instances tell each other several times a second.
struct Gossip
{
    std::string instance;
    std::string dataCentre;
    std::string region;
    std::string peerAddress;
    std::uint64_t logicalTime = 0;
    std::uint64_t revision = 0;
    bool storeReachable = false;
    bool leaving = false;
    std::vector<PartitionOffer> offers;

    MSGPACK_DEFINE_ARRAY(
        instance, dataCentre, region, peerAddress, logicalTime, revision, storeReachable, leaving, offers)
};

// An urgent request on its way to the instance that sends it to a worker. The time left is in milliseconds.
struct ForwardedRequest
{
    std::string identity;
    std::string profile;
    std::string key;
    std::int64_t remainingMilliseconds = 0;
    int hops = 0;
    std::uint64_t logicalTime = 0;
    std::string body;

    MSGPACK_DEFINE_ARRAY(identity, profile, key, remainingMilliseconds, hops, logicalTime, body)
};

struct ForwardedResult
{
    std::string outcome;
    int status = 0;
    std::string contentType;
    std::string body;
    std::string errorKind;
    std::string detail;
    std::string remedy;
    std::uint64_t logicalTime = 0;

    MSGPACK_DEFINE_ARRAY(outcome, status, contentType, body, errorKind, detail, remedy, logicalTime)
};

// A command about a task or the state of an instance; the document is JSON, as the entry interface speaks it.
struct DocumentMessage
{
    std::string document;
    std::uint64_t logicalTime = 0;

    MSGPACK_DEFINE_ARRAY(document, logicalTime)
};

// A call to the store that its sender can't make itself.
struct RelayedCall
{
    std::string method;
    std::string target;
    std::string body;
    std::int64_t timeoutMilliseconds = 0;

    MSGPACK_DEFINE_ARRAY(method, target, body, timeoutMilliseconds)
};

struct RelayedAnswer
{
    int status = 0;
    std::string body;

    MSGPACK_DEFINE_ARRAY(status, body)
};

template<typename Message> [[nodiscard]] std::string encodeMessage(const Message &message)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

// Returns the message, or nothing when the bytes are no such message.
template<typename Message> [[nodiscard]] std::optional<Message> decodeMessage(const std::string &bytes)
{
    constexpr std::size_t MaximumDepth = 16;
    // Each element takes at least one byte. The library reserves memory for as many elements as a header claims.
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(most, most, most, most, most, MaximumDepth);
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        return handle.get().as<Message>();
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

}
