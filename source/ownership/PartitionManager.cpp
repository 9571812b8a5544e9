#include "ownership/PartitionManager.h"

#include "base/Identifier.h"
#include "configuration/ClusterKeys.h"
#include "configuration/ConfigurationValue.h"
#include "ownership/PartitionAssignment.h"
#include "workers/WorkerCodec.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds VanishedInstanceRetention {3'600'000};
// Uptime after which all live instances are expected to know this one.
constexpr Milliseconds PeerDiscoveryTime {10'000};

std::string ownerInstance(const StoreEntry &entry)
{
    const Result<Json> document = parseJson(entry.value, "the owner of a partition");
    return errorOf(document) != nullptr ? std::string() : memberOr(std::get<Json>(document), "instance", std::string());
}

}

PartitionManager::PartitionManager(PartitionManagerContext context)
    : m_context(std::move(context)), m_startedAt(m_context.clock.now())
{
    for (const DataCentreSettings &dataCentre : m_context.settings.dataCentres) {
        if (dataCentre.name == m_context.settings.dataCentre) {
            m_partitionCount = dataCentre.partitions;
        }
    }
}

std::vector<PartitionIdentity> PartitionManager::allPartitions() const
{
    std::vector<PartitionIdentity> partitions;
    for (const DataCentreSettings &dataCentre : m_context.settings.dataCentres) {
        for (int i = 0; i < dataCentre.partitions; ++i) {
            partitions.push_back({dataCentre.name, i});
        }
    }
    std::sort(partitions.begin(), partitions.end());
    return partitions;
}

std::vector<InstanceRecord> PartitionManager::otherInstances() const
{
    std::vector<InstanceRecord> result;
    for (const StoreEntry *entry : m_context.entries.withPrefix(ClusterKeys::Instances)) {
        InstanceRecord record = parseInstanceRecord(entry->value);
        if (record.dataCentre == m_context.settings.dataCentre && record.instance != m_context.instance) {
            result.push_back(std::move(record));
        }
    }
    return result;
}

OwnershipState PartitionManager::ownershipState() const
{
    if (m_context.lease.isHeld()) {
        return OwnershipState::Held;
    }
    const std::vector<InstanceRecord> others = otherInstances();
    if (others.empty()) {
        return OwnershipState::StoreOutage;
    }
    bool gossipFromAny = false;
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        if (gossip->dataCentre != m_context.settings.dataCentre) {
            continue;
        }
        if (gossip->storeReachable) {
            return OwnershipState::CutOff;
        }
        gossipFromAny = true;
    }
    return gossipFromAny ? OwnershipState::StoreOutage : OwnershipState::CutOff;
}

void PartitionManager::trackInstances()
{
    const Instant now = m_context.clock.now();
    std::map<std::string, InstanceRecord> present;
    for (InstanceRecord &record : otherInstances()) {
        std::string name = record.instance;
        present.emplace(std::move(name), std::move(record));
    }
    for (const auto &[instance, record] : m_knownInstances) {
        if (!present.contains(instance) && !record.leaving) {
            m_vanishedInstances[instance] = now;
            m_context.timeline.record({.kind = "instance.vanished", .detail = instance});
        }
    }
    std::erase_if(m_vanishedInstances, [&](const auto &item) {
        return present.contains(item.first) || now - item.second > VanishedInstanceRetention;
    });
    m_knownInstances = std::move(present);
}

// Returns how long a new owner waits for leases that it cannot verify. During a store outage a previous owner continues
// only while it hears another instance that cannot reach the store either. If this instance hears all others, and they
// can reach the store through it, no such pair exists and the wait can be as short as the leases.
Milliseconds PartitionManager::unreachedHold() const
{
    const std::vector<InstanceRecord> others = otherInstances();
    const bool gossipFromAll = std::ranges::all_of(
        others, [this](const InstanceRecord &record) { return m_context.peers.hasRecentGossip(record.instance); });
    const bool knownByAll = m_context.clock.now() - m_startedAt > PeerDiscoveryTime;
    if (gossipFromAll && knownByAll && m_vanishedInstances.size() <= 1) {
        const Settings &settings = m_context.settings;
        return Milliseconds(settings.instanceLease + settings.taskLease + settings.heartbeat);
    }
    return Milliseconds(m_context.settings.unreachedHold);
}

void PartitionManager::tick()
{
    trackInstances();
    std::vector<std::string> candidates;
    for (const auto &[instance, record] : m_knownInstances) {
        if (!record.leaving) {
            candidates.push_back(instance);
        }
    }
    if (!m_leaving) {
        candidates.push_back(m_context.instance);
    }
    const std::map<int, std::string> assignment = assignPartitions(m_partitionCount, candidates);
    for (int i = 0; i < m_partitionCount; ++i) {
        const auto assignedInstance = assignment.find(i);
        updatePartition(
            {m_context.settings.dataCentre, i}, assignedInstance == assignment.end() ? "" : assignedInstance->second);
    }
    const OwnershipState state = ownershipState();
    for (const auto &[name, controller] : m_controllers) {
        controller->tick(state);
    }
    if (m_leaving && m_controllers.empty() && m_handOverHandler) {
        const auto handler = std::move(m_handOverHandler);
        m_handOverHandler = nullptr;
        handler();
    }
}

