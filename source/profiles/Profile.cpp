#include "profiles/Profile.h"

#include "base/MemberReader.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr std::int64_t DefaultUrgentDeadlineMilliseconds = 2'000;
constexpr std::int64_t DefaultBatchDeadlineMilliseconds = 24LL * 3600 * 1000;
constexpr std::int64_t MaximumDeadlineMilliseconds = 30LL * 24 * 3600 * 1000;
constexpr std::int64_t MaximumMilliCores = 1'000'000;
constexpr std::int64_t MaximumMemoryMegabytes = 16'000'000;
constexpr std::int64_t MaximumAccelerators = 64;
constexpr std::size_t MaximumNameLength = 63;

bool isNameCharacter(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-';
}

}

std::string_view nameOf(ProfileClass profileClass)
{
    switch (profileClass) {
    case ProfileClass::Urgent:
        return "urgent";
    case ProfileClass::Batch:
        return "batch";
    case ProfileClass::Watcher:
        break;
    }
    return "watcher";
}

Status checkName(std::string_view name, std::string_view subject)
{
    const bool wellFormed
        = !name.empty() && name.size() <= MaximumNameLength && std::ranges::all_of(name, isNameCharacter);
    if (!wellFormed) {
        return Error {ErrorKind::InvalidInput,
            std::string(subject) + " name '" + std::string(name) + "' is not allowed",
            "use 1 to 63 lower-case letters, digits and hyphens"};
    }
    return std::monostate();
}

Result<Profile> parseProfile(const std::string &name, const Json &document)
{
    const Status named = checkName(name, "profile");
    if (const Error *error = errorOf(named)) {
        return *error;
    }
    MemberReader reader(document, "profile " + name);
    Profile profile;
    profile.name = name;
    const std::string className = reader.choice("class", {"urgent", "batch", "watcher"}, "");
    profile.profileClass = className == "batch" ? ProfileClass::Batch
        : className == "watcher"                ? ProfileClass::Watcher
                                                : ProfileClass::Urgent;
    const bool urgent = profile.profileClass == ProfileClass::Urgent;
    profile.priority = static_cast<int>(reader.integer("priority", 0, 100, 50));
    profile.deadlineMilliseconds = reader.integer("deadline_ms", 1, MaximumDeadlineMilliseconds,
        urgent ? DefaultUrgentDeadlineMilliseconds : DefaultBatchDeadlineMilliseconds);
    profile.repeatability = reader.boolean("idempotent", true) ? Repeatability::Idempotent : Repeatability::AtMostOnce;
    profile.maximumAttempts = static_cast<int>(reader.integer("max_attempts", 1, 100, 3));
    profile.queueLimit = static_cast<int>(reader.integer("queue_limit", 0, 100'000, 100));
    profile.resources.milliCores = reader.integer("millicores", 0, MaximumMilliCores, 0);
    profile.resources.memoryMegabytes = reader.integer("memory_mb", 0, MaximumMemoryMegabytes, 0);
    profile.resources.accelerators = reader.integer("accelerators", 0, MaximumAccelerators, 0);
    profile.checkpointable = reader.boolean("checkpoint", true);
    profile.throttleable = reader.boolean("throttle", true);
    profile.team = reader.text("team", "");
    profile.regions = reader.texts("regions");
    const Status readStatus = reader.finish();
    if (const Error *error = errorOf(readStatus)) {
        return *error;
    }
    return profile;
}

Json describe(const Profile &profile)
{
    return {{"class", nameOf(profile.profileClass)}, {"priority", profile.priority},
        {"deadline_ms", profile.deadlineMilliseconds},
        {"idempotent", profile.repeatability == Repeatability::Idempotent}, {"max_attempts", profile.maximumAttempts},
        {"queue_limit", profile.queueLimit}, {"millicores", profile.resources.milliCores},
        {"memory_mb", profile.resources.memoryMegabytes}, {"accelerators", profile.resources.accelerators},
        {"checkpoint", profile.checkpointable}, {"throttle", profile.throttleable}, {"team", profile.team},
        {"regions", profile.regions}};
}

}
