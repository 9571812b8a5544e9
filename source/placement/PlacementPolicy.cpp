#include "placement/PlacementPolicy.h"

namespace Wagtail
{

bool PlacementPolicy::isAllowed(const Fleet &fleet, const FleetWorker &worker, const PlacementQuery &query)
{
    return worker.admission == WorkerAdmission::Open && fleet.fits(worker, query.demand)
        && !query.excluded.contains(worker.description.name);
}

}
