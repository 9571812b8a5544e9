#include "tenure/PendingSubmissions.h"

#include <gtest/gtest.h>
#include <optional>

namespace Wagtail
{

TEST(PendingSubmissionsTest, giveAllCopiesTheOutcomeOnce)
{
    PendingSubmissions submissions;
    std::vector<AcceptOutcome> outcomes;
    const auto note = [&outcomes](const AcceptResult &result) {
        outcomes.push_back(result.outcome);
    };
    submissions.add("job", note);
    submissions.add("job", note);
    submissions.add("other", note);
    submissions.finish("job", {AcceptOutcome::Refused, {}});
    submissions.finish("job", {AcceptOutcome::Accepted, {}});
    EXPECT_EQ(outcomes, (std::vector<AcceptOutcome> {AcceptOutcome::Refused, AcceptOutcome::Refused}));
    EXPECT_TRUE(submissions.contains("other"));
}

// Whoever waits for a refused job would wait for ever otherwise: no journal knows of it.
TEST(PendingSubmissionsTest, tellThatTheOutcomeIsUnknownAtTheirEnd)
{
    std::optional<AcceptOutcome> outcome;
    {
        PendingSubmissions submissions;
        submissions.add("job", [&outcome](const AcceptResult &result) { outcome = result.outcome; });
    }
    EXPECT_EQ(outcome, AcceptOutcome::Unknown);
}

TEST(PendingSubmissionsTest, mayBeginAgainFromAHandler)
{
    PendingSubmissions submissions;
    bool wasPending = true;
    submissions.add("job", [&](const AcceptResult &) {
        wasPending = submissions.contains("job");
        submissions.add("job", [](const AcceptResult &) {});
    });
    submissions.finish("job", {AcceptOutcome::Redirected, "other"});
    EXPECT_FALSE(wasPending);
    EXPECT_TRUE(submissions.contains("job"));
}

}
