#include "TestCluster.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

constexpr std::uint64_t RunsPerTerm = 100'000;

// The home partition of a job with one task and two partitions that run it in turn. What each owner knows, what the
// store has of it and the messages on their way are kept apart, and owners change at any moment.
class ReturnHistory
{
public:
    ReturnHistory()
    {
        m_stored = writeJson(describeProgress(*newJob()));
        for (const std::string name : {"p", "q"}) {
            m_others[name].stored = "{}";
        }
        restartHome();
    }

    void delegate(const std::string &to)
    {
        const LeavingTasks leaving {*m_home, 0, 1, m_homeTerm * RunsPerTerm};
        delegateTasks(leaving, {}, to);
        if (homeTask().phase != RunPhase::Delegated || homeTask().delegatedTo != to) {
            return;
        }
        commitHome();
        const std::vector<DelegatedTask> tasks = tasksDelegatedTo(*m_home, to);
        m_others[to].record = tasks;
        m_others[to].inbox.push_back(tasks);
    }

    // Reads any message again, whether it was read before or not. Owners erase messages late.
    void readAtOther(const std::string &name, std::size_t choice)
    {
        Other &other = m_others[name];
        if (other.inbox.empty()) {
            return;
        }
        if (!other.job) {
            other.job = newJob();
            other.job->ownedElsewhere = true;
            markAllDelegated(*other.job);
        }
        acceptDelegated(*other.job, other.inbox[choice % other.inbox.size()], DelegationSource::Message);
    }

    void giveBack(const std::string &name)
    {
        Other &other = m_others[name];
        if (!other.job) {
            return;
        }
        const std::vector<DelegatedTask> tasks = returnTasks({*other.job, 0, 1, other.term * RunsPerTerm}, {});
        if (!tasks.empty()) {
            m_returns.emplace_back(name, tasks);
            other.stored = writeJson(describeProgress(*other.job));
        }
    }

    void readAtHome(std::size_t choice)
    {
        if (!m_returns.empty()) {
            const auto &[name, tasks] = m_returns[choice % m_returns.size()];
            takeBack(*m_home, name, tasks);
        }
    }

    void commitHome()
    {
        m_stored = writeJson(describeProgress(*m_home));
    }

    void commitOther(const std::string &name)
    {
        if (m_others[name].job) {
            m_others[name].stored = writeJson(describeProgress(*m_others[name].job));
        }
    }

    void restartHome()
    {
        ++m_homeTerm;
        m_home = newHome();
        restoreProgress(*m_home, Json::parse(m_stored));
    }

    void restartOther(const std::string &name)
    {
        Other &other = m_others[name];
        ++other.term;
        other.job.reset();
        if (!other.record.empty()) {
            other.job = newJob();
            other.job->ownedElsewhere = true;
            markAllDelegated(*other.job);
            restoreDelegatedProgress(*other.job, Json::parse(other.stored));
            acceptDelegated(*other.job, other.record, DelegationSource::Record);
        }
    }

    // Starts the task wherever an owner may do so, and returns in how many partitions that is. At home a task that was
    // taken back is started only once the store has it.
    [[nodiscard]] int start()
    {
        JobState stored;
        stored.specification = m_home->specification;
        restoreProgress(stored, Json::parse(m_stored));
        const bool isStored = stored.find(Name)->phase != RunPhase::Delegated;
        int owners = 0;
        if (homeTask().phase == RunPhase::Waiting && (isStored || !homeTask().mayHaveBeenRenewed)) {
            ++owners;
            start(homeTask(), m_homeTerm);
        }
        for (auto &[name, other] : m_others) {
            if (other.job && other.job->find(Name)->phase == RunPhase::Waiting) {
                ++owners;
                start(*other.job->find(Name), other.term);
            }
        }
        return owners;
    }

    void settle()
    {
        for (std::size_t i = 0; i < m_returns.size(); ++i) {
            readAtHome(i);
        }
        commitHome();
        for (auto &[name, other] : m_others) {
            for (std::size_t i = 0; i < other.inbox.size(); ++i) {
                readAtOther(name, i);
            }
        }
    }

private:
    inline static const TaskName Name {"job", 0, 0, 0};

    struct Other
    {
        std::unique_ptr<JobState> job;
        std::uint64_t term = 0;
        std::string stored;
        std::vector<DelegatedTask> record;
        std::vector<std::vector<DelegatedTask>> inbox;
    };

    static std::unique_ptr<JobState> newHome()
    {
        auto job = std::make_unique<JobState>();
        job->specification = TestCluster::job("job", 1, 1).specification;
        job->specification.steps[0].longRunning = true;
        return job;
    }

    static std::unique_ptr<JobState> newJob()
    {
        std::unique_ptr<JobState> job = newHome();
        createOccurrence(*job, 0);
        return job;
    }

    TaskState &homeTask()
    {
        if (m_home->occurrences.empty()) {
            createOccurrence(*m_home, 0);
        }
        return *m_home->find(Name);
    }

    // The run ends at once. Its number must be higher than that of any run before it.
    void start(TaskState &task, std::uint64_t term)
    {
        task.run = std::max(task.run + 1, term * RunsPerTerm + 1 + task.lastRunElsewhere);
        RC_ASSERT(task.run > m_lastRun);
        m_lastRun = task.run;
    }

    std::unique_ptr<JobState> m_home;
    std::uint64_t m_homeTerm = 0;
    std::string m_stored;
    std::map<std::string, Other> m_others;
    std::vector<std::pair<std::string, std::vector<DelegatedTask>>> m_returns;
    std::uint64_t m_lastRun = 0;
};

}

// Messages are read late, again and in any order, and what an owner has not stored is lost with it. At no time may two
// partitions start the task, and in the end one may.
RC_GTEST_PROP(TaskReturnModel, atMostOnePartitionHasATask, ())
{
    ReturnHistory history;
    const int length = *rc::gen::inRange(1, 60);
    for (int i = 0; i < length; ++i) {
        const std::string name = *rc::gen::element<std::string>("p", "q");
        const std::size_t choice = *rc::gen::inRange<std::size_t>(0, 100);
        constexpr int Kinds = 8;
        switch (*rc::gen::inRange(0, Kinds)) {
        case 0:
            history.delegate(name);
            break;
        case 1:
            history.readAtOther(name, choice);
            break;
        case 2:
            history.giveBack(name);
            break;
        case 3:
            history.readAtHome(choice);
            break;
        case 4:
            history.commitHome();
            break;
        case 5:
            history.commitOther(name);
            break;
        case 6:
            history.restartHome();
            break;
        default:
            history.restartOther(name);
            break;
        }
        RC_ASSERT(history.start() <= 1);
    }
    history.settle();
    RC_ASSERT(history.start() == 1);
}

}
