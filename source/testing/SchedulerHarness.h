#pragma once

#include "scheduling/JobScheduler.h"
#include "testing/FakeWorkers.h"
#include "testing/LeaseRecords.h"

#include <map>

namespace Wagtail
{

// One JobScheduler with fake workers under a manual clock, and a store that records everything at once.
class SchedulerHarness final : private JobSchedulerListener
{
public:
    explicit SchedulerHarness(SchedulingPolicies policies = {}, const SchedulingLimits &schedulingLimits = limits())
        : workers(clock)
        , m_scheduler(clock)
        , m_gateway(workers, m_scheduler)
        , m_jobs({clock, m_scheduler, m_gateway, *this, nullptr, std::move(policies)}, schedulingLimits, 1, 0)
    {
    }

    // Adds a worker with the given processors, in thousandths of a core, and memory.
    void addWorker(const std::string &name, std::int64_t milliCores, std::int64_t memoryMegabytes)
    {
        workers.add({name, name + ":1", "pool", "depot", "rack", {}, {milliCores, memoryMegabytes, 0}, 1, false});
        m_jobs.updateWorker(workers.listings().at(name));
        storeLeaseRecord(m_jobs);
    }

    [[nodiscard]] static SchedulingLimits limits()
    {
        SchedulingLimits limits;
        limits.lease = Milliseconds(2'000);
        limits.longestLease = limits.lease;
        return limits;
    }

    // Lists a worker as draining.
    void drainWorker(const std::string &name)
    {
        WorkerListing listing = m_jobs.workers().at(name).listing;
        listing.draining = true;
        m_jobs.updateWorker(listing);
    }

    // Closes a worker's data centre to new tasks, or opens it again.
    void setWorkerClosed(const std::string &name, bool closed)
    {
        WorkerListing listing = m_jobs.workers().at(name).listing;
        listing.closed = closed;
        m_jobs.updateWorker(listing);
    }

    // Ends a worker for good and lists it no more.
    void removeWorker(const std::string &name)
    {
        m_gateway.cutWorkers.insert(name);
        workers.crash(name);
        m_jobs.removeWorker(name);
    }

    // Sends the queue's tasks to the workers of another pool from now on.
    void changePool(const std::string &pool)
    {
        m_jobs.updatePolicies({{"queue", policyFor(pool)}});
    }

    void cancel(const std::string &id)
    {
        (void)m_jobs.cancel(id);
    }

    void submit(const std::string &id, std::vector<StepSpecification> steps, FakeWorkers::Behaviour behaviour)
    {
        JobSpecification job;
        job.id = id;
        job.queue = "queue";
        job.steps = std::move(steps);
        submit(job, std::move(behaviour));
    }

    void submit(const JobSpecification &job, FakeWorkers::Behaviour behaviour)
    {
        workers.setBehaviour(job.id, std::move(behaviour));
        m_jobs.add(job, policyFor("pool"), clock.wallMilliseconds());
        m_submittedAt[job.id] = clock.now();
    }

    // Adds a job that an earlier leader term has accepted, so that the start orders of its tasks are held back until
    // they are recorded.
    void restore(const std::string &id, const StepSpecification &step, FakeWorkers::Behaviour behaviour)
    {
        JobSpecification job;
        job.id = id;
        job.queue = "queue";
        job.steps = {step};
        workers.setBehaviour(id, std::move(behaviour));
        m_jobs.restore(job, policyFor("pool"), clock.wallMilliseconds(), Json::object());
        m_submittedAt[id] = clock.now();
    }

    void advance(Milliseconds duration)
    {
        constexpr Milliseconds Step {20};
        for (Milliseconds passed {0}; passed < duration; passed += Step) {
            m_scheduler.advance(Step, Step);
            workers.advance();
            m_jobs.onRunEndsRecorded(m_jobs.appliedRunEnds());
            recordStarts(Step);
            m_untilTick -= Step;
            if (m_untilTick.count() <= 0) {
                m_untilTick = JobScheduler::TickPeriod;
                listRestartedWorkers();
                m_jobs.tick();
            }
        }
    }

    [[nodiscard]] const JobScheduler &jobs() const
    {
        return m_jobs;
    }

    // Returns how long the job took, or nothing if it is not done.
    [[nodiscard]] std::optional<Milliseconds> durationOf(const std::string &id) const
    {
        const auto done = m_doneAt.find(id);
        if (done == m_doneAt.end()) {
            return std::nullopt;
        }
        return std::chrono::duration_cast<Milliseconds>(done->second - m_submittedAt.at(id));
    }

    ManualClock clock;
    FakeWorkers workers;
    // How long the store takes to record starts that are held back.
    Milliseconds startRecordingTime {0};

private:
    static QueuePolicy policyFor(const std::string &pool)
    {
        return {"queue", pool, 0, 3, 2.0, Milliseconds(1'000), false};
    }

    void recordStarts(Milliseconds passed)
    {
        m_untilStartsRecorded -= passed;
        if (m_untilStartsRecorded.count() > 0) {
            return;
        }
        m_jobs.onStartsRecorded(startRecordingTime.count() > 0 ? m_startsBeingRecorded : m_jobs.heldStarts());
        m_startsBeingRecorded = m_jobs.heldStarts();
        m_untilStartsRecorded = startRecordingTime;
    }

    // Lists workers that have come back after a crash with their new incarnation. All else stays as listed last.
    void listRestartedWorkers()
    {
        for (const auto &[name, present] : workers.listings()) {
            const auto known = m_jobs.workers().find(name);
            if (known == m_jobs.workers().end() || known->second.listing.incarnation == present.incarnation) {
                continue;
            }
            WorkerListing listing = known->second.listing;
            listing.incarnation = present.incarnation;
            m_jobs.updateWorker(listing);
        }
    }

    void progressChanged(const std::string &job) override
    {
        const JobState *state = m_jobs.find(job);
        if (state != nullptr && state->phase == JobPhase::Done) {
            m_doneAt.emplace(job, clock.now());
        }
    }

    void startHeldBack(const std::string &) override
    {
    }

    void runEndsReported() override
    {
    }

    void tokenRefused(const std::string &) override
    {
    }

    void delegatedTaskCrashed(const std::string &, const std::string &) override
    {
    }

    void delegatedTaskGivenUp(const std::string &) override
    {
    }

    void logDecision(std::string_view, const std::string &, const Json &) override
    {
    }

    ManualScheduler m_scheduler;
    FakeWorkerGateway m_gateway;
    std::map<std::string, Instant> m_submittedAt;
    std::map<std::string, Instant> m_doneAt;
    Milliseconds m_untilTick {0};
    std::set<RunName> m_startsBeingRecorded;
    Milliseconds m_untilStartsRecorded {0};
    JobScheduler m_jobs;
};

}
