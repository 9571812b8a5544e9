#pragma once

#include <string_view>

namespace Wagtail
{

// Which orders the owner of a partition may send to its workers.
enum class SchedulingAuthority {
    // Starts tasks and renews their leases.
    Full,
    // Renews the leases of running tasks until a successor takes over, but starts none.
    KeepRunning,
    // Renews no leases. Another instance may own the partition by now and relies on the leases to expire.
    Observe,
};

[[nodiscard]] std::string_view nameOf(SchedulingAuthority authority);

}
