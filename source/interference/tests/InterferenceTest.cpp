#include "interference/MitigationPolicy.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

// The model finds which of several neighbours does the harm, whatever their true effects are.
RC_GTEST_PROP(InterferenceModel, findsTheHarmfulNeighbour, ())
{
    const double harm = *rc::gen::inRange(10, 40) / 10.0;
    std::mt19937 generator(*rc::gen::arbitrary<std::uint32_t>());
    constexpr int Observations = 400;
    InterferenceModel model;
    for (int i = 0; i < Observations; ++i) {
        const int code = std::uniform_int_distribution<int>(0, 26)(generator);
        const RunningCounts beside {{"noisy", code % 3}, {"quiet", code / 3 % 3}, {"other", code / 9}};
        model.observe("check", beside, 0.01 * (1.0 + harm * (code % 3)));
    }
    RC_ASSERT(model.pairSlowdown("check", "noisy") > 2 * model.pairSlowdown("check", "quiet"));
    RC_ASSERT(model.pairSlowdown("check", "noisy") > 2 * model.pairSlowdown("check", "other"));
}

TEST(InterferenceModel, followsAShiftOfBehaviour)
{
    InterferenceModel model;
    for (int i = 0; i < 300; ++i) {
        model.observe("check", {{"night", i % 2}}, i % 2 == 0 ? 0.01 : 0.03);
    }
    const double before = model.pairSlowdown("check", "night");
    for (int i = 0; i < 300; ++i) {
        model.observe("check", {{"night", i % 2}}, 0.01);
    }
    EXPECT_GT(before, 1.0);
    EXPECT_LT(model.pairSlowdown("check", "night"), before / 4);
}

// No step follows another on a worker before its effect can be seen, a throttled task is not throttled again, and
// nothing is restored without a calm of the full length.
RC_GTEST_PROP(MitigationPolicy, waitsForEffectsAndDoesNotFlap, ())
{
    InterferenceModel model;
    for (int i = 0; i < 100; ++i) {
        model.observe("check", {{"noisy", i % 2}}, i % 2 == 0 ? 0.01 : 0.05);
    }
    const MitigationPolicy::Limits limits;
    MitigationPolicy policy(limits);
    const std::vector<MitigationCandidate> candidates {{"t1", "noisy", true, true}, {"t2", "noisy", true, false}};
    const auto readings = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30));
    Instant now {Milliseconds(100'000)};
    std::optional<Instant> lastStep;
    Instant lastDisturbance = now;
    std::set<std::string> throttled;
    for (const int reading : readings) {
        now += Milliseconds(1'000);
        const double slowdown = reading / 10.0;
        const auto step = policy.decide("w", slowdown, "check", candidates, model, now);
        if (slowdown > limits.calm) {
            lastDisturbance = now;
        }
        if (!step) {
            continue;
        }
        RC_ASSERT((!lastStep || now - *lastStep >= limits.effectDelay));
        lastStep = now;
        if (step->kind == MitigationStep::Kind::Throttle) {
            RC_ASSERT(throttled.insert(step->task).second);
        } else {
            RC_ASSERT(throttled.erase(step->task) == 1);
        }
        RC_ASSERT((step->kind != MitigationStep::Kind::Restore || now - lastDisturbance >= limits.calmTime));
        RC_ASSERT((step->kind != MitigationStep::Kind::Move || step->task == "t1"));
    }
}

}
