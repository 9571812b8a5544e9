#pragma once

#include "http/HttpClient.h"
#include "tenure/PartitionOwnership.h"
#include "tenure/UnsettledSubmissions.h"
#include "tenure/WriteAllowance.h"

#include <deque>
#include <unordered_map>

namespace Wagtail
{

// The outcome of a caller's request about a job.
enum class RouteOutcome {
    Done,
    // The request was refused and will not take effect.
    Refused,
    NotFound,
    // Neither an owner nor the store could be reached. Nothing was changed.
    Unavailable,
    // The request may have taken effect. Sending it again is safe.
    Unknown,
};

// Forwards callers' requests to the owner of the job's partition, or serves them from the store if no owner can be
// reached.
class JobRouter
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        Store &store;
        HttpClient &client;
        PartitionOwnership &ownership;
        const PartitionPlan &plan;
        std::function<void(std::string_view what, const std::string &subject, const Json &inputs)> log;
        // The partition to which this instance submits new jobs by default.
        std::string homePartition;
        // Returns whether no instance reaches the store, in which case a write would only have an unknown outcome.
        std::function<bool()> isStoreUnavailable = [] {
            return false;
        };
    };

    explicit JobRouter(Environment environment);
    ~JobRouter();
    JobRouter(const JobRouter &) = delete;
    JobRouter &operator=(const JobRouter &) = delete;

    // Submits a job. Gives up with Unknown after about half of the time to the deadline, so that the caller can try
    // another instance in the rest. Never reports Unavailable, because another instance may have accepted a copy.
    void submit(JobRecord record, Instant deadline, std::function<void(RouteOutcome)> handler);

    // Refuses a submission that this instance can't handle. Reports Refused only once no copy of it that was received
    // until now can be accepted, and Done if one was accepted.
    void refuse(const std::string &id, std::function<void(RouteOutcome)> handler);

    // Both report Unknown shortly before the deadline if there is no result by then.
    void status(const std::string &id, Instant deadline, std::function<void(RouteOutcome, JobPhase)> handler);
    void cancel(const std::string &id, Instant deadline, std::function<void(RouteOutcome)> handler);

    // Counts the queue's accepted jobs that have not started, over all partitions. Reports nothing if the owner of any
    // partition did not answer.
    void waitingCount(const std::string &queue, std::function<void(std::optional<int>)> handler);

private:
    struct Submission;
    struct JobRequest;
    using AnswerHandler = std::function<void(const HttpAnswer &)>;

    [[nodiscard]] static std::string submissionTarget(const Submission &submission);
    [[nodiscard]] SubmissionRefusals &refusals();
    [[nodiscard]] bool callOwner(const std::string &partition, const std::string &method, const std::string &target,
        std::string body, AnswerHandler handler);
    void trySubmit(const std::shared_ptr<Submission> &submission);
    // Tells the outcome, unless that was done before. No job is reported as refused that may still be accepted.
    void finish(const std::shared_ptr<Submission> &submission, RouteOutcome outcome);
    void onSubmitAnswer(const std::shared_ptr<Submission> &submission, const HttpAnswer &answer);
    void followRedirect(const std::shared_ptr<Submission> &submission, const std::string &answer);
    // Submits the job again if its refusal is older than this copy of the submission.
    void onRefusedBefore(const std::shared_ptr<Submission> &submission, const std::string &answer);
    void retrySubmit(const std::shared_ptr<Submission> &submission);
    void submitThroughStore(const std::shared_ptr<Submission> &submission);
    void sendRequest(const std::shared_ptr<JobRequest> &request);
    void forwardToOwner(const std::shared_ptr<JobRequest> &request);
    void readHome(const std::shared_ptr<JobRequest> &request);
    // Continues a request whose job's home partition the store has named.
    void followHome(const std::shared_ptr<JobRequest> &request, const std::string &partition);
    // Leaves the cancellation of a job that no partition has accepted in the inboxes of all partitions from the given
    // one on, because a submission of the job may be on its way to any of them.
    void cancelEarly(const std::shared_ptr<JobRequest> &request, std::size_t firstPartition, StoreRevision refusal);
    void serveFromStore(const std::shared_ptr<JobRequest> &request);
    void finishRequest(const std::shared_ptr<JobRequest> &request, RouteOutcome outcome, JobPhase phase);
    void cacheHome(const std::string &job, const std::string &partition);

    Environment m_environment;
    std::unordered_map<std::string, std::string> m_homes;
    std::deque<std::string> m_homeOrder;
    UnsettledSubmissions m_unsettled;
    WriteAllowance m_earlyCancellations;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
