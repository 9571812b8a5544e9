#pragma once

#include "http/HttpClient.h"
#include "tenure/PartitionSeats.h"

#include <deque>
#include <unordered_map>

namespace Wagtail
{

// How a caller's request about a job ended.
enum class RouteOutcome {
    Done,
    // It has no effect and never will.
    Refused,
    NotFound,
    // Nobody who knows could be reached; nothing was changed.
    Unavailable,
    // It may have taken effect; sending it again is safe.
    Unknown,
};

// Brings callers' requests to the owner of the job's partition, and goes to the store when no owner can be reached.
class JobRouter
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        Store &store;
        HttpClient &client;
        PartitionSeats &seats;
        const PartitionPlan &plan;
        std::function<void(std::string_view what, const std::string &subject, const Json &inputs)> log;
        // The partition that takes this instance's new jobs.
        std::string homePartition;
        // Returns whether no instance reaches the store, so that an attempt to write would only leave its outcome open.
        std::function<bool()> isStoreAway = [] {
            return false;
        };
    };

    explicit JobRouter(Environment environment);
    ~JobRouter();
    JobRouter(const JobRouter &) = delete;
    JobRouter &operator=(const JobRouter &) = delete;

    // Submits a job. Gives up with Unknown or Unavailable at half of the caller's time, so that the caller can ask
    // another instance in the other half.
    void submit(JobRecord record, Instant deadline, std::function<void(RouteOutcome)> handler);
    // Both give up with Unknown shortly before the deadline.
    void status(const std::string &id, Instant deadline, std::function<void(RouteOutcome, JobPhase)> handler);
    void cancel(const std::string &id, Instant deadline, std::function<void(RouteOutcome)> handler);

    // Counts the queue's accepted jobs that have not started, over all partitions.
    void waitingCount(const std::string &queue, std::function<void(std::optional<int>)> handler);

private:
    struct Submission;
    struct Inquiry;
    using Answer = std::function<void(const HttpAnswer &)>;

    [[nodiscard]] bool callOwner(const std::string &partition, const std::string &method, const std::string &target,
        std::string body, Answer answer);
    void trySubmit(const std::shared_ptr<Submission> &submission);
    void onSubmitAnswer(const std::shared_ptr<Submission> &submission, const HttpAnswer &answer);
    void sendElsewhere(const std::shared_ptr<Submission> &submission, const std::string &answer);
    void retrySubmit(const std::shared_ptr<Submission> &submission);
    void submitDirectly(const std::shared_ptr<Submission> &submission);
    void inquire(const std::shared_ptr<Inquiry> &inquiry);
    void askOwner(const std::shared_ptr<Inquiry> &inquiry);
    void findHome(const std::shared_ptr<Inquiry> &inquiry);
    void askStore(const std::shared_ptr<Inquiry> &inquiry);
    void finishInquiry(const std::shared_ptr<Inquiry> &inquiry, RouteOutcome outcome, JobPhase phase);
    void rememberHome(const std::string &job, const std::string &partition);

    Environment m_environment;
    std::unordered_map<std::string, std::string> m_homes;
    std::deque<std::string> m_homeOrder;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
