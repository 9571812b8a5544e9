#include "tenure/SubmissionRefusals.h"

#include "tenure/JobKeys.h"

#include <algorithm>
#include <utility>

namespace Wagtail
{

namespace
{

// The platform's store accepts at most 32 conditions, writes and erasures per transaction. Each mark takes two.
constexpr std::size_t MaxMarksPerTransaction = 16;
constexpr Milliseconds ErasurePeriod {10'000};

}

SubmissionRefusals::SubmissionRefusals(const Clock &clock, Scheduler &scheduler, Store &store)
    : m_clock(clock), m_scheduler(scheduler), m_store(store)
{
}

SubmissionRefusals::~SubmissionRefusals()
{
    *m_alive = false;
}

void SubmissionRefusals::refuse(const std::string &job, Handler handler)
{
    m_pending[job].push_back(std::move(handler));
    send();
}

const SubmissionRefusals::Mark *SubmissionRefusals::find(const std::string &job) const
{
    const auto mark = m_marks.find(job);
    return mark == m_marks.end() ? nullptr : &mark->second;
}

void SubmissionRefusals::add(const std::string &job, StoreRevision revision)
{
    Mark &mark = m_marks[job];
    if (revision > mark.revision) {
        mark = {revision, m_clock.now()};
    }
    scheduleErasure();
}

void SubmissionRefusals::remove(const std::string &job)
{
    m_marks.erase(job);
}

StoreRevision SubmissionRefusals::guard(const std::string &job) const
{
    const Mark *mark = find(job);
    return mark == nullptr ? MustNotExist : mark->revision;
}

void SubmissionRefusals::send()
{
    if (!m_batch.empty() || m_pending.empty()) {
        return;
    }
    StoreTransaction transaction;
    while (!m_pending.empty() && m_batch.size() < MaxMarksPerTransaction) {
        auto next = m_pending.extract(m_pending.begin());
        const std::string key = JobKeys::home(next.key());
        transaction.conditions.push_back({key, guard(next.key())});
        transaction.writes.push_back({key, JobKeys::RefusedHome, std::nullopt, 0});
        m_batch.insert(std::move(next));
    }
    m_store.commit(std::move(transaction), [this, alive = m_alive](const Result<StoreTransactionResult> &result) {
        if (*alive) {
            onResult(result);
        }
    });
}

void SubmissionRefusals::onResult(const Result<StoreTransactionResult> &result)
{
    Handlers batch = std::exchange(m_batch, {});
    const auto *commit = std::get_if<StoreTransactionResult>(&result);
    if (commit != nullptr && !commit->committed) {
        onConflict(*commit, std::move(batch));
        send();
        return;
    }
    for (const auto &[job, handlers] : batch) {
        if (commit != nullptr) {
            add(job, commit->revision);
        }
    }
    send();
    for (const auto &[job, handlers] : batch) {
        for (const Handler &handler : handlers) {
            handler({commit == nullptr ? Verdict::Unknown : Verdict::Refused, {}});
        }
    }
}

void SubmissionRefusals::onConflict(const StoreTransactionResult &commit, Handlers batch)
{
    Handlers accepted;
    std::map<std::string, std::string> partitions;
    for (auto &[job, handlers] : batch) {
        const StoreEntry *home = commit.currentEntry(JobKeys::home(job));
        if (home != nullptr && !JobKeys::isRefused(home->value)) {
            remove(job);
            partitions[job] = home->value;
            accepted[job] = std::move(handlers);
            continue;
        }
        if (home == nullptr) {
            remove(job);
        } else {
            add(job, home->revision);
        }
        std::vector<Handler> &pending = m_pending[job];
        std::move(handlers.begin(), handlers.end(), std::back_inserter(pending));
    }
    for (const auto &[job, handlers] : accepted) {
        for (const Handler &handler : handlers) {
            handler({Verdict::Exists, partitions[job]});
        }
    }
}

void SubmissionRefusals::scheduleErasure()
{
    if (m_erasureScheduled || m_marks.empty()) {
        return;
    }
    m_erasureScheduled = true;
    m_scheduler.after(ErasurePeriod, [this, alive = m_alive] {
        if (*alive) {
            m_erasureScheduled = false;
            eraseExpired();
            scheduleErasure();
        }
    });
}

void SubmissionRefusals::eraseExpired()
{
    const Instant now = m_clock.now();
    std::map<std::string, StoreRevision> expired;
    for (const auto &[job, mark] : m_marks) {
        if (now - mark.knownSince >= MarkLifetime) {
            expired[job] = mark.revision;
        }
    }
    while (!expired.empty()) {
        std::map<std::string, StoreRevision> marks;
        StoreTransaction transaction;
        while (!expired.empty() && marks.size() < MaxMarksPerTransaction) {
            auto next = expired.extract(expired.begin());
            const std::string key = JobKeys::home(next.key());
            transaction.conditions.push_back({key, next.mapped()});
            transaction.erasures.push_back(key);
            marks.insert(std::move(next));
        }
        m_store.commit(
            std::move(transaction), [this, alive = m_alive, marks](const Result<StoreTransactionResult> &result) {
                const auto *commit = std::get_if<StoreTransactionResult>(&result);
                if (*alive && commit != nullptr) {
                    onErased(marks, *commit);
                }
            });
    }
}

void SubmissionRefusals::onErased(
    const std::map<std::string, StoreRevision> &marks, const StoreTransactionResult &commit)
{
    for (const auto &[job, revision] : marks) {
        const bool isGone = commit.committed || commit.currentRevision(JobKeys::home(job)) != revision;
        if (isGone && guard(job) == revision) {
            remove(job);
        }
    }
}

}
