#include "tenure/PartitionOwnership.h"

#include "tenure/InstanceSpeeds.h"
#include "tenure/JobKeys.h"
#include "tenure/TakeOverRank.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// How long each candidate for a vacant partition waits for the one before it.
constexpr Milliseconds DelayPerRank {250};
// Candidates beyond this rank all try at the same time; the store lets only one succeed.
constexpr std::int64_t MaxRank = 12;
// An instance waits longer for each partition that it owns, because it does not know yet how much processor time that
// partition needs.
constexpr std::int64_t RanksPerOwnedPartition = 2;
// All instances of a fleet start within 0.3 s. Until then the list of candidates is incomplete.
constexpr Milliseconds SettleTime {500};
// Running instances register again within this time after an outage in which the store dropped their leases. A new
// process does not know of them before.
constexpr Milliseconds NewProcessDelay {2'000};
// Higher terms in a partition's head were not written by an owner. Run numbers are multiples of the term.
constexpr std::uint64_t MaximumTerm = 1'000'000'000;

}

PartitionOwnership::PartitionOwnership(Environment environment, InstanceEntry self, PartitionLeader::Limits limits)
    : m_environment(std::move(environment))
    , m_refusals(m_environment.clock, m_environment.scheduler, m_environment.store)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_startedAt(m_environment.clock.now())
{
    for (const std::string &partition : m_environment.plan.partitions()) {
        m_partitions[partition];
    }
    if (m_environment.peers != nullptr) {
        m_places = std::make_unique<PeerPlaceRequester>(PeerPlaceRequester::Environment {
            m_environment.scheduler, *m_environment.peers, [this](const std::string &partition) {
                return ownerOf(partition);
            }});
        m_successors = std::make_unique<SuccessorQuery>(m_environment.clock, *m_environment.peers);
    }
}

PartitionOwnership::~PartitionOwnership()
{
    *m_alive = false;
}

SubmissionRefusals &PartitionOwnership::refusals()
{
    return m_refusals;
}

std::optional<InstanceEntry> PartitionOwnership::ownerOf(const std::string &partition) const
{
    const StoreEntry *entry = m_environment.cluster.find(JobKeys::owner(partition));
    if (entry == nullptr) {
        return std::nullopt;
    }
    const Result<OwnerEntry> parsed = parseOwnerEntry(entry->value);
    const auto *owner = std::get_if<OwnerEntry>(&parsed);
    return owner == nullptr ? std::nullopt : std::optional(owner->instance);
}

bool PartitionOwnership::seeksRoom() const
{
    return std::any_of(m_partitions.begin(), m_partitions.end(),
        [](const auto &entry) { return entry.second.leader && entry.second.leader->seeksRoom(); });
}

PartitionLeader *PartitionOwnership::leader(const std::string &partition)
{
    const auto found = m_partitions.find(partition);
    const bool isUsable = found != m_partitions.end() && found->second.leader && found->second.leader->isLoaded()
        && !found->second.releasing;
    return isUsable ? found->second.leader.get() : nullptr;
}

void PartitionOwnership::review()
{
    if (m_environment.cluster.revision() == 0) {
        return;
    }
    observeInstances();
    for (auto &[partition, state] : m_partitions) {
        reviewPartition(partition, state);
    }
}

void PartitionOwnership::reviewPartition(const std::string &partition, PartitionState &state)
{
    const StoreEntry *entry = m_environment.cluster.find(JobKeys::owner(partition));
    if (state.leader) {
        const StoreRevision token = state.leader->position().ownerRevision;
        const bool replaced = entry == nullptr ? m_environment.cluster.revision() > token : entry->revision > token;
        if (replaced || state.ownerLease != m_environment.lease.lease()) {
            m_environment.log("partition-ownership-lost", partition, {{"token", token}});
            dropLeader(partition);
        }
        return;
    }
    if (state.takingOver || m_releasing) {
        return;
    }
    if (!m_environment.lease.isHeld()) {
        // The stronger instances may not be able to take the partition either.
        state.vacantSince.reset();
        return;
    }
    const bool ended = entry == nullptr || entry->revision <= state.endedToken;
    const Result<OwnerEntry> parsed = ended ? Result<OwnerEntry>(Error()) : parseOwnerEntry(entry->value);
    const auto *owner = std::get_if<OwnerEntry>(&parsed);
    if (owner == nullptr) {
        // There is no owner, or another writer has replaced its entry. Then the owner has given up the partition.
        const Instant now = m_environment.clock.now();
        state.vacantSince = std::max(state.vacantSince.value_or(now), m_startedAt + SettleTime);
        if (now - *state.vacantSince >= takeOverDelay(partition)) {
            state.succession = state.endedToken == 0 ? TermSuccession::Vacancy : TermSuccession::OwnTerm;
            takeOver(partition, ended ? MustNotExist : entry->revision);
        }
        return;
    }
    state.vacantSince.reset();
    if (owner->instance.name != m_self.name) {
        return;
    }
    if (owner->instance.incarnation == m_self.incarnation) {
        // This process wrote the entry, but the store's answer was lost.
        state.ownerLease = entry->lease;
        startTerm(partition, owner->term, entry->revision);
        return;
    }
    state.succession = TermSuccession::FormerProcess;
    takeOver(partition, entry->revision);
}

