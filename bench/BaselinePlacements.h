#pragma once

#include "placement/PlacementPolicy.h"

#include <random>

namespace Wagtail
{

// Takes the first worker with room.
class FirstFitPlacement final : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<std::string> choose(const Fleet &fleet, const PlacementQuery &query) override
    {
        for (const auto &[name, worker] : fleet.workers()) {
            if (isAllowed(fleet, worker, query)) {
                return name;
            }
        }
        return std::nullopt;
    }
};

// Takes the worker with the most free processors.
class LeastLoadedPlacement final : public PlacementPolicy
{
public:
    [[nodiscard]] std::optional<std::string> choose(const Fleet &fleet, const PlacementQuery &query) override
    {
        const FleetWorker *best = nullptr;
        for (const auto &[name, worker] : fleet.workers()) {
            const bool better = best == nullptr || worker.freeResources().milliCores > best->freeResources().milliCores;
            if (better && isAllowed(fleet, worker, query)) {
                best = &worker;
            }
        }
        return best == nullptr ? std::nullopt : std::optional(best->description.name);
    }
};

// Takes the freer of two workers drawn at random among those with room.
class RandomOfTwoPlacement final : public PlacementPolicy
{
public:
    explicit RandomOfTwoPlacement(unsigned seed) : m_generator(seed)
    {
    }

    [[nodiscard]] std::optional<std::string> choose(const Fleet &fleet, const PlacementQuery &query) override
    {
        std::vector<const FleetWorker *> allowed;
        for (const auto &[name, worker] : fleet.workers()) {
            if (isAllowed(fleet, worker, query)) {
                allowed.push_back(&worker);
            }
        }
        if (allowed.empty()) {
            return std::nullopt;
        }
        std::uniform_int_distribution<std::size_t> draw(0, allowed.size() - 1);
        const FleetWorker *first = allowed[draw(m_generator)];
        const FleetWorker *second = allowed[draw(m_generator)];
        const bool firstFreer = first->freeResources().milliCores >= second->freeResources().milliCores;
        return (firstFreer ? first : second)->description.name;
    }

private:
    std::mt19937 m_generator;
};

}
