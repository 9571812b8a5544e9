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

constexpr Milliseconds VanishedMemory {3'600'000};
constexpr Milliseconds KnownByAllAfter {10'000};

std::string ownerInstance(const StoreEntry &entry)
{
    const Result<Json> document = parseJson(entry.value, "the owner of a partition");
    return errorOf(document) != nullptr ? std::string() : memberOr(std::get<Json>(document), "instance", std::string());
}

}

PartitionManager::PartitionManager(ManagerContext context)
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

std::vector<InstanceRecord> PartitionManager::neighbours() const
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
    const std::vector<InstanceRecord> others = neighbours();
    if (others.empty()) {
        return OwnershipState::StoreOutage;
    }
    bool anyHeard = false;
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        if (gossip->dataCentre != m_context.settings.dataCentre) {
            continue;
        }
        if (gossip->storeReachable) {
            return OwnershipState::CutOff;
        }
        anyHeard = true;
    }
    return anyHeard ? OwnershipState::StoreOutage : OwnershipState::CutOff;
}

void PartitionManager::watchNeighbours()
{
    const Instant now = m_context.clock.now();
    std::map<std::string, InstanceRecord> present;
    for (InstanceRecord &record : neighbours()) {
        std::string name = record.instance;
        present.emplace(std::move(name), std::move(record));
    }
    for (const auto &[instance, record] : m_seen) {
        if (!present.contains(instance) && !record.leaving) {
            m_vanished[instance] = now;
            m_context.timeline.record({.kind = "instance.vanished", .detail = instance});
        }
    }
    std::erase_if(m_vanished,
        [&](const auto &item) { return present.contains(item.first) || now - item.second > VanishedMemory; });
    m_seen = std::move(present);
}

// A predecessor goes on in a store outage only while it hears another instance that can't reach the store either.
// When this instance hears all others, and they reach the store through it, no such pair can exist.
Milliseconds PartitionManager::unreachedHold() const
{
    const std::vector<InstanceRecord> others = neighbours();
    const bool allHeard = std::ranges::all_of(
        others, [this](const InstanceRecord &record) { return m_context.peers.hasRecentGossip(record.instance); });
    const bool knownByAll = m_context.clock.now() - m_startedAt > KnownByAllAfter;
    if (allHeard && knownByAll && m_vanished.size() <= 1) {
        const Settings &settings = m_context.settings;
        return Milliseconds(settings.instanceLease + settings.taskLease + settings.heartbeat);
    }
    return Milliseconds(m_context.settings.unreachedHold);
}

void PartitionManager::tick()
{
    watchNeighbours();
    std::vector<std::string> candidates;
    for (const auto &[instance, record] : m_seen) {
        if (!record.leaving) {
            candidates.push_back(instance);
        }
    }
    if (!m_leaving) {
        candidates.push_back(m_context.instance);
    }
    const std::map<int, std::string> assignment = assignPartitions(m_partitionCount, candidates);
    for (int i = 0; i < m_partitionCount; ++i) {
        const auto desired = assignment.find(i);
        tickPartition({m_context.settings.dataCentre, i}, desired == assignment.end() ? "" : desired->second);
    }
    const OwnershipState present = ownershipState();
    for (const auto &[name, keeper] : m_keepers) {
        keeper->tick(present);
    }
    if (m_leaving && m_keepers.empty() && m_onHandedOver) {
        const auto handler = std::move(m_onHandedOver);
        m_onHandedOver = nullptr;
        handler();
    }
}

