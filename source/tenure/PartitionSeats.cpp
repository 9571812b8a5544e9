#include "tenure/PartitionSeats.h"

#include "tenure/JobKeys.h"
#include "tenure/OwnerTurn.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// Time for the preferred instance to take a vacant partition before the next one tries.
constexpr Milliseconds TurnLength {250};
// Beyond this many candidates all try at once: the store lets only one succeed.
constexpr std::int64_t MostTurns = 6;
// An instance lets others go first for each partition that it has, as it can't tell yet what that will cost it.
constexpr std::int64_t TurnsForEachOwned = 2;
// All instances of a fleet start within 0.3 s; before that the list of candidates is not complete.
constexpr Milliseconds SettleTime {500};

}

PartitionSeats::PartitionSeats(Environment environment, InstanceCard self, JobKeeper::Limits limits)
    : m_environment(std::move(environment))
    , m_self(std::move(self))
    , m_limits(limits)
    , m_beganAt(m_environment.clock.now())
{
    for (const std::string &partition : m_environment.plan.partitions()) {
        m_seats[partition];
    }
}

PartitionSeats::~PartitionSeats()
{
    *m_alive = false;
}

std::optional<InstanceCard> PartitionSeats::ownerOf(const std::string &partition) const
{
    const StoreEntry *entry = m_environment.cluster.find(JobKeys::owner(partition));
    if (entry == nullptr) {
        return std::nullopt;
    }
    const Result<OwnerCard> card = parseOwnerCard(entry->value);
    const auto *owner = std::get_if<OwnerCard>(&card);
    return owner == nullptr ? std::nullopt : std::optional(owner->instance);
}

JobKeeper *PartitionSeats::keeper(const std::string &partition)
{
    const auto found = m_seats.find(partition);
    const bool usable = found != m_seats.end() && found->second.keeper && found->second.keeper->isLoaded()
        && !found->second.releasing;
    return usable ? found->second.keeper.get() : nullptr;
}

void PartitionSeats::review()
{
    if (m_environment.cluster.revision() == 0) {
        return;
    }
    observeInstances();
    for (auto &[partition, seat] : m_seats) {
        reviewSeat(partition, seat);
    }
}

void PartitionSeats::reviewSeat(const std::string &partition, Seat &seat)
{
    const StoreEntry *entry = m_environment.cluster.find(JobKeys::owner(partition));
    if (seat.keeper) {
        const StoreRevision token = seat.keeper->position().ownerRevision;
        const bool lost = entry == nullptr ? m_environment.cluster.revision() > token : entry->revision > token;
        if (lost) {
            m_environment.log("tenure-lost", partition, {{"token", token}});
            drop(partition);
        }
        return;
    }
    if (seat.taking || m_releasing || !m_environment.lease.isHeld()) {
        return;
    }
    const bool vacant = entry == nullptr || entry->revision <= seat.endedToken;
    if (vacant) {
        const Instant now = m_environment.clock.now();
        seat.vacantSince = std::max(seat.vacantSince.value_or(now), m_beganAt + SettleTime);
        if (now - *seat.vacantSince >= turnDelay(partition)) {
            take(partition, MustNotExist);
        }
        return;
    }
    seat.vacantSince.reset();
    const Result<OwnerCard> card = parseOwnerCard(entry->value);
    const auto *owner = std::get_if<OwnerCard>(&card);
    if (owner == nullptr || owner->instance.name != m_self.name) {
        return;
    }
    if (owner->instance.incarnation == m_self.incarnation) {
        // The answer to the transaction that wrote this entry was lost.
        begin(partition, owner->tenure, entry->revision);
        return;
    }
    // The owner was an earlier process of this very instance, so it is gone.
    take(partition, entry->revision);
}

void PartitionSeats::observeInstances()
{
    const Instant now = m_environment.clock.now();
    if (!m_environment.lease.isHeld()) {
        m_instances.noteLeaseMissing(now);
    }
    // Reviews come many times a second, changes of the cluster seldom.
    if (m_listedRevision != m_environment.cluster.revision()) {
        m_listedRevision = m_environment.cluster.revision();
        m_listedInstances.clear();
        for (const StoreEntry *entry : m_environment.cluster.withPrefix(JobKeys::Instances)) {
            Result<InstanceCard> parsed = parseInstanceCard(entry->value);
            if (auto *card = std::get_if<InstanceCard>(&parsed)) {
                m_listedInstances.push_back(std::move(*card));
            }
        }
    }
    m_instances.observe(m_listedInstances, now);
}

