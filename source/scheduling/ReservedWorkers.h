#pragma once

#include "scheduling/WorkerState.h"

#include <map>
#include <set>
#include <string>

namespace Wagtail
{

// Returns how many tasks of the step fit on the worker once batch tasks have left, up to the given number.
[[nodiscard]] std::size_t placesFor(const WorkerState &worker, const StepState &step, std::size_t most);

// Workers that take no batch tasks until waiting long-running tasks fit there. Each round of placement chooses them
// anew.
class ReservedWorkers
{
public:
    void clear();

    // Reserves workers for up to the given number of tasks of a step. If it needs advice, these are workers that the
    // advisor has permitted, because nothing would end the reservation of others. For a gang that could not start even
    // if all batch tasks ended it reserves none, because nothing would end the reservation.
    void reserveFor(
        const std::map<std::string, WorkerState> &workers, const StepState &step, std::size_t count, Instant now);

    [[nodiscard]] bool contains(const std::string &worker) const;
    [[nodiscard]] std::size_t size() const;

private:
    std::set<std::string> m_names;
};

}
