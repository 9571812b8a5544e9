#include "jobs/PartitionController.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr std::size_t AssignmentsPerTick = 64;

}

std::vector<const TaskEntry *> PartitionController::waitingTasks() const
{
    std::vector<const TaskEntry *> waiting;
    for (const std::string &name : m_table.unassigned()) {
        const TaskEntry *entry = m_table.find(name);
        if (entry->phase == TaskPhase::Waiting) {
            waiting.push_back(entry);
        }
    }
    // Watchers first, then by the time that is left, brought forward by priority.
    const auto rank = [](const TaskEntry *entry) {
        constexpr std::int64_t PriorityMilliseconds = 1000;
        const bool isWatcher = entry->specification.profileClass == ProfileClass::Watcher;
        return std::pair(
            isWatcher ? 0 : 1, entry->specification.deadline - PriorityMilliseconds * entry->specification.priority);
    };
    std::ranges::sort(waiting, {}, rank);
    return waiting;
}

bool PartitionController::mayStart(const TaskEntry &entry) const
{
    const std::string &task = entry.specification.task;
    const auto notBefore = m_notBefore.find(task);
    return !m_pending.contains(task) && !entry.cancelRequested
        && (notBefore == m_notBefore.end() || notBefore->second <= m_context.clock.now());
}

void PartitionController::assignWaiting()
{
    std::size_t assigned = 0;
    for (const TaskEntry *entry : waitingTasks()) {
        if (assigned >= AssignmentsPerTick) {
            return;
        }
        if (mayStart(*entry) && isWithinQuota(*entry) && assign(*entry)) {
            ++assigned;
        }
    }
}

// What others hold is known with the delay of gossip, so that teams can exceed a quota for as long as that.
bool PartitionController::isWithinQuota(const TaskEntry &entry) const
{
    const std::string &team = entry.specification.team;
    const std::optional<Resources> quota = team.empty() ? std::nullopt : m_context.quotas.quota(team);
    if (!quota) {
        return true;
    }
    const auto own = m_teamUse.find(team);
    const Resources here = own == m_teamUse.end() ? Resources() : own->second;
    const Resources elsewhere = m_context.quotas.usedElsewhere(team, m_tenure.partition.text());
    return (here + elsewhere + entry.specification.resources).fitsInto(*quota);
}

void PartitionController::countTeams()
{
    m_teamUse.clear();
    for (const auto &[task, attempt] : m_attempts) {
        const TaskEntry *entry = m_table.find(task);
        if (entry != nullptr && !entry->specification.team.empty()) {
            Resources &used = m_teamUse[entry->specification.team];
            used = used + entry->specification.resources;
        }
    }
}

const std::map<std::string, Resources> &PartitionController::teamUse() const
{
    return m_teamUse;
}

bool PartitionController::assign(const TaskEntry &entry)
{
    const std::string task = entry.specification.task;
    PlacementQuery query;
    query.demand = demandOf(entry.specification);
    query.excluded = entry.failedOn;
    std::optional<std::string> worker = m_context.placement.choose(m_fleet, query);
    if (!worker && !entry.failedOn.empty()) {
        query.excluded.clear();
        worker = m_context.placement.choose(m_fleet, query);
    }
    if (!worker || !m_fleet.reserve(*worker, holderOf(task), query.demand)) {
        return false;
    }
    if (!entry.specification.team.empty()) {
        Resources &used = m_teamUse[entry.specification.team];
        used = used + entry.specification.resources;
    }
    const TaskAttempt attempt {task, entry.attempt + 1};
    commit(task, {TaskAssigned {attempt, *worker, m_incarnations[*worker]}}, [this, task](const Status &status) {
        if (errorOf(status) != nullptr) {
            m_fleet.release(holderOf(task));
            return;
        }
        m_attempts[task].state = AttemptState::Ready;
        m_unsettled.insert(task);
        driveAttempt(*m_table.find(task), m_attempts[task]);
    });
    return true;
}

}
