#include "scheduling/SchedulingAuthority.h"

#include "base/NameTable.h"

namespace Wagtail
{

namespace
{

constexpr NameTable<SchedulingAuthority, 3> AuthorityNames {{{{SchedulingAuthority::Full, "full"},
    {SchedulingAuthority::KeepRunning, "keep-running"}, {SchedulingAuthority::Observe, "observe"}}}};

}

std::string_view nameOf(SchedulingAuthority authority)
{
    return AuthorityNames.nameOf(authority);
}

}
