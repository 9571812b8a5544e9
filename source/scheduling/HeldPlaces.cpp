#include "scheduling/HeldPlaces.h"

#include "scheduling/WorkerState.h"

#include <algorithm>

namespace Wagtail
{

void HeldPlaces::hold(const TaskState &task, Instant until)
{
    add(task, until);
}

void HeldPlaces::holdForArrival(const TaskState &task, Instant until)
{
    add(task, until).forArrival = true;
}

bool HeldPlaces::isForArrival(const TaskName &task) const
{
    const auto place = m_places.find(task);
    return place != m_places.end() && place->second.forArrival;
}

void HeldPlaces::markArrived(const TaskName &task)
{
    const auto place = m_places.find(task);
    if (place != m_places.end()) {
        place->second.forArrival = false;
    }
}

void HeldPlaces::claim(const TaskName &task)
{
    const auto place = m_places.find(task);
    if (place != m_places.end()) {
        place->second.claimed = true;
    }
}

Resources HeldPlaces::claimedByOthers(const TaskName &task) const
{
    Resources claimed;
    for (const auto &[name, place] : m_places) {
        if (place.claimed && name != task) {
            claimed = claimed + place.resources;
        }
    }
    return claimed;
}

std::vector<const CrashHistory *> HeldPlaces::crashesOfOthers(const TaskName &task) const
{
    std::vector<const CrashHistory *> histories;
    for (const auto &[name, place] : m_places) {
        if (name != task) {
            histories.push_back(&place.crashes);
        }
    }
    return histories;
}

HeldPlaces::Place &HeldPlaces::add(const TaskState &task, Instant until)
{
    const StepSpecification &step = task.step->specification();
    const auto [entry, added] = m_places.try_emplace(nameOf(task));
    Place &place = entry->second;
    place.until = until;
    place.crashes = task.crashes;
    if (added) {
        place.resources = WorkerState::countedDemand(step);
        place.longRunning = step.longRunning;
        m_resources = m_resources + place.resources;
        m_resourcesOfLongRunning = m_resourcesOfLongRunning + (step.longRunning ? place.resources : Resources());
    }
    return place;
}

void HeldPlaces::release(const TaskName &task)
{
    const auto place = m_places.find(task);
    if (place == m_places.end()) {
        return;
    }
    m_resources = m_resources - place->second.resources;
    if (place->second.longRunning) {
        m_resourcesOfLongRunning = m_resourcesOfLongRunning - place->second.resources;
    }
    m_places.erase(place);
}

std::map<TaskName, Instant> HeldPlaces::tasks() const
{
    std::map<TaskName, Instant> tasks;
    for (const auto &[task, place] : m_places) {
        tasks.emplace(task, place.until);
    }
    return tasks;
}

bool HeldPlaces::isEmpty() const
{
    return m_places.empty();
}

int HeldPlaces::countOf(const StepState &step) const
{
    return static_cast<int>(std::count_if(m_places.begin(), m_places.end(), [&step](const auto &place) {
        const TaskName &task = place.first;
        return task.step == step.number && task.occurrence == step.occurrence->number
            && task.job == step.occurrence->job->specification.id;
    }));
}

const Resources &HeldPlaces::resources() const
{
    return m_resources;
}

const Resources &HeldPlaces::resourcesOfLongRunning() const
{
    return m_resourcesOfLongRunning;
}

}
