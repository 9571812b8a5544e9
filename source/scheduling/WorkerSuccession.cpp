#include "scheduling/WorkerSuccession.h"

#include <algorithm>

namespace Wagtail
{

bool hasSuccessor(const WorkerState &worker, const std::map<std::string, WorkerState> &workers)
{
    return std::any_of(workers.begin(), workers.end(), [&worker](const auto &entry) {
        const WorkerState &other = entry.second;
        return &other != &worker && other.listing.address == worker.listing.address
            && other.answeredRequestSentAt > worker.lastContact;
    });
}

}
