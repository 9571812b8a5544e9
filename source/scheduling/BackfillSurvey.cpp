#include "scheduling/BackfillSurvey.h"

#include "scheduling/WorkerChoice.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

void countStart(BackfillSurvey &survey, const WorkerState &worker, const PlacementQuery &query)
{
    const auto isOver = [](const ServingSample &sample) {
        return isOverTargetForLong(sample);
    };
    const auto over = std::find_if(worker.serving.begin(), worker.serving.end(), isOver);
    if (placementCost(worker, query)) {
        ++survey.acceptable;
    } else if (worker.listing.capacity.milliCores - worker.expectedMilliCores
        < query.step->specification().demand.milliCores) {
        ++survey.used;
    } else if (over == worker.serving.end()) {
        ++survey.predicted;
    } else if (over->isOverByBackfill) {
        ++survey.overTargetByBackfill;
    } else {
        ++survey.overTarget;
    }
}

void countProbe(BackfillSurvey &survey, const WorkerState &worker, const PlacementQuery &query)
{
    if (runsProbe(worker)) {
        ++survey.probed;
    } else if (!hasHeadroomForProbe(*query.interference, worker.serving, worker.backfilling)) {
        ++survey.withoutHeadroom;
    } else if (placementCost(worker, query)) {
        ++survey.probeable;
    }
}

}

BackfillSurvey surveyBackfill(const std::map<std::string, WorkerState> &workers, const StepState &step,
    const BackfillInterferenceModel &model, Instant now)
{
    const std::set<std::string> avoidsNone;
    PlacementQuery query;
    query.step = &step;
    query.pool = step.occurrence->job->policy.pool;
    query.avoidedWorkers = &avoidsNone;
    query.interference = &model;
    query.now = now;
    PlacementQuery probeQuery = query;
    probeQuery.probe = ProbeKind::Overdue;
    BackfillSurvey survey;
    for (const auto &[name, worker] : workers) {
        if (!acceptsTasks(worker, now) || worker.listing.pool != query.pool) {
            continue;
        }
        survey.milliCores += worker.listing.capacity.milliCores;
        survey.expectedMilliCores += worker.expectedMilliCores;
        if (couldTakeLater(worker, step, now)
            && WorkerState::countedDemand(step.specification()).fitsInto(worker.freeResources())) {
            countStart(survey, worker, query);
            countProbe(survey, worker, probeQuery);
        }
    }
    return survey;
}

Json describe(const BackfillSurvey &survey)
{
    return {{"used", survey.used}, {"over_target", survey.overTarget},
        {"over_target_by_backfill", survey.overTargetByBackfill}, {"predicted", survey.predicted},
        {"acceptable", survey.acceptable}, {"probed", survey.probed}, {"without_headroom", survey.withoutHeadroom},
        {"probeable", survey.probeable}, {"expected_millicores", survey.expectedMilliCores},
        {"millicores", survey.milliCores}};
}

}
