#include "scheduling/PlacementSurvey.h"

#include "scheduling/WorkerChoice.h"

namespace Wagtail
{

PlacementSurvey surveyPlacement(const std::map<std::string, WorkerState> &workers, const StepState &step, Instant now)
{
    const StepSpecification &specification = step.specification();
    const std::string &pool = step.occurrence->job->policy.pool;
    PlacementSurvey survey;
    for (const auto &[name, worker] : workers) {
        const Resources demand = WorkerState::countedDemand(specification);
        if (!couldEverHold(worker, specification, pool)) {
            ++survey.unsuitable;
        } else if (!isUsable(worker, now)) {
            ++survey.unusable;
        } else if (hasReachedSpread(worker, step)) {
            ++survey.spread;
        } else if (!demand.fitsInto(worker.roomBesideLasting())) {
            ++survey.taken;
        } else if (!demand.fitsInto(worker.room())) {
            ++survey.busy;
        } else {
            ++survey.open;
        }
    }
    return survey;
}

Json describe(const PlacementSurvey &survey)
{
    return {{"unsuitable", survey.unsuitable}, {"unusable", survey.unusable}, {"spread", survey.spread},
        {"taken", survey.taken}, {"busy", survey.busy}, {"open", survey.open}};
}

}
