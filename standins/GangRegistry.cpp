#include "GangRegistry.h"

namespace Wagtail
{

GangRegistry::GangRegistry(const Clock &clock) : m_clock(clock)
{
}

GangRegistry::Key GangRegistry::keyOf(const Member &member)
{
    return {member.task.substr(0, member.task.rfind('.')), member.run};
}

bool GangRegistry::isDone(const Gang &gang, const Member &member) const
{
    return gang.done || (!gang.broken && gang.completeSince && m_clock.now() - *gang.completeSince >= member.work);
}

void GangRegistry::join(const Member &member)
{
    Gang &gang = m_gangs[keyOf(member)];
    gang.present.insert(member.task);
    if (!gang.completeSince && static_cast<int>(gang.present.size()) == member.size) {
        gang.completeSince = m_clock.now();
    }
}

void GangRegistry::leave(const Member &member)
{
    Gang &gang = m_gangs[keyOf(member)];
    gang.done = isDone(gang, member);
    gang.broken = !gang.done;
    gang.present.erase(member.task);
}

GangRegistry::State GangRegistry::stateOf(const Member &member) const
{
    const auto found = m_gangs.find(keyOf(member));
    if (found == m_gangs.end()) {
        return State::Assembling;
    }
    const Gang &gang = found->second;
    if (isDone(gang, member)) {
        return State::Done;
    }
    if (gang.broken) {
        return State::Broken;
    }
    return gang.completeSince ? State::Working : State::Assembling;
}

}
