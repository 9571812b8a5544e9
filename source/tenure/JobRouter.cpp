#include "tenure/JobRouter.h"

#include "http/HttpStatus.h"

#include "tenure/JobApi.h"
#include "tenure/JobKeys.h"

#include <algorithm>
#include <utility>

namespace Wagtail
{

namespace
{

// An owner answers within the time of a store transaction. An owner that takes longer has ended or is unreachable.
constexpr long OwnerTimeoutMilliseconds = 700;
constexpr Milliseconds RetryPeriod {100};
// Jobs are submitted through the store once the partition's owner has been unreachable for this long.
constexpr Milliseconds StoreFallbackDelay {400};
// The time that an answer takes to reach a caller in the same data centre.
constexpr Milliseconds AnswerMargin {30};
// A submission without an outcome after this fraction of the caller's time is given up, so that the caller can try
// another instance in the rest.
constexpr int SubmissionTimeDivisor = 2;
// Submitting through an owner in another region takes about 100 ms, or 600 ms while the store is slow.
constexpr Milliseconds MinSubmissionTime {700};
// Clocks of two instances differ in rate by less than one part in this number.
constexpr int ClockRateTolerance = 20;
constexpr std::size_t MaxCachedHomes = 20'000;
// The largest number of waiting jobs that an owner is believed. The sum over all partitions stays within an int.
constexpr int MaximumWaitingCount = 1'000'000;

// The platform's store accepts at most 32 conditions, writes and erasures per transaction. One is the condition on the
// job's home key.
constexpr std::size_t MaxInboxesPerTransaction = 31;

// Returns a string member of an owner's JSON answer, or an empty string if there is none.
std::string textMember(const std::string &answer, const char *member)
{
    const Result<Json> document = parseJson(answer, "the owner's answer");
    const Json *body = std::get_if<Json>(&document);
    return body == nullptr ? std::string() : memberOr(*body, member, std::string());
}

// Returns what an owner's answer to a submission, or its absence, tells about the submission.
UnsettledSubmissions::Effect effectOf(const HttpAnswer &answer)
{
    using Effect = UnsettledSubmissions::Effect;
    if (answer.delivery != Delivery::Answered) {
        return answer.delivery == Delivery::Lost ? Effect::Unknown : Effect::None;
    }
    switch (answer.status) {
    case HttpStatus::Ok:
    case HttpStatus::Conflict:
        return Effect::Accepted;
    case HttpStatus::SeeOther:
    case HttpStatus::BadRequest:
    case HttpStatus::PreconditionFailed:
    case HttpStatus::TooManyRequests:
    case HttpStatus::ServiceUnavailable:
    case HttpStatus::MisdirectedRequest:
        return Effect::None;
    default:
        return Effect::Unknown;
    }
}

// Returns how long to try to submit a job for a caller that waits for the given time.
Milliseconds submissionTime(Milliseconds left)
{
    return std::max(left / SubmissionTimeDivisor, std::min(left - AnswerMargin, MinSubmissionTime));
}

}

struct JobRouter::Submission
{
    JobRecord record;
    std::string body;
    std::string partition;
    Instant submittedAt;
    Instant deadline;
    // Whether an owner redirected the job to another partition, which must not redirect it again.
    bool redirected = false;
    // The revision of a refusal that is known to be older than this copy of the submission, or MustNotExist.
    StoreRevision refusal = MustNotExist;
    std::function<void(RouteOutcome)> handler;

