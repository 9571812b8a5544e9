#include "responsiveness/ProcessorProbe.h"

#include <cstdint>

namespace Wagtail
{

std::chrono::nanoseconds SystemProcessorProbe::run()
{
    constexpr int Iterations = 4'000;
    // A linear congruential generator: each iteration depends on the one before, so none can be left out.
    constexpr std::uint64_t Multiplier = 6'364'136'223'846'793'005ULL;
    constexpr std::uint64_t Increment = 1'442'695'040'888'963'407ULL;
    const auto begin = std::chrono::steady_clock::now();
    volatile std::uint64_t state = 1;
    for (int i = 0; i < Iterations; ++i) {
        state = state * Multiplier + Increment;
    }
    return std::chrono::steady_clock::now() - begin;
}

}
