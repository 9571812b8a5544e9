#pragma once

#include "scheduling/JobState.h"

namespace Wagtail
{

// Gives all members of a gang the newest checkpoint of any of them. Each of their checkpoints is valid for the whole
// gang, and members that resume from different ones can't work together.
void shareNewestCheckpoint(StepState &gang);

}
