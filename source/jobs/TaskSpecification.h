#pragma once

#include "base/JsonReader.h"
#include "base/Resources.h"
#include "capacity/Fleet.h"
#include "profiles/Profile.h"

#include <cstdint>
#include <string>

namespace Wagtail
{

// What a caller asked for, fixed when the task was accepted. Times are wall milliseconds.
struct TaskSpecification
{
    std::string task;
    std::string profile;
    ProfileClass profileClass = ProfileClass::Batch;
    std::string team;
    Resources resources;
    std::string payload;
    std::int64_t submittedAt = 0;
    std::int64_t deadline = 0;
    int priority = 0;
    int maximumAttempts = 1;
    Repeatability repeatability = Repeatability::Idempotent;

    bool operator==(const TaskSpecification &) const = default;
};

// Returns what a run of the task takes from its worker.
[[nodiscard]] Demand demandOf(const TaskSpecification &specification);

[[nodiscard]] Json describe(const TaskSpecification &specification);
[[nodiscard]] TaskSpecification parseTaskSpecification(const Json &document);

}
