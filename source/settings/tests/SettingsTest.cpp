#include "settings/Settings.h"

#include "settings/TomlReader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

const std::string Valid = R"(
[instance]
name = "depot-1"
data_centre = "depot"
region = "wheatbelt"
[store]
address = "http://127.0.0.1:7000"
[[data_centres]]
name = "depot"
region = "wheatbelt"
)";

std::vector<Error> errorsOf(const std::string &text)
{
    const auto result = parseSettings(text, "wagtaild.toml");
    const auto *errors = std::get_if<std::vector<Error>>(&result);
    return errors == nullptr ? std::vector<Error>() : *errors;
}

}

TEST(Settings, readsAValidFile)
{
    const auto result = parseSettings(Valid, "wagtaild.toml");
    ASSERT_TRUE(std::holds_alternative<Settings>(result));
    EXPECT_EQ(std::get<Settings>(result).dataCentres.size(), 1U);
}

TEST(Settings, namesFileKeyAndRemedyOfEveryFaultAtOnce)
{
    const std::vector<Error> errors = errorsOf("[instance]\nnam = \"x\"\n[limits]\nbody_bytes = 3\nheartbeat_ms = "
                                               "\"soon\"\n[stor]\n[listen]\nhttp_port = 70000\n");
    std::string all;
    for (const Error &error : errors) {
        EXPECT_EQ(error.kind, ErrorKind::InvalidInput);
        EXPECT_FALSE(error.remedy.empty());
        EXPECT_NE(error.detail.find("wagtaild.toml"), std::string::npos) << error.detail;
        all += error.detail + "\n";
    }
    for (const char *key :
        {"nam", "body_bytes", "heartbeat_ms", "stor", "http_port", "data_centres", "instance.name"}) {
        EXPECT_NE(all.find(key), std::string::npos) << key << " in " << all;
    }
}

TEST(Settings, namesThePlaceOfASyntaxError)
{
    const std::vector<Error> errors = errorsOf("[instance\nname = 1");
    ASSERT_EQ(errors.size(), 1U);
    EXPECT_NE(errors[0].detail.find("line 1"), std::string::npos) << errors[0].detail;
}

// Any change of a valid file gives settings or errors, never a crash.
RC_GTEST_PROP(Settings, anyBytesGiveSettingsOrErrors, (const std::string &noise, std::uint16_t position))
{
    std::string text = Valid;
    text.insert(position % text.size(), noise);
    const auto result = parseSettings(text, "fuzzed.toml");
    const auto *errors = std::get_if<std::vector<Error>>(&result);
    RC_ASSERT((errors == nullptr || !errors->empty()));
}

}
