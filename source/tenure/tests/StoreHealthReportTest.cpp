#include "tenure/StoreHealthReport.h"

#include <gtest/gtest.h>

namespace Wagtail
{

TEST(StoreHealthReport, isParsedAsItWasWritten)
{
    const StoreHealthReport never {std::nullopt, {}};
    const StoreHealthReport lately {Milliseconds(300), {{"depot", 12}, {"harbour", 900}}};
    for (const StoreHealthReport &report : {never, lately}) {
        const Result<StoreHealthReport> parsed = parseStoreHealthReport(serialize(report));
        ASSERT_EQ(errorOf(parsed), nullptr);
        EXPECT_EQ(std::get<StoreHealthReport>(parsed), report);
    }
}

TEST(StoreHealthReport, ignoresWhatIsOfAnotherType)
{
    EXPECT_NE(errorOf(parseStoreHealthReport("")), nullptr);
    EXPECT_NE(errorOf(parseStoreHealthReport("[1]")), nullptr);
    const Result<StoreHealthReport> parsed
        = parseStoreHealthReport(R"({"answer_age_ms":"x","owner_revisions":{"depot":-1,"harbour":5}})");
    ASSERT_EQ(errorOf(parsed), nullptr);
    EXPECT_EQ(std::get<StoreHealthReport>(parsed), (StoreHealthReport {std::nullopt, {{"harbour", 5}}}));
}

}
