#include "tenure/JobRelocationSearch.h"

#include "scheduling/WorkerState.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// A partition that has held no place is asked again after this time. Advice about its workers arrives sooner.
constexpr Milliseconds RefusalTime {500};

const StepSpecification &stepOf(const JobRecord &job)
{
    return job.specification.steps[static_cast<std::size_t>(job.delegated.front().task.step)];
}

}

JobRelocationSearch::JobRelocationSearch(Environment environment, std::string home)
    : m_environment(std::move(environment)), m_home(std::move(home))
{
}

JobRelocationSearch::~JobRelocationSearch()
{
    *m_alive = false;
}

void JobRelocationSearch::seek(const std::vector<JobRecord> &jobs)
{
    const Instant now = m_environment.clock.now();
    std::erase_if(m_refusedAt, [now](const auto &entry) { return now - entry.second >= RefusalTime; });
    std::map<std::string, PlaceRequest> requests;
    for (const JobRecord &job : jobs) {
        const std::optional<std::string> partition
            = isPending(job.specification.id) ? std::nullopt : choosePartition(job);
        if (!partition) {
            continue;
        }
        PlaceRequest &request = requests[*partition];
        std::size_t tasks = job.delegated.size();
        std::int64_t tasksOfJobs = job.specification.taskCount();
        for (const JobRecord &asked : request.jobs) {
            tasks += asked.delegated.size();
            tasksOfJobs += asked.specification.taskCount();
        }
        if (request.jobs.size() >= PlaceRequest::MostJobs || tasks > PlaceRequest::MostTasks
            || tasksOfJobs > PlaceRequest::MostTasksOfJobs) {
            continue;
        }
        request.jobs.push_back(job);
        for (const DelegatedTask &task : job.delegated) {
            request.onlyFree.insert(task.task);
        }
    }
    ++m_rotation;
    for (const auto &[partition, request] : requests) {
        if (!request.jobs.empty()) {
            send(partition, request);
        }
    }
}

bool JobRelocationSearch::isPending(const std::string &job) const
{
    return std::any_of(m_pending.begin(), m_pending.end(), [&job](const auto &entry) {
        return std::any_of(entry.second.begin(), entry.second.end(),
            [&job](const JobRecord &asked) { return asked.specification.id == job; });
    });
}

bool JobRelocationSearch::mayHavePlace(const std::string &partition, const JobRecord &job) const
{
    const PartitionHeadrooms &headrooms = m_environment.headrooms.headrooms();
    const auto pools = headrooms.find(partition);
    if (pools == headrooms.end()) {
        return false;
    }
    const auto headroom = pools->second.find(job.policy.pool);
    const StepSpecification &step = stepOf(job);
    return headroom != pools->second.end() && WorkerState::countedDemand(step).fitsInto(headroom->second.largestFree)
        && couldHold(headroom->second, step);
}

std::optional<std::string> JobRelocationSearch::choosePartition(const JobRecord &job) const
{
    const std::string &id = job.specification.id;
    const std::set<std::string> avoided = m_environment.headrooms.avoided(job.policy.pool, id);
    std::vector<std::string> candidates;
    for (const auto &[partition, pools] : m_environment.headrooms.headrooms()) {
        const bool mayAsk = partition != m_home && !m_pending.contains(partition) && !avoided.contains(partition)
            && m_environment.headrooms.isCurrent(partition) && !m_refusedAt.contains({partition, id});
        if (mayAsk && mayHavePlace(partition, job)) {
            candidates.push_back(partition);
        }
    }
    return candidates.empty() ? std::nullopt : std::optional(candidates[m_rotation % candidates.size()]);
}

void JobRelocationSearch::send(const std::string &partition, const PlaceRequest &request)
{
    m_pending[partition] = request.jobs;
    m_environment.requester.request(
        partition, request, [this, alive = m_alive, partition](const std::optional<PlaceAnswer> &answer) {
            if (*alive) {
                onAnswer(partition, answer);
            }
        });
}

void JobRelocationSearch::onAnswer(const std::string &partition, const std::optional<PlaceAnswer> &answer)
{
    const std::vector<JobRecord> asked = std::move(m_pending.extract(partition).mapped());
    if (answer) {
        m_environment.headrooms.update(partition, answer->headrooms);
    }
    std::set<TaskName> unused;
    for (const JobRecord &job : asked) {
        std::set<TaskName> held;
        for (const DelegatedTask &task : job.delegated) {
            // Without an answer the owner may have held places all the same.
            if (!answer || answer->held.contains(task.task)) {
                held.insert(task.task);
            }
        }
        const std::size_t needed = stepOf(job).gang ? job.delegated.size() : 1;
        const bool isHeld = answer && held.size() >= needed;
        if (isHeld && m_environment.onHeld(partition, job.specification.id)) {
            continue;
        }
        unused.merge(held);
        if (!isHeld) {
            m_refusedAt[{partition, job.specification.id}] = m_environment.clock.now();
        }
    }
    if (!unused.empty()) {
        release(partition, std::move(unused));
    }
}

void JobRelocationSearch::release(const std::string &partition, std::set<TaskName> tasks)
{
    // If the request is lost, the places are released a little later.
    m_environment.requester.request(
        partition, PlaceRequest {{}, std::move(tasks)}, [](const std::optional<PlaceAnswer> &) {});
}

}
