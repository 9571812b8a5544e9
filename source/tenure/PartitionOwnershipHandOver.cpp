// PartitionOwnership: partitions that a late owner hands over.
#include "tenure/JobKeys.h"
#include "tenure/PartitionOwnership.h"

#include <algorithm>
#include <utility>

namespace Wagtail
{

namespace
{

// An owner that is late may never have recorded all changes. What is missing after this time its successor learns from
// the workers, as after a crash.
constexpr Milliseconds LongestFlush {1'000};
constexpr Milliseconds EraseRetryDelay {250};

}

void PartitionOwnership::reviewHandOver()
{
    const bool isReleasing = std::any_of(
        m_partitions.begin(), m_partitions.end(), [](const auto &entry) { return entry.second.releasing; });
    const Instant now = m_environment.clock.now();
    const bool mayRelease = !m_releasing && !isReleasing && !m_storeOutage && m_environment.lease.isHeld();
    // The candidates are parsed from the owners' entries, so this comes before.
    if (!isLate(m_load) || !mayRelease || !m_successors || m_successors->isPending()) {
        return;
    }
    std::vector<OwnedPartition> owned;
    for (const auto &[partition, state] : m_partitions) {
        if (state.leader) {
            std::vector<OwnerCandidate> candidates = candidatesFor(partition);
            std::erase_if(candidates,
                [this](const OwnerCandidate &candidate) { return m_successors->hasRefused(candidate.name); });
            owned.push_back({partition, state.termStartedAt, std::move(candidates)});
        }
    }
    if (const std::optional<HandOverDecision> decision = chooseHandOver(m_self.name, m_load, owned, now)) {
        askSuccessor(*decision);
    }
}

void PartitionOwnership::askSuccessor(const HandOverDecision &decision)
{
    const auto successor = std::find_if(m_listedInstances.begin(), m_listedInstances.end(),
        [&decision](const InstanceEntry &instance) { return instance.name == decision.successor; });
    if (successor == m_listedInstances.end()) {
        return;
    }
    const StoreRevision token = m_partitions[decision.partition].leader->position().ownerRevision;
    m_successors->ask(*successor, [this, decision, token] {
        if (isTermCurrent(decision.partition, token) && !m_releasing && m_environment.lease.isHeld()) {
            beginHandOver(decision);
        }
    });
}

void PartitionOwnership::beginHandOver(const HandOverDecision &decision)
{
    PartitionState &state = m_partitions[decision.partition];
    const StoreRevision token = state.leader->position().ownerRevision;
    m_environment.log("hand-over-begun", decision.partition,
        {{"token", token}, {"successor", decision.successor}, {"loop_delay_ms", m_load.meanLoopDelay.count()},
            {"probe_us", m_load.probeTime.count()}});
    state.releasing = true;
    state.leader->setAuthority(SchedulingAuthority::KeepRunning);
    const auto isDecided = std::make_shared<bool>(false);
    state.leader->flush([this, alive = m_alive, isDecided, partition = decision.partition, token] {
        if (*alive && !std::exchange(*isDecided, true)) {
            eraseOwner(partition, token);
        }
    });
    m_environment.scheduler.after(
        LongestFlush, [this, alive = m_alive, isDecided, partition = decision.partition, token] {
            if (!*alive || std::exchange(*isDecided, true) || !isTermCurrent(partition, token)) {
                return;
            }
            PartitionState &late = m_partitions[partition];
            if (late.leader->isStoreUnavailable()) {
                // Nobody could take the partition over, and nothing would start until the store is back.
                m_environment.log("hand-over-withdrawn", partition, {{"token", token}});
                late.releasing = false;
                return;
            }
            eraseOwner(partition, token);
        });
}

bool PartitionOwnership::isTermCurrent(const std::string &partition, StoreRevision token) const
{
    const auto state = m_partitions.find(partition);
    return state != m_partitions.end() && state->second.leader
        && state->second.leader->position().ownerRevision == token;
}

void PartitionOwnership::eraseOwner(const std::string &partition, StoreRevision token)
{
    if (!isTermCurrent(partition, token)) {
        return;
    }
    m_environment.store.erase(
        JobKeys::owner(partition), token, [this, alive = m_alive, partition, token](const Status &status) {
            if (!*alive || !isTermCurrent(partition, token)) {
                return;
            }
            const Error *error = errorOf(status);
            if (error == nullptr || error->kind == ErrorKind::Conflict) {
                m_environment.log("partition-released", partition, {{"token", token}});
                dropLeader(partition);
                return;
            }
            m_environment.scheduler.after(EraseRetryDelay, [this, alive, partition, token] {
                if (*alive) {
                    eraseOwner(partition, token);
                }
            });
        });
}

}
