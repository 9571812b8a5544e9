#include "logging/LogBuffer.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace Wagtail
{

TEST(LogBuffer, neverBlocksOnAFullPipe)
{
    int ends[2];
    ASSERT_EQ(::pipe(ends), 0);
    LogBuffer buffer(1U << 20U);
    const std::string line(1'000, 'x');
    for (int i = 0; i < 500; ++i) {
        buffer.append(line);
    }
    // The pipe holds less than the buffer; the call returns with the rest still held.
    buffer.flush(ends[1]);
    std::string read(1U << 20U, '\0');
    const ssize_t first = ::read(ends[0], read.data(), read.size());
    EXPECT_GT(first, 0);
    EXPECT_LT(first, 500 * 1'001);
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST(LogBuffer, countsWhatItDrops)
{
    int ends[2];
    ASSERT_EQ(::pipe(ends), 0);
    LogBuffer buffer(10);
    buffer.append("12345");
    buffer.append("67890");
    buffer.flush(ends[1]);
    buffer.flush(ends[1]);
    std::string read(4'096, '\0');
    read.resize(static_cast<std::size_t>(::read(ends[0], read.data(), read.size())));
    EXPECT_EQ(read, "12345\n{\"event\":\"log-lines-dropped\",\"count\":1}\n");
    ::close(ends[0]);
    ::close(ends[1]);
}

TEST(LogRateLimit, tellsHowManyRecordsWereLeftOut)
{
    LogRateLimit limit(2);
    EXPECT_TRUE(limit.admit("refused", 1).allowed);
    EXPECT_TRUE(limit.admit("refused", 1).allowed);
    EXPECT_FALSE(limit.admit("refused", 1).allowed);
    EXPECT_TRUE(limit.admit("other", 1).allowed);
    const LogRateLimit::Verdict next = limit.admit("refused", 2);
    EXPECT_TRUE(next.allowed);
    EXPECT_EQ(next.leftOut, 1U);
}

}
