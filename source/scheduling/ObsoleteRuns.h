#pragma once

#include "scheduling/WorkerGateway.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Wagtail
{

// Tracks the runs of one worker that are no task's current ones, until it is certain that the worker neither runs them
// nor will. An order to start such a run may be carried out late, so a report that does not list the run proves nothing
// unless the worker has listed it before, has been told to stop it, or can't start it any more.
class ObsoleteRuns
{
public:
    // Adds a run that is no longer needed. Its start orders can't be carried out after the given time.
    void add(const RunName &run, Instant lastStart);

    // Adds a run that the worker lists as running. Returns whether it was not known before.
    bool addListed(const RunName &run);

    void stopSent(const RunName &run, Instant now);

    // Applies the answer to the stop order that was sent at the given time, unless another one was sent since or the
    // worker has restarted.
    void stopAnswered(const RunName &run, OrderOutcome outcome, Instant sentAt, Instant now);

    // Forgets a run whose end the worker lists.
    void ended(const RunName &run);

    // Applies a report that was requested at the given time, and forgets the runs that are over.
    void applyReport(const std::set<RunName> &listed, Instant requestedAt);

    // Ends the incarnation of the worker. If start orders may reach the next one, up to the given time, the runs have
    // to be stopped there as well.
    void restart(std::optional<Instant> lastStart);

    [[nodiscard]] std::vector<RunName> runs() const;
    [[nodiscard]] std::vector<RunName> dueStops(Instant now) const;
    [[nodiscard]] bool isEmpty() const;

private:
    struct Stop
    {
        // The last order to stop the run, if any, and whether it waits for its answer.
        std::optional<Instant> sentAt;
        bool isPending = false;
        std::optional<Instant> acceptedAt;
        bool wasListed = false;
        Instant lastStart;
    };

    [[nodiscard]] static bool isSettled(const Stop &stop, Instant requestedAt);

    std::map<RunName, Stop> m_stops;
};

}
