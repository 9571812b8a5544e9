#include "scheduling/GangCheckpoint.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

struct Gang
{
    Gang()
    {
        job.specification.id = "job";
        StepSpecification specification;
        specification.count = 3;
        specification.gang = true;
        specification.checkpoints = true;
        job.specification.steps = {specification};
        createOccurrence(job, 0);
    }

    StepState &step()
    {
        return job.occurrences.at(0).steps[0];
    }

    void setCheckpoint(std::size_t member, const std::string &checkpoint, int time)
    {
        step().tasks[member].checkpoint = checkpoint;
        step().tasks[member].checkpointAt = Instant() + Milliseconds(time);
    }

    std::set<std::string> checkpoints()
    {
        std::set<std::string> values;
        for (const TaskState &task : step().tasks) {
            values.insert(task.checkpoint);
        }
        return values;
    }

    JobState job;
};

}

// One member's worker crashed, so its last checkpoint was that of an older report than those of the others (review/10).
TEST(GangCheckpoint, isTheNewestOfAllMembers)
{
    Gang gang;
    gang.setCheckpoint(0, "6000", 6'000);
    gang.setCheckpoint(1, "7000-a", 7'000);
    gang.setCheckpoint(2, "7000-b", 7'100);
    shareNewestCheckpoint(gang.step());
    EXPECT_EQ(gang.checkpoints(), (std::set<std::string> {"7000-b"}));
}

// A member that has none was never heard of.
TEST(GangCheckpoint, isNeverThatOfAMemberWithoutOne)
{
    Gang gang;
    gang.setCheckpoint(2, "6000", 0);
    gang.setCheckpoint(1, "", 9'000);
    shareNewestCheckpoint(gang.step());
    EXPECT_EQ(gang.checkpoints(), (std::set<std::string> {"6000"}));
}

TEST(GangCheckpoint, isEmptyBeforeTheFirstOne)
{
    Gang gang;
    shareNewestCheckpoint(gang.step());
    EXPECT_EQ(gang.checkpoints(), (std::set<std::string> {""}));
}

}
