#include "HandOverFixture.h"

namespace Wagtail
{

namespace
{

constexpr std::int64_t UsualProbe = 50;
constexpr std::int64_t SlowProbe = 250;

// A cluster whose instances have announced their speed.
class SlowOwner : public HandOver
{
protected:
    void SetUp() override
    {
        for (const auto &[number, instance] : m_cluster.instances) {
            announce(*instance, UsualProbe);
        }
        m_cluster.advance(Second);
    }

    static void announce(TestInstance &instance, std::int64_t probeMicroseconds)
    {
        InstanceEntry entry = instance.self;
        entry.probeMicroseconds = probeMicroseconds;
        instance.lease.updateDescription(serialize(entry));
    }

    // Makes an instance slow, and so late that answers wait in its event loop.
    static void slowDown(TestInstance &instance)
    {
        announce(instance, SlowProbe);
        instance.ownership.setLoad({Milliseconds(350), Milliseconds(600), std::chrono::microseconds(SlowProbe)});
    }
};

}

// An owner that could renew its lease kept the whole fleet however far behind it was.
TEST_F(SlowOwner, handsItsPartitionOverToAFasterInstance)
{
    m_cluster.startLongRunning("job");
    TestInstance *former = m_cluster.owner();
    m_cluster.advance(Second * 5);
    slowDown(*former);
    m_cluster.advance(Second * 3);
    ASSERT_NE(m_cluster.owner(), nullptr);
    EXPECT_NE(m_cluster.owner(), former);
    m_cluster.advance(Second * 10);
    EXPECT_EQ(m_cluster.workers.startCount(FirstTask), 1U) << "the task was renewed by both owners";
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// An instance that is slow and idle must not be chosen as successor.
TEST_F(SlowOwner, passesOverOtherSlowInstances)
{
    m_cluster.advance(Second * 5);
    TestInstance *former = m_cluster.owner();
    TestInstance *fast = nullptr;
    for (const auto &[number, instance] : m_cluster.instances) {
        if (instance.get() == former) {
            continue;
        }
        if (fast == nullptr) {
            fast = instance.get();
        } else {
            announce(*instance, SlowProbe);
        }
    }
    m_cluster.advance(Second);
    slowDown(*former);
    m_cluster.advance(Second * 3);
    EXPECT_EQ(m_cluster.owner(), fast);
}

// Where all instances are equally slow, a hand-over would only cost time.
TEST_F(SlowOwner, keepsItsPartitionIfAllInstancesAreSlow)
{
    m_cluster.advance(Second * 5);
    TestInstance *former = m_cluster.owner();
    for (const auto &[number, instance] : m_cluster.instances) {
        slowDown(*instance);
    }
    m_cluster.advance(Second * 20);
    EXPECT_EQ(m_cluster.owner(), former);
    EXPECT_EQ(former->ownership.leader("fleet")->position().term, 0U);
}

// The store executes the release and its answer is lost, so the owner can't know whether a successor may have begun.
TEST_F(SlowOwner, repeatsAReleaseWithoutAnswer)
{
    m_cluster.startLongRunning("job");
    TestInstance *former = m_cluster.owner();
    m_cluster.advance(Second * 5);
    // The last changes, and then the release.
    former->store.loseAnswers = 3;
    slowDown(*former);
    m_cluster.advance(Second * 3);
    m_cluster.advance(Second * 6);
    ASSERT_NE(m_cluster.owner(), nullptr);
    EXPECT_NE(m_cluster.owner(), former);
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

// The store goes away before the owner has released its partition. Nobody can take it over then, so it has to go on.
TEST_F(SlowOwner, goesOnIfTheStoreGoesAway)
{
    m_cluster.advance(Second * 5);
    TestInstance *former = m_cluster.owner();
    former->store.down = true;
    slowDown(*former);
    m_cluster.advance(Milliseconds(1'600));
    EXPECT_EQ(m_cluster.owner(), former);
}

// An owner that is very late reads the answers to its renewals late as well, and looked as if it did not reach the
// store.
TEST_F(SlowOwner, handsOverHoweverOldItsLastRenewalIs)
{
    m_cluster.advance(Second * 5);
    TestInstance *former = m_cluster.owner();
    announce(*former, SlowProbe);
    m_cluster.advance(Milliseconds(100));
    former->store.down = true;
    m_cluster.advance(Milliseconds(1'700));
    former->store.down = false;
    former->ownership.setLoad({Milliseconds(1'600), Milliseconds(2'000), std::chrono::microseconds(SlowProbe)});
    m_cluster.advance(Milliseconds(200));
    EXPECT_EQ(former->ownership.leader("fleet"), nullptr);
    m_cluster.advance(Second * 4);
    EXPECT_NE(m_cluster.owner(), former);
}

// Tasks of jobs that wait must start under the successor as soon as under the owner.
TEST_F(SlowOwner, losesNoAcceptedJob)
{
    m_cluster.advance(Second * 5);
    TestInstance *former = m_cluster.owner();
    constexpr int Jobs = 12;
    std::vector<std::string> ids;
    ids.reserve(Jobs);
    for (int i = 0; i < Jobs; ++i) {
        ids.push_back("job-" + std::to_string(i));
    }
    for (const std::string &id : ids) {
        m_cluster.workers.setBehaviour(id, {Milliseconds(800), 0, false});
        m_cluster.owner()->router.submit(
            TestCluster::job(id, 2, 2), m_cluster.clock.now() + Second * 3, [](RouteOutcome) {});
    }
    m_cluster.advance(Milliseconds(300));
    slowDown(*former);
    m_cluster.advance(Second * 20);
    EXPECT_NE(m_cluster.owner(), former);
    const std::map<std::string, JobPhase> phases = m_cluster.phasesOf(ids);
    EXPECT_EQ(phases.size(), ids.size());
    for (const auto &[id, phase] : phases) {
        EXPECT_EQ(phase, JobPhase::Done) << id;
    }
    EXPECT_EQ(m_cluster.workers.violations(), std::vector<std::string>());
}

}
