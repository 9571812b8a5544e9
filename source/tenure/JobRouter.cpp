#include "tenure/JobRouter.h"

#include "http/HttpStatus.h"

#include "tenure/JobApi.h"
#include "tenure/JobKeys.h"

#include <utility>

namespace Wagtail
{

namespace
{

// An owner answers within a commit of the store; a longer silence means that it is gone or cut off.
constexpr long OwnerTimeoutMilliseconds = 700;
constexpr Milliseconds RetryPeriod {100};
// A partition without a reachable owner for this long gets its jobs through the store.
constexpr Milliseconds DirectAfter {400};
// Answers need this much time to travel back to a caller of the same data centre.
constexpr Milliseconds AnswerMargin {30};
// A submission whose outcome is still open after this share of the caller's time is given up: the caller can ask
// another instance in the rest.
constexpr int SubmissionTimeDivisor = 2;
// An acceptance through an owner in another region takes about 100 ms, or 600 ms while the store is slow.
constexpr Milliseconds UsefulTime {700};
constexpr std::size_t MostHomes = 20'000;

// Returns a text of an owner's answer, or an empty one when the answer has none.
std::string textIn(const std::string &answer, const char *member)
{
    const Result<Json> document = parseJson(answer, "the owner's answer");
    const Json *body = std::get_if<Json>(&document);
    return body == nullptr ? std::string() : memberOr(*body, member, std::string());
}

// Returns how long an attempt to submit goes on when the caller waits for the given time.
Milliseconds submissionTime(Milliseconds left)
{
    return std::max(left / SubmissionTimeDivisor, std::min(left - AnswerMargin, UsefulTime));
}

}

struct JobRouter::Submission
{
    JobRecord record;
    std::string body;
    std::string partition;
    Instant begin;
    Instant deadline;
    // Whether an attempt that may still take effect was left without an answer.
    bool uncertain = false;
    bool inFlight = false;
    // An owner sent the job to another partition; that one does not send it on.
    bool sentElsewhere = false;
    std::function<void(RouteOutcome)> handler;

    void finish(RouteOutcome outcome)
    {
        if (!handler) {
            return;
        }
        const bool denied = outcome == RouteOutcome::Refused || outcome == RouteOutcome::Unavailable;
        const bool open = uncertain || inFlight;
        std::exchange(handler, nullptr)(denied && open ? RouteOutcome::Unknown : outcome);
    }

