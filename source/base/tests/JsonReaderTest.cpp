#include "base/JsonReader.h"
#include "testing/NestedJson.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

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

}
