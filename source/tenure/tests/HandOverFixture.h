#pragma once

#include "TestCluster.h"
#include "scheduling/LeaseHolderRecord.h"

#include <gtest/gtest.h>

namespace Wagtail
{

// A cluster in which workers leave or are lost and owners hand over or are killed.
class HandOver : public testing::Test
{
protected:
    static constexpr Milliseconds Second {1'000};
    // The only task, or the first one, of the job that the tests watch.
    inline static const TaskName FirstTask {"job", 0, 0, 0};

    HandOver()
    {
        m_cluster.advance(Second * 2);
    }

    // Starts a job with one long-running task on each worker, so that each holds leases.
    void occupyAllWorkers()
    {
        m_cluster.workers.setBehaviour("wide", {Milliseconds(100), 0, true});
        JobRecord wide = TestCluster::job("wide", 1, TestCluster::WorkerCount);
        wide.specification.steps[0].perWorkerLimit = 1;
        wide.specification.steps[0].longRunning = true;
        m_cluster.owner()->router.submit(wide, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        m_cluster.advance(Second);
    }

    // Cuts the worker off from all instances, present and future, and no longer lists it.
    void lose(const std::string &worker)
    {
        m_missing.insert(worker);
        applyWorkers();
    }

    // Cuts a worker off that the platform still lists.
    void cutOff(const std::string &worker)
    {
        m_cut.insert(worker);
        applyWorkers();
    }

    // Hands in a job with tasks that fill a worker each.
    void submitFullSize(const std::string &id, int width)
    {
        m_cluster.workers.setBehaviour(id, {Second * 60, 0, false});
        JobRecord record = TestCluster::job(id, 1, width);
        record.specification.steps[0].demand = {4'000, 500, 0};
        m_cluster.owner()->router.submit(record, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
        m_cluster.advance(Milliseconds(500));
    }

    // Hands in a job with one task for each worker.
    void submitToEachWorker(const std::string &id, Milliseconds duration)
    {
        m_cluster.workers.setBehaviour(id, {duration, 0, false});
        JobRecord record = TestCluster::job(id, 1, TestCluster::WorkerCount);
        record.specification.steps[0].perWorkerLimit = 1;
        m_cluster.owner()->router.submit(record, m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    }

    // Lists another worker to all instances.
    void addWorker(const std::string &name)
    {
        m_cluster.workers.add({name, name + ":1", "pool", "depot", "rack", {}, {4'000, 8'000, 0}, 1, false});
        applyWorkers();
    }

    void drain(const std::string &worker)
    {
        m_draining.insert(worker);
        applyWorkers();
    }

    // Hands the partition over as in a planned stop and starts the instance again.
    void restartOwner()
    {
        TestInstance *owner = m_cluster.owner();
        ASSERT_NE(owner, nullptr);
        const int number = owner->self.name.back() - '0';
        owner->ownership.release([] {});
        m_cluster.advance(Milliseconds(200));
        m_cluster.kill(number);
        m_cluster.start(number);
        applyWorkers();
        m_cluster.advance(Milliseconds(800));
    }

    // Ends the owner without notice and starts it again. It takes the partition over from its former process at once.
    void killOwner()
    {
        TestInstance *owner = m_cluster.owner();
        ASSERT_NE(owner, nullptr);
        const int number = owner->self.name.back() - '0';
        m_cluster.kill(number);
        m_cluster.start(number);
        applyWorkers();
        m_cluster.advance(Milliseconds(800));
    }

    // Ends the owner without notice and starts it again. The new process knows no workers before it owns the partition.
    // It takes the given time until it has read the worker's reports, and reports may wait for the other one.
    void killOwnerAndDelayListings(const std::string &worker, Milliseconds delay, Milliseconds longestWait)
    {
        TestInstance *owner = m_cluster.owner();
        ASSERT_NE(owner, nullptr);
        const int number = owner->self.name.back() - '0';
        m_cluster.kill(number);
        m_cluster.start(number);
        TestInstance &successor = *m_cluster.instances.at(number);
        successor.ownership.updateWorkers({});
        successor.gateway.cutWorkers = m_missing;
        successor.gateway.reportDelays[worker] = delay;
        successor.gateway.longestWait = longestWait;
        m_cluster.advance(Milliseconds(600));
        applyWorkers();
    }

    [[nodiscard]] const JobScheduler &jobs()
    {
        return m_cluster.owner()->ownership.leader("fleet")->jobScheduler();
    }

    [[nodiscard]] std::set<std::string> leaseHolders()
    {
        std::set<std::string> names;
        for (const WorkerListing &holder : jobs().leaseHolders()) {
            names.insert(holder.name);
        }
        return names;
    }

    // Returns the names of the lease holders that the store has.
    [[nodiscard]] std::set<std::string> recordedLeaseHolders()
    {
        std::set<std::string> names;
        const auto entry = m_cluster.state.read(JobKeys::leaseHolders("fleet"));
        for (const WorkerListing &holder : parseLeaseHolderRecord(entry ? entry->value : std::string()).workers) {
            names.insert(holder.name);
        }
        return names;
    }

    // Lists the workers to all instances and cuts the lost ones off.
    void applyWorkers()
    {
        std::map<std::string, WorkerListing> listings = m_cluster.workers.listings();
        for (const std::string &name : m_missing) {
            listings.erase(name);
        }
        for (const std::string &name : m_draining) {
            if (listings.contains(name)) {
                listings.at(name).draining = true;
            }
        }
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance) {
                instance->gateway.cutWorkers = m_missing;
                instance->gateway.cutWorkers.insert(m_cut.begin(), m_cut.end());
                instance->ownership.updateWorkers(listings);
            }
        }
    }

    TestCluster m_cluster;
    std::set<std::string> m_missing;
    std::set<std::string> m_cut;
    std::set<std::string> m_draining;
};

}