int PartitionSeats::ownedHere() const
{
    return static_cast<int>(std::count_if(m_seats.begin(), m_seats.end(),
        [](const auto &entry) { return entry.second.keeper != nullptr || entry.second.taking; }));
}

Milliseconds PartitionSeats::turnDelay(const std::string &partition) const
{
    const std::set<std::string> &inside = m_environment.plan.dataCentres(partition);
    std::map<std::string, int> owned;
    for (const auto &[other, seat] : m_seats) {
        if (const std::optional<InstanceCard> owner = ownerOf(other)) {
            ++owned[owner->name];
        }
    }
    // The store does not show yet what was taken within this round.
    owned[m_self.name] = std::max(owned[m_self.name], ownedHere());
    std::vector<OwnerCandidate> candidates;
    for (const InstanceCard &card : m_instances.candidates(m_environment.clock.now())) {
        candidates.push_back({card.name, m_environment.plan.dataCentresInRegion(partition, card.region),
            inside.contains(card.dataCentre), card.milliCores, owned[card.name]});
    }
    const std::int64_t turn = std::min(turnOf(m_self.name, partition, candidates), MostTurns);
    return TurnLength * (turn + (turn == 0 ? 0 : TurnsForEachOwned * owned[m_self.name]));
}

void PartitionSeats::take(const std::string &partition, StoreRevision ownerRevision)
{
    m_seats[partition].taking = true;
    m_environment.store.read(JobKeys::head(partition),
        [this, alive = m_alive, partition, ownerRevision](const Result<std::optional<StoreEntry>> &result) {
            if (!*alive) {
                return;
            }
            const auto *head = std::get_if<std::optional<StoreEntry>>(&result);
            if (head == nullptr || !m_environment.lease.isHeld()) {
                m_seats[partition].taking = false;
                return;
            }
            writeOwner(partition, ownerRevision, *head);
        });
}

void PartitionSeats::writeOwner(
    const std::string &partition, StoreRevision ownerRevision, const std::optional<StoreEntry> &head)
{
    std::uint64_t tenure = 0;
    if (head) {
        const Result<Json> document = parseJson(head->value, "the partition's head");
        tenure = errorOf(document) == nullptr ? memberOr(std::get<Json>(document), "tenure", std::uint64_t {0}) + 1
                                              : head->revision;
    }
    StoreTransaction transaction;
    transaction.conditions = {
        {JobKeys::owner(partition), ownerRevision}, {JobKeys::head(partition), head ? head->revision : MustNotExist}};
    transaction.writes = {
        {JobKeys::owner(partition), serialize(OwnerCard {m_self, tenure}), std::nullopt, m_environment.lease.lease()},
        {JobKeys::head(partition), writeJson({{"tenure", tenure}}), std::nullopt, 0}};
    m_environment.store.commit(std::move(transaction),
        [this, alive = m_alive, partition, tenure](const Result<StoreTransactionResult> &result) {
            if (!*alive) {
                return;
            }
            m_seats[partition].taking = false;
            const auto *commit = std::get_if<StoreTransactionResult>(&result);
            if (commit == nullptr) {
                m_environment.log("take-over-unanswered", partition, {{"error", errorOf(result)->detail}});
                return;
            }
            if (commit->committed) {
                begin(partition, tenure, commit->revision);
            }
        });
}

