#pragma once

#include "base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Wagtail
{

// Tracks the members of all gangs on all stand-in workers. The members of one run work only while all of them are
// present, and end as done together.
class GangRegistry
{
public:
    enum class State {
        // Some members have not started yet.
        Assembling,
        Working,
        Done,
        // A member ended before the gang was done.
        Broken,
    };

    // Which gang a task belongs to.
    struct Member
    {
        std::string task;
        std::uint64_t run = 0;
        int size = 0;
        // How long the gang works.
        Milliseconds work {0};
    };

    explicit GangRegistry(const Clock &clock);

    void join(const Member &member);
    // Removes a member. The others are broken off unless the gang was done.
    void leave(const Member &member);
    [[nodiscard]] State stateOf(const Member &member) const;

private:
    struct Gang
    {
        std::set<std::string> present;
        std::optional<Instant> completeSince;
        bool done = false;
        bool broken = false;
    };

    // The task's name without its index, and the number of the run.
    using Key = std::pair<std::string, std::uint64_t>;

    [[nodiscard]] static Key keyOf(const Member &member);
    [[nodiscard]] bool isDone(const Gang &gang, const Member &member) const;

    const Clock &m_clock;
    std::map<Key, Gang> m_gangs;
};

}
