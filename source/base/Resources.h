#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace Wagtail
{

// An amount of a worker's processors, memory and accelerators.
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMegabytes = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    // Returns whether this amount fits into the given room in every dimension.
    [[nodiscard]] bool fitsInto(const Resources &room) const
    {
        return milliCores <= room.milliCores && memoryMegabytes <= room.memoryMegabytes
            && accelerators <= room.accelerators;
    }

    Resources operator+(const Resources &other) const
    {
        return {
            milliCores + other.milliCores, memoryMegabytes + other.memoryMegabytes, accelerators + other.accelerators};
    }

    Resources operator-(const Resources &other) const
    {
        return {
            milliCores - other.milliCores, memoryMegabytes - other.memoryMegabytes, accelerators - other.accelerators};
    }

    // Returns the larger amount in each dimension.
    [[nodiscard]] Resources maximum(const Resources &other) const
    {
        return {std::max(milliCores, other.milliCores), std::max(memoryMegabytes, other.memoryMegabytes),
            std::max(accelerators, other.accelerators)};
    }
};

}
