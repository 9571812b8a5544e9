#pragma once

#include "base/Clock.h"

#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace Wagtail
{

// One step of one occurrence of a job.
struct StepName
{
    std::string job;
    std::int64_t occurrence = 0;
    int step = 0;

    bool operator==(const StepName &) const = default;

    // Returns the form "job.occurrence.step".
    [[nodiscard]] std::string text() const
    {
        return job + "." + std::to_string(occurrence) + "." + std::to_string(step);
    }
};

// Leave to start the tasks of a step on one worker.
struct PlacementTicket
{
    std::string worker;
    std::string ticket;

    bool operator==(const PlacementTicket &) const = default;
};

struct PlacementAdvice
{
    // The workers of the question that may run the step; the others may not.
    std::vector<PlacementTicket> suitable;
    // How long the tickets hold.
    Milliseconds validity {0};

    bool operator==(const PlacementAdvice &) const = default;
};

enum class AdviceFailure {
    // Too many calls wait there.
    Busy,
    Unanswered,
};

// Knows which workers a queue's policy allows for a step. It answers one call of an instance after the other, the
// slower the more workers are named. The handler is called exactly once, on the control thread.
class PlacementAdvisor
{
public:
    using Handler = std::function<void(const std::variant<PlacementAdvice, AdviceFailure> &)>;

    PlacementAdvisor() = default;
    PlacementAdvisor(const PlacementAdvisor &) = delete;
    PlacementAdvisor &operator=(const PlacementAdvisor &) = delete;
    virtual ~PlacementAdvisor() = default;

    virtual void ask(const StepName &step, const std::vector<std::string> &workers, Handler handler) = 0;
};

}
