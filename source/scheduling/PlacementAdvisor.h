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

// The advisor's permission to start the tasks of a step on one worker.
struct PlacementTicket
{
    std::string worker;
    std::string ticket;

    bool operator==(const PlacementTicket &) const = default;
};

struct PlacementAdvice
{
    // Those of the queried workers that may run the step. The others may not.
    std::vector<PlacementTicket> suitable;
    // How long the tickets are valid.
    Milliseconds validity {0};

    bool operator==(const PlacementAdvice &) const = default;
};

enum class AdviceFailure {
    // The advisor refused the query because too many are waiting.
    Busy,
    // No usable answer arrived.
    Unanswered,
};

// Tells which workers may run a step under the policy of its queue. The advisor handles one query of an instance at a
// time and takes longer the more workers are named. The handler is called exactly once, on the control thread.
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
