#include "scheduling/GangCheckpoint.h"

#include <algorithm>

namespace Wagtail
{

void shareNewestCheckpoint(StepState &gang)
{
    const auto newest
        = std::max_element(gang.tasks.begin(), gang.tasks.end(), [](const TaskState &left, const TaskState &right) {
              return std::pair(!left.checkpoint.empty(), left.checkpointAt)
                  < std::pair(!right.checkpoint.empty(), right.checkpointAt);
          });
    if (newest == gang.tasks.end()) {
        return;
    }
    const std::string checkpoint = newest->checkpoint;
    for (TaskState &member : gang.tasks) {
        member.checkpoint = checkpoint;
    }
}

}
