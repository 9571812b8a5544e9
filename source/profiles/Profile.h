#pragma once

#include "base/Error.h"
#include "base/JsonReader.h"
#include "base/Resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wagtail
{

// The service class of a profile.
enum class ProfileClass {
    // Answered while its caller waits.
    Urgent,
    // Acknowledged once durable; finishes by its deadline.
    Batch,
    // Runs until it is cancelled, and is restarted when its worker is lost.
    Watcher,
};

[[nodiscard]] std::string_view nameOf(ProfileClass profileClass);

// Whether a piece of work may be executed more than once.
enum class Repeatability {
    Idempotent,
    AtMostOnce,
};

// The scheduling policy and resource demand of one kind of work, as operators configure it under a name.
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

// Parses a profile from its JSON form. The error lists every invalid member with its remedy.
[[nodiscard]] Result<Profile> parseProfile(const std::string &name, const Json &document);

// Returns the JSON form of a profile, which parseProfile() accepts.
[[nodiscard]] Json describe(const Profile &profile);

// Returns an InvalidInput error unless the name consists of 1 to 63 lower-case letters, digits and hyphens. The subject
// says in the error what the name is for.
[[nodiscard]] Status checkName(std::string_view name, std::string_view subject);

}
