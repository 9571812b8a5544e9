#include "scheduling/PlacementSurvey.h"

#include "scheduling/WorkerChoice.h"

namespace Wagtail
{

Resources roomBesideLasting(const WorkerState &worker)
{
    Resources room = worker.listing.capacity;
    for (const TaskState *task : worker.tasks) {
        const StepSpecification &present = task->step->specification();
        if (present.lasting) {
            room = room - WorkerState::countedDemand(present);
        }
    }
    return room;
}

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
        } else if (!demand.fitsInto(roomBesideLasting(worker))) {
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
