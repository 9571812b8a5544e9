#include "tenure/PlaceSearch.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// What keeps a partition from holding a place although it has a gap, such as a limit per worker, seldom changes sooner.
constexpr Milliseconds RefusalTime {1'000};
// One transaction holds the delegations of a job. Those of two searches fit into it.
constexpr std::size_t MostPartitionsOfJob = 7;

}

PlaceSearch::PlaceSearch(Environment environment, std::string home)
    : m_environment(std::move(environment)), m_home(std::move(home))
{
}

PlaceSearch::~PlaceSearch()
{
    *m_alive = false;
}

void PlaceSearch::seek(const std::vector<JobRecord> &jobs, const std::set<TaskName> &running)
{
    const Instant now = m_environment.clock.now();
    std::erase_if(m_refusedAt, [now](const auto &entry) { return now - entry.second >= RefusalTime; });
    std::map<std::string, Rooms> roomsByPool;
    std::map<std::string, PlaceRequest> requests;
    std::map<std::string, std::size_t> taskCounts;
    for (const JobRecord &job : jobs) {
        std::set<std::string> partitionsOfJob;
        const auto [rooms, added] = roomsByPool.try_emplace(job.policy.pool);
        if (added) {
            rooms->second = roomsOf(job.policy.pool);
        }
        for (const DelegatedTask &task : job.delegated) {
            if (isPending(task.task)) {
                continue;
            }
            const std::optional<std::string> partition = choosePartition(rooms->second, job, task);
            if (!partition || taskCounts[*partition] >= PlaceRequest::MostTasks) {
                continue;
            }
            if (!partitionsOfJob.contains(*partition) && partitionsOfJob.size() >= MostPartitionsOfJob) {
                continue;
            }
            partitionsOfJob.insert(*partition);
            std::vector<JobRecord> &asked = requests[*partition].jobs;
            const bool isNewJob = asked.empty() || asked.back().specification.id != job.specification.id;
            if (isNewJob && asked.size() >= PlaceRequest::MostJobs) {
                continue;
            }
            if (isNewJob) {
                asked.push_back({job.specification, job.policy, job.acceptedWall, {}});
            }
            asked.back().delegated.push_back(task);
            if (running.contains(task.task)) {
                requests[*partition].onlyFree.insert(task.task);
            }
            ++taskCounts[*partition];
        }
    }
    ++m_rotation;
    for (const auto &[partition, request] : requests) {
        send(partition, request);
    }
}

PlaceSearch::Rooms PlaceSearch::roomsOf(const std::string &pool) const
{
    Rooms rooms;
    for (const auto &[partition, pools] : m_environment.headrooms.headrooms()) {
        const auto headroom = pools.find(pool);
        const bool mayAsk
            = partition != m_home && !m_pending.contains(partition) && m_environment.headrooms.isCurrent(partition);
        if (mayAsk && headroom != pools.end()) {
            rooms[partition] = headroom->second.gaps;
        }
    }
    return rooms;
}

std::optional<std::string> PlaceSearch::choosePartition(
    Rooms &rooms, const JobRecord &job, const DelegatedTask &task) const
{
    const StepSpecification &step = job.specification.steps[static_cast<std::size_t>(task.task.step)];
    const PartitionHeadrooms &headrooms = m_environment.headrooms.headrooms();
    auto entry = rooms.begin();
    std::advance(entry, rooms.empty() ? 0 : m_rotation % rooms.size());
    for (std::size_t i = 0; i < rooms.size(); ++i, ++entry) {
        entry = entry == rooms.end() ? rooms.begin() : entry;
        const std::string &partition = entry->first;
        const std::set<std::string> &labels = headrooms.at(partition).at(job.policy.pool).labels;
        const bool isLabelled = step.requiredLabel.empty() || labels.contains(step.requiredLabel);
        if (!isLabelled || m_refusedAt.contains({partition, job.specification.id, task.task.step})) {
            continue;
        }
        for (Resources &gap : entry->second) {
            if (step.demand.fitsInto(gap)) {
                gap = gap - step.demand;
                return partition;
            }
        }
    }
    return std::nullopt;
}

void PlaceSearch::send(const std::string &partition, const PlaceRequest &request)
{
    std::map<TaskName, Demand> asked;
    for (const JobRecord &job : request.jobs) {
        for (const DelegatedTask &task : job.delegated) {
            const StepSpecification &step = job.specification.steps[static_cast<std::size_t>(task.task.step)];
            asked[task.task] = {job.policy.pool, step.demand};
        }
    }
    m_pending[partition] = std::move(asked);
    m_environment.requester.request(
        partition, request, [this, alive = m_alive, partition](const std::optional<PlaceAnswer> &answer) {
            if (*alive) {
                onAnswer(partition, answer);
            }
        });
}

bool PlaceSearch::isPending(const TaskName &task) const
{
    return std::any_of(
        m_pending.begin(), m_pending.end(), [&task](const auto &entry) { return entry.second.contains(task); });
}

bool PlaceSearch::isRefusedBesideRoom(const Demand &demand, const PlaceAnswer &answer)
{
    const auto headroom = answer.headrooms.find(demand.pool);
    return headroom != answer.headrooms.end()
        && std::any_of(headroom->second.gaps.begin(), headroom->second.gaps.end(),
            [&demand](const Resources &gap) { return demand.resources.fitsInto(gap); });
}

void PlaceSearch::onAnswer(const std::string &partition, const std::optional<PlaceAnswer> &answer)
{
    const std::map<TaskName, Demand> asked = std::move(m_pending.extract(partition).mapped());
    std::set<TaskName> names;
    std::set<TaskName> held;
    for (const auto &[task, demand] : asked) {
        names.insert(task);
        if (answer && answer->held.contains(task)) {
            held.insert(task);
        } else if (!answer || isRefusedBesideRoom(demand, *answer)) {
            // A task that only came too late for a gap is asked for again as soon as the partition reports another one.
            m_refusedAt[{partition, task.job, task.step}] = m_environment.clock.now();
        }
    }
    if (answer) {
        m_environment.headrooms.update(partition, answer->headrooms);
    }
    if (!answer) {
        // Its owner may have held places all the same.
        release(partition, std::move(names));
    }
    if (held.empty()) {
        return;
    }
    const std::set<TaskName> leaving = m_environment.onHeld(partition, held);
    std::erase_if(held, [&leaving](const TaskName &task) { return leaving.contains(task); });
    if (!held.empty()) {
        release(partition, std::move(held));
    }
}

void PlaceSearch::release(const std::string &partition, std::set<TaskName> tasks)
{
    // If the request is lost, the places are released a little later.
    m_environment.requester.request(
        partition, PlaceRequest {{}, std::move(tasks)}, [](const std::optional<PlaceAnswer> &) {});
}

}
