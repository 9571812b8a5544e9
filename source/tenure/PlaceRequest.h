#pragma once

#include "scheduling/PoolHeadroom.h"
#include "tenure/JobRecord.h"

#include <set>

namespace Wagtail
{

// Asks the owner of another partition to hold places for long-running tasks that have none in their own, and to release
// those that are not needed any more.
struct PlaceRequest
{
    // The jobs of the tasks, without their payload. The members `delegated` name the tasks.
    std::vector<JobRecord> jobs;
    // Tasks that will not arrive, because they have found a place elsewhere.
    std::set<TaskName> released = {};
    // Those of the tasks that need a place that is free now, because they still run or their jobs leave for it.
    std::set<TaskName> onlyFree = {};

    // The most jobs in one request, and the most tasks of all of them.
    static constexpr std::size_t MostJobs = 32;
    static constexpr std::size_t MostTasks = 128;
    // The most tasks of all the jobs in the request, whether they look for places or not.
    static constexpr std::int64_t MostTasksOfJobs = 10'000;

    bool operator==(const PlaceRequest &) const = default;
};

// The answer of the owner.
struct PlaceAnswer
{
    // The tasks for which a place is held. It is released unless the task arrives within seconds.
    std::set<TaskName> held;
    // What is left in the partition.
    PoolHeadrooms headrooms;

    bool operator==(const PlaceAnswer &) const = default;
};

[[nodiscard]] std::string serialize(const PlaceRequest &request);

// Reads what serialize() wrote. Fails with InvalidInput, also if there are more jobs or tasks than a request may have.
[[nodiscard]] Result<PlaceRequest> parsePlaceRequest(const std::string &text);

[[nodiscard]] Json describe(const PlaceAnswer &answer);

// Reads what describe() returned. Leaves out names of tasks that are malformed.
[[nodiscard]] PlaceAnswer parsePlaceAnswer(const Json &document);

}