    [[nodiscard]] bool isFinished() const
    {
        return !handler;
    }
};

struct JobRouter::JobRequest
{
    std::string method;
    std::string job;
    std::string partition;
    bool homeRead = false;
    // Whether an owner was asked without a result. It may be about to accept the job.
    bool isOwnerUnclear = false;
    Instant deadline;
    std::function<void(RouteOutcome, JobPhase)> handler;
};

std::string JobRouter::submissionTarget(const Submission &submission)
{
    std::string target = "/jobs";
    if (submission.redirected) {
        target += "?placement=here";
    }
    if (submission.refusal != MustNotExist) {
        target += (submission.redirected ? "&after_refusal=" : "?after_refusal=") + std::to_string(submission.refusal);
    }
    return target;
}

JobRouter::JobRouter(Environment environment)
    : m_environment(std::move(environment)), m_unsettled(m_environment.clock), m_earlyCancellations(m_environment.clock)
{
}

JobRouter::~JobRouter()
{
    *m_alive = false;
}

bool JobRouter::callOwner(const std::string &partition, const std::string &method, const std::string &target,
    std::string body, AnswerHandler handler)
{
    const std::optional<InstanceEntry> owner = m_environment.ownership.ownerOf(partition);
    if (!owner) {
        return false;
    }
    HttpCall call;
    call.method = method;
    call.url = "http://" + owner->address + "/v1/partitions/" + partition + target;
    call.body = std::move(body);
    call.timeoutMilliseconds = OwnerTimeoutMilliseconds;
    m_environment.client.send(
        std::move(call), [alive = m_alive, handler = std::move(handler)](const HttpAnswer &result) {
            if (*alive) {
                handler(result);
            }
        });
    return true;
}

void JobRouter::submit(JobRecord record, Instant deadline, std::function<void(RouteOutcome)> handler)
{
    auto submission = std::make_shared<Submission>();
    // The owner of the first partition chooses the partition of every long-running job. It counts the jobs that it has
    // just redirected; owners that chose independently would learn of each other's choices too late in a burst.
    submission->partition
        = record.specification.isLongRunning() ? m_environment.plan.partitions().front() : m_environment.homePartition;
    submission->submittedAt = m_environment.clock.now();
    submission->deadline = submission->submittedAt
        + submissionTime(std::chrono::duration_cast<Milliseconds>(deadline - submission->submittedAt));
    submission->handler = std::move(handler);
    submission->record = std::move(record);
    const auto known = m_homes.find(submission->record.specification.id);
    if (known != m_homes.end()) {
        finish(submission, RouteOutcome::Done);
        return;
    }
    if (const SubmissionRefusals::Mark *mark = refusals().find(submission->record.specification.id)) {
        submission->refusal = mark->revision;
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(submission->deadline - submission->submittedAt);
    m_environment.scheduler.after(std::max(left, Milliseconds(0)), [this, alive = m_alive, submission] {
        if (*alive) {
            finish(submission, RouteOutcome::Unknown);
        }
    });
    trySubmit(submission);
}

void JobRouter::finish(const std::shared_ptr<Submission> &submission, RouteOutcome outcome)
{
    if (submission->isFinished()) {
        return;
    }
    const bool mayTakeEffect = m_unsettled.mayBeAccepted(submission->record.specification.id);
    std::exchange(submission->handler, nullptr)(
        outcome == RouteOutcome::Refused && mayTakeEffect ? RouteOutcome::Unknown : outcome);
}

void JobRouter::trySubmit(const std::shared_ptr<Submission> &submission)
{
    const std::string &id = submission->record.specification.id;
    PartitionLeader *leader = m_environment.ownership.leader(submission->partition);
    if (leader != nullptr) {
        m_unsettled.sent(id);
        const auto placement = submission->redirected ? PartitionLeader::Placement::ThisPartition
                                                      : PartitionLeader::Placement::AnyPartition;
        leader->submit(
            submission->record, placement,
            [this, alive = m_alive, submission](const AcceptResult &result) {
                if (!*alive) {
                    return;
                }
                HttpAnswer answer;
                answer.delivery = result.outcome == AcceptOutcome::Unknown ? Delivery::Lost : Delivery::Answered;
                HttpResponse response = submissionResponse(result);
                answer.status = response.status;
                answer.body = std::move(response.body);
                onSubmitAnswer(submission, answer);
            },
            submission->refusal);
        return;
    }
    if (submission->body.empty()) {
        submission->body = serialize(submission->record);
    }
    const std::string target = submissionTarget(*submission);
    m_unsettled.sent(id);
    const bool sent = callOwner(submission->partition, "POST", target, submission->body,
        [this, submission](const HttpAnswer &answer) { onSubmitAnswer(submission, answer); });
    if (!sent) {
        m_unsettled.answered(id, UnsettledSubmissions::Effect::None);
        retrySubmit(submission);
    }
}

void JobRouter::onSubmitAnswer(const std::shared_ptr<Submission> &submission, const HttpAnswer &answer)
{
    m_unsettled.answered(submission->record.specification.id, effectOf(answer));
    if (answer.delivery != Delivery::Answered) {
        retrySubmit(submission);
        return;
    }
    switch (answer.status) {
    case HttpStatus::Ok:
    case HttpStatus::Conflict: {
        cacheHome(submission->record.specification.id, textMember(answer.body, "partition"));
        finish(submission, RouteOutcome::Done);
        return;
    }
    case HttpStatus::SeeOther:
        followRedirect(submission, answer.body);
        return;
    case HttpStatus::PreconditionFailed:
        onRefusedBefore(submission, answer.body);
        return;
    case HttpStatus::TooManyRequests:
        finish(submission, RouteOutcome::Refused);
        return;
    case HttpStatus::BadRequest:
    case HttpStatus::ServiceUnavailable:
        finish(submission, RouteOutcome::Unknown);
        return;
    default:
        retrySubmit(submission);
    }
}

void JobRouter::followRedirect(const std::shared_ptr<Submission> &submission, const std::string &answer)
{
    const std::string partition = textMember(answer, "partition");
    if (partition.empty() || submission->redirected || submission->isFinished()) {
        retrySubmit(submission);
        return;
    }
    submission->partition = partition;
    submission->redirected = true;
    trySubmit(submission);
}

void JobRouter::onRefusedBefore(const std::shared_ptr<Submission> &submission, const std::string &answer)
{
    const Result<Json> document = parseJson(answer, "the owner's answer");
    const Json *body = std::get_if<Json>(&document);
    const StoreRevision refusal = body == nullptr ? MustNotExist : memberOr(*body, "refusal", StoreRevision {});
    const Milliseconds age(body == nullptr ? 0 : memberOr(*body, "refusal_age_ms", std::int64_t {}));
    const auto waited = std::chrono::duration_cast<Milliseconds>(m_environment.clock.now() - submission->submittedAt);
    if (refusal <= submission->refusal || age - age / ClockRateTolerance <= waited) {
        finish(submission, RouteOutcome::Unknown);
        return;
    }
    submission->refusal = refusal;
    if (!submission->isFinished()) {
        trySubmit(submission);
    }
}

void JobRouter::retrySubmit(const std::shared_ptr<Submission> &submission)
{
    if (submission->isFinished()) {
        return;
    }
    const Instant now = m_environment.clock.now();
    if (now + RetryPeriod >= submission->deadline) {
        finish(submission, RouteOutcome::Unknown);
        return;
    }
    if (!submission->redirected) {
        submission->partition = m_environment.homePartition;
    }
    if (now - submission->submittedAt >= StoreFallbackDelay) {
        if (m_environment.isStoreUnavailable()) {
            finish(submission, RouteOutcome::Unknown);
        } else {
            submitThroughStore(submission);
        }
        return;
    }
    m_environment.scheduler.after(RetryPeriod, [this, alive = m_alive, submission] {
        if (*alive) {
            trySubmit(submission);
        }
    });
}

void JobRouter::submitThroughStore(const std::shared_ptr<Submission> &submission)
{
    const std::string &id = submission->record.specification.id;
    const std::string &partition = submission->partition;
    StoreTransaction transaction;
    transaction.conditions = {{JobKeys::home(id), submission->refusal}};
    transaction.writes = {{JobKeys::home(id), partition, std::nullopt, 0},
        {JobKeys::jobs(partition) + id, serialize(submission->record), std::nullopt, 0},
        {JobKeys::inboxSubmission(partition, id), serialize(InboxEntry {InboxRequest::Submit, id, submission->record}),
            std::nullopt, 0}};
    m_environment.log("job-submitted-without-owner", id, {{"partition", partition}});
    m_unsettled.sent(id);
    m_environment.store.commit(
        std::move(transaction), [this, alive = m_alive, submission](const Result<StoreTransactionResult> &result) {
            if (!*alive) {
                return;
            }
            const std::string &job = submission->record.specification.id;
            const auto *commit = std::get_if<StoreTransactionResult>(&result);
            const StoreEntry *home = commit == nullptr ? nullptr : commit->currentEntry(JobKeys::home(job));
            if (commit != nullptr && (commit->committed || (home != nullptr && !JobKeys::isRefused(home->value)))) {
                m_unsettled.answered(job, UnsettledSubmissions::Effect::Accepted);
                refusals().remove(job);
                cacheHome(job, commit->committed ? submission->partition : home->value);
                finish(submission, RouteOutcome::Done);
                return;
            }
            if (commit != nullptr || errorOf(result)->kind == ErrorKind::Overloaded) {
                // The store did nothing, or shows a refusal that may be later than this copy.
                m_unsettled.answered(job, UnsettledSubmissions::Effect::None);
                if (home != nullptr) {
                    refusals().add(job, home->revision);
                }
                finish(submission, RouteOutcome::Unknown);
                return;
            }
            m_unsettled.answered(job, UnsettledSubmissions::Effect::Unknown);
            retrySubmit(submission);
        });
}

SubmissionRefusals &JobRouter::refusals()
{
    return m_environment.ownership.refusals();
}

void JobRouter::refuse(const std::string &id, std::function<void(RouteOutcome)> handler)
{
    if (m_homes.contains(id)) {
        handler(RouteOutcome::Done);
        return;
    }
    if (m_environment.isStoreUnavailable()) {
        handler(RouteOutcome::Unknown);
        return;
    }
    refusals().refuse(
        id, [this, alive = m_alive, id, handler = std::move(handler)](const SubmissionRefusals::Answer &answer) {
            if (!*alive) {
                return;
            }
            using Verdict = SubmissionRefusals::Verdict;
            if (answer.verdict == Verdict::Exists) {
                cacheHome(id, answer.partition);
                handler(RouteOutcome::Done);
                return;
            }
            handler(answer.verdict == Verdict::Refused ? RouteOutcome::Refused : RouteOutcome::Unknown);
        });
}

void JobRouter::status(const std::string &id, Instant deadline, std::function<void(RouteOutcome, JobPhase)> handler)
{
    auto request = std::make_shared<JobRequest>();
    request->method = "GET";
    request->job = id;
    request->deadline = deadline - AnswerMargin;
    request->handler = std::move(handler);
    sendRequest(request);
}

void JobRouter::cancel(const std::string &id, Instant deadline, std::function<void(RouteOutcome)> handler)
{
    auto request = std::make_shared<JobRequest>();
    request->method = "DELETE";
    request->job = id;
    request->deadline = deadline - AnswerMargin;
    request->handler = [handler = std::move(handler)](RouteOutcome outcome, JobPhase) {
        handler(outcome);
    };
    sendRequest(request);
}

void JobRouter::sendRequest(const std::shared_ptr<JobRequest> &request)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(request->deadline - m_environment.clock.now());
    m_environment.scheduler.after(std::max(left, Milliseconds(0)), [this, alive = m_alive, request] {
        if (*alive) {
            finishRequest(request, RouteOutcome::Unknown, JobPhase::Pending);
        }
    });
    const auto known = m_homes.find(request->job);
    request->partition = known == m_homes.end() ? m_environment.homePartition : known->second;
    forwardToOwner(request);
}

void JobRouter::forwardToOwner(const std::shared_ptr<JobRequest> &request)
{
    const auto onAnswer = [this, request](const HttpAnswer &answer) {
        const bool answered = answer.delivery == Delivery::Answered;
        if (answered && answer.status == HttpStatus::Ok) {
            cacheHome(request->job, request->partition);
            finishRequest(request, RouteOutcome::Done, jobPhaseFromName(textMember(answer.body, "phase")));
            return;
        }
        if (answered && answer.status == HttpStatus::NotFound) {
            readHome(request);
            return;
        }
        request->isOwnerUnclear = !answered || answer.status != HttpStatus::MisdirectedRequest;
        serveFromStore(request);
    };
    PartitionLeader *leader = m_environment.ownership.leader(request->partition);
    if (leader != nullptr && request->method == "GET") {
        const std::optional<JobPhase> phase = leader->phaseOf(request->job);
        if (phase) {
            finishRequest(request, RouteOutcome::Done, *phase);
        } else {
            readHome(request);
        }
        return;
    }
    if (leader != nullptr) {
        using CancelOutcome = PartitionLeader::CancelOutcome;
        leader->cancel(request->job, [this, alive = m_alive, request](CancelOutcome outcome) {
            if (!*alive) {
                return;
            }
            if (outcome == CancelOutcome::Recorded) {
                finishRequest(request, RouteOutcome::Done, JobPhase::Cancelled);
                return;
            }
            request->isOwnerUnclear = outcome == CancelOutcome::Unknown;
            readHome(request);
        });
        return;
    }
    if (!callOwner(request->partition, request->method, "/jobs/" + request->job, {}, onAnswer)) {
        serveFromStore(request);
    }
}

void JobRouter::readHome(const std::shared_ptr<JobRequest> &request)
{
    if (request->homeRead) {
        // The job exists, but its owner does not know it yet.
        serveFromStore(request);
        return;
    }
    m_environment.store.read(
        JobKeys::home(request->job), [this, alive = m_alive, request](const Result<std::optional<StoreEntry>> &result) {
            if (!*alive) {
                return;
            }
            const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
            if (entry == nullptr) {
                finishRequest(request, RouteOutcome::Unavailable, JobPhase::Pending);
                return;
            }
            if (!*entry || JobKeys::isRefused((*entry)->value)) {
                // Whoever cancels a job that does not exist relies on it that the job never runs.
                const bool cancels = request->method == "DELETE";
                const bool wasRemoved = m_homes.contains(request->job);
                if (m_unsettled.mayBeAccepted(request->job) || (request->isOwnerUnclear && cancels)) {
                    finishRequest(request, RouteOutcome::Unknown, JobPhase::Pending);
                } else if (cancels && !wasRemoved) {
                    if (m_earlyCancellations.tryTake()) {
                        cancelEarly(request, 0, *entry ? (*entry)->revision : MustNotExist);
                    } else {
                        finishRequest(request, RouteOutcome::Unavailable, JobPhase::Pending);
                    }
                } else {
                    finishRequest(request, RouteOutcome::NotFound, JobPhase::Pending);
                }
                return;
            }
            followHome(request, (*entry)->value);
        });
}

void JobRouter::followHome(const std::shared_ptr<JobRequest> &request, const std::string &partition)
{
    request->homeRead = true;
    const bool same = request->partition == partition;
    request->partition = partition;
    cacheHome(request->job, partition);
    same ? serveFromStore(request) : forwardToOwner(request);
}

void JobRouter::cancelEarly(
    const std::shared_ptr<JobRequest> &request, std::size_t firstPartition, StoreRevision refusal)
{
    const std::vector<std::string> partitions = m_environment.plan.partitions();
    const std::size_t end = std::min(partitions.size(), firstPartition + MaxInboxesPerTransaction);
    const std::string value = serialize(InboxEntry {InboxRequest::Cancel, request->job, std::nullopt, {}, {}, true});
    StoreTransaction transaction;
    transaction.conditions = {{JobKeys::home(request->job), refusal}};
    for (std::size_t i = firstPartition; i < end; ++i) {
        transaction.writes.push_back({JobKeys::inboxCancellation(partitions[i], request->job), value, std::nullopt, 0});
    }
    m_environment.log("job-cancelled-early", request->job, {{"inboxes", end - firstPartition}});
    m_environment.store.commit(std::move(transaction),
        [this, alive = m_alive, request, end, refusal](const Result<StoreTransactionResult> &result) {
            if (!*alive) {
                return;
            }
            const auto *commit = std::get_if<StoreTransactionResult>(&result);
            const bool isConflict = commit != nullptr && !commit->committed;
            const StoreEntry *home = isConflict ? commit->currentEntry(JobKeys::home(request->job)) : nullptr;
            if (home != nullptr && !JobKeys::isRefused(home->value)) {
                followHome(request, home->value);
            } else if (commit == nullptr || isConflict) {
                finishRequest(request, RouteOutcome::Unknown, JobPhase::Pending);
            } else if (end < m_environment.plan.partitions().size()) {
                cancelEarly(request, end, refusal);
            } else {
                finishRequest(request, RouteOutcome::Done, JobPhase::Cancelled);
            }
        });
}

void JobRouter::serveFromStore(const std::shared_ptr<JobRequest> &request)
{
    if (!request->homeRead && !m_homes.contains(request->job)) {
        readHome(request);
        return;
    }
    if (request->method == "DELETE") {
        const std::string key = JobKeys::inboxCancellation(request->partition, request->job);
        const std::string value = serialize(InboxEntry {InboxRequest::Cancel, request->job, std::nullopt});
        m_environment.log("job-cancelled-without-owner", request->job, {{"partition", request->partition}});
        m_environment.store.write(
            {key, value, std::nullopt, 0}, [this, alive = m_alive, request](const Result<StoreRevision> &result) {
                if (*alive) {
                    const bool written = errorOf(result) == nullptr;
                    finishRequest(request, written ? RouteOutcome::Done : RouteOutcome::Unknown, JobPhase::Cancelled);
                }
            });
        return;
    }
    m_environment.store.read(JobKeys::progress(request->partition) + request->job,
        [this, alive = m_alive, request](const Result<std::optional<StoreEntry>> &result) {
            if (!*alive) {
                return;
            }
            const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
            if (entry == nullptr) {
                finishRequest(request, RouteOutcome::Unavailable, JobPhase::Pending);
                return;
            }
            JobPhase phase = JobPhase::Pending;
            if (*entry) {
                const Result<Json> document = parseJson((*entry)->value, "the job's progress");
                const Json *progress = std::get_if<Json>(&document);
                phase = progress == nullptr ? JobPhase::Running
                                            : jobPhaseFromName(memberOr(*progress, "phase", std::string()));
            }
            finishRequest(request, RouteOutcome::Done, phase);
        });
}

void JobRouter::finishRequest(const std::shared_ptr<JobRequest> &request, RouteOutcome outcome, JobPhase phase)
{
    if (request->handler) {
        std::exchange(request->handler, nullptr)(outcome, phase);
    }
}

void JobRouter::waitingCount(const std::string &queue, std::function<void(std::optional<int>)> handler)
{
    struct Count
    {
        std::size_t pending = 0;
        int sum = 0;
        bool complete = true;
    };
    const std::vector<std::string> partitions = m_environment.plan.partitions();
    auto count = std::make_shared<Count>();
    count->pending = partitions.size();
    const auto addCount = [count, handler = std::move(handler)](std::optional<int> part) {
        count->sum += part.value_or(0);
        count->complete = count->complete && part.has_value();
        if (--count->pending == 0) {
            handler(count->complete ? std::optional(count->sum) : std::nullopt);
        }
    };
    for (const std::string &partition : partitions) {
        const PartitionLeader *leader = m_environment.ownership.leader(partition);
        if (leader != nullptr) {
            addCount(leader->waitingCount(queue));
            continue;
        }
        const bool sent = callOwner(partition, "GET", "/queues/" + queue, {}, [addCount](const HttpAnswer &answer) {
            const Result<Json> document = parseJson(answer.body, "the owner's answer");
            const Json *body = std::get_if<Json>(&document);
            const bool answered = answer.delivery == Delivery::Answered && answer.status == HttpStatus::Ok;
            addCount(answered && body != nullptr
                    ? std::optional(std::clamp(memberOr(*body, "waiting", 0), 0, MaximumWaitingCount))
                    : std::nullopt);
        });
        if (!sent) {
            addCount(std::nullopt);
        }
    }
}

void JobRouter::cacheHome(const std::string &job, const std::string &partition)
{
    // A job that is known may have been handed over to another partition since.
    if (partition.empty() || !m_homes.insert_or_assign(job, partition).second) {
        return;
    }
    m_homeOrder.push_back(job);
    if (m_homeOrder.size() > MaxCachedHomes) {
        m_homes.erase(m_homeOrder.front());
        m_homeOrder.pop_front();
    }
}

}