void PartitionOwnership::observeInstances()
{
    const Instant now = m_environment.clock.now();
    if (!m_environment.lease.isHeld()) {
        m_instances.noteLeaseMissing(now);
    } else {
        m_registeredAt = m_registeredAt.value_or(now);
    }
    // Reviews are frequent and changes of the cluster's entries are rare, so entries are parsed only after a change.
    if (m_listedRevision != m_environment.cluster.revision()) {
        m_listedRevision = m_environment.cluster.revision();
        m_listedInstances.clear();
        for (const StoreEntry *entry : m_environment.cluster.withPrefix(JobKeys::Instances)) {
            Result<InstanceEntry> parsed = parseInstanceEntry(entry->value);
            if (auto *instance = std::get_if<InstanceEntry>(&parsed)) {
                m_listedInstances.push_back(std::move(*instance));
            }
        }
    }
    m_instances.observe(m_listedInstances, now);
}

int PartitionOwnership::ownedPartitionCount() const
{
    return static_cast<int>(std::count_if(m_partitions.begin(), m_partitions.end(),
        [](const auto &entry) { return entry.second.leader != nullptr || entry.second.takingOver; }));
}

std::vector<OwnerCandidate> PartitionOwnership::candidatesFor(const std::string &partition) const
{
    const std::set<std::string> &inside = m_environment.plan.dataCentres(partition);
    std::map<std::string, int> owned;
    for (const auto &[other, state] : m_partitions) {
        if (const std::optional<InstanceEntry> owner = ownerOf(other)) {
            ++owned[owner->name];
        }
    }
    // The cluster's entries do not show yet what this instance has just taken over.
    owned[m_self.name] = std::max(owned[m_self.name], ownedPartitionCount());
    const std::vector<InstanceEntry> instances = m_instances.candidates(m_environment.clock.now());
    const InstanceSpeeds speeds(instances);
    std::vector<OwnerCandidate> candidates;
    candidates.reserve(instances.size());
    for (const InstanceEntry &instance : instances) {
        candidates.push_back({instance.name, m_environment.plan.dataCentresInRegion(partition, instance.region),
            inside.contains(instance.dataCentre), speeds.effectiveMilliCores(instance), owned[instance.name],
            speeds.isSlow(instance)});
    }
    return candidates;
}

Milliseconds PartitionOwnership::takeOverDelay(const std::string &partition) const
{
    const std::vector<OwnerCandidate> candidates = candidatesFor(partition);
    const std::int64_t rank = std::min(takeOverRank(m_self.name, partition, candidates), MaxRank);
    const auto self = std::find_if(candidates.begin(), candidates.end(),
        [this](const OwnerCandidate &candidate) { return candidate.name == m_self.name; });
    const int owned = self == candidates.end() ? ownedPartitionCount() : self->ownedPartitions;
    return DelayPerRank * (rank + (rank == 0 ? 0 : RanksPerOwnedPartition * owned));
}

void PartitionOwnership::takeOver(const std::string &partition, StoreRevision ownerRevision)
{
    m_partitions[partition].takingOver = true;
    m_environment.store.read(JobKeys::head(partition),
        [this, alive = m_alive, partition, ownerRevision](const Result<std::optional<StoreEntry>> &result) {
            if (!*alive) {
                return;
            }
            const auto *head = std::get_if<std::optional<StoreEntry>>(&result);
            if (head == nullptr || !m_environment.lease.isHeld()) {
                m_partitions[partition].takingOver = false;
                return;
            }
            const Instant complete = m_registeredAt.value_or(m_environment.clock.now()) + NewProcessDelay;
            if (ownerRevision == MustNotExist && *head && m_environment.clock.now() < complete) {
                m_partitions[partition].takingOver = false;
                m_partitions[partition].vacantSince = complete;
                return;
            }
            writeOwner(partition, ownerRevision, *head);
        });
}

