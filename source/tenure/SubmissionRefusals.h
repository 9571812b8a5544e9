#pragma once

#include "base/Clock.h"
#include "base/Scheduler.h"
#include "store/Store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Wagtail
{

// Refuses submissions in the store before their callers are told, so that a refusal is true of all copies of a
// submission: it marks the job's home key, and a copy that any instance received before is accepted only on condition
// that the key is as it was. A copy that is received later is a new attempt of the caller, and its acceptance may
// replace the mark.
class SubmissionRefusals
{
public:
    // No copy of a submission that was received before a refusal is carried out later than this.
    static constexpr Milliseconds MarkLifetime {60'000};

    enum class Verdict {
        // No copy that was received until now can be accepted.
        Refused,
        // The job was accepted before; the result names its partition.
        Exists,
        // The store did not answer, or was overloaded.
        Unknown,
    };
    struct Answer
    {
        Verdict verdict = Verdict::Unknown;
        std::string partition;
    };
    using Handler = std::function<void(const Answer &)>;

    // The mark of a refused submission.
    struct Mark
    {
        StoreRevision revision = MustNotExist;
        // The store has had the mark at least since then.
        Instant knownSince;
    };

    SubmissionRefusals(const Clock &clock, Scheduler &scheduler, Store &store);
    ~SubmissionRefusals();
    SubmissionRefusals(const SubmissionRefusals &) = delete;
    SubmissionRefusals &operator=(const SubmissionRefusals &) = delete;

    // Refuses all copies of a submission that were received until now. Refusals that come while the store is busy with
    // others share a transaction.
    void refuse(const std::string &job, Handler handler);

    // Returns the last known mark of a submission, or null.
    [[nodiscard]] const Mark *find(const std::string &job) const;

    // Remembers a mark that the store has now, whoever wrote it.
    void add(const std::string &job, StoreRevision revision);

    // Forgets a mark that the store no longer has.
    void remove(const std::string &job);

private:
    using Handlers = std::map<std::string, std::vector<Handler>>;

    void send();
    void onResult(const Result<StoreTransactionResult> &result);
    void onConflict(const StoreTransactionResult &commit, Handlers batch);
    [[nodiscard]] StoreRevision guard(const std::string &job) const;
    void scheduleErasure();
    void eraseExpired();
    void onErased(const std::map<std::string, StoreRevision> &marks, const StoreTransactionResult &commit);

    const Clock &m_clock;
    Scheduler &m_scheduler;
    Store &m_store;
    Handlers m_pending;
    // The refusals in flight.
    Handlers m_batch;
    std::map<std::string, Mark> m_marks;
    bool m_erasureScheduled = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