void PartitionManager::tickPartition(const PartitionIdentity &partition, const std::string &desired)
{
    const std::string name = partition.text();
    const StoreEntry *entry = m_context.entries.find(ClusterKeys::owner(partition));
    const bool mine = entry != nullptr && ownerInstance(*entry) == m_context.instance;
    const auto keeper = m_keepers.find(name);
    const bool held = m_context.lease.isHeld();
    if (keeper != m_keepers.end()) {
        const bool same = mine && keeper->second->term().token == entry->revision;
        if (entry != nullptr && !same) {
            drop(name, "another tenure has begun");
        } else if (entry == nullptr && held && !m_releasing.contains(name)) {
            // The store forgot the ownership while it was away; it has to be won again.
            drop(name, "the lease lapsed");
        } else if (same && held && desired != m_context.instance && (!desired.empty() || m_leaving)) {
            release(name);
        }
        return;
    }
    if (mine && held && !m_releasing.contains(name)) {
        take(partition, entry->revision);
    } else if (entry == nullptr && held && desired == m_context.instance) {
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
    // A lost answer needs no care here: if the write took effect, the feed shows this instance as the owner.
    m_context.store.write(
        {key, value, MustNotExist, lease}, [this, name, key, value, lease](const Result<StoreRevision> &result) {
            m_acquiring.erase(name);
            if (const auto *revision = std::get_if<StoreRevision>(&result)) {
                m_context.entries.applyOwnWrite({key, value, *revision, lease});
            }
        });
}

void PartitionManager::take(const PartitionIdentity &partition, FencingToken token)
{
    const Settings &settings = m_context.settings;
    KeeperTenure tenure;
    tenure.partition = partition;
    tenure.instance = m_context.instance;
    tenure.token = token;
    tenure.limits.heartbeatPeriod = Milliseconds(settings.heartbeat);
    tenure.limits.taskLease = Milliseconds(settings.taskLease);
    tenure.unreachedHold = unreachedHold();
    tenure.claimWindowMilliseconds = settings.claimWindow;
    const std::string name = partition.text();
    m_context.timeline.record({.kind = "partition.taken",
        .detail = name + " token " + std::to_string(token) + " hold " + std::to_string(tenure.unreachedHold.count())});
    const KeeperContext context {m_context.clock, m_context.scheduler, m_context.store, m_context.control,
        m_context.placement, m_context.timeline, *this};
    auto keeper = std::make_unique<PartitionController>(context, std::move(tenure), [this, name] {
        // The log calls this from within; the keeper may only go once it has returned.
        m_context.scheduler.post([this, name] { drop(name, "the log was taken over"); });
    });
    keeper->start();
    m_keepers[name] = std::move(keeper);
    distributeWorkers();
}

void PartitionManager::drop(const std::string &partition, const std::string &why)
{
    if (m_keepers.erase(partition) > 0) {
        m_releasing.erase(partition);
        m_context.timeline.record({.kind = "partition.dropped", .detail = partition + ": " + why});
    }
}

void PartitionManager::release(const std::string &partition)
{
    if (!m_releasing.insert(partition).second) {
        return;
    }
    PartitionController *keeper = m_keepers.at(partition).get();
    m_context.timeline.record({.kind = "partition.handing-over", .detail = partition});
    const std::string key = ClusterKeys::owner(keeper->term().partition);
    const FencingToken token = keeper->term().token;
    keeper->handOver([this, partition, key, token] {
        m_context.store.erase(key, token, [this, partition](const Status &status) {
            const Error *error = errorOf(status);
            if (error != nullptr && error->kind == ErrorKind::StoreUnavailable) {
                m_releasing.erase(partition);
                return;
            }
            m_context.scheduler.after(Milliseconds(500), [this, partition] { m_releasing.erase(partition); });
            if (m_keepers.erase(partition) > 0) {
                m_context.timeline.record({.kind = "partition.handed-over", .detail = partition});
            }
        });
    });
}

void PartitionManager::handOverAll(std::function<void()> handler)
{
    m_leaving = true;
    m_onHandedOver = std::move(handler);
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
    for (const auto &[name, keeper] : m_keepers) {
        keeper->setWorkers(groups[name]);
    }
}

std::vector<Fleet *> PartitionManager::fleets()
{
    std::vector<Fleet *> result;
    for (const auto &[name, keeper] : m_keepers) {
        result.push_back(&keeper->fleet());
    }
    return result;
}

std::vector<PartitionController *> PartitionManager::controllers()
{
    std::vector<PartitionController *> result;
    for (const auto &[name, keeper] : m_keepers) {
        result.push_back(keeper.get());
    }
    return result;
}

PartitionController *PartitionManager::readyController(const std::string &partition)
{
    const auto found = m_keepers.find(partition);
    return found != m_keepers.end() && found->second->isReady() ? found->second.get() : nullptr;
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
    for (const auto &[name, keeper] : m_keepers) {
        PartitionOffer offer;
        offer.partition = name;
        offer.token = keeper->term().token;
        offer.ready = keeper->isReady() && mayAct;
        for (const auto &[workerName, worker] : keeper->fleet().workers()) {
            const Resources &capacity = worker.description.capacity;
            offer.largestMilliCores = std::max(offer.largestMilliCores, capacity.milliCores);
            offer.largestMemoryMegabytes = std::max(offer.largestMemoryMegabytes, capacity.memoryMegabytes);
            offer.largestAccelerators = std::max(offer.largestAccelerators, capacity.accelerators);
            if (worker.admission != WorkerAdmission::Open) {
                continue;
            }
            const Resources room = worker.freeResources();
            offer.freeSlots += worker.freeSlots();
            offer.freeMilliCores = std::max(offer.freeMilliCores, room.milliCores);
            offer.freeMemoryMegabytes = std::max(offer.freeMemoryMegabytes, room.memoryMegabytes);
            offer.freeAccelerators = std::max(offer.freeAccelerators, room.accelerators);
        }
        for (const auto &[team, used] : keeper->teamUse()) {
            offer.teams.push_back({team, used.milliCores, used.memoryMegabytes, used.accelerators});
        }
        offer.waitingTasks = static_cast<std::int64_t>(keeper->table().unassigned().size());
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
    for (const auto &[name, keeper] : m_keepers) {
        const auto used = keeper->teamUse().find(team);
        if (name != partition && used != keeper->teamUse().end()) {
            sum = sum + used->second;
        }
    }
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        for (const PartitionOffer &offer : gossip->offers) {
            for (const TeamUse &use : offer.teams) {
                if (use.team == team && !m_keepers.contains(offer.partition)) {
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
