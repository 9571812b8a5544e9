#include "FaultHistory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

namespace
{

// A history in which owners turn slow and hand their partition over.
class SlowOwnerHistory final : public FaultHistory
{
public:
    // Makes the owner slow and late, and all others fast.
    void slowDownOwner()
    {
        constexpr std::int64_t UsualProbe = 50;
        constexpr std::int64_t SlowProbe = 250;
        const TestInstance *owner = m_cluster.owner();
        for (const auto &[number, instance] : m_cluster.instances) {
            if (!instance) {
                continue;
            }
            const bool isOwner = instance.get() == owner;
            InstanceEntry entry = instance->self;
            entry.probeMicroseconds = isOwner ? SlowProbe : UsualProbe;
            instance->lease.updateDescription(serialize(entry));
            instance->ownership.setLoad(isOwner ? Late : InstanceLoad());
        }
        m_slow = owner;
    }

    // Notes whether the slow instance has given the partition to another one while it goes on.
    void observe()
    {
        const TestInstance *owner = m_cluster.owner();
        const bool isAlive = std::any_of(m_cluster.instances.begin(), m_cluster.instances.end(),
            [this](const auto &entry) { return entry.second && entry.second.get() == m_slow; });
        m_hasHandedOver = m_hasHandedOver || (isAlive && owner != nullptr && owner != m_slow);
    }

    [[nodiscard]] bool hasHandedOver() const
    {
        return m_hasHandedOver;
    }

    void settle() override
    {
        for (const auto &[number, instance] : m_cluster.instances) {
            if (instance) {
                instance->ownership.setLoad({});
            }
        }
        FaultHistory::settle();
    }

private:
    inline static const InstanceLoad Late {Milliseconds(350), Milliseconds(600), std::chrono::microseconds(250)};

    const TestInstance *m_slow = nullptr;
    bool m_hasHandedOver = false;
};

}

// A hand-over by a slow owner, beside any other faults, must neither run a task twice nor lose an accepted job or a
// cancellation.
RC_GTEST_PROP(SlowOwnerModel, keepsItsGuaranteesWhileSlowOwnersHandOver, ())
{
    SlowOwnerHistory history;
    history.wait(Milliseconds(1'500));
    const int length = *rc::gen::inRange(5, 40);
    constexpr int Kinds = static_cast<int>(FaultEvent::Count);
    constexpr int SlowDowns = 4;
    constexpr int MoreSubmissions = 6;
    for (int i = 0; i < length; ++i) {
        const int kind = *rc::gen::inRange(0, Kinds + SlowDowns + MoreSubmissions);
        const int choice = *rc::gen::inRange(0, 1'000);
        if (kind >= Kinds && kind < Kinds + SlowDowns) {
            history.slowDownOwner();
        } else {
            history.apply(kind < Kinds ? static_cast<FaultEvent>(kind) : FaultEvent::Submit, choice);
        }
        history.wait(Milliseconds(*rc::gen::inRange(1, 20) * 50));
        history.observe();
    }
    RC_CLASSIFY(history.hasHandedOver(), "handed over");
    history.settle();
    history.check();
}

}
