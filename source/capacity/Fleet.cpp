#include "capacity/Fleet.h"

#include <algorithm>
#include <cassert>

namespace Wagtail
{

std::string_view nameOf(WorkerAdmission admission)
{
    switch (admission) {
    case WorkerAdmission::Unreached:
        return "unreached";
    case WorkerAdmission::Open:
        return "open";
    case WorkerAdmission::Silent:
        return "silent";
    case WorkerAdmission::Leaving:
        return "leaving";
    case WorkerAdmission::Quarantined:
        break;
    }
    return "quarantined";
}

Resources FleetWorker::freeResources() const
{
    return description.capacity - reserved;
}

std::int64_t FleetWorker::freeSlots() const
{
    return std::max<std::int64_t>(0, description.slots - slotsInUse - foreignSlots);
}

void Fleet::upsert(const WorkerDescription &description, FencingToken token)
{
    FleetWorker &worker = m_workers[description.name];
    worker.description = description;
    worker.token = token;
}

void Fleet::remove(const std::string &worker)
{
    m_workers.erase(worker);
    std::erase_if(m_reservations, [&worker](const auto &item) { return item.second.worker == worker; });
}

void Fleet::setAdmission(const std::string &worker, WorkerAdmission admission)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        found->second.admission = admission;
    }
}

void Fleet::lowerForeignSlots(const std::string &worker, std::int64_t slots)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        found->second.foreignSlots = std::min(found->second.foreignSlots, std::max<std::int64_t>(0, slots));
    }
}

void Fleet::setForeignSlots(const std::string &worker, std::int64_t slots)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end()) {
        found->second.foreignSlots = std::max<std::int64_t>(0, slots);
    }
}

bool Fleet::fits(const FleetWorker &worker, const Demand &demand) const
{
    return demand.resources.fitsInto(worker.freeResources()) && demand.slots <= worker.freeSlots();
}

bool Fleet::reserve(const std::string &worker, const std::string &holder, const Demand &demand)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !fits(found->second, demand) || m_reservations.contains(holder)) {
        return false;
    }
    recordRunning(worker, holder, demand);
    return true;
}

void Fleet::recordRunning(const std::string &worker, const std::string &holder, const Demand &demand)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !m_reservations.emplace(holder, Reservation {worker, demand}).second) {
        return;
    }
    FleetWorker &target = found->second;
    target.reserved = target.reserved + demand.resources;
    target.slotsInUse += demand.slots;
    ++target.runningByProfile[demand.profile];
}

void Fleet::release(const std::string &holder)
{
    const auto found = m_reservations.find(holder);
    if (found == m_reservations.end()) {
        return;
    }
    const Reservation reservation = std::move(found->second);
    m_reservations.erase(found);
    const auto worker = m_workers.find(reservation.worker);
    if (worker == m_workers.end()) {
        return;
    }
    FleetWorker &target = worker->second;
    target.reserved = target.reserved - reservation.demand.resources;
    target.slotsInUse -= reservation.demand.slots;
    assert(target.slotsInUse >= 0);
    if (--target.runningByProfile[reservation.demand.profile] == 0) {
        target.runningByProfile.erase(reservation.demand.profile);
    }
}

const FleetWorker *Fleet::find(const std::string &worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? nullptr : &found->second;
}

const std::map<std::string, FleetWorker> &Fleet::workers() const
{
    return m_workers;
}

std::optional<std::string> Fleet::workerOf(const std::string &holder) const
{
    const auto found = m_reservations.find(holder);
    return found == m_reservations.end() ? std::nullopt : std::optional(found->second.worker);
}

}
