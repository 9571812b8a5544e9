#pragma once

#include "base/Scheduler.h"
#include "responsiveness/LoopDelayWindow.h"
#include "responsiveness/ProcessorProbe.h"

#include <array>
#include <memory>

namespace Wagtail
{

// What an instance measures of itself.
struct InstanceLoad
{
    // How late the event loop ran the timers of the last LoopDelayWindow::WindowLength. Zero until that time has
    // passed.
    Milliseconds meanLoopDelay {0};
    Milliseconds longestLoopDelay {0};
    // Median time of the last processor probes.
    std::chrono::microseconds probeTime {0};

    bool operator==(const InstanceLoad &) const = default;
};

// Measures how late the event loop is and how fast the processor runs.
class InstanceLoadMonitor
{
public:
    InstanceLoadMonitor(const Clock &clock, Scheduler &scheduler, ProcessorProbe &probe);
    ~InstanceLoadMonitor();
    InstanceLoadMonitor(const InstanceLoadMonitor &) = delete;
    InstanceLoadMonitor &operator=(const InstanceLoadMonitor &) = delete;

    // Begins to measure. The first probes are run at once.
    void start();

    [[nodiscard]] InstanceLoad load() const;

private:
    static constexpr std::size_t ProbeCount = 5;

    void measureRepeatedly();
    void runProbe();

    const Clock &m_clock;
    Scheduler &m_scheduler;
    ProcessorProbe &m_probe;
    LoopDelayWindow m_delays;
    std::array<std::chrono::nanoseconds, ProbeCount> m_probeTimes {};
    std::size_t m_nextProbe = 0;
    Instant m_probedAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
