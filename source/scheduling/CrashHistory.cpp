#include "scheduling/CrashHistory.h"

#include "base/NameTable.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr NameTable<CrashTiming, 8> TimingNames {{{{CrashTiming::Prompt, "prompt"},
    {CrashTiming::PromptShared, "prompt-shared"}, {CrashTiming::PromptUnread, "prompt-unread"},
    {CrashTiming::Late, "late"}, {CrashTiming::LateShared, "late-shared"}, {CrashTiming::Unknown, "unknown"},
    {CrashTiming::Unconfirmed, "unconfirmed"}, {CrashTiming::Ambiguous, "ambiguous"}}}};

// The largest number of crashes and of open runs that are read from a record.
constexpr std::size_t MaximumEntries = 64;

// Returns the run number of an entry, or 0 if it has none.
std::uint64_t runOf(const Json &item)
{
    return static_cast<std::uint64_t>(std::max(std::int64_t {0}, memberOr(item, "run", std::int64_t {0})));
}

bool isLate(CrashTiming timing)
{
    return timing == CrashTiming::Late || timing == CrashTiming::LateShared;
}

}

std::string_view nameOf(CrashTiming timing)
{
    return TimingNames.nameOf(timing);
}

bool CrashHistory::addCrash(std::uint64_t run, CrashedRun crash)
{
    m_openRuns.erase(run);
    return m_crashes.emplace(run, std::move(crash)).second;
}

void CrashHistory::open(std::uint64_t run, OpenRun openRun)
{
    if (!m_crashes.contains(run)) {
        m_openRuns[run] = std::move(openRun);
    }
}

bool CrashHistory::close(std::uint64_t run)
{
    return m_openRuns.erase(run) > 0;
}

void CrashHistory::markLost(std::uint64_t run, CrashTiming timing)
{
    const auto found = m_openRuns.find(run);
    if (found != m_openRuns.end()) {
        found->second.timingIfCrashed = timing;
    }
}

bool CrashHistory::explain(const CrashedRun &cause)
{
    bool isExplained = false;
    for (auto &[run, crash] : m_crashes) {
        const bool isSame
            = cause.incarnation != 0 && crash.worker == cause.worker && crash.incarnation == cause.incarnation;
        if (isSame && crash.timing != CrashTiming::LateShared) {
            crash.timing = CrashTiming::LateShared;
            isExplained = true;
        }
    }
    return isExplained;
}

void CrashHistory::clear()
{
    m_crashes.clear();
    m_openRuns.clear();
}

const std::map<std::uint64_t, CrashedRun> &CrashHistory::crashes() const
{
    return m_crashes;
}

const std::map<std::uint64_t, OpenRun> &CrashHistory::openRuns() const
{
    return m_openRuns;
}

bool CrashHistory::isSuspect() const
{
    return !m_crashes.empty() || mayBeCause();
}

bool CrashHistory::mayBeCause() const
{
    const bool hasCrashed = std::any_of(
        m_crashes.begin(), m_crashes.end(), [](const auto &entry) { return !isLate(entry.second.timing); });
    return hasCrashed || std::any_of(m_openRuns.begin(), m_openRuns.end(), [](const auto &entry) {
        return !isLate(entry.second.timingIfCrashed.value_or(CrashTiming::Late));
    });
}

bool CrashHistory::isEmpty() const
{
    return m_crashes.empty() && m_openRuns.empty();
}

void CrashHistory::describe(Json &entry) const
{
    if (!m_crashes.empty()) {
        Json &crashes = entry["crashed_runs"] = Json::array();
        for (const auto &[run, crash] : m_crashes) {
            crashes.push_back({{"run", run}, {"worker", crash.worker}, {"timing", nameOf(crash.timing)},
                {"incarnation", crash.incarnation}});
        }
    }
    if (!m_openRuns.empty()) {
        Json &openRuns = entry["open_runs"] = Json::array();
        for (const auto &[run, openRun] : m_openRuns) {
            openRuns.push_back({{"run", run}, {"worker", openRun.worker}, {"address", openRun.address},
                {"incarnation", openRun.incarnation}});
        }
    }
}

CrashHistory CrashHistory::parse(const Json &entry)
{
    CrashHistory history;
    for (const Json &item : memberOr(entry, "crashed_runs", Json::array())) {
        const std::uint64_t run = runOf(item);
        const auto timing = TimingNames.find(memberOr(item, "timing", std::string()));
        if (run > 0 && history.m_crashes.size() < MaximumEntries) {
            history.addCrash(run,
                {memberOr(item, "worker", std::string()), timing.value_or(CrashTiming::Unknown),
                    memberOr(item, "incarnation", std::int64_t {0})});
        }
    }
    for (const Json &item : memberOr(entry, "open_runs", Json::array())) {
        const std::uint64_t run = runOf(item);
        OpenRun openRun {memberOr(item, "worker", std::string()), memberOr(item, "address", std::string()),
            memberOr(item, "incarnation", std::int64_t {0}), {}};
        const bool isComplete = run > 0 && !openRun.worker.empty() && !openRun.address.empty();
        if (isComplete && history.m_openRuns.size() < MaximumEntries) {
            history.open(run, std::move(openRun));
        }
    }
    return history;
}

}
