#pragma once

#include "base/Clock.h"
#include "workers/WorkerMessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Wagtail
{

// Whether a worker may be given new work.
enum class WorkerAdmission {
    // Its present owner has not yet heard from it.
    Unreached,
    Open,
    // It has stopped answering.
    Silent,
    // The list, an operator or the worker itself says that it is going out of service.
    Leaving,
    // It failed too much of what it was given.
    Quarantined,
};

[[nodiscard]] std::string_view nameOf(WorkerAdmission admission);

// One worker with what is reserved on it.
struct FleetWorker
{
    WorkerDescription description;
    WorkerAdmission admission = WorkerAdmission::Unreached;
    FencingToken token = 0;
    Resources reserved;
    std::int64_t slotsInUse = 0;
    // Slots taken by requests of an earlier owner that still run.
    std::int64_t foreignSlots = 0;
    std::map<std::string, std::int64_t> runningByProfile;

    [[nodiscard]] Resources freeResources() const;
    [[nodiscard]] std::int64_t freeSlots() const;
};

// What a piece of work takes from a worker.
struct Demand
{
    Resources resources;
    std::int64_t slots = 0;
    std::string profile;
};

// Counts, in one place, what each owned worker has been given. Used on the control thread.
class Fleet
{
public:
    // Adds a worker or updates its description; what is reserved on it stays.
    void upsert(const WorkerDescription &description, FencingToken token);

    // Forgets a worker and what was reserved on it.
    void remove(const std::string &worker);

    void setAdmission(const std::string &worker, WorkerAdmission admission);

    // Sets the slots that an earlier owner's requests still hold. They only ever shrink until the next fence.
    void lowerForeignSlots(const std::string &worker, std::int64_t slots);
    void setForeignSlots(const std::string &worker, std::int64_t slots);

    // Reserves a demand under a unique name. Returns false, and reserves nothing, when the worker has no room for it.
    [[nodiscard]] bool reserve(const std::string &worker, const std::string &holder, const Demand &demand);

    // Records work that already runs on a worker, whether or not it fits.
    void recordRunning(const std::string &worker, const std::string &holder, const Demand &demand);

    // Frees what the holder had; does nothing when it holds nothing.
    void release(const std::string &holder);

    // Returns whether the demand fits on the worker now, without regard to its admission.
    [[nodiscard]] bool fits(const FleetWorker &worker, const Demand &demand) const;

    [[nodiscard]] const FleetWorker *find(const std::string &worker) const;
    [[nodiscard]] const std::map<std::string, FleetWorker> &workers() const;
    [[nodiscard]] std::optional<std::string> workerOf(const std::string &holder) const;

private:
    struct Reservation
    {
        std::string worker;
        Demand demand;
    };

    std::map<std::string, FleetWorker> m_workers;
    std::unordered_map<std::string, Reservation> m_reservations;
};

}
