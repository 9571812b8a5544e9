#include "workers/HttpRequestSender.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

RequestAttempt attempt()
{
    RequestAttempt result;
    result.request = "r1";
    result.attempt = 3;
    return result;
}

HttpAnswer answer()
{
    HttpAnswer result;
    result.delivery = Delivery::Answered;
    result.status = 200;
    result.body = "whole";
    result.headers = {{"Wagtail-Request", "r1"}, {"Wagtail-Attempt", "3"}, {"Wagtail-Length", "5"}};
    return result;
}

Outcome outcomeOf(const HttpAnswer &httpAnswer)
{
    return HttpRequestSender::interpret(attempt(), httpAnswer).outcome;
}

}

TEST(HttpRequestSender, acceptsCompleteAnswerToItsAttempt)
{
    EXPECT_EQ(outcomeOf(answer()), Outcome::Done);
    EXPECT_EQ(HttpRequestSender::interpret(attempt(), answer()).body, "whole");
}

TEST(HttpRequestSender, reportsUnknownForMismatchedLateAndTruncatedAnswers)
{
    HttpAnswer mismatched = answer();
    mismatched.headers[0].value = "r2";
    EXPECT_EQ(outcomeOf(mismatched), Outcome::Unknown);
    HttpAnswer late = answer();
    late.headers[1].value = "2";
    EXPECT_EQ(outcomeOf(late), Outcome::Unknown);
    HttpAnswer truncated = answer();
    truncated.body = "whol";
    EXPECT_EQ(outcomeOf(truncated), Outcome::Unknown);
}

TEST(HttpRequestSender, reportsNotRunOnlyIfUnsentOrRefused)
{
    HttpAnswer unsent;
    EXPECT_EQ(outcomeOf(unsent), Outcome::NotRun);
    HttpAnswer lost;
    lost.delivery = Delivery::Lost;
    EXPECT_EQ(outcomeOf(lost), Outcome::Unknown);
    HttpAnswer refused = answer();
    refused.status = 503;
    refused.headers = {{"Wagtail-Refused", "no slot"}};
    EXPECT_EQ(outcomeOf(refused), Outcome::NotRun);
    HttpAnswer unmarked = answer();
    unmarked.status = 503;
    unmarked.headers.clear();
    EXPECT_EQ(outcomeOf(unmarked), Outcome::Unknown);
}

}