void PartitionManager::updatePartition(const PartitionIdentity &partition, const std::string &assignedInstance)
{
    const std::string name = partition.text();
    const StoreEntry *entry = m_context.entries.find(ClusterKeys::owner(partition));
    const bool ownedHere = entry != nullptr && ownerInstance(*entry) == m_context.instance;
    const auto controller = m_controllers.find(name);
    const bool leaseHeld = m_context.lease.isHeld();
    if (controller != m_controllers.end()) {
        const bool sameTerm = ownedHere && controller->second->term().token == entry->revision;
        if (entry != nullptr && !sameTerm) {
            dropPartition(name, "another leader term has begun");
        } else if (entry == nullptr && leaseHeld && !m_handingOver.contains(name)) {
            // The store deleted the ownership key, for instance as the lease expired in an outage; it has to be
            // acquired again.
            dropPartition(name, "the lease expired");
        } else if (sameTerm && leaseHeld && assignedInstance != m_context.instance
            && (!assignedInstance.empty() || m_leaving)) {
            handOverPartition(name);
        }
        return;
    }
    if (ownedHere && leaseHeld && !m_handingOver.contains(name)) {
        takeOver(partition, entry->revision);
    } else if (entry == nullptr && leaseHeld && assignedInstance == m_context.instance) {
        acquire(partition);
    }
}

void PartitionManager::acquire(const PartitionIdentity &partition)
{
    const std::string name = partition.text();
    if (!m_acquiring.insert(name).second) {
        return;
    }
    const std::string key = ClusterKeys::owner(partition);
    const std::string value = writeJson({{"instance", m_context.instance}});
    const LeaseIdentifier lease = m_context.lease.lease();
    // A lost answer needs no handling: if the write took effect, the feed shows this instance as the owner.
    m_context.store.write(
        {key, value, MustNotExist, lease}, [this, name, key, value, lease](const Result<StoreRevision> &result) {
            m_acquiring.erase(name);
            if (const auto *revision = std::get_if<StoreRevision>(&result)) {
                m_context.entries.applyOwnWrite({key, value, *revision, lease});
            }
        });
}

void PartitionManager::takeOver(const PartitionIdentity &partition, FencingToken token)
{
    const Settings &settings = m_context.settings;
    LeaderTerm term;
    term.partition = partition;
    term.instance = m_context.instance;
    term.token = token;
    term.limits.heartbeatPeriod = Milliseconds(settings.heartbeat);
    term.limits.taskLease = Milliseconds(settings.taskLease);
    term.unreachedHold = unreachedHold();
    term.claimWindowMilliseconds = settings.claimWindow;
    const std::string name = partition.text();
    m_context.timeline.record({.kind = "partition.taken",
        .detail = name + " token " + std::to_string(token) + " hold " + std::to_string(term.unreachedHold.count())});
    const PartitionContext context {m_context.clock, m_context.scheduler, m_context.store, m_context.control,
        m_context.placement, m_context.timeline, *this};
    auto controller = std::make_unique<PartitionController>(context, std::move(term), [this, name] {
        // The log makes this call from its own methods, so the controller is destroyed only after they have returned.
        m_context.scheduler.post([this, name] { dropPartition(name, "another instance has taken over the log"); });
    });
    controller->start();
    m_controllers[name] = std::move(controller);
    distributeWorkers();
}

void PartitionManager::dropPartition(const std::string &partition, const std::string &reason)
{
    if (m_controllers.erase(partition) > 0) {
        m_handingOver.erase(partition);
        m_context.timeline.record({.kind = "partition.dropped", .detail = partition + ": " + reason});
    }
}

void PartitionManager::handOverPartition(const std::string &partition)
{
    if (!m_handingOver.insert(partition).second) {
        return;
    }
    PartitionController *controller = m_controllers.at(partition).get();
    m_context.timeline.record({.kind = "partition.handing-over", .detail = partition});
    const std::string key = ClusterKeys::owner(controller->term().partition);
    const FencingToken token = controller->term().token;
    controller->handOver([this, partition, key, token] {
        m_context.store.erase(key, token, [this, partition](const Status &status) {
            const Error *error = errorOf(status);
            if (error != nullptr && error->kind == ErrorKind::StoreUnavailable) {
                m_handingOver.erase(partition);
                return;
            }
            m_context.scheduler.after(Milliseconds(500), [this, partition] { m_handingOver.erase(partition); });
            if (m_controllers.erase(partition) > 0) {
                m_context.timeline.record({.kind = "partition.handed-over", .detail = partition});
            }
        });
    });
}

void PartitionManager::handOverAll(std::function<void()> handler)
{
    m_leaving = true;
    m_handOverHandler = std::move(handler);
}

bool PartitionManager::isDrained(const std::string &worker) const
{
    const StoreEntry *entry = m_context.entries.find(ClusterKeys::Workers + worker);
    if (entry == nullptr) {
        return false;
    }
    const Result<Json> document = readConfigurationValue(entry->value, "the state of worker " + worker);
    return errorOf(document) == nullptr && memberOr(std::get<Json>(document), "state", std::string()) == "drained";
}

