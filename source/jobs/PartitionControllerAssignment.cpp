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
    // Watcher tasks come first. Each point of priority moves a task's deadline one second earlier in the order.
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
    const auto earliestStart = m_earliestStart.find(task);
    return !m_pending.contains(task) && !entry.cancelRequested
        && (earliestStart == m_earliestStart.end() || earliestStart->second <= m_context.clock.now());
}

void PartitionController::assignWaitingTasks()
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

// The usage in other partitions is known from gossip, so a team can exceed its quota for as long as gossip takes.
bool PartitionController::isWithinQuota(const TaskEntry &entry) const
{
    const std::string &team = entry.specification.team;
    const std::optional<Resources> quota = team.empty() ? std::nullopt : m_context.quotas.quota(team);
    if (!quota) {
        return true;
    }
    const auto own = m_teamUsage.find(team);
    const Resources here = own == m_teamUsage.end() ? Resources() : own->second;
    const Resources elsewhere = m_context.quotas.usedElsewhere(team, m_term.partition.text());
    return (here + elsewhere + entry.specification.resources).fitsInto(*quota);
}

void PartitionController::recountTeamUsage()
{
    m_teamUsage.clear();
    for (const auto &[task, attempt] : m_attempts) {
        const TaskEntry *entry = m_table.find(task);
        if (entry != nullptr && !entry->specification.team.empty()) {
            Resources &used = m_teamUsage[entry->specification.team];
            used = used + entry->specification.resources;
        }
    }
}

const std::map<std::string, Resources> &PartitionController::teamUsage() const
{
    return m_teamUsage;
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
        Resources &used = m_teamUsage[entry.specification.team];
        used = used + entry.specification.resources;
    }
    const TaskAttempt attempt {task, entry.attempt + 1};
    commit(task, {TaskAssigned {attempt, *worker, m_incarnations[*worker]}}, [this, task](const Status &status) {
        if (errorOf(status) != nullptr) {
            m_fleet.release(holderOf(task));
            return;
        }
        m_attempts[task].state = AttemptState::Ready;
        m_attemptsToDrive.insert(task);
        driveAttempt(*m_table.find(task), m_attempts[task]);
    });
    return true;
}

}
