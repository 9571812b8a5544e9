#include "responsiveness/InstanceLoadMonitor.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds MeasurementPeriod {250};
constexpr Milliseconds ProbePeriod {500};

}

InstanceLoadMonitor::InstanceLoadMonitor(const Clock &clock, Scheduler &scheduler, ProcessorProbe &probe)
    : m_clock(clock), m_scheduler(scheduler), m_probe(probe)
{
}

InstanceLoadMonitor::~InstanceLoadMonitor()
{
    *m_alive = false;
}

void InstanceLoadMonitor::start()
{
    for (std::size_t i = 0; i < ProbeCount; ++i) {
        runProbe();
    }
    measureRepeatedly();
}

void InstanceLoadMonitor::measureRepeatedly()
{
    const Instant due = m_clock.now() + MeasurementPeriod;
    m_scheduler.after(MeasurementPeriod, [this, alive = m_alive, due] {
        if (!*alive) {
            return;
        }
        const Instant now = m_clock.now();
        m_delays.add(now, std::chrono::duration_cast<Milliseconds>(now - due));
        if (now - m_probedAt >= ProbePeriod) {
            runProbe();
        }
        measureRepeatedly();
    });
}

void InstanceLoadMonitor::runProbe()
{
    m_probedAt = m_clock.now();
    m_probeTimes.at(m_nextProbe) = m_probe.run();
    m_nextProbe = (m_nextProbe + 1) % ProbeCount;
}

InstanceLoad InstanceLoadMonitor::load() const
{
    std::array<std::chrono::nanoseconds, ProbeCount> sorted = m_probeTimes;
    std::nth_element(sorted.begin(), sorted.begin() + ProbeCount / 2, sorted.end());
    InstanceLoad load;
    load.probeTime = std::chrono::duration_cast<std::chrono::microseconds>(sorted.at(ProbeCount / 2));
    if (m_delays.isComplete(m_clock.now())) {
        load.meanLoopDelay = m_delays.mean();
        load.longestLoopDelay = m_delays.longest();
    }
    return load;
}

}
