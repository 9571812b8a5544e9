#pragma once

#include "base/Scheduler.h"
#include "store/Store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Wagtail
{

// Reads the jobs that other partitions have handed over to this one. The transaction that hands a job over has written
// its record and its progress under the keys of this partition.
class JobArrivals
{
public:
    // Takes the job's record, or nothing if the job is not in this partition any more, and its progress.
    using Handler
        = std::function<void(const std::optional<StoreEntry> &record, const std::optional<StoreEntry> &progress)>;

    JobArrivals(Store &store, Scheduler &scheduler, std::string partition);
    ~JobArrivals();
    JobArrivals(const JobArrivals &) = delete;
    JobArrivals &operator=(const JobArrivals &) = delete;

    // Reads a job, and repeats that until the store answers. Does nothing if the job is being read.
    void read(const std::string &job, Handler handler);

    // Returns whether the job is being read.
    [[nodiscard]] bool contains(const std::string &job) const;

private:
    void readRecord(const std::string &job);
    void readProgress(const std::string &job, const StoreEntry &record);
    void retry(const std::string &job);
    void finish(
        const std::string &job, const std::optional<StoreEntry> &record, const std::optional<StoreEntry> &progress);

    Store &m_store;
    Scheduler &m_scheduler;
    std::string m_partition;
    std::map<std::string, Handler> m_handlers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
