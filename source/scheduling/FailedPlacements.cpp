#include "scheduling/FailedPlacements.h"

#include <algorithm>

namespace Wagtail
{

void FailedPlacements::clear()
{
    m_entries.clear();
}

FailedPlacements::Entry FailedPlacements::entryOf(const StepState &step)
{
    const StepSpecification &specification = step.specification();
    return {step.occurrence->job->policy.pool, specification.longRunning, specification.backfills,
        specification.backfills ? step.image : 0, specification.demand};
}

void FailedPlacements::note(const StepState &step)
{
    const StepSpecification &specification = step.specification();
    // A step with limits of its own may fail where others still find room.
    const bool restricted = !specification.requiredLabel.empty() || specification.perWorkerLimit > 0
        || step.occurrence->job->policy.advised;
    if (!restricted) {
        m_entries.push_back(entryOf(step));
    }
}

bool FailedPlacements::ruleOut(const StepState &step) const
{
    const Entry wanted = entryOf(step);
    return std::any_of(m_entries.begin(), m_entries.end(), [&wanted](const Entry &failed) {
        return failed.lasting == wanted.lasting && failed.backfills == wanted.backfills && failed.image == wanted.image
            && failed.demand.fitsInto(wanted.demand) && failed.pool == wanted.pool;
    });
}

}
