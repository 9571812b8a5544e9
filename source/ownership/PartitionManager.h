#pragma once

#include "configuration/VersionedEntries.h"
#include "jobs/PartitionController.h"
#include "membership/InstanceLease.h"
#include "membership/InstanceRecord.h"
#include "membership/PeerDirectory.h"
#include "requests/RequestDispatcher.h"
#include "settings/Settings.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Wagtail
{

// The services that the manager uses. All of them outlive the manager.
struct PartitionManagerContext
{
    const Settings &settings;
    const Clock &clock;
    Scheduler &scheduler;
    Store &store;
    WorkerControl &control;
    PlacementPolicy &placement;
    Timeline &timeline;
    InstanceLease &lease;
    VersionedEntries &entries;
    PeerDirectory &peers;
    std::string instance;
};

// The owner of a partition, to which calls are sent. The address is empty when this instance is the owner.
struct PartitionOwner
{
    std::string instance;
    std::string peerAddress;
    FencingToken token = 0;
};

// Acquires, runs and hands over partitions of this instance's data centre. It creates a PartitionController for each
// partition that this instance owns and distributes the workers among them. Used on the control thread.
class PartitionManager final : public FleetDirectory, public TeamQuotas
{
public:
    explicit PartitionManager(PartitionManagerContext context);

    // Acquires and drops partitions and ticks their controllers. Call several times per second.
    void tick();

    // Sets the workers of this data centre, as the instance list contains them.
    void setWorkers(std::vector<WorkerDescription> workers);

    // Hands all partitions over to other instances and calls the handler once none is left. Partitions that no
    // other instance can take are released too.
    void handOverAll(std::function<void()> handler);

    [[nodiscard]] std::vector<Fleet *> fleets() override;

    [[nodiscard]] std::optional<Resources> quota(const std::string &team) const override;
    [[nodiscard]] Resources usedElsewhere(const std::string &team, const std::string &partition) const override;

    // Returns the controller of a partition that this instance owns and has recovered, or null.
    [[nodiscard]] PartitionController *readyController(const std::string &partition);
    [[nodiscard]] std::vector<PartitionController *> controllers();

    // Returns the owner according to the configuration feed, or nothing when there is none.
    [[nodiscard]] std::optional<PartitionOwner> ownerOf(const std::string &partition) const;

    // Returns the free capacity, the waiting tasks and the team usage of each owned partition, for gossip.
    [[nodiscard]] std::vector<PartitionOffer> offers();

    // Returns whether this instance may act as an owner, from its lease and from the gossip of others.
    [[nodiscard]] OwnershipState ownershipState() const;
    [[nodiscard]] const std::vector<WorkerDescription> &workers() const;

    // Returns all partitions of all data centres, in the same order on every instance.
    [[nodiscard]] std::vector<PartitionIdentity> allPartitions() const;

    // Returns the other live instances of this data centre.
    [[nodiscard]] std::vector<InstanceRecord> otherInstances() const;

private:
    void updatePartition(const PartitionIdentity &partition, const std::string &assignedInstance);
    void acquire(const PartitionIdentity &partition);
    void takeOver(const PartitionIdentity &partition, FencingToken token);
    void dropPartition(const std::string &partition, const std::string &reason);
    void handOverPartition(const std::string &partition);
    void distributeWorkers();
    void trackInstances();
    [[nodiscard]] Milliseconds unreachedHold() const;
    [[nodiscard]] bool isDrained(const std::string &worker) const;

    PartitionManagerContext m_context;
    int m_partitionCount = 0;
    Instant m_startedAt;
    std::map<std::string, std::unique_ptr<PartitionController>> m_controllers;
    std::set<std::string> m_acquiring;
    std::set<std::string> m_handingOver;
    std::vector<WorkerDescription> m_workers;
    // Instances that disappeared without announcing that they were leaving, and when this was noticed.
    std::map<std::string, Instant> m_vanishedInstances;
    std::map<std::string, InstanceRecord> m_knownInstances;
    bool m_leaving = false;
    std::function<void()> m_handOverHandler;
};

}
