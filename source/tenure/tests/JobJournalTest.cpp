#include "TestCluster.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

// Counts the journal's notifications and returns the same progress for all jobs.
class CountingClient final : public JobJournalClient
{
public:
    std::optional<std::pair<JobPhase, std::string>> progressOf(const std::string &) override
    {
        return std::pair(JobPhase::Running, std::string("{}"));
    }

    void onSyncStarting() override
    {
    }

    void onSynced() override
    {
        ++syncs;
    }

    void onPhaseRecorded(const std::string &job, JobPhase) override
    {
        recorded.insert(job);
    }

    void onPutRecorded(const std::string &, const std::string &) override
    {
    }

    void onOwnershipLost() override
    {
        ownershipLost = true;
    }

    int syncs = 0;
    std::set<std::string> recorded;
    bool ownershipLost = false;
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
            m_store, m_scheduler, m_client, JournalPosition {"fleet", 0, revision, revision});
    }

    [[nodiscard]] StoreRevision revision()
    {
        return m_state.list(JobKeys::head("fleet")).entries.front().revision;
    }

    // Advances the time and returns how many transactions took effect.
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
    CountingClient m_client;
    std::unique_ptr<JobJournal> m_journal;
};

}

// Tasks end continuously. No caller waits for the record of an end, and each transaction has a cost.
TEST_F(JobJournalTest, batchesChangesOfLowUrgency)
{
    int transactions = 0;
    constexpr int Ends = 40;
    for (int i = 0; i < Ends; ++i) {
        m_journal->progressChanged("job-" + std::to_string(i % 4), JobJournal::Urgency::Low);
        transactions += countTransactions(Milliseconds(10));
    }
    EXPECT_LE(transactions, 8);
    EXPECT_EQ(m_client.recorded.size(), 4U);
}

TEST_F(JobJournalTest, writesUrgentChangesBeforeTheDelayOfLowUrgencyEnds)
{
    m_journal->progressChanged("job", JobJournal::Urgency::Low);
    static_cast<void>(countTransactions(Milliseconds(5)));
    std::optional<AcceptOutcome> accepted;
    m_journal->accept(
        TestCluster::job("new", 1, 1), [&accepted](const AcceptResult &result) { accepted = result.outcome; });
    EXPECT_EQ(countTransactions(Milliseconds(25)), 1);
    EXPECT_EQ(accepted, AcceptOutcome::Accepted);
    EXPECT_EQ(m_client.recorded.size(), 1U);
}

// There are more changes than fit into one transaction.
TEST_F(JobJournalTest, writesRemainingChangesSoonAfterAFullTransaction)
{
    constexpr int Jobs = 100;
    for (int i = 0; i < Jobs; ++i) {
        m_journal->progressChanged("job-" + std::to_string(i), JobJournal::Urgency::Low);
    }
    static_cast<void>(countTransactions(Milliseconds(150)));
    EXPECT_EQ(m_client.recorded.size(), static_cast<std::size_t>(Jobs));
    EXPECT_FALSE(m_client.ownershipLost);
}

// A delegation and the progress that shows it belong to one transaction, even if other changes are pending.
TEST_F(JobJournalTest, writesADelegationAndTheProgressInOneTransaction)
{
    constexpr int Jobs = 60;
    for (int i = 0; i < Jobs; ++i) {
        m_journal->progressChanged("job-" + std::to_string(i), JobJournal::Urgency::Low);
    }
    m_journal->delegate("zz", "other", {{"wagtail/partitions/other/jobs/zz", "record", {}, 0}});
    m_journal->progressChanged("zz", JobJournal::Urgency::Low);
    static_cast<void>(countTransactions(Milliseconds(200)));
    const auto revisionOf = [this](const std::string &key) {
        return m_state.list(key).entries.front().revision;
    };
    EXPECT_EQ(revisionOf("wagtail/partitions/other/jobs/zz"), revisionOf(JobKeys::progress("fleet") + "zz"));
}

