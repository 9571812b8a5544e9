#include "http/HttpMessages.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

// Any bytes survive the way through a path or a query.
RC_GTEST_PROP(HttpMessages, anyTextSurvivesPercentEncoding, (const std::string &text))
{
    RC_ASSERT(percentDecode(percentEncode(text)) == text);
    HttpRequest request;
    request.query = "first=1&name=" + percentEncode(text) + "&last=2";
    RC_ASSERT(request.parameter("name") == text);
    RC_ASSERT(request.parameter("last") == std::optional<std::string>("2"));
}

// A query or a header of any shape gives a value or none.
RC_GTEST_PROP(HttpMessages, anyQueryGivesAValueOrNone, (const std::string &query, const std::string &name))
{
    HttpRequest request;
    request.query = query;
    request.headers.push_back({name, query});
    (void)request.parameter(name);
    (void)percentDecode(query);
    RC_ASSERT(request.header(name).has_value());
}

TEST(HttpMessages, findsHeadersWithoutRegardToCase)
{
    EXPECT_EQ(findHeader({{"Wagtail-Outcome", "done"}}, "wagtail-outcome"), std::optional<std::string>("done"));
    EXPECT_EQ(findHeader({{"Wagtail-Outcome", "done"}}, "outcome"), std::nullopt);
}

}
