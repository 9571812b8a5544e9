#pragma once

#include "base/JsonReader.h"
#include "base/Resources.h"
#include "capacity/Fleet.h"
#include "profiles/Profile.h"

#include <cstdint>
#include <string>

namespace Wagtail
{

// A task as its caller submitted it; it does not change after acceptance. Times are wall time in milliseconds.
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

// Returns the resources that a run of the task needs on its worker.
[[nodiscard]] Demand demandOf(const TaskSpecification &specification);

[[nodiscard]] Json describe(const TaskSpecification &specification);
[[nodiscard]] TaskSpecification parseTaskSpecification(const Json &document);

}
