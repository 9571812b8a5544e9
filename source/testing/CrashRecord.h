#pragma once

#include "scheduling/TaskName.h"

#include <map>
#include <string>
#include <vector>

namespace Wagtail
{

// Counts the crashes of workers under each task, and the starts of tasks that are known to crash their workers.
class CrashRecord
{
public:
    // Whether a task crashes the workers that start it.
    enum class Kind {
        Innocent,
        CrashesWorkers,
    };

    void recordStart(const TaskName &task, Kind kind)
    {
        if (kind == Kind::Innocent || crashesUnder(task) < CrashesBeforeLimit) {
            return;
        }
        ++m_startsOverLimit[task];
    }

    // Records that a worker has crashed while it ran the task, whatever the cause.
    void recordCrash(const TaskName &task)
    {
        ++m_crashes[task];
    }

    [[nodiscard]] int crashesUnder(const TaskName &task) const
    {
        const auto found = m_crashes.find(task);
        return found == m_crashes.end() ? 0 : found->second;
    }

    // Returns the crashes under each task under which a worker has crashed.
    [[nodiscard]] const std::map<TaskName, int> &crashes() const
    {
        return m_crashes;
    }

    // Returns the tasks that were started too often after they had crashed workers.
    [[nodiscard]] std::vector<std::string> violations() const
    {
        std::vector<std::string> found;
        for (const auto &[task, starts] : m_startsOverLimit) {
            if (starts >= StartsInViolation) {
                found.push_back(task.text() + " was started " + std::to_string(starts) + " times after "
                    + std::to_string(CrashesBeforeLimit) + " workers had crashed under it");
            }
        }
        return found;
    }

private:
    static constexpr int CrashesBeforeLimit = 3;
    static constexpr int StartsInViolation = 3;

    std::map<TaskName, int> m_crashes;
    std::map<TaskName, int> m_startsOverLimit;
};

}
