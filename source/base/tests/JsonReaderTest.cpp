#include "base/JsonReader.h"
#include "testing/NestedJson.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <set>
#include <vector>

namespace Wagtail
{

namespace
{

constexpr std::size_t BodyLimitBytes = 1U << 20U;

}

// The library copies and writes documents recursively, so a document that nests deeply overflows the stack.
TEST(JsonReader, rejectsDocumentsThatNestDeeplyEnoughToOverflowTheStack)
{
    for (const std::string &text :
        {nestedArrays(BodyLimitBytes / 2), nestedObjects(BodyLimitBytes / 7), std::string(BodyLimitBytes, '['),
            R"({"Steps":)" + nestedArrays(200'000) + "}", R"([{"a":"]]]]\"}}"},)" + nestedObjects(100'000) + "]"}) {
        const Result<Json> parsed = parseJson(text, "the submission");
        const Error *error = errorOf(parsed);
        ASSERT_NE(error, nullptr);
        EXPECT_EQ(error->kind, ErrorKind::InvalidInput);
        EXPECT_THAT(error->detail, testing::HasSubstr("the submission is nested"));
        EXPECT_FALSE(error->remedy.empty());
    }
}

TEST(JsonReader, acceptsNestingUpToTheLimitOnly)
{
    EXPECT_EQ(errorOf(parseJson(nestedArrays(MaximumJsonDepth), "it")), nullptr);
    EXPECT_EQ(errorOf(parseJson(nestedObjects(MaximumJsonDepth), "it")), nullptr);
    EXPECT_NE(errorOf(parseJson(nestedArrays(MaximumJsonDepth + 1), "it")), nullptr);
    EXPECT_NE(errorOf(parseJson(nestedObjects(MaximumJsonDepth + 1), "it")), nullptr);
}

// Brackets in texts and brackets that are closed again do not nest.
TEST(JsonReader, doesNotCountBracketsInTextsOrOfNeighbours)
{
    std::string flat = "[";
    for (int i = 0; i < 1'000; ++i) {
        flat += R"({"[[{\"[[\\":["]]\\\"]]","\\"]},)";
    }
    const Result<Json> neighbours = parseJson(flat + "0]", "it");
    ASSERT_EQ(errorOf(neighbours), nullptr);
    EXPECT_EQ(std::get<Json>(neighbours).size(), 1'001);
    const std::string brackets(1'000, '[');
    EXPECT_EQ(std::get<Json>(parseJson("\"" + brackets + "\"", "it")), Json(brackets));
}

// A faulty writer may send a token of any length, which must not fill the log or the answer.
TEST(JsonReader, quotesOnlyTheBeginningOfWhatItCannotRead)
{
    const Result<Json> parsed = parseJson("\"" + std::string(BodyLimitBytes, 'x'), "the worker's entry");
    ASSERT_NE(errorOf(parsed), nullptr);
    EXPECT_LT(errorOf(parsed)->detail.size(), 500);
}

TEST(JsonReader, rejectsNumbersThatNoTypeHolds)
{
    EXPECT_NE(errorOf(parseJson("[1e400]", "it")), nullptr);
    EXPECT_NE(errorOf(parseJson("[-1e400]", "it")), nullptr);
    EXPECT_NE(errorOf(parseJson("[NaN]", "it")), nullptr);
}

// A number that the type can't hold must become the fallback, not an arbitrary number.
TEST(JsonReader, returnsTheFallbackForNumbersThatTheTypeCannotHold)
{
    for (const char *text :
        {"99999999999999999999999", "1e300", "-1e300", "18446744073709551615", "9223372036854775808", "4294967296",
            "2147483648", "-2147483649", "2147483648.0", "true", "\"7\"", "null", "[]"}) {
        const Json document = std::get<Json>(parseJson(std::string(R"({"a":)") + text + "}", "it"));
        EXPECT_EQ(memberOr(document, "a", 5), 5) << text;
    }
    for (const char *text : {"99999999999999999999999", "1e300", "-1e300", "9223372036854775808", "1e19", "-1e19"}) {
        const Json document = std::get<Json>(parseJson(std::string(R"({"a":)") + text + "}", "it"));
        EXPECT_EQ(memberOr(document, "a", std::int64_t {5}), 5) << text;
    }
    for (const char *text : {"-1", "-1.5", "1e300", "18446744073709551616"}) {
        const Json document = std::get<Json>(parseJson(std::string(R"({"a":)") + text + "}", "it"));
        EXPECT_EQ(memberOr(document, "a", std::uint64_t {5}), 5) << text;
    }
}

TEST(JsonReader, returnsNumbersUpToTheBoundsOfTheType)
{
    const Json document = std::get<Json>(parseJson(
        R"({"least":-2147483648,"most":2147483647,"fraction":7.9,"below":-7.9,"wide":9223372036854775807,
            "negative":-9223372036854775808,"unsigned":18446744073709551615,"large":1e18})",
        "it"));
    EXPECT_EQ(memberOr(document, "least", 5), std::numeric_limits<int>::min());
    EXPECT_EQ(memberOr(document, "most", 5), std::numeric_limits<int>::max());
    EXPECT_EQ(memberOr(document, "fraction", 5), 7);
    EXPECT_EQ(memberOr(document, "below", 5), -7);
    EXPECT_EQ(memberOr(document, "wide", std::int64_t {5}), std::numeric_limits<std::int64_t>::max());
    EXPECT_EQ(memberOr(document, "negative", std::int64_t {5}), std::numeric_limits<std::int64_t>::min());
    EXPECT_EQ(memberOr(document, "unsigned", std::uint64_t {5}), std::numeric_limits<std::uint64_t>::max());
    EXPECT_EQ(memberOr(document, "large", std::int64_t {5}), 1'000'000'000'000'000'000);
    EXPECT_EQ(memberOr(document, "fraction", 0.5), 7.9);
}

TEST(JsonReader, returnsTheFallbackForListsWithANumberThatTheTypeCannotHold)
{
    const Json document = std::get<Json>(
        parseJson(R"({"good":[1,2],"wide":[1,4294967296],"huge":[1e300],"negative":[-1],"mixed":[1,"2"]})", "it"));
    EXPECT_EQ(memberOr(document, "good", std::vector<int>()), (std::vector<int> {1, 2}));
    for (const char *name : {"wide", "huge", "mixed"}) {
        EXPECT_EQ(memberOr(document, name, std::vector<int> {5}), std::vector<int> {5}) << name;
    }
    EXPECT_EQ(memberOr(document, "negative", std::set<std::uint64_t> {5}), std::set<std::uint64_t> {5});
}

}