    [[nodiscard]] bool isFinished() const
    {
        return !handler;
    }
};

struct JobRouter::Inquiry
{
    std::string method;
    std::string job;
    std::string partition;
    bool homeRead = false;
    Instant deadline;
    std::function<void(RouteOutcome, JobPhase)> handler;
};

JobRouter::JobRouter(Environment environment) : m_environment(std::move(environment))
{
}

JobRouter::~JobRouter()
{
    *m_alive = false;
}

bool JobRouter::callOwner(
    const std::string &partition, const std::string &method, const std::string &target, std::string body, Answer answer)
{
    const std::optional<InstanceCard> owner = m_environment.seats.ownerOf(partition);
    if (!owner) {
        return false;
    }
    HttpCall call;
    call.method = method;
    call.url = "http://" + owner->address + "/v1/partitions/" + partition + target;
    call.body = std::move(body);
    call.timeoutMilliseconds = OwnerTimeoutMilliseconds;
    m_environment.client.send(std::move(call), [alive = m_alive, answer = std::move(answer)](const HttpAnswer &result) {
        if (*alive) {
            answer(result);
        }
    });
    return true;
}

void JobRouter::submit(JobRecord record, Instant deadline, std::function<void(RouteOutcome)> handler)
{
    auto submission = std::make_shared<Submission>();
    // The owner of one partition chooses for all lasting jobs: it counts what it has just given to others, which
    // owners that choose on their own would learn too late in a burst.
    submission->partition
        = record.specification.isLongRunning() ? m_environment.plan.partitions().front() : m_environment.homePartition;
    submission->begin = m_environment.clock.now();
    submission->deadline
        = submission->begin + submissionTime(std::chrono::duration_cast<Milliseconds>(deadline - submission->begin));
    submission->handler = std::move(handler);
    submission->record = std::move(record);
    const auto known = m_homes.find(submission->record.specification.id);
    if (known != m_homes.end()) {
        submission->finish(RouteOutcome::Done);
        return;
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(submission->deadline - submission->begin);
    m_environment.scheduler.after(
        std::max(left, Milliseconds(0)), [submission] { submission->finish(RouteOutcome::Unavailable); });
    trySubmit(submission);
}

void JobRouter::trySubmit(const std::shared_ptr<Submission> &submission)
{
    JobKeeper *keeper = m_environment.seats.keeper(submission->partition);
    if (keeper != nullptr) {
        submission->inFlight = true;
        const auto placement = submission->sentElsewhere ? JobKeeper::Placement::Here : JobKeeper::Placement::Free;
        keeper->submit(submission->record, placement, [this, alive = m_alive, submission](const AcceptResult &result) {
            if (!*alive) {
                return;
            }
            HttpAnswer answer;
            answer.delivery = result.outcome == AcceptOutcome::Unknown ? Delivery::Lost : Delivery::Answered;
            HttpResponse response = describeAccept(result);
            answer.status = response.status;
            answer.body = std::move(response.body);
            onSubmitAnswer(submission, answer);
        });
        return;
    }
    if (submission->body.empty()) {
        submission->body = serialize(submission->record);
    }
    const std::string target = submission->sentElsewhere ? "/jobs?placement=here" : "/jobs";
    submission->inFlight = true;
    const bool sent = callOwner(submission->partition, "POST", target, submission->body,
        [this, submission](const HttpAnswer &answer) { onSubmitAnswer(submission, answer); });
    if (!sent) {
        submission->inFlight = false;
        retrySubmit(submission);
    }
}

void JobRouter::onSubmitAnswer(const std::shared_ptr<Submission> &submission, const HttpAnswer &answer)
{
    submission->inFlight = false;
    if (answer.delivery != Delivery::Answered) {
        submission->uncertain = submission->uncertain || answer.delivery == Delivery::Lost;
        retrySubmit(submission);
        return;
    }
    switch (answer.status) {
    case HttpStatus::Ok:
    case HttpStatus::Conflict: {
        rememberHome(submission->record.specification.id, textIn(answer.body, "partition"));
        submission->finish(RouteOutcome::Done);
        return;
    }
    case HttpStatus::SeeOther:
        sendElsewhere(submission, answer.body);
        return;
    case HttpStatus::BadRequest:
    case HttpStatus::TooManyRequests:
        submission->finish(RouteOutcome::Refused);
        return;
    case HttpStatus::ServiceUnavailable:
        submission->finish(RouteOutcome::Unavailable);
        return;
    case HttpStatus::MisdirectedRequest:
        retrySubmit(submission);
        return;
    default:
        submission->uncertain = true;
        retrySubmit(submission);
    }
}

void JobRouter::sendElsewhere(const std::shared_ptr<Submission> &submission, const std::string &answer)
{
    const std::string partition = textIn(answer, "partition");
    if (partition.empty() || submission->sentElsewhere || submission->isFinished()) {
        retrySubmit(submission);
        return;
    }
    submission->partition = partition;
    submission->sentElsewhere = true;
    trySubmit(submission);
}

void JobRouter::retrySubmit(const std::shared_ptr<Submission> &submission)
{
    if (submission->isFinished()) {
        return;
    }
    const Instant now = m_environment.clock.now();
    if (now + RetryPeriod >= submission->deadline) {
        submission->finish(RouteOutcome::Unavailable);
        return;
    }
    if (!submission->sentElsewhere) {
        submission->partition = m_environment.homePartition;
    }
    if (now - submission->begin >= DirectAfter) {
        if (m_environment.isStoreAway()) {
            submission->finish(RouteOutcome::Unavailable);
        } else {
            submitDirectly(submission);
        }
        return;
    }
    m_environment.scheduler.after(RetryPeriod, [this, alive = m_alive, submission] {
        if (*alive) {
            trySubmit(submission);
        }
    });
}

void JobRouter::submitDirectly(const std::shared_ptr<Submission> &submission)
{
    const std::string &id = submission->record.specification.id;
    const std::string &partition = submission->partition;
    StoreTransaction transaction;
    transaction.conditions = {{JobKeys::home(id), MustNotExist}};
    transaction.writes = {{JobKeys::home(id), partition, std::nullopt, 0},
        {JobKeys::jobs(partition) + id, serialize(submission->record), std::nullopt, 0},
        {JobKeys::inboxSubmission(partition, id), serialize(InboxEntry {InboxRequest::Submit, id, submission->record}),
            std::nullopt, 0}};
    m_environment.log("job-submitted-without-owner", id, {{"partition", partition}});
    submission->inFlight = true;
    m_environment.store.commit(
        std::move(transaction), [this, alive = m_alive, submission](const Result<StoreTransactionResult> &result) {
            if (!*alive) {
                return;
            }
            submission->inFlight = false;
            const auto *commit = std::get_if<StoreTransactionResult>(&result);
            if (commit != nullptr) {
                const std::string &job = submission->record.specification.id;
                rememberHome(job, commit->committed ? submission->partition : commit->currentEntries.front().value);
                submission->finish(RouteOutcome::Done);
                return;
            }
            if (errorOf(result)->kind == ErrorKind::Overloaded) {
                submission->finish(RouteOutcome::Unavailable);
                return;
            }
            submission->uncertain = true;
            retrySubmit(submission);
        });
}

void JobRouter::status(const std::string &id, Instant deadline, std::function<void(RouteOutcome, JobPhase)> handler)
{
    auto inquiry = std::make_shared<Inquiry>();
    inquiry->method = "GET";
    inquiry->job = id;
    inquiry->deadline = deadline - AnswerMargin;
    inquiry->handler = std::move(handler);
    inquire(inquiry);
}

void JobRouter::cancel(const std::string &id, Instant deadline, std::function<void(RouteOutcome)> handler)
{
    auto inquiry = std::make_shared<Inquiry>();
    inquiry->method = "DELETE";
    inquiry->job = id;
    inquiry->deadline = deadline - AnswerMargin;
    inquiry->handler = [handler = std::move(handler)](RouteOutcome outcome, JobPhase) {
        handler(outcome);
    };
    inquire(inquiry);
}

void JobRouter::inquire(const std::shared_ptr<Inquiry> &inquiry)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(inquiry->deadline - m_environment.clock.now());
    m_environment.scheduler.after(std::max(left, Milliseconds(0)), [this, alive = m_alive, inquiry] {
        if (*alive) {
            finishInquiry(inquiry, RouteOutcome::Unknown, JobPhase::Pending);
        }
    });
    const auto known = m_homes.find(inquiry->job);
    inquiry->partition = known == m_homes.end() ? m_environment.homePartition : known->second;
    askOwner(inquiry);
}

void JobRouter::askOwner(const std::shared_ptr<Inquiry> &inquiry)
{
    const auto onAnswer = [this, inquiry](const HttpAnswer &answer) {
        const bool answered = answer.delivery == Delivery::Answered;
        if (answered && answer.status == HttpStatus::Ok) {
            rememberHome(inquiry->job, inquiry->partition);
            finishInquiry(inquiry, RouteOutcome::Done, jobPhaseFromName(textIn(answer.body, "phase")));
            return;
        }
        if (answered && answer.status == HttpStatus::NotFound) {
            findHome(inquiry);
            return;
        }
        askStore(inquiry);
    };
    JobKeeper *keeper = m_environment.seats.keeper(inquiry->partition);
    if (keeper != nullptr && inquiry->method == "GET") {
        const std::optional<JobPhase> phase = keeper->phaseOf(inquiry->job);
        if (phase) {
            finishInquiry(inquiry, RouteOutcome::Done, *phase);
        } else {
            findHome(inquiry);
        }
        return;
    }
    if (keeper != nullptr) {
        keeper->cancel(inquiry->job, [this, alive = m_alive, inquiry](bool known) {
            if (!*alive) {
                return;
            }
            if (known) {
                finishInquiry(inquiry, RouteOutcome::Done, JobPhase::Cancelled);
            } else {
                findHome(inquiry);
            }
        });
        return;
    }
    if (!callOwner(inquiry->partition, inquiry->method, "/jobs/" + inquiry->job, {}, onAnswer)) {
        askStore(inquiry);
    }
}

void JobRouter::findHome(const std::shared_ptr<Inquiry> &inquiry)
{
    if (inquiry->homeRead) {
        // The job exists, but its owner has not heard of it yet.
        askStore(inquiry);
        return;
    }
    m_environment.store.read(
        JobKeys::home(inquiry->job), [this, alive = m_alive, inquiry](const Result<std::optional<StoreEntry>> &result) {
            if (!*alive) {
                return;
            }
            const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
            if (entry == nullptr) {
                finishInquiry(inquiry, RouteOutcome::Unavailable, JobPhase::Pending);
                return;
            }
            if (!*entry) {
                finishInquiry(inquiry, RouteOutcome::NotFound, JobPhase::Pending);
                return;
            }
            inquiry->homeRead = true;
            const bool same = inquiry->partition == (*entry)->value;
            inquiry->partition = (*entry)->value;
            rememberHome(inquiry->job, inquiry->partition);
            same ? askStore(inquiry) : askOwner(inquiry);
        });
}

void JobRouter::askStore(const std::shared_ptr<Inquiry> &inquiry)
{
    if (!inquiry->homeRead && !m_homes.contains(inquiry->job)) {
        findHome(inquiry);
        return;
    }
    if (inquiry->method == "DELETE") {
        const std::string key = JobKeys::inboxCancellation(inquiry->partition, inquiry->job);
        const std::string value = serialize(InboxEntry {InboxRequest::Cancel, inquiry->job, std::nullopt});
        m_environment.log("job-cancelled-without-owner", inquiry->job, {{"partition", inquiry->partition}});
        m_environment.store.write(
            {key, value, std::nullopt, 0}, [this, alive = m_alive, inquiry](const Result<StoreRevision> &result) {
                if (*alive) {
                    const bool written = errorOf(result) == nullptr;
                    finishInquiry(inquiry, written ? RouteOutcome::Done : RouteOutcome::Unknown, JobPhase::Cancelled);
                }
            });
        return;
    }
    m_environment.store.read(JobKeys::progress(inquiry->partition) + inquiry->job,
        [this, alive = m_alive, inquiry](const Result<std::optional<StoreEntry>> &result) {
            if (!*alive) {
                return;
            }
            const auto *entry = std::get_if<std::optional<StoreEntry>>(&result);
            if (entry == nullptr) {
                finishInquiry(inquiry, RouteOutcome::Unavailable, JobPhase::Pending);
                return;
            }
            JobPhase phase = JobPhase::Pending;
            if (*entry) {
                const Result<Json> document = parseJson((*entry)->value, "the job's progress");
                const Json *progress = std::get_if<Json>(&document);
                phase = progress == nullptr ? JobPhase::Running
                                            : jobPhaseFromName(memberOr(*progress, "phase", std::string()));
            }
            finishInquiry(inquiry, RouteOutcome::Done, phase);
        });
}

void JobRouter::finishInquiry(const std::shared_ptr<Inquiry> &inquiry, RouteOutcome outcome, JobPhase phase)
{
    if (inquiry->handler) {
        std::exchange(inquiry->handler, nullptr)(outcome, phase);
    }
}

void JobRouter::waitingCount(const std::string &queue, std::function<void(std::optional<int>)> handler)
{
    struct Count
    {
        std::size_t open = 0;
        int sum = 0;
        bool complete = true;
    };
    const std::vector<std::string> partitions = m_environment.plan.partitions();
    auto count = std::make_shared<Count>();
    count->open = partitions.size();
    const auto settle = [count, handler = std::move(handler)](std::optional<int> part) {
        count->sum += part.value_or(0);
        count->complete = count->complete && part.has_value();
        if (--count->open == 0) {
            handler(count->complete ? std::optional(count->sum) : std::nullopt);
        }
    };
    for (const std::string &partition : partitions) {
        const JobKeeper *keeper = m_environment.seats.keeper(partition);
        if (keeper != nullptr) {
            settle(keeper->waitingCount(queue));
            continue;
        }
        const bool sent = callOwner(partition, "GET", "/queues/" + queue, {}, [settle](const HttpAnswer &answer) {
            const Result<Json> document = parseJson(answer.body, "the owner's answer");
            const Json *body = std::get_if<Json>(&document);
            const bool answered = answer.delivery == Delivery::Answered && answer.status == HttpStatus::Ok;
            settle(answered && body != nullptr ? std::optional(memberOr(*body, "waiting", 0)) : std::nullopt);
        });
        if (!sent) {
            settle(std::nullopt);
        }
    }
}

void JobRouter::rememberHome(const std::string &job, const std::string &partition)
{
    if (partition.empty() || !m_homes.emplace(job, partition).second) {
        return;
    }
    m_homeOrder.push_back(job);
    if (m_homeOrder.size() > MostHomes) {
        m_homes.erase(m_homeOrder.front());
        m_homeOrder.pop_front();
    }
}

}
