#include "TenureWorld.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

// Counts what the journal announces, and shows all jobs with the same progress.
class CountingOwner final : public JobJournalOwner
{
public:
    std::optional<std::pair<JobPhase, std::string>> progressOf(const std::string &) override
    {
        return std::pair(JobPhase::Running, std::string("{}"));
    }

    void onCoverageBegins() override
    {
    }

    void onCovered() override
    {
        ++covered;
    }

    void onPhaseRecorded(const std::string &job, JobPhase) override
    {
        recorded.insert(job);
    }

    void onDeposed() override
    {
        deposed = true;
    }

    int covered = 0;
    std::set<std::string> recorded;
    bool deposed = false;
};

class JobJournalTest : public testing::Test
{
protected:
    JobJournalTest() : m_scheduler(m_clock), m_state(m_clock), m_store(m_state, m_scheduler)
    {
        StoreTransaction transaction;
        transaction.writes
            = {{JobKeys::owner("fleet"), "owner", {}, 0}, {JobKeys::head("fleet"), R"({"tenure":0})", {}, 0}};
        const Result<StoreTransactionResult> result = m_state.commit(transaction);
        const StoreRevision revision = std::get<StoreTransactionResult>(result).revision;
        m_journal = std::make_unique<JobJournal>(
            m_store, m_scheduler, m_owner, JournalPosition {"fleet", 0, revision, revision});
    }

    [[nodiscard]] StoreRevision revision()
    {
        return m_state.list(JobKeys::head("fleet")).entries.front().revision;
    }

    // Lets time pass and returns how many transactions took effect in it.
    int countTransactions(Milliseconds duration)
    {
        int transactions = 0;
        StoreRevision last = revision();
        for (Milliseconds passed {0}; passed < duration; passed += Milliseconds(1)) {
            m_scheduler.advance(Milliseconds(1), Milliseconds(1));
            transactions += revision() == last ? 0 : 1;
            last = revision();
        }
        return transactions;
    }

    ManualClock m_clock;
    ManualScheduler m_scheduler;
    StandinStore m_state;
    FaultyStore m_store;
    CountingOwner m_owner;
    std::unique_ptr<JobJournal> m_journal;
};

}

// Load: tasks that end all the time. Nobody waits for the record of one, and each transaction is paid for.
TEST_F(JobJournalTest, gathersWhatNobodyWaitsFor)
{
    int transactions = 0;
    constexpr int Ends = 40;
    for (int i = 0; i < Ends; ++i) {
        m_journal->progressChanged("job-" + std::to_string(i % 4), JobJournal::Urgency::Low);
        transactions += countTransactions(Milliseconds(10));
    }
    EXPECT_LE(transactions, 8);
    EXPECT_EQ(m_owner.recorded.size(), 4U);
}

TEST_F(JobJournalTest, doesNotLetACallerWaitForWhatNobodyWaitsFor)
{
    m_journal->progressChanged("job", JobJournal::Urgency::Low);
    static_cast<void>(countTransactions(Milliseconds(5)));
    std::optional<AcceptOutcome> accepted;
    m_journal->accept(
        TenureWorld::job("new", 1, 1), [&accepted](const AcceptResult &result) { accepted = result.outcome; });
    EXPECT_EQ(countTransactions(Milliseconds(25)), 1);
    EXPECT_EQ(accepted, AcceptOutcome::Accepted);
    EXPECT_EQ(m_owner.recorded.size(), 1U);
}

// Load: more changes than one transaction holds.
TEST_F(JobJournalTest, writesOnWithoutAPauseWhenATransactionIsFull)
{
    constexpr int Jobs = 100;
    for (int i = 0; i < Jobs; ++i) {
        m_journal->progressChanged("job-" + std::to_string(i), JobJournal::Urgency::Low);
    }
    static_cast<void>(countTransactions(Milliseconds(150)));
    EXPECT_EQ(m_owner.recorded.size(), static_cast<std::size_t>(Jobs));
    EXPECT_FALSE(m_owner.deposed);
}

// A delegation and the progress that shows it are one transaction, whatever else waits.
TEST_F(JobJournalTest, writesADelegationTogetherWithTheProgress)
{
    constexpr int Jobs = 60;
    for (int i = 0; i < Jobs; ++i) {
        m_journal->progressChanged("job-" + std::to_string(i), JobJournal::Urgency::Low);
    }
    m_journal->delegate("zz", {{"wagtail/partitions/other/jobs/zz", "record", {}, 0}});
    m_journal->progressChanged("zz", JobJournal::Urgency::Low);
    static_cast<void>(countTransactions(Milliseconds(200)));
    const auto revisionOf = [this](const std::string &key) {
        return m_state.list(key).entries.front().revision;
    };
    EXPECT_EQ(revisionOf("wagtail/partitions/other/jobs/zz"), revisionOf(JobKeys::progress("fleet") + "zz"));
}

}
