#include "scheduling/HeldPlaces.h"

#include "scheduling/WorkerState.h"

#include <algorithm>

namespace Wagtail
{

void HeldPlaces::hold(const TaskState &task, Instant until)
{
    const StepSpecification &step = task.step->specification();
    const auto [place, added] = m_places.try_emplace(nameOf(task));
    place->second.until = until;
    if (!added) {
        return;
    }
    place->second.resources = WorkerState::countedDemand(step);
    place->second.longRunning = step.longRunning;
    m_resources = m_resources + place->second.resources;
    if (step.longRunning) {
        m_resourcesOfLongRunning = m_resourcesOfLongRunning + place->second.resources;
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
