#pragma once

#include "base/Error.h"
#include "base/JsonReader.h"
#include "base/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wagtail
{

// How work of a profile is served.
enum class ProfileClass {
    // Answered while its caller waits.
    Urgent,
    // Acknowledged when durable and finished by its deadline.
    Batch,
    // Kept running until it is cancelled.
    Watcher,
};

[[nodiscard]] std::string_view nameOf(ProfileClass profileClass);

// Whether work may run more than once.
enum class Repeatability {
    Idempotent,
    AtMostOnce,
};

// Describes how one kind of work is treated. Durations are in milliseconds.
struct Profile
{
    std::string name;
    ProfileClass profileClass = ProfileClass::Urgent;
    int priority = 50;
    std::int64_t deadlineMilliseconds = 0;
    Repeatability repeatability = Repeatability::Idempotent;
    int maximumAttempts = 3;
    int queueLimit = 100;
    Resources resources;
    bool checkpointable = true;
    bool throttleable = true;
    std::string team;
    std::vector<std::string> regions;

    bool operator==(const Profile &) const = default;
};

// Reads a profile; the error names every faulty member with its remedy.
[[nodiscard]] Result<Profile> parseProfile(const std::string &name, const Json &document);

[[nodiscard]] Json describe(const Profile &profile);

// Returns an error when the name is not made of lower-case letters, digits and hyphens.
[[nodiscard]] Status checkName(std::string_view name, std::string_view subject);

}