void PartitionManager::setWorkers(std::vector<WorkerDescription> workers)
{
    m_workers = std::move(workers);
    distributeWorkers();
}

void PartitionManager::distributeWorkers()
{
    std::map<std::string, std::vector<WorkerDescription>> groups;
    for (WorkerDescription worker : m_workers) {
        worker.leaving = worker.leaving || isDrained(worker.name);
        const auto index = static_cast<int>(stableHash(worker.name) % static_cast<std::uint64_t>(m_partitionCount));
        groups[PartitionIdentity {m_context.settings.dataCentre, index}.text()].push_back(std::move(worker));
    }
    for (const auto &[name, controller] : m_controllers) {
        controller->setWorkers(groups[name]);
    }
}

std::vector<Fleet *> PartitionManager::fleets()
{
    std::vector<Fleet *> result;
    for (const auto &[name, controller] : m_controllers) {
        result.push_back(&controller->fleet());
    }
    return result;
}

std::vector<PartitionController *> PartitionManager::controllers()
{
    std::vector<PartitionController *> result;
    for (const auto &[name, controller] : m_controllers) {
        result.push_back(controller.get());
    }
    return result;
}

PartitionController *PartitionManager::readyController(const std::string &partition)
{
    const auto found = m_controllers.find(partition);
    return found != m_controllers.end() && found->second->isReady() ? found->second.get() : nullptr;
}

std::optional<PartitionOwner> PartitionManager::ownerOf(const std::string &partition) const
{
    const std::optional<PartitionIdentity> identity = PartitionIdentity::parse(partition);
    const StoreEntry *entry = identity ? m_context.entries.find(ClusterKeys::owner(*identity)) : nullptr;
    if (entry == nullptr) {
        return std::nullopt;
    }
    PartitionOwner owner;
    owner.instance = ownerInstance(*entry);
    owner.token = entry->revision;
    const StoreEntry *instance = m_context.entries.find(ClusterKeys::Instances + owner.instance);
    if (owner.instance != m_context.instance && instance != nullptr) {
        owner.peerAddress = parseInstanceRecord(instance->value).peerAddress;
    }
    return owner;
}

std::vector<PartitionOffer> PartitionManager::offers()
{
    std::vector<PartitionOffer> result;
    const bool mayAct = ownershipState() != OwnershipState::CutOff;
    for (const auto &[name, controller] : m_controllers) {
        PartitionOffer offer;
        offer.partition = name;
        offer.token = controller->term().token;
        offer.ready = controller->isReady() && mayAct;
        for (const auto &[workerName, worker] : controller->fleet().workers()) {
            const Resources &capacity = worker.description.capacity;
            offer.largestMilliCores = std::max(offer.largestMilliCores, capacity.milliCores);
            offer.largestMemoryMegabytes = std::max(offer.largestMemoryMegabytes, capacity.memoryMegabytes);
            offer.largestAccelerators = std::max(offer.largestAccelerators, capacity.accelerators);
            if (worker.admission != WorkerAdmission::Open) {
                continue;
            }
            const Resources freeResources = worker.freeResources();
            offer.freeSlots += worker.freeSlots();
            offer.freeMilliCores = std::max(offer.freeMilliCores, freeResources.milliCores);
            offer.freeMemoryMegabytes = std::max(offer.freeMemoryMegabytes, freeResources.memoryMegabytes);
            offer.freeAccelerators = std::max(offer.freeAccelerators, freeResources.accelerators);
        }
        for (const auto &[team, used] : controller->teamUsage()) {
            offer.teams.push_back({team, used.milliCores, used.memoryMegabytes, used.accelerators});
        }
        offer.waitingTasks = static_cast<std::int64_t>(controller->table().unassigned().size());
        result.push_back(std::move(offer));
    }
    return result;
}

std::optional<Resources> PartitionManager::quota(const std::string &team) const
{
    const StoreEntry *entry = m_context.entries.find(ClusterKeys::Teams + team);
    if (entry == nullptr) {
        return std::nullopt;
    }
    const Result<Json> document = readConfigurationValue(entry->value, "the quota of team " + team);
    return errorOf(document) != nullptr ? std::nullopt : std::optional(parseResources(std::get<Json>(document)));
}

Resources PartitionManager::usedElsewhere(const std::string &team, const std::string &partition) const
{
    Resources sum;
    for (const auto &[name, controller] : m_controllers) {
        const auto used = controller->teamUsage().find(team);
        if (name != partition && used != controller->teamUsage().end()) {
            sum = sum + used->second;
        }
    }
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        for (const PartitionOffer &offer : gossip->offers) {
            for (const TeamUse &use : offer.teams) {
                if (use.team == team && !m_controllers.contains(offer.partition)) {
                    sum = sum + Resources {use.milliCores, use.memoryMegabytes, use.accelerators};
                }
            }
        }
    }
    return sum;
}

const std::vector<WorkerDescription> &PartitionManager::workers() const
{
    return m_workers;
}

}
