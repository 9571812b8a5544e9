#include "profiles/Profile.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

TEST(Profile, errorNamesEveryInvalidMember)
{
    const Result<Profile> result
        = parseProfile("check", {{"class", "fast"}, {"priority", 1000}, {"idempotent", "yes"}, {"colour", "red"}});
    const Error *error = errorOf(result);
    ASSERT_NE(error, nullptr);
    for (const char *member : {"class", "priority", "idempotent", "colour"}) {
        EXPECT_NE(error->detail.find(member), std::string::npos) << error->detail;
        EXPECT_NE(error->remedy.find(member), std::string::npos) << error->remedy;
    }
}

TEST(Profile, rejectsInvalidNames)
{
    for (const char *name : {"", "Check", "a/b", "..", "a b"}) {
        EXPECT_NE(errorOf(parseProfile(name, {{"class", "urgent"}})), nullptr) << name;
    }
}

// Parsing the JSON form of a profile gives an equal profile.
RC_GTEST_PROP(Profile, roundTripsThroughJson, ())
{
    Profile profile;
    profile.name = "p";
    profile.profileClass = *rc::gen::element(ProfileClass::Urgent, ProfileClass::Batch, ProfileClass::Watcher);
    profile.priority = *rc::gen::inRange(0, 101);
    profile.deadlineMilliseconds = *rc::gen::inRange<std::int64_t>(1, 1'000'000);
    profile.repeatability = *rc::gen::element(Repeatability::Idempotent, Repeatability::AtMostOnce);
    profile.resources = {*rc::gen::inRange<std::int64_t>(0, 1'000'000), *rc::gen::inRange<std::int64_t>(0, 1000), 3};
    profile.regions = {"wheatbelt"};
    const Result<Profile> read = parseProfile("p", describe(profile));
    RC_ASSERT(std::get<Profile>(read) == profile);
}

}
