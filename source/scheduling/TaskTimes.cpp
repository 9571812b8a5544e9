#include "scheduling/TaskTimes.h"

namespace Wagtail
{

void TaskTimes::begin(TaskActivity activity, Instant now)
{
    if (m_current != TaskActivity::None) {
        m_spent[static_cast<std::size_t>(m_current)] += std::chrono::duration_cast<Milliseconds>(now - m_since);
    }
    m_current = activity;
    m_since = now;
}

Milliseconds TaskTimes::spent(TaskActivity activity) const
{
    return m_spent[static_cast<std::size_t>(activity)];
}

}
