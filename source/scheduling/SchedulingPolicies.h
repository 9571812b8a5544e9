#pragma once

#include "scheduling/RemainingWorkOrder.h"
#include "scheduling/RequeuePausedTasks.h"

#include <memory>

namespace Wagtail
{

// The replaceable decisions of a JobScheduler. The defaults are those that the product uses.
struct SchedulingPolicies
{
    std::shared_ptr<const JobOrder> order = std::make_shared<RemainingWorkOrder>();
    std::shared_ptr<const PausedTaskPolicy> pausedTasks = std::make_shared<RequeuePausedTasks>();
};

}
