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
        if (!meetsRequirements(worker, specification, pool) || isRefusedByAdvice(worker, step)) {
            ++survey.unsuitable;
        } else if (!acceptsTasks(worker, now) || !willLearnOfEnd(worker, specification, now)) {
            ++survey.unusable;
        } else if (hasReachedPerWorkerLimit(worker, step)) {
            ++survey.atPerWorkerLimit;
        } else if (!demand.fitsInto(worker.freeBesideLongRunning())) {
            ++survey.heldByLongRunning;
        } else if (!demand.fitsInto(worker.freeResources())) {
            ++survey.busy;
        } else {
            ++survey.available;
        }
    }
    return survey;
}

Json describe(const PlacementSurvey &survey)
{
    return {{"unsuitable", survey.unsuitable}, {"unusable", survey.unusable}, {"spread", survey.atPerWorkerLimit},
        {"taken", survey.heldByLongRunning}, {"busy", survey.busy}, {"open", survey.available}};
}

}
