#pragma once

#include "base/Clock.h"
#include "tenure/HeadroomLedger.h"
#include "tenure/PlaceRequester.h"

namespace Wagtail
{

// Looks for another partition for jobs of which nothing runs and that wait for workers in their own. A job leaves only
// when the owner of the other partition holds places for it: for all members of a gang, and else for one task.
// Load pattern: a partition has lost the only workers of a kind, or is full of long batch tasks, while others are idle.
class JobRelocationSearch
{
public:
    struct Environment
    {
        const Clock &clock;
        PlaceRequester &requester;
        // The reports of the other partitions. Answers to requests update them.
        HeadroomLedger &headrooms;
        // Called when a partition holds places for a job. Returns whether the job leaves for it; otherwise the places
        // are released.
        std::function<bool(const std::string &partition, const std::string &job)> onHeld;
    };

    JobRelocationSearch(Environment environment, std::string home);
    ~JobRelocationSearch();
    JobRelocationSearch(const JobRelocationSearch &) = delete;
    JobRelocationSearch &operator=(const JobRelocationSearch &) = delete;

    // Requests places for the tasks that the records name, the first jobs first. All tasks of a record are of one step.
    void seek(const std::vector<JobRecord> &jobs);

private:
    // A partition and a job that it has held no places for.
    using Refusal = std::pair<std::string, std::string>;

    [[nodiscard]] bool isPending(const std::string &job) const;
    // Returns whether a partition may have a free place for a task of the job.
    [[nodiscard]] bool mayHavePlace(const std::string &partition, const JobRecord &job) const;
    // Returns the partition to ask for the job next, or nothing if none may have a place.
    [[nodiscard]] std::optional<std::string> choosePartition(const JobRecord &job) const;
    void send(const std::string &partition, const PlaceRequest &request);
    void onAnswer(const std::string &partition, const std::optional<PlaceAnswer> &answer);
    void release(const std::string &partition, std::set<TaskName> tasks);

    Environment m_environment;
    std::string m_home;
    // The jobs for which a partition was asked, by partition.
    std::map<std::string, std::vector<JobRecord>> m_pending;
    std::map<Refusal, Instant> m_refusedAt;
    // Shifts the partition that is tried first, so that owners ask different ones.
    std::size_t m_rotation = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
