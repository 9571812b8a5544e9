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

// Whether a worker accepts new work, and why not.
enum class WorkerAdmission {
    // Its current owner has not received a report from it yet.
    Unreached,
    Open,
    // It has stopped answering heartbeats.
    Silent,
    // The instance list, an operator or the worker itself has announced that it leaves service.
    Leaving,
    // Too much of the work assigned to it failed.
    Quarantined,
};

[[nodiscard]] std::string_view nameOf(WorkerAdmission admission);

// A worker with the resources and slots that are reserved on it.
struct FleetWorker
{
    WorkerDescription description;
    WorkerAdmission admission = WorkerAdmission::Unreached;
    FencingToken token = 0;
    Resources reserved;
    std::int64_t slotsInUse = 0;
    // Slots held by requests that an earlier owner sent and that still run.
    std::int64_t foreignSlots = 0;
    std::map<std::string, std::int64_t> runningByProfile;

    [[nodiscard]] Resources freeResources() const;
    [[nodiscard]] std::int64_t freeSlots() const;
};

// The resources and slots that a piece of work needs on a worker.
struct Demand
{
    Resources resources;
    std::int64_t slots = 0;
    std::string profile;
};

// Tracks the reservations on the workers of one owned partition, for tasks and requests together, so that no worker is
// overcommitted. Used on the control thread.
class Fleet
{
public:
    // Adds a worker or updates its description. Existing reservations stay.
    void upsert(const WorkerDescription &description, FencingToken token);

    // Removes a worker and its reservations.
    void remove(const std::string &worker);

    void setAdmission(const std::string &worker, WorkerAdmission admission);

    // Lowers the number of slots that an earlier owner's requests hold; a larger number is ignored, since the number
    // can only fall until the worker is fenced again.
    void lowerForeignSlots(const std::string &worker, std::int64_t slots);

    // Sets the number of slots that an earlier owner's requests hold, after the worker was fenced.
    void setForeignSlots(const std::string &worker, std::int64_t slots);

    // Reserves the demand for a holder, whose name must be unique. Returns false and reserves nothing when the worker
    // is unknown, when the demand doesn't fit or when the holder has a reservation already.
    [[nodiscard]] bool reserve(const std::string &worker, const std::string &holder, const Demand &demand);

    // Records a reservation for work that already runs on a worker, even if it exceeds the worker's capacity.
    void recordRunning(const std::string &worker, const std::string &holder, const Demand &demand);

    // Releases the reservation of the holder, if it has one.
    void release(const std::string &holder);

    // Returns whether the demand fits into the unreserved capacity of the worker, regardless of its admission state.
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