void PartitionOwnership::writeOwner(
    const std::string &partition, StoreRevision ownerRevision, const std::optional<StoreEntry> &head)
{
    std::uint64_t term = 0;
    if (head) {
        const Result<Json> document = parseJson(head->value, "the partition's head");
        const Json *members = std::get_if<Json>(&document);
        const std::uint64_t last = members == nullptr ? MaximumTerm : memberOr(*members, "tenure", std::uint64_t {0});
        // The revision is higher than any term before it.
        term = last < MaximumTerm ? last + 1 : head->revision;
    }
    StoreTransaction transaction;
    transaction.conditions = {
        {JobKeys::owner(partition), ownerRevision}, {JobKeys::head(partition), head ? head->revision : MustNotExist}};
    transaction.writes
        = {{JobKeys::owner(partition), serialize(OwnerEntry {m_self, term}), std::nullopt, m_environment.lease.lease()},
            {JobKeys::head(partition), writeJson({{"tenure", term}}), std::nullopt, 0}};
    m_partitions[partition].ownerLease = m_environment.lease.lease();
    m_environment.store.commit(
        std::move(transaction), [this, alive = m_alive, partition, term](const Result<StoreTransactionResult> &result) {
            if (!*alive) {
                return;
            }
            m_partitions[partition].takingOver = false;
            const auto *commit = std::get_if<StoreTransactionResult>(&result);
            if (commit == nullptr) {
                m_environment.log("take-over-outcome-unknown", partition, {{"error", errorOf(result)->detail}});
                return;
            }
            if (commit->committed) {
                startTerm(partition, term, commit->revision);
            }
        });
}

void PartitionOwnership::startTerm(const std::string &partition, std::uint64_t term, StoreRevision revision)
{
    PartitionState &state = m_partitions[partition];
    if (state.leader || revision <= state.endedToken) {
        return;
    }
    state.termStartedAt = m_environment.clock.now();
    m_environment.log("leader-term-started", partition,
        {{"token", revision}, {"tenure", term}, {"follows", nameOf(state.succession)},
            {"ended_token", state.endedToken}});
    PartitionLeader::Environment environment {m_environment.clock, m_environment.scheduler, m_environment.store,
        m_environment.gateway, m_refusals, m_environment.log,
        [this, alive = m_alive, partition] {
            m_environment.scheduler.post([this, alive, partition] {
                if (*alive) {
                    dropLeader(partition);
                }
            });
        },
        m_environment.advisor, {}, m_places.get()};
    state.leader = std::make_unique<PartitionLeader>(
        std::move(environment), m_limits, JournalPosition {partition, term, revision, revision});
    state.leader->updateWorkers(workersOf(partition));
    state.leader->updatePolicies(m_policies);
    if (state.succession == TermSuccession::FormerProcess) {
        state.leader->setLastOwnerEnded();
    }
    state.leader->load();
}

void PartitionOwnership::dropLeader(const std::string &partition)
{
    PartitionState &state = m_partitions[partition];
    if (state.leader) {
        state.endedToken = state.leader->position().ownerRevision;
    }
    state.leader.reset();
    state.releasing = false;
    state.vacantSince.reset();
}

void PartitionOwnership::logStoreLease()
{
    const bool isHeld = m_environment.lease.isHeld();
    if (isHeld == m_wasLeaseHeld) {
        return;
    }
    m_wasLeaseHeld = isHeld;
    const auto age = m_environment.clock.now() - m_environment.lease.confirmedAt();
    m_environment.log(isHeld ? "store-lease-held" : "store-lease-lost", m_self.name,
        {{"lease", m_environment.lease.lease()},
            {"confirmed_age_ms", std::chrono::duration_cast<Milliseconds>(age).count()},
            {"outage_confirmed", m_storeOutage}});
}

void PartitionOwnership::tick()
{
    logStoreLease();
    review();
    m_outageTenure.observe(m_environment.lease.isHeld(), m_storeOutage, m_environment.clock.now());
    const SchedulingAuthority authority = !m_outageTenure.mayGoOn() ? SchedulingAuthority::Observe
        : m_releasing                                               ? SchedulingAuthority::KeepRunning
                                                                    : SchedulingAuthority::Full;
    const auto allRead = [this](std::int64_t version) {
        return !m_listedInstances.empty()
            && std::all_of(m_listedInstances.begin(), m_listedInstances.end(),
                [version](const InstanceEntry &instance) { return instance.messageVersion >= version; });
    };
    const bool allReadReturns = allRead(InstanceEntry::ReturnVersion);
    const bool allReadMoves = allRead(InstanceEntry::MoveVersion);
    for (auto &[partition, state] : m_partitions) {
        if (state.leader) {
            state.leader->setMayGiveBack(allReadReturns);
            state.leader->setMayRelocateJobs(allReadMoves);
            state.leader->setLeaseConfirmedAt(m_environment.lease.confirmedAt());
            const bool isHandedOver = state.releasing && authority == SchedulingAuthority::Full;
            state.leader->setAuthority(isHandedOver ? SchedulingAuthority::KeepRunning : authority);
            state.leader->tick();
        }
    }
    reviewHandOver();
}

