#include "tenure/JobArrivals.h"

#include "tenure/JobKeys.h"

namespace Wagtail
{

namespace
{

constexpr Milliseconds RetryPeriod {200};

}

JobArrivals::JobArrivals(Store &store, Scheduler &scheduler, std::string partition)
    : m_store(store), m_scheduler(scheduler), m_partition(std::move(partition))
{
}

JobArrivals::~JobArrivals()
{
    *m_alive = false;
}

void JobArrivals::read(const std::string &job, Handler handler)
{
    if (m_handlers.emplace(job, std::move(handler)).second) {
        readRecord(job);
    }
}

bool JobArrivals::contains(const std::string &job) const
{
    return m_handlers.contains(job);
}

void JobArrivals::readRecord(const std::string &job)
{
    m_store.read(JobKeys::jobs(m_partition) + job,
        [this, alive = m_alive, job](const Result<std::optional<StoreEntry>> &result) {
            if (!*alive) {
                return;
            }
            const auto *record = std::get_if<std::optional<StoreEntry>>(&result);
            if (record == nullptr) {
                retry(job);
            } else if (*record) {
                readProgress(job, **record);
            } else {
                finish(job, std::nullopt, std::nullopt);
            }
        });
}

void JobArrivals::readProgress(const std::string &job, const StoreEntry &record)
{
    m_store.read(JobKeys::progress(m_partition) + job,
        [this, alive = m_alive, job, record](const Result<std::optional<StoreEntry>> &result) {
            if (!*alive) {
                return;
            }
            if (const auto *progress = std::get_if<std::optional<StoreEntry>>(&result)) {
                finish(job, record, *progress);
            } else {
                retry(job);
            }
        });
}

void JobArrivals::retry(const std::string &job)
{
    m_scheduler.after(RetryPeriod, [this, alive = m_alive, job] {
        if (*alive) {
            readRecord(job);
        }
    });
}

void JobArrivals::finish(
    const std::string &job, const std::optional<StoreEntry> &record, const std::optional<StoreEntry> &progress)
{
    const auto handler = m_handlers.extract(job);
    handler.mapped()(record, progress);
}

}