// The other partition erased a cancellation that came before the delegation, and ran the tasks for good.
TEST_F(JobJournalTest, writesNoDelegationAfterItsCancellation)
{
    // The delegations of both jobs do not fit into the transaction that carries the cancellation.
    for (const std::string job : {"first", "second"}) {
        for (int i = 0; i < 10; ++i) {
            const std::string partition = job == "second" && i == 0 ? "other" : "partition-" + std::to_string(i);
            m_journal->delegate(job, partition,
                {{JobKeys::jobs(partition) + job, "record", {}, 0},
                    {JobKeys::inboxDelegation(partition, job, "0.0"), "entry", {}, 0}});
        }
    }
    m_journal->put(JobKeys::inboxCancellation("other", "second"), "cancellation");
    static_cast<void>(countTransactions(Milliseconds(200)));
    EXPECT_TRUE(m_state.read(JobKeys::inboxCancellation("other", "second")));
    EXPECT_FALSE(m_state.read(JobKeys::inboxDelegation("other", "second", "0.0")));
    EXPECT_FALSE(m_state.read(JobKeys::jobs("other") + "second"));
    EXPECT_TRUE(m_state.read(JobKeys::inboxDelegation("partition-9", "second", "0.0")));
}

// A hand-over needs the record of the lease holders, even if the changed jobs alone fill a transaction.
TEST_F(JobJournalTest, endsAFlushOnlyWhenAllValuesAreStored)
{
    constexpr int Jobs = 29;
    for (int i = 0; i < Jobs; ++i) {
        m_journal->progressChanged("job-" + std::to_string(i), JobJournal::Urgency::Low);
    }
    m_journal->put(JobKeys::leaseHolders("fleet"), "{}");
    std::optional<bool> storedAtEnd;
    m_journal->flush([this, &storedAtEnd] { storedAtEnd = m_state.read(JobKeys::leaseHolders("fleet")).has_value(); });
    static_cast<void>(countTransactions(Milliseconds(200)));
    EXPECT_EQ(storedAtEnd, true);
}

// A message was erased before the store had what it had led to, and was lost when the owner ended between the two.
TEST_F(JobJournalTest, erasesAMessageNoSoonerThanTheProgressIsWritten)
{
    const std::string message = "wagtail/inbox/fleet/1-return-job-29/other/0.0";
    StoreTransaction transaction;
    transaction.writes = {{message, "message", {}, 0}};
    ASSERT_EQ(errorOf(m_state.commit(transaction)), nullptr);
    // The first transaction has no room left for the job, because its delegations come last.
    for (int i = 0; i < 14; ++i) {
        m_journal->put("value-" + std::to_string(i), "value");
    }
    for (int i = 0; i < 10; ++i) {
        const std::string partition = "partition-" + std::to_string(i);
        m_journal->delegate("job-29", partition,
            {{JobKeys::jobs(partition) + "job-29", "record", {}, 0}, {"entry-" + std::to_string(i), "entry", {}, 0}});
    }
    m_journal->eraseAfterProgress(message, "job-29");
    for (int i = 0; i < 200; ++i) {
        m_scheduler.advance(Milliseconds(1), Milliseconds(1));
        EXPECT_TRUE(m_state.read(message) || m_state.read(JobKeys::progress("fleet") + "job-29"));
    }
    EXPECT_FALSE(m_state.read(message));
    EXPECT_TRUE(m_state.read(JobKeys::progress("fleet") + "job-29"));
}

// Held starts and ends of runs wait for a sync. Beside a slow store and a burst, more changes came than were written,
// so that no transaction contained all of them.
TEST_F(JobJournalTest, syncsBesideABacklogThatDoesNotEnd)
{
    m_store.delay = Milliseconds(100);
    constexpr int Jobs = 120;
    constexpr int ChangesAtOnce = 30;
    const auto changeJobs = [this](Milliseconds duration) {
        int next = 0;
        for (Milliseconds passed {0}; passed < duration; passed += Milliseconds(50)) {
            for (int i = 0; i < ChangesAtOnce; ++i) {
                m_journal->progressChanged("job-" + std::to_string(next++ % Jobs), JobJournal::Urgency::Low);
            }
            m_scheduler.advance(Milliseconds(50), Milliseconds(1));
        }
    };
    changeJobs(Milliseconds(2'000));
    const int syncs = m_client.syncs;
    m_journal->progressChanged("zz", JobJournal::Urgency::High);
    changeJobs(Milliseconds(4'000));
    EXPECT_TRUE(m_client.recorded.contains("zz")) << "others were written again and again";
    EXPECT_GE(m_client.syncs, syncs + 2);
}

}