void PartitionSeats::begin(const std::string &partition, std::uint64_t tenure, StoreRevision revision)
{
    Seat &seat = m_seats[partition];
    if (seat.keeper || revision <= seat.endedToken) {
        return;
    }
    m_environment.log("tenure-begins", partition, {{"token", revision}, {"tenure", tenure}});
    JobKeeper::Environment environment {m_environment.clock, m_environment.scheduler, m_environment.store,
        m_environment.gateway, m_environment.log,
        [this, alive = m_alive, partition] {
            m_environment.scheduler.post([this, alive, partition] {
                if (*alive) {
                    drop(partition);
                }
            });
        },
        m_environment.advisor};
    seat.keeper = std::make_unique<JobKeeper>(
        std::move(environment), m_limits, JournalPosition {partition, tenure, revision, revision});
    seat.keeper->updateWorkers(workersOf(partition));
    seat.keeper->updatePolicies(m_policies);
    seat.keeper->load();
}

void PartitionSeats::drop(const std::string &partition)
{
    Seat &seat = m_seats[partition];
    if (seat.keeper) {
        seat.endedToken = seat.keeper->position().ownerRevision;
    }
    seat.keeper.reset();
    seat.releasing = false;
    seat.vacantSince.reset();
}

void PartitionSeats::tick()
{
    review();
    const bool certain = m_environment.lease.isHeld() || m_storeOutage;
    const SchedulingAuthority authority = !certain ? SchedulingAuthority::Observe
        : m_releasing                              ? SchedulingAuthority::KeepRunning
                                                   : SchedulingAuthority::Full;
    for (auto &[partition, seat] : m_seats) {
        if (seat.keeper) {
            seat.keeper->setAuthority(authority);
            seat.keeper->tick();
        }
    }
}

void PartitionSeats::setStoreOutage(bool confirmed)
{
    m_storeOutage = confirmed;
}

std::map<std::string, WorkerListing> PartitionSeats::workersOf(const std::string &partition) const
{
    std::map<std::string, WorkerListing> workers;
    for (const auto &[name, worker] : m_workers) {
        if (m_environment.plan.partitionOf(worker.dataCentre) == partition) {
            workers.emplace(name, worker);
        }
    }
    return workers;
}

void PartitionSeats::updateWorkers(const std::map<std::string, WorkerListing> &workers)
{
    m_workers = workers;
    for (auto &[partition, seat] : m_seats) {
        if (seat.keeper) {
            seat.keeper->updateWorkers(workersOf(partition));
        }
    }
}

void PartitionSeats::updatePolicies(const std::map<std::string, QueuePolicy> &policies)
{
    m_policies = policies;
    for (auto &[partition, seat] : m_seats) {
        if (seat.keeper) {
            seat.keeper->updatePolicies(policies);
        }
    }
}

void PartitionSeats::updateRoom(const std::string &partition, const PoolHeadrooms &rooms)
{
    for (auto &[name, seat] : m_seats) {
        if (seat.keeper) {
            seat.keeper->updateRoom(partition, rooms);
        }
    }
}

void PartitionSeats::release(std::function<void()> handler)
{
    m_releasing = true;
    std::vector<std::string> held;
    for (const auto &[partition, seat] : m_seats) {
        if (seat.keeper) {
            held.push_back(partition);
        }
    }
    releaseNext(std::move(held), std::move(handler));
}

void PartitionSeats::releaseNext(std::vector<std::string> partitions, std::function<void()> handler)
{
    if (partitions.empty()) {
        handler();
        return;
    }
    const std::string partition = partitions.back();
    partitions.pop_back();
    Seat &seat = m_seats[partition];
    if (!seat.keeper) {
        releaseNext(std::move(partitions), std::move(handler));
        return;
    }
    seat.releasing = true;
    seat.keeper->setAuthority(SchedulingAuthority::KeepRunning);
    seat.keeper->flush(
        [this, alive = m_alive, partition, partitions = std::move(partitions), handler = std::move(handler)] {
            if (!*alive) {
                return;
            }
            const Seat &flushed = m_seats[partition];
            const StoreRevision token = flushed.keeper ? flushed.keeper->position().ownerRevision : 0;
            m_environment.store.erase(
                JobKeys::owner(partition), token, [this, alive, partition, partitions, handler](const Status &status) {
                    if (!*alive) {
                        return;
                    }
                    m_environment.log("partition-released", partition,
                        {{"error", errorOf(status) == nullptr ? std::string() : errorOf(status)->detail}});
                    drop(partition);
                    releaseNext(partitions, handler);
                });
        });
}

}
