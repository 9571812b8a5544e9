#include "PartialAnswer.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

constexpr std::string_view Head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
constexpr std::string_view Body = R"({"Run":true})";
constexpr int Cuts = 1'000;

}

TEST(PartialAnswerTest, cutsHeadsAndBodiesOfBothKinds)
{
    const std::string answer = std::string(Head) + std::string(Body);
    std::mt19937_64 random(1);
    int heads = 0;
    int lengths = 0;
    int chunks = 0;
    for (int i = 0; i < Cuts; ++i) {
        const PartialAnswer part = cutAnswer(answer, random);
        ASSERT_FALSE(part.text.empty());
        ASSERT_EQ(part.endsWithinHead, part.text.find("\r\n\r\n") == std::string::npos);
        ASSERT_FALSE(part.text.ends_with("0\r\n\r\n"));
        if (part.endsWithinHead) {
            ASSERT_TRUE(answer.starts_with(part.text));
            ++heads;
        } else if (part.text.find("Transfer-Encoding: chunked\r\n\r\nc\r\n") != std::string::npos) {
            ++chunks;
        } else if (answer.starts_with(part.text)) {
            ASSERT_LT(part.text.size(), answer.size());
            ++lengths;
        }
    }
    EXPECT_GT(heads, Cuts / 3);
    EXPECT_GT(lengths, Cuts / 8);
    EXPECT_GT(chunks, Cuts / 8);
}

TEST(PartialAnswerTest, cutsAnAnswerWithoutABodyWithinItsHead)
{
    std::mt19937_64 random(1);
    for (int i = 0; i < Cuts; ++i) {
        EXPECT_TRUE(cutAnswer(Head, random).endsWithinHead);
    }
}

TEST(PartialAnswerTest, cutsDataThatBeginsNoAnswer)
{
    std::mt19937_64 random(1);
    for (int i = 0; i < Cuts; ++i) {
        const PartialAnswer part = cutAnswer(Body, random);
        EXPECT_TRUE(Body.starts_with(part.text));
        EXPECT_LT(part.text.size(), Body.size());
        EXPECT_FALSE(part.endsWithinHead);
    }
}

}