void PartitionOwnership::setLoad(const InstanceLoad &load)
{
    m_load = load;
}

bool PartitionOwnership::mayTakeOver() const
{
    const Instant now = m_environment.clock.now();
    const bool knowsOthers = m_registeredAt && now - *m_registeredAt >= NewProcessDelay;
    return knowsOthers && !m_releasing && !m_storeOutage && m_environment.lease.isHeld() && !isLate(m_load);
}

void PartitionOwnership::setStoreOutage(bool confirmed)
{
    m_storeOutage = confirmed;
}

OwnerRevisions PartitionOwnership::ownerRevisions() const
{
    OwnerRevisions revisions;
    for (const auto &[partition, state] : m_partitions) {
        const StoreEntry *entry = m_environment.cluster.find(JobKeys::owner(partition));
        const StoreRevision seen = entry == nullptr ? m_environment.cluster.revision() : entry->revision;
        const StoreRevision token = state.leader ? state.leader->position().ownerRevision : state.endedToken;
        revisions[partition] = std::max(seen, token);
    }
    return revisions;
}

void PartitionOwnership::applyOwnerRevisions(const OwnerRevisions &revisions)
{
    for (auto &[partition, state] : m_partitions) {
        const auto known = revisions.find(partition);
        if (!state.leader || known == revisions.end()) {
            continue;
        }
        const StoreRevision token = state.leader->position().ownerRevision;
        if (known->second > token) {
            m_environment.log(
                "partition-ownership-lost", partition, {{"token", token}, {"seen_by_peer", known->second}});
            dropLeader(partition);
        }
    }
}

std::vector<InstanceEntry> PartitionOwnership::otherInstances() const
{
    std::vector<InstanceEntry> instances = m_instances.candidates(m_environment.clock.now());
    std::erase_if(instances, [this](const InstanceEntry &instance) { return instance.name == m_self.name; });
    return instances;
}

std::map<std::string, WorkerListing> PartitionOwnership::workersOf(const std::string &partition) const
{
    std::map<std::string, WorkerListing> workers;
    for (const auto &[name, worker] : m_workers) {
        if (m_environment.plan.partitionOf(worker.dataCentre) == partition) {
            workers.emplace(name, worker);
        }
    }
    return workers;
}

void PartitionOwnership::updateWorkers(const std::map<std::string, WorkerListing> &workers)
{
    m_workers = workers;
    for (auto &[partition, state] : m_partitions) {
        if (state.leader) {
            state.leader->updateWorkers(workersOf(partition));
        }
    }
}

void PartitionOwnership::updatePolicies(const std::map<std::string, QueuePolicy> &policies)
{
    m_policies = policies;
    for (auto &[partition, state] : m_partitions) {
        if (state.leader) {
            state.leader->updatePolicies(policies);
        }
    }
}

void PartitionOwnership::updateHeadroom(const std::string &partition, const PoolHeadrooms &headrooms)
{
    for (auto &[name, state] : m_partitions) {
        if (state.leader) {
            state.leader->updateHeadroom(partition, headrooms);
        }
    }
}

void PartitionOwnership::release(std::function<void()> handler)
{
    m_releasing = true;
    std::vector<std::string> held;
    for (const auto &[partition, state] : m_partitions) {
        if (state.leader) {
            held.push_back(partition);
        }
    }
    releaseNext(std::move(held), std::move(handler));
}

void PartitionOwnership::releaseNext(std::vector<std::string> partitions, std::function<void()> handler)
{
    if (partitions.empty()) {
        handler();
        return;
    }
    const std::string partition = partitions.back();
    partitions.pop_back();
    PartitionState &state = m_partitions[partition];
    if (!state.leader) {
        releaseNext(std::move(partitions), std::move(handler));
        return;
    }
    state.releasing = true;
    state.leader->setAuthority(SchedulingAuthority::KeepRunning);
    state.leader->flush(
        [this, alive = m_alive, partition, partitions = std::move(partitions), handler = std::move(handler)] {
            if (!*alive) {
                return;
            }
            const PartitionState &flushed = m_partitions[partition];
            const StoreRevision token = flushed.leader ? flushed.leader->position().ownerRevision : 0;
            m_environment.store.erase(
                JobKeys::owner(partition), token, [this, alive, partition, partitions, handler](const Status &status) {
                    if (!*alive) {
                        return;
                    }
                    m_environment.log("partition-released", partition,
                        {{"error", errorOf(status) == nullptr ? std::string() : errorOf(status)->detail}});
                    dropLeader(partition);
                    releaseNext(partitions, handler);
                });
        });
}

}
