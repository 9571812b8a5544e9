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

// What the manager works with. All of it outlives the manager.
struct ManagerContext
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

// Where calls for a partition go. The address is empty when this instance owns it.
struct PartitionOwner
{
    std::string instance;
    std::string peerAddress;
    FencingToken token = 0;
};

// Takes, keeps and hands over the partitions of the own data centre. Used on the control thread.
class PartitionManager final : public FleetDirectory, public TeamQuotas
{
public:
    explicit PartitionManager(ManagerContext context);

    // Acquires, drops and drives partitions. Call it several times a second.
    void tick();

    // Takes over the instance list's workers of the own data centre.
    void setWorkers(std::vector<WorkerDescription> workers);

    // Hands every partition over; the handler is called when none is left or nobody could take them.
    void handOverAll(std::function<void()> handler);

    [[nodiscard]] std::vector<Fleet *> fleets() override;

    [[nodiscard]] std::optional<Resources> quota(const std::string &team) const override;
    [[nodiscard]] Resources usedElsewhere(const std::string &team, const std::string &partition) const override;

    // Returns the keeper when this instance owns the partition and has read its state back.
    [[nodiscard]] PartitionController *readyController(const std::string &partition);
    [[nodiscard]] std::vector<PartitionController *> controllers();

    // Returns the owner as the configuration feed shows it.
    [[nodiscard]] std::optional<PartitionOwner> ownerOf(const std::string &partition) const;

    [[nodiscard]] std::vector<PartitionOffer> offers();
    [[nodiscard]] OwnershipState ownershipState() const;
    [[nodiscard]] const std::vector<WorkerDescription> &workers() const;

    // Returns all partitions of all data centres, in an order that every instance shares.
    [[nodiscard]] std::vector<PartitionIdentity> allPartitions() const;

    // Returns the live instances of the own data centre, other than this one.
    [[nodiscard]] std::vector<InstanceRecord> neighbours() const;

private:
    void tickPartition(const PartitionIdentity &partition, const std::string &desired);
    void acquire(const PartitionIdentity &partition);
    void take(const PartitionIdentity &partition, FencingToken token);
    void drop(const std::string &partition, const std::string &why);
    void release(const std::string &partition);
    void distributeWorkers();
    void watchNeighbours();
    [[nodiscard]] Milliseconds unreachedHold() const;
    [[nodiscard]] bool isDrained(const std::string &worker) const;

    ManagerContext m_context;
    int m_partitionCount = 0;
    Instant m_startedAt;
    std::map<std::string, std::unique_ptr<PartitionController>> m_keepers;
    std::set<std::string> m_acquiring;
    std::set<std::string> m_releasing;
    std::vector<WorkerDescription> m_workers;
    // Instances that were seen and are gone without having said that they were leaving, and when that was noticed.
    std::map<std::string, Instant> m_vanished;
    std::map<std::string, InstanceRecord> m_seen;
    bool m_leaving = false;
    std::function<void()> m_onHandedOver;
};

}
