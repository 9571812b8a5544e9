// JobScheduler: queries to the placement advisor about the workers that may run a step.
#include "scheduling/JobScheduler.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// The advisor takes longer for each worker named, so a query names only a few: several for each waiting task, since not
// all of them are suitable.
constexpr std::size_t WorkersPerWaitingTask = 3;
constexpr std::size_t MinimumWorkersPerQuery = 4;
constexpr std::size_t MaximumWorkersPerQuery = 30;
// Delay after a refused or unanswered query.
constexpr Milliseconds RetryDelay {200};
// A ticket must stay valid until a start order can arrive, which takes up to two round trips between regions.
constexpr Milliseconds TicketMargin {150};

}

bool JobScheduler::isPermitted(const StepState &step, const WorkerState &worker) const
{
    if (!step.occurrence->job->policy.advised) {
        return true;
    }
    const auto permission = step.permissions.find(worker.listing.name);
    return permission != step.permissions.end() && permission->second.incarnation == worker.incarnation
        && permission->second.validUntil > m_environment.clock.now();
}

std::string JobScheduler::ticketFor(const StepState &step, const std::string &worker)
{
    const auto permission = step.permissions.find(worker);
    return permission == step.permissions.end() ? std::string() : permission->second.ticket;
}

std::vector<std::string> JobScheduler::workersToQuery(const StepState &step) const
{
    const Instant now = m_environment.clock.now();
    const StepSpecification &specification = step.specification();
    // Workers that are known to be suitable only need a new ticket, so they come first. Then come those with the most
    // free processors.
    std::vector<std::tuple<bool, std::int64_t, std::string>> candidates;
    for (const auto &[name, worker] : m_workers) {
        const auto known = step.permissions.find(name);
        const bool answered = known != step.permissions.end() && known->second.incarnation == worker.incarnation;
        const bool unsuitable = answered && known->second.ticket.empty();
        // Workers are reserved only where the advisor permits it, so it is asked about those that batch tasks may
        // leave.
        const bool mayBeReserved = specification.longRunning && couldTakeLater(worker, step, now);
        const bool fits = mayBeReserved || WorkerState::countedDemand(specification).fitsInto(worker.freeResources());
        const bool possible
            = acceptsTasks(worker, now) && meetsRequirements(worker, specification, step.occurrence->job->policy.pool);
        if (possible && fits && !unsuitable && !isPermitted(step, worker)) {
            candidates.emplace_back(!answered, -worker.freeResources().milliCores, name);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    const std::size_t wanted = WorkersPerWaitingTask * static_cast<std::size_t>(step.waitingCount);
    candidates.resize(std::min({candidates.size(), std::max(wanted, MinimumWorkersPerQuery), MaximumWorkersPerQuery}));
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        names.push_back(std::get<2>(candidate));
    }
    return names;
}

void JobScheduler::queryAdvisor(StepState &step)
{
    const Instant now = m_environment.clock.now();
    if (m_environment.advisor == nullptr || m_advicePending || now < m_nextAdviceAt) {
        return;
    }
    const std::vector<std::string> workers = workersToQuery(step);
    if (workers.empty()) {
        return;
    }
    m_advicePending = true;
    std::map<std::string, std::int64_t> incarnations;
    for (const std::string &worker : workers) {
        incarnations[worker] = m_workers.at(worker).incarnation;
    }
    const StepName name {step.occurrence->job->specification.id, step.occurrence->number, step.number};
    m_environment.advisor->ask(name, workers,
        [weak = std::weak_ptr(m_self), name, incarnations, askedAt = now](
            const std::variant<PlacementAdvice, AdviceFailure> &result) {
            if (const auto self = weak.lock()) {
                (*self)->onAdvice(name, incarnations, askedAt, result);
            }
        });
}

std::vector<StepState *> JobScheduler::stepsNamed(const StepName &name)
{
    const TaskName first {name.job, name.occurrence, name.step, 0};
    std::vector<StepState *> steps;
    for (TaskState *task : {findTask(first), m_expectedJobs.find(first)}) {
        if (task != nullptr) {
            steps.push_back(task->step);
        }
    }
    return steps;
}

void JobScheduler::onAdvice(const StepName &name, const std::map<std::string, std::int64_t> &asked, Instant askedAt,
    const std::variant<PlacementAdvice, AdviceFailure> &result)
{
    m_advicePending = false;
    const auto *advice = std::get_if<PlacementAdvice>(&result);
    if (advice == nullptr) {
        const bool busy = std::get<AdviceFailure>(result) == AdviceFailure::Busy;
        m_nextAdviceAt = m_environment.clock.now() + RetryDelay;
        m_environment.listener.logDecision("advice-unavailable", name.job, {{"step", name.step}, {"busy", busy}});
        return;
    }
    for (StepState *step : stepsNamed(name)) {
        for (const auto &[worker, incarnation] : asked) {
            step->permissions[worker] = {incarnation, {}, {}};
        }
        for (const PlacementTicket &ticket : advice->suitable) {
            const auto incarnation = asked.find(ticket.worker);
            if (incarnation != asked.end()) {
                step->permissions[ticket.worker]
                    = {incarnation->second, ticket.ticket, askedAt + advice->validity - TicketMargin};
            }
        }
    }
    m_environment.listener.logDecision("advice-received", name.job,
        {{"step", name.step}, {"asked", asked.size()}, {"suitable", advice->suitable.size()}});
    dispatchSoon();
}

}
