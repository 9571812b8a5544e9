#include "cli/Commands.h"

#include <fstream>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <unistd.h>

namespace Wagtail
{

namespace
{

HttpAnswer answered(int status, const std::string &body, HttpHeaders headers = {})
{
    return {Delivery::Answered, status, std::move(headers), body, {}};
}

ExitCode run(std::vector<std::string> words, const HttpAnswer &answer, CommandOutput &output)
{
    CommandLine line;
    line.words = std::move(words);
    Commands commands(line, [&answer](const HttpCall &) { return answer; });
    return commands.run(output);
}

// Writes a profile file and applies it as a dry run against an instance that has no profiles.
ExitCode applyText(const std::string &text, CommandOutput &output)
{
    CommandLine line;
    line.words = {"profile", "apply"};
    line.dryRun = true;
    line.file = ::testing::TempDir() + "profiles-" + std::to_string(::getpid()) + ".toml";
    std::ofstream(line.file, std::ios::binary) << text;
    Commands commands(line, [](const HttpCall &) { return answered(404, "{}"); });
    const ExitCode code = commands.run(output);
    std::remove(line.file.c_str());
    return code;
}

}

TEST(Commands, givesScriptsTheExitCodeOfTheOutcome)
{
    CommandOutput output;
    EXPECT_EQ(run({"request", "check"}, answered(200, "x", {{"Wagtail-Outcome", "done"}}), output), ExitCode::Done);
    EXPECT_EQ(output.text, "x\n");
    EXPECT_EQ(run({"request", "check"}, answered(503, R"({"outcome":"not-run"})"), output), ExitCode::NotRun);
    EXPECT_EQ(run({"request", "check"}, answered(502, R"({"outcome":"unknown"})"), output), ExitCode::Unknown);
    EXPECT_EQ(run({"request", "check"}, answered(404, "{}"), output), ExitCode::NotFound);
    EXPECT_EQ(run({"profile", "retire", "check"}, answered(409, "{}"), output), ExitCode::Conflict);
    EXPECT_EQ(run({"request", "check"}, HttpAnswer(), output), ExitCode::Unreachable);
    HttpAnswer lost;
    lost.delivery = Delivery::Lost;
    EXPECT_EQ(run({"request", "check"}, lost, output), ExitCode::Unknown);
    EXPECT_EQ(run({"fly"}, HttpAnswer(), output), ExitCode::Usage);
    EXPECT_EQ(run({"task", "status"}, HttpAnswer(), output), ExitCode::Usage);
}

TEST(Commands, checksAllProfilesOfAFileBeforeSendingAny)
{
    CommandOutput output;
    EXPECT_EQ(applyText("[profiles.a]\nclass = \"urgent\"\n[profiles.b]\nclass = \"quick\"\nspeed = 1\n", output),
        ExitCode::Usage);
    EXPECT_NE(output.errors.find("profile b"), std::string::npos) << output.errors;
    EXPECT_NE(output.errors.find("speed"), std::string::npos) << output.errors;
    EXPECT_EQ(applyText("[profiles.a]\nclass = \"urgent\"\n", output), ExitCode::Done);
}

// A profile file of any content is applied or refused with a reason.
RC_GTEST_PROP(Commands, anyProfileFileIsAppliedOrRefused, (const std::string &noise, std::uint8_t position))
{
    std::string text = "[profiles.a]\nclass = \"urgent\"\npriority = 3\n";
    text.insert(position % text.size(), noise);
    CommandOutput output;
    const ExitCode code = applyText(text, output);
    RC_ASSERT((code == ExitCode::Done || !output.errors.empty()));
}

}
