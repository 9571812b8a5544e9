// The part of JobScheduler that asks the placement advisor which workers may run a step.
#include "scheduling/JobScheduler.h"
#include "scheduling/WorkerChoice.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

// The advisor takes longer for each worker named, so few are asked for at a time: some for each waiting task, since not
// all are suitable.
constexpr std::size_t AskedForEachTask = 3;
constexpr std::size_t LeastAsked = 4;
constexpr std::size_t MostAsked = 30;
// After a refused or unanswered call.
constexpr Milliseconds RetryPeriod {200};
// A ticket that ends before a start can arrive is of no use: two round trips between regions.
constexpr Milliseconds TicketMargin {150};

}

bool JobScheduler::mayRun(const StepState &step, const WorkerState &worker) const
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

std::vector<std::string> JobScheduler::workersToAskFor(const StepState &step) const
{
    const Instant now = m_environment.clock.now();
    const StepSpecification &specification = step.specification();
    // Workers that are known to be suitable only need a new ticket, so they come first; then those with most room.
    std::vector<std::tuple<bool, std::int64_t, std::string>> candidates;
    for (const auto &[name, worker] : m_workers) {
        const auto known = step.permissions.find(name);
        const bool answered = known != step.permissions.end() && known->second.incarnation == worker.incarnation;
        const bool unsuitable = answered && known->second.ticket.empty();
        const bool fits = WorkerState::countedDemand(specification).fitsInto(worker.room());
        const bool possible
            = isUsable(worker, now) && couldEverHold(worker, specification, step.occurrence->job->policy.pool);
        if (possible && fits && !unsuitable && !mayRun(step, worker)) {
            candidates.emplace_back(!answered, -worker.room().milliCores, name);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    const std::size_t wanted = AskedForEachTask * static_cast<std::size_t>(step.waitingCount);
    candidates.resize(std::min({candidates.size(), std::max(wanted, LeastAsked), MostAsked}));
    std::vector<std::string> names;
    names.reserve(candidates.size());
    for (const auto &candidate : candidates) {
        names.push_back(std::get<2>(candidate));
    }
    return names;
}

void JobScheduler::askAdvisor(StepState &step)
{
    const Instant now = m_environment.clock.now();
    if (m_environment.advisor == nullptr || m_adviceOpen || now < m_nextAdvice) {
        return;
    }
    const std::vector<std::string> workers = workersToAskFor(step);
    if (workers.empty()) {
        return;
    }
    m_adviceOpen = true;
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

void JobScheduler::onAdvice(const StepName &name, const std::map<std::string, std::int64_t> &asked, Instant askedAt,
    const std::variant<PlacementAdvice, AdviceFailure> &result)
{
    m_adviceOpen = false;
    const auto *advice = std::get_if<PlacementAdvice>(&result);
    if (advice == nullptr) {
        const bool busy = std::get<AdviceFailure>(result) == AdviceFailure::Busy;
        m_nextAdvice = m_environment.clock.now() + RetryPeriod;
        m_environment.listener.logDecision("advice-missing", name.job, {{"step", name.step}, {"busy", busy}});
        return;
    }
    const TaskState *task = findTask({name.job, name.occurrence, name.step, 0});
    if (task != nullptr) {
        StepState &step = *task->step;
        for (const auto &[worker, incarnation] : asked) {
            step.permissions[worker] = {incarnation, {}, {}};
        }
        for (const PlacementTicket &ticket : advice->suitable) {
            const auto incarnation = asked.find(ticket.worker);
            if (incarnation != asked.end()) {
                step.permissions[ticket.worker]
                    = {incarnation->second, ticket.ticket, askedAt + advice->validity - TicketMargin};
            }
        }
        m_environment.listener.logDecision("advice-taken", name.job,
            {{"step", name.step}, {"asked", asked.size()}, {"suitable", advice->suitable.size()}});
    }
    dispatchSoon();
}

}
