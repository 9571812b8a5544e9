#include "scheduling/RecoveryHolds.h"

#include "scheduling/JobState.h"

#include <algorithm>

namespace Wagtail
{

void RecoveryHolds::addForAll(RecoveryStage stage)
{
    m_forAll = std::min(m_forAll, stage);
}

void RecoveryHolds::add(const TaskName &task, RecoveryStage stage)
{
    if (stage == RecoveryStage::Over) {
        return;
    }
    const auto [entry, added] = m_byTask.try_emplace(task, stage);
    if (!added) {
        entry->second = std::min(entry->second, stage);
    }
}

bool RecoveryHolds::isEmpty() const
{
    return m_forAll == RecoveryStage::Over && m_byTask.empty();
}

bool RecoveryHolds::isHeldBack(const TaskState &task) const
{
    if (isEmpty() || !mayRunUnknown(task)) {
        return false;
    }
    const RecoveryStage stage = stageOf(task);
    // Only runs that end by themselves can have been completed.
    return stage == RecoveryStage::Leases
        || (stage == RecoveryStage::Reports && !task.step->specification().longRunning);
}

RecoveryStage RecoveryHolds::stageOf(const TaskState &task) const
{
    if (m_byTask.empty()) {
        return m_forAll;
    }
    const auto found = m_byTask.find(nameOf(task));
    return found == m_byTask.end() ? m_forAll : std::min(m_forAll, found->second);
}

}
