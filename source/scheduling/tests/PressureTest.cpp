#include "scheduling/PaceControl.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// Teaches the model one pair from changes of use whose effect follows the given coefficient.
void teach(
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

TEST(BackfillInterferenceModel, learnsEachPairByItself)
{
    BackfillInterferenceModel model;
    teach(model, "pump", "tariff", 1.5);
    teach(model, "pump", "report", 0.0);
    EXPECT_NEAR(model.coefficient(model.idOf("pump"), model.idOf("tariff")), 1.5, 0.1);
    EXPECT_NEAR(model.coefficient(model.idOf("pump"), model.idOf("report")), 0.0, 0.1);
}

TEST(BackfillInterferenceModel, doesNotLearnFromChangesThatDrownInTheSwingOfTheLoad)
{
    BackfillInterferenceModel model;
    const double before = model.coefficient(model.idOf("pump"), model.idOf("tariff"));
    model.learn(model.idOf("pump"), {{model.idOf("tariff"), 0.01}}, 0.3);
    EXPECT_EQ(model.coefficient(model.idOf("pump"), model.idOf("tariff")), before);
}

// Load: backfilling tasks that wait while a new owner learns what its predecessor knew.
TEST(BackfillInterferenceModel, goesOnFromWhatAnEarlierOwnerLearned)
{
    BackfillInterferenceModel before;
    teach(before, "pump", "tariff", 1.5);
    before.observeTail(before.idOf("pump"), 10);
    BackfillInterferenceModel after;
    after.restore(before.describe());
    EXPECT_EQ(after.coefficient(after.idOf("pump"), after.idOf("tariff")),
        before.coefficient(before.idOf("pump"), before.idOf("tariff")));
    EXPECT_EQ(after.loadAt(after.idOf("pump"), 50.0), before.loadAt(before.idOf("pump"), 50.0));
    after.restore(Json {{"pairs", "none"}, {"lowest_tails_ms", 7}});
    EXPECT_EQ(after.describe(), before.describe());
}

TEST(BackfillInterferenceModel, readsLoadFromTheTailOverItsUndisturbedBase)
{
    BackfillInterferenceModel model;
    EXPECT_LT(model.observeTail(model.idOf("pump"), 10), 0.3);
    EXPECT_GT(model.observeTail(model.idOf("pump"), 200), 0.9);
    EXPECT_LT(model.loadAt(model.idOf("pump"), 20.0), model.loadAt(model.idOf("pump"), 50.0));
}

// Load: one serving task near its limit, two backfilling images of which one disturbs it.
TEST(PaceControl, slowsDownWhatDisturbsAndLeavesTheRest)
{
    BackfillInterferenceModel model;
    teach(model, "pump", "tariff", 1.5);
    teach(model, "pump", "report", 0.0);
    const std::vector<ServingReading> serving {{model.idOf("pump"), 0.79, Limit, 0}};
    const std::vector<BackfillReading> backfilling {
        {model.idOf("tariff"), 0.2, 0.2, 100}, {model.idOf("report"), 0.2, 0.2, 100}};
    const std::vector<int> paces = nextPaces(model, serving, backfilling);
    EXPECT_LT(paces[0], 100);
    EXPECT_EQ(paces[1], 100);
}

TEST(PaceControl, stopsAllBackfillingBesideATailThatStaysOverItsTarget)
{
    BackfillInterferenceModel model;
    const std::vector<ServingReading> serving {{model.idOf("pump"), 0.9, Limit, 2'000}};
    EXPECT_EQ(nextPaces(model, serving, {{model.idOf("tariff"), 0.1, 0.1, 100}, {model.idOf("report"), 0.1, 0.1, 40}}),
        (std::vector<int> {0, 0}));
}

TEST(PaceControl, givesSpeedBackOnceThereIsRoom)
{
    BackfillInterferenceModel model;
    teach(model, "pump", "tariff", 0.5);
    const std::vector<ServingReading> serving {{model.idOf("pump"), 0.2, Limit, 0}};
    EXPECT_EQ(nextPaces(model, serving, {{model.idOf("tariff"), 0.2, 0.0, 0}}), std::vector<int> {100});
}

// Load: a serving task at its own peak. What does not disturb it may still come.
TEST(PaceControl, countsOnlyServingTasksThatThePlacementDisturbs)
{
    BackfillInterferenceModel model;
    teach(model, "pump", "tariff", 1.5);
    teach(model, "pump", "report", 0.0);
    const std::vector<ServingReading> serving {{model.idOf("pump"), 0.79, Limit, 0}};
    EXPECT_GT(excessWith(model, serving, {}, model.idOf("tariff"), 0.1), 0.0);
    EXPECT_LT(excessWith(model, serving, {}, model.idOf("report"), 0.1), -0.5);
}

// Paces stay within their range, and no task is sped up while a tail is over its target.
RC_GTEST_PROP(PaceControl, staysWithinItsRange, ())
{
    BackfillInterferenceModel model;
    const double load = *rc::gen::inRange(0, 99) / 100.0;
    const std::vector<ServingReading> serving {{model.idOf("pump"), load, Limit, 0}};
    std::vector<BackfillReading> backfilling;
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
        const std::string image = "image-" + std::to_string(*rc::gen::inRange(0, 3));
        backfilling.push_back({model.idOf(image), *rc::gen::inRange(1, 40) / 100.0, 0.0, *rc::gen::inRange(0, 101)});
    }
    const std::vector<int> paces = nextPaces(model, serving, backfilling);
    RC_ASSERT(paces.size() == backfilling.size());
    for (std::size_t i = 0; i < paces.size(); ++i) {
        RC_ASSERT(paces[i] >= 0 && paces[i] <= 100);
        RC_ASSERT(load <= Limit || paces[i] <= backfilling[i].percent);
    }
}

}
