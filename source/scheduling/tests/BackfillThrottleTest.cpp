#include "scheduling/BackfillThrottle.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// Trains the model on one pair with changes of use that change the load by the given coefficient.
void train(
    BackfillInterferenceModel &model, const std::string &serving, const std::string &backfilling, double coefficient)
{
    const ImageId servingId = model.idOf(serving);
    const ImageId backfillingId = model.idOf(backfilling);
    for (int i = 0; i < 40; ++i) {
        const double change = i % 2 == 0 ? 0.2 : -0.2;
        model.learn(servingId, {{backfillingId, change}}, coefficient * change);
    }
}

constexpr double Limit = 0.8;

}

TEST(BackfillInterferenceModel, learnsEachPairIndependently)
{
    BackfillInterferenceModel model;
    train(model, "pump", "tariff", 1.5);
    train(model, "pump", "report", 0.0);
    EXPECT_NEAR(model.coefficient(model.idOf("pump"), model.idOf("tariff")), 1.5, 0.1);
    EXPECT_NEAR(model.coefficient(model.idOf("pump"), model.idOf("report")), 0.0, 0.1);
}

TEST(BackfillInterferenceModel, ignoresChangesOfUseBelowTheNoiseOfTheLoad)
{
    BackfillInterferenceModel model;
    const double before = model.coefficient(model.idOf("pump"), model.idOf("tariff"));
    model.learn(model.idOf("pump"), {{model.idOf("tariff"), 0.01}}, 0.3);
    EXPECT_EQ(model.coefficient(model.idOf("pump"), model.idOf("tariff")), before);
}

// After a take-over, backfilling tasks would wait until the new owner had learned again what its predecessor knew.
TEST(BackfillInterferenceModel, restoresTheLearnedValuesOfAnEarlierOwner)
{
    BackfillInterferenceModel before;
    train(before, "pump", "tariff", 1.5);
    before.observeTail(before.idOf("pump"), 10, Instant());
    BackfillInterferenceModel after;
    after.restore(before.describe());
    EXPECT_EQ(after.coefficient(after.idOf("pump"), after.idOf("tariff")),
        before.coefficient(before.idOf("pump"), before.idOf("tariff")));
    EXPECT_EQ(after.loadAt(after.idOf("pump"), 50.0), before.loadAt(before.idOf("pump"), 50.0));
    after.restore(Json {{"pairs", "none"}, {"lowest_tails_ms", 7}});
    EXPECT_EQ(after.describe(), before.describe());
}

TEST(BackfillInterferenceModel, derivesLoadFromTheTailLatency)
{
    BackfillInterferenceModel model;
    EXPECT_LT(model.observeTail(model.idOf("pump"), 10, Instant()), 0.3);
    EXPECT_GT(model.observeTail(model.idOf("pump"), 200, Instant()), 0.9);
    EXPECT_LT(model.loadAt(model.idOf("pump"), 20.0), model.loadAt(model.idOf("pump"), 50.0));
}

// Load pattern: a serving task near its limit beside two backfilling images, only one of which interferes with it.
TEST(BackfillThrottle, throttlesOnlyInterferingTasks)
{
    BackfillInterferenceModel model;
    train(model, "pump", "tariff", 1.5);
    train(model, "pump", "report", 0.0);
    const std::vector<ServingSample> serving {{model.idOf("pump"), 0.79, Limit, 0}};
    const std::vector<BackfillSample> backfilling {
        {model.idOf("tariff"), 0.2, 0.2, 100}, {model.idOf("report"), 0.2, 0.2, 100}};
    const std::vector<int> speeds = nextSpeeds(model, serving, backfilling);
    EXPECT_LT(speeds[0], 100);
    EXPECT_EQ(speeds[1], 100);
}

TEST(BackfillThrottle, stopsAllTasksIfATailLatencyStaysOverItsTarget)
{
    BackfillInterferenceModel model;
    const std::vector<ServingSample> serving {{model.idOf("pump"), 0.9, Limit, 2'000}};
    EXPECT_EQ(nextSpeeds(model, serving, {{model.idOf("tariff"), 0.1, 0.1, 100}, {model.idOf("report"), 0.1, 0.1, 40}}),
        (std::vector<int> {0, 0}));
}

TEST(BackfillThrottle, restoresSpeedWhenLoadIsLow)
{
    BackfillInterferenceModel model;
    train(model, "pump", "tariff", 0.5);
    const std::vector<ServingSample> serving {{model.idOf("pump"), 0.2, Limit, 0}};
    EXPECT_EQ(nextSpeeds(model, serving, {{model.idOf("tariff"), 0.2, 0.0, 0}}), std::vector<int> {100});
}

// Load pattern: a serving task at its peak load. Tasks that do not interfere with it may still be placed.
TEST(BackfillThrottle, countsOnlyServingTasksThatThePlacementAffects)
{
    BackfillInterferenceModel model;
    train(model, "pump", "tariff", 1.5);
    train(model, "pump", "report", 0.0);
    const std::vector<ServingSample> serving {{model.idOf("pump"), 0.79, Limit, 0}};
    EXPECT_GT(predictedExcessLoad(model, serving, {}, model.idOf("tariff"), 0.1), 0.0);
    EXPECT_LT(predictedExcessLoad(model, serving, {}, model.idOf("report"), 0.1), -0.5);
}

// Speeds stay between 0 and 100 percent, and no speed is raised while the load of a serving task is over its limit.
RC_GTEST_PROP(BackfillThrottle, keepsSpeedsWithinTheirRange, ())
{
    BackfillInterferenceModel model;
    const double load = *rc::gen::inRange(0, 99) / 100.0;
    const std::vector<ServingSample> serving {{model.idOf("pump"), load, Limit, 0}};
    std::vector<BackfillSample> backfilling;
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
        const std::string image = "image-" + std::to_string(*rc::gen::inRange(0, 3));
        backfilling.push_back({model.idOf(image), *rc::gen::inRange(1, 40) / 100.0, 0.0, *rc::gen::inRange(0, 101)});
    }
    const std::vector<int> speeds = nextSpeeds(model, serving, backfilling);
    RC_ASSERT(speeds.size() == backfilling.size());
    for (std::size_t i = 0; i < speeds.size(); ++i) {
        RC_ASSERT(speeds[i] >= 0 && speeds[i] <= 100);
        RC_ASSERT(load <= Limit || speeds[i] <= backfilling[i].percent);
    }
}

}
