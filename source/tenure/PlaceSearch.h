#pragma once

#include "base/Clock.h"
#include "tenure/HeadroomLedger.h"
#include "tenure/PlaceRequester.h"

namespace Wagtail
{

// Looks for places in other partitions for long-running tasks that have none in their own, whether they wait or still
// run on a worker that is about to leave. A task leaves its partition only when a place is held for it in another one:
// several owners that pass tasks on by reported headroom alone fill the same partition.
// Load pattern: workers that leave in waves, so that hundreds of tasks compete for the few gaps that open.
class PlaceSearch
{
public:
    struct Environment
    {
        const Clock &clock;
        PlaceRequester &requester;
        // The reports of the other partitions. Answers to requests update them.
        HeadroomLedger &headrooms;
        // Called with the tasks of a request for which a partition holds places. Returns those that leave for it; the
        // places of the others are released. Not called if there are none.
        std::function<std::set<TaskName>(const std::string &partition, const std::set<TaskName> &tasks)> onHeld;
    };

    PlaceSearch(Environment environment, std::string home);
    ~PlaceSearch();
    PlaceSearch(const PlaceSearch &) = delete;
    PlaceSearch &operator=(const PlaceSearch &) = delete;

    // Requests places for the tasks that the records name, the first ones first, of which the given ones still run.
    // Asks only partitions with a gap that would fit, one for each task, and waits for the answer of a partition before
    // it asks it again.
    void seek(const std::vector<JobRecord> &jobs, const std::set<TaskName> &running = {});

private:
    // Identifies a step that a partition has refused.
    using Refusal = std::tuple<std::string, std::string, int>;
    // The free resources that are not asked for yet, by partition.
    using Rooms = std::map<std::string, std::vector<Resources>>;
    // What a task for which a partition is asked needs there.
    struct Demand
    {
        std::string pool;
        Resources resources;
    };

    [[nodiscard]] Rooms roomsOf(const std::string &pool) const;
    // Returns the partition to ask for a place of a task, and takes the place from its room. Returns nothing if no
    // partition has room.
    [[nodiscard]] std::optional<std::string> choosePartition(
        Rooms &rooms, const JobRecord &job, const DelegatedTask &task) const;
    void send(const std::string &partition, const PlaceRequest &request);
    [[nodiscard]] bool isPending(const TaskName &task) const;
    // Returns whether a partition that has not held a place for a task of this demand had room for it all the same.
    [[nodiscard]] static bool isRefusedBesideRoom(const Demand &demand, const PlaceAnswer &answer);
    void onAnswer(const std::string &partition, const std::optional<PlaceAnswer> &answer);
    void release(const std::string &partition, std::set<TaskName> tasks);

    Environment m_environment;
    std::string m_home;
    // The partitions whose answers are awaited, and the tasks for which they were asked.
    std::map<std::string, std::map<TaskName, Demand>> m_pending;
    std::map<Refusal, Instant> m_refusedAt;
    // Shifts the partition that is tried first, so that owners ask different ones.
    std::size_t m_rotation = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
