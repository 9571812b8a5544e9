#pragma once

#include "PlatformWorker.h"
#include "StandinStore.h"

#include <random>

namespace Wagtail
{

// Keeps the entry of a stand-in worker in the store, under a lease that the worker's heartbeats renew.
// Removes the entry of a worker that has left.
class WorkerRegistration
{
public:
    WorkerRegistration(const Clock &clock, StandinStore &store, PlatformWorker &worker, std::uint64_t seed);

    // Sends a heartbeat if one is due. Call it often while the store is reachable, and not while it is away.
    void advance();

private:
    void write(const std::string &key, std::string value);

    const Clock &m_clock;
    StandinStore &m_store;
    PlatformWorker &m_worker;
    std::mt19937_64 m_random;
    LeaseIdentifier m_lease = 0;
    std::string m_written;
    Instant m_nextHeartbeat;
    // When an entry that has expired is written again.
    std::optional<Instant> m_returnsAt;
};

}
