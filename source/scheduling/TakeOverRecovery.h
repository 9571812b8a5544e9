#pragma once

#include "base/JsonReader.h"
#include "scheduling/WorkerState.h"

#include <map>
#include <string>

namespace Wagtail
{

// Tracks which workers may still run tasks of earlier leader terms that this term does not know of. Starts are not
// recorded in the store, so the owner of a new term learns where tasks run only from the workers themselves.
class TakeOverRecovery
{
public:
    // Takes the time at which all leases of earlier terms have surely expired.
    void begin(Instant now, Instant priorLeasesExpireAt);

    [[nodiscard]] Instant priorLeasesExpireAt() const;

    // Adds a worker that may run tasks of earlier terms, with the time at which its last lease of them has surely
    // expired. A worker that was added before keeps its time.
    void expect(const std::string &worker, Instant leaseExpiresAt);

    // Notes that the worker has answered under this term: its runs are known, and it rejects orders of earlier terms.
    void confirm(const std::string &worker);

    [[nodiscard]] bool isUnconfirmed(const std::string &worker) const;

    // Returns when the last lease of earlier terms on an unconfirmed worker has surely expired.
    [[nodiscard]] Instant leaseExpiryOf(const std::string &worker) const;

    // Returns whether a task whose worker is unknown may still run on an unconfirmed worker.
    [[nodiscard]] bool isPending(Instant now, const std::map<std::string, WorkerState> &workers) const;

    // Whether workers have been added since the last call of end().
    [[nodiscard]] bool isActive() const;

    // Forgets the unconfirmed workers.
    void end();

    // Describes, for the log, for how long the recovery has lasted and which workers it waits for.
    [[nodiscard]] Json describe(Instant now, const std::map<std::string, WorkerState> &workers) const;

private:
    [[nodiscard]] static bool mayRunTasks(const WorkerState *worker, Instant leaseExpiresAt, Instant now);

    // The expiry of their last leases by worker.
    std::map<std::string, Instant> m_unconfirmedWorkers;
    Instant m_beganAt;
    Instant m_priorLeasesExpireAt;
    bool m_active = false;
};

}
