#include "responsiveness/LoopDelayWindow.h"

#include <algorithm>
#include <numeric>

namespace Wagtail
{

void LoopDelayWindow::add(Instant at, Milliseconds delay)
{
    if (m_firstAt == Instant()) {
        m_firstAt = at;
    }
    m_measurements.push_back({at, delay});
    while (at - m_measurements.front().at > WindowLength) {
        m_measurements.pop_front();
    }
}

bool LoopDelayWindow::isComplete(Instant now) const
{
    return m_firstAt != Instant() && now - m_firstAt >= WindowLength;
}

Milliseconds LoopDelayWindow::mean() const
{
    if (m_measurements.empty()) {
        return Milliseconds(0);
    }
    const auto sum = std::accumulate(m_measurements.begin(), m_measurements.end(), Milliseconds(0),
        [](Milliseconds total, const Measurement &measurement) { return total + measurement.delay; });
    return sum / static_cast<std::int64_t>(m_measurements.size());
}

Milliseconds LoopDelayWindow::longest() const
{
    const auto longest = std::max_element(m_measurements.begin(), m_measurements.end(),
        [](const Measurement &left, const Measurement &right) { return left.delay < right.delay; });
    return longest == m_measurements.end() ? Milliseconds(0) : longest->delay;
}

}
