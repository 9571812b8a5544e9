#include "responsiveness/InstanceLoadMonitor.h"
#include "testing/ManualScheduler.h"

#include <gtest/gtest.h>

namespace Wagtail
{

namespace
{

class FakeProcessorProbe final : public ProcessorProbe
{
public:
    std::chrono::nanoseconds time {50'000};

    [[nodiscard]] std::chrono::nanoseconds run() override
    {
        return time;
    }
};

class InstanceLoadMonitorTest : public testing::Test
{
protected:
    ManualClock m_clock;
    ManualScheduler m_scheduler {m_clock};
    FakeProcessorProbe m_probe;
    InstanceLoadMonitor m_monitor {m_clock, m_scheduler, m_probe};
};

}

TEST_F(InstanceLoadMonitorTest, reportsNoDelayWhileTimersFireInTime)
{
    m_monitor.start();
    m_scheduler.advance(Milliseconds(5'000));
    EXPECT_EQ(m_monitor.load().meanLoopDelay, Milliseconds(0));
}

// An owner whose loop runs every 400 ms handles what is due in between that much later.
TEST_F(InstanceLoadMonitorTest, reportsTheDelayOfALoopThatRunsSeldom)
{
    m_monitor.start();
    m_scheduler.advance(Milliseconds(8'000), Milliseconds(400));
    EXPECT_GE(m_monitor.load().meanLoopDelay, Milliseconds(140));
    EXPECT_LE(m_monitor.load().longestLoopDelay, Milliseconds(400));
}

// One probe that was interrupted must not make an instance look slow.
TEST_F(InstanceLoadMonitorTest, takesTheMedianOfTheProbes)
{
    m_monitor.start();
    EXPECT_EQ(m_monitor.load().probeTime, std::chrono::microseconds(50));
    m_probe.time = std::chrono::microseconds(900);
    m_scheduler.advance(Milliseconds(600));
    m_probe.time = std::chrono::microseconds(50);
    m_scheduler.advance(Milliseconds(3'000));
    EXPECT_EQ(m_monitor.load().probeTime, std::chrono::microseconds(50));
}

TEST_F(InstanceLoadMonitorTest, noticesAProcessorThatTurnsSlow)
{
    m_monitor.start();
    m_scheduler.advance(Milliseconds(2'000));
    m_probe.time = std::chrono::microseconds(250);
    m_scheduler.advance(Milliseconds(2'500));
    EXPECT_EQ(m_monitor.load().probeTime, std::chrono::microseconds(250));
}

}
