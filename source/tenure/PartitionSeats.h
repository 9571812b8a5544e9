#pragma once

#include "membership/InstanceLease.h"
#include "tenure/InstanceCard.h"
#include "tenure/JobKeeper.h"
#include "tenure/KnownInstances.h"
#include "tenure/PartitionPlan.h"

namespace Wagtail
{

// Takes up, holds and hands over the partitions that this instance owns.
class PartitionSeats
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        Store &store;
        WorkerGateway &gateway;
        const InstanceLease &lease;
        const VersionedEntries &cluster;
        const PartitionPlan &plan;
        std::function<void(std::string_view what, const std::string &subject, const Json &inputs)> log;
        PlacementAdvisor *advisor = nullptr;
    };

    PartitionSeats(Environment environment, InstanceCard self, JobKeeper::Limits limits);
    ~PartitionSeats();
    PartitionSeats(const PartitionSeats &) = delete;
    PartitionSeats &operator=(const PartitionSeats &) = delete;

    // Compares the owners in the store with what is held here and acts on the difference. Call it when the cluster's
    // entries change and every JobScheduler::TickPeriod.
    void review();
    void tick();

    // Takes the workers of all partitions, by name, and the policies in force.
    void updateWorkers(const std::map<std::string, WorkerListing> &workers);
    void updatePolicies(const std::map<std::string, QueuePolicy> &policies);

    // Takes what the workers of a partition can take.
    void updateRoom(const std::string &partition, const PoolHeadrooms &rooms);

    // Returns the keeper of a partition that is owned here and loaded, or null.
    [[nodiscard]] JobKeeper *keeper(const std::string &partition);

    // Returns who owns a partition as far as is known here.
    [[nodiscard]] std::optional<InstanceCard> ownerOf(const std::string &partition) const;

    // Gives all partitions up after their last changes are recorded, then calls the handler.
    void release(std::function<void()> handler);

    // Says whether an owner may go on without a lease because nobody else can reach the store either.
    void setStoreOutage(bool confirmed);

private:
    struct Seat
    {
        std::unique_ptr<JobKeeper> keeper;
        bool taking = false;
        // Given up once its last changes are recorded; meanwhile it takes no requests, so that they come to an end.
        bool releasing = false;
        std::optional<Instant> vacantSince;
        // The token of the last tenure here. The cluster's entries may still show it after the store has ended it.
        StoreRevision endedToken = 0;
    };

    void reviewSeat(const std::string &partition, Seat &seat);
    void take(const std::string &partition, StoreRevision ownerRevision);
    void writeOwner(const std::string &partition, StoreRevision ownerRevision, const std::optional<StoreEntry> &head);
    void begin(const std::string &partition, std::uint64_t tenure, StoreRevision revision);
    void drop(const std::string &partition);
    void observeInstances();
    [[nodiscard]] int ownedHere() const;
    [[nodiscard]] Milliseconds turnDelay(const std::string &partition) const;
    [[nodiscard]] std::map<std::string, WorkerListing> workersOf(const std::string &partition) const;
    void releaseNext(std::vector<std::string> partitions, std::function<void()> handler);

    Environment m_environment;
    InstanceCard m_self;
    JobKeeper::Limits m_limits;
    Instant m_beganAt;
    KnownInstances m_instances;
    // The listed instances, and the revision of the cluster's entries at which they were read.
    std::vector<InstanceCard> m_listedInstances;
    StoreRevision m_listedRevision = 0;
    std::map<std::string, Seat> m_seats;
    std::map<std::string, WorkerListing> m_workers;
    std::map<std::string, QueuePolicy> m_policies;
    bool m_releasing = false;
    bool m_storeOutage = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
