#pragma once

#include "membership/InstanceLease.h"
#include "responsiveness/InstanceLoadMonitor.h"
#include "tenure/HandOverChoice.h"
#include "tenure/InstanceEntry.h"
#include "tenure/KnownInstances.h"
#include "tenure/OutageTenure.h"
#include "tenure/PartitionLeader.h"
#include "tenure/PartitionPlan.h"
#include "tenure/PeerPlaceRequester.h"
#include "tenure/StoreHealthReport.h"
#include "tenure/SubmissionRefusals.h"
#include "tenure/SuccessorQuery.h"
#include "tenure/TermSuccession.h"

namespace Wagtail
{

// Takes over vacant partitions, keeps a PartitionLeader for each partition that this instance owns, and releases them.
class PartitionOwnership
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
        // Reaches the other instances. Null if tasks are passed on to other partitions by headroom alone.
        HttpClient *peers = nullptr;
    };

    PartitionOwnership(Environment environment, InstanceEntry self, PartitionLeader::Limits limits);
    ~PartitionOwnership();
    PartitionOwnership(const PartitionOwnership &) = delete;
    PartitionOwnership &operator=(const PartitionOwnership &) = delete;

    // Compares the owners in the store with the partitions owned here and ends or starts leader terms accordingly. Must
    // be called when the cluster's entries change and every JobScheduler::TickPeriod.
    void review();
    void tick();

    // Set the workers of all partitions, by name, and the queue policies in force.
    void updateWorkers(const std::map<std::string, WorkerListing> &workers);
    void updatePolicies(const std::map<std::string, QueuePolicy> &policies);

    // Sets the headroom of a partition.
    void updateHeadroom(const std::string &partition, const PoolHeadrooms &headrooms);

    // Returns whether tasks of a partition that this instance owns wait for room in other partitions.
    [[nodiscard]] bool seeksRoom() const;

    // Returns the leader of a partition that this instance owns and has loaded, or null.
    [[nodiscard]] PartitionLeader *leader(const std::string &partition);

    // Returns the refusals of submissions by this instance.
    [[nodiscard]] SubmissionRefusals &refusals();

    // Returns the owner of a partition according to the cluster's entries.
    [[nodiscard]] std::optional<InstanceEntry> ownerOf(const std::string &partition) const;

    // Releases all partitions once their last changes are recorded, then calls the handler.
    void release(std::function<void()> handler);

    // Sets whether a store outage is confirmed. An owner may then continue without a lease, because no other instance
    // can reach the store to take over.
    void setStoreOutage(bool confirmed);

    // Sets what this instance measures of itself. An owner that is late hands partitions over to faster instances.
    void setLoad(const InstanceLoad &load);

    // Returns whether this instance would take a vacant partition over now.
    [[nodiscard]] bool mayTakeOver() const;

    // Returns the last known changes of the partitions' owners.
    [[nodiscard]] OwnerRevisions ownerRevisions() const;

    // Ends the terms of partitions of which another instance knows a later owner, or that the term has ended.
    void applyOwnerRevisions(const OwnerRevisions &revisions);

    // Returns the other instances, including those whose entries have disappeared lately while this one had no lease.
    [[nodiscard]] std::vector<InstanceEntry> otherInstances() const;

private:
    struct PartitionState
    {
        std::unique_ptr<PartitionLeader> leader;
        bool takingOver = false;
        // Whether the partition is released once its last changes are recorded. Until then it accepts no requests, so
        // that no further changes arrive.
        bool releasing = false;
        Instant termStartedAt;
        std::optional<Instant> vacantSince;
        // The store's lease under which the owner key was written last. The key ends with it.
        LeaseIdentifier ownerLease = 0;
        // What the term that is being started follows. An earlier process of this instance has ended.
        TermSuccession succession = TermSuccession::Vacancy;
        // The fencing token of the last term of this instance. The cluster's entries may lag behind the store and still
        // show it.
        StoreRevision endedToken = 0;
    };

    void reviewPartition(const std::string &partition, PartitionState &state);
    void takeOver(const std::string &partition, StoreRevision ownerRevision);
    void writeOwner(const std::string &partition, StoreRevision ownerRevision, const std::optional<StoreEntry> &head);
    void startTerm(const std::string &partition, std::uint64_t term, StoreRevision revision);
    void dropLeader(const std::string &partition);
    // Begins to hand over a partition if this instance is too late for it.
    void reviewHandOver();
    // Begins the hand-over if the successor agrees.
    void askSuccessor(const HandOverDecision &decision);
    void beginHandOver(const HandOverDecision &decision);
    // Returns whether the term with the token has not ended.
    [[nodiscard]] bool isTermCurrent(const std::string &partition, StoreRevision token) const;
    // Releases the partition for a successor. An unanswered call is repeated until its effect is known, because
    // nobody could take the partition as long as the key remains.
    void eraseOwner(const std::string &partition, StoreRevision token);
    void observeInstances();
    // Logs when the instance's store lease ends or is back, and how old its last confirmation is.
    void logStoreLease();
    [[nodiscard]] int ownedPartitionCount() const;
    [[nodiscard]] Milliseconds takeOverDelay(const std::string &partition) const;
    [[nodiscard]] std::vector<OwnerCandidate> candidatesFor(const std::string &partition) const;
    [[nodiscard]] std::map<std::string, WorkerListing> workersOf(const std::string &partition) const;
    void releaseNext(std::vector<std::string> partitions, std::function<void()> handler);

    Environment m_environment;
    // Outlives the leaders, because marks are erased after the end of their terms.
    SubmissionRefusals m_refusals;
    // Null if there are no peers.
    std::unique_ptr<PeerPlaceRequester> m_places;
    std::unique_ptr<SuccessorQuery> m_successors;
    InstanceEntry m_self;
    PartitionLeader::Limits m_limits;
    Instant m_startedAt;
    // When this process first held a lease.
    std::optional<Instant> m_registeredAt;
    KnownInstances m_instances;
    // The registered instances, and the revision of the cluster's entries from which they were read.
    std::vector<InstanceEntry> m_listedInstances;
    StoreRevision m_listedRevision = 0;
    std::map<std::string, PartitionState> m_partitions;
    std::map<std::string, WorkerListing> m_workers;
    std::map<std::string, QueuePolicy> m_policies;
    InstanceLoad m_load;
    bool m_releasing = false;
    bool m_storeOutage = false;
    bool m_wasLeaseHeld = false;
    OutageTenure m_outageTenure;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
