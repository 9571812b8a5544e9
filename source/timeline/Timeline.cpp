#include "timeline/Timeline.h"

#include <algorithm>
#include <tuple>

namespace Wagtail
{

bool TimelineFilter::matches(const TimelineEvent &event) const
{
    const auto same = [](const std::string &wanted, const std::string &present) {
        return wanted.empty() || wanted == present;
    };
    return same(task, event.task) && same(request, event.request) && same(worker, event.worker)
        && (kind.empty() || event.kind.starts_with(kind)) && event.wallMilliseconds >= sinceWallMilliseconds;
}

Timeline::Timeline(const Clock &clock, std::string instance, std::size_t capacity)
    : m_clock(clock), m_instance(std::move(instance)), m_capacity(capacity)
{
}

void Timeline::onEvent(std::function<void(const TimelineEvent &)> listener)
{
    m_listener = std::move(listener);
}

void Timeline::record(TimelineEvent event)
{
    event.logicalTime = ++m_logicalTime;
    event.wallMilliseconds = m_clock.wallMilliseconds();
    event.instance = m_instance;
    if (m_listener && event.request.empty()) {
        m_listener(event);
    }
    std::deque<TimelineEvent> &ring = event.request.empty() ? m_events : m_requestEvents;
    ring.push_back(std::move(event));
    if (ring.size() > m_capacity) {
        ring.pop_front();
    }
}

void Timeline::observe(std::uint64_t logicalTime)
{
    m_logicalTime = std::max(m_logicalTime, logicalTime);
}

std::uint64_t Timeline::logicalTime() const
{
    return m_logicalTime;
}

std::vector<TimelineEvent> Timeline::select(const TimelineFilter &filter) const
{
    std::vector<TimelineEvent> selected;
    for (const auto *ring : {&m_events, &m_requestEvents}) {
        std::ranges::copy_if(*ring, std::back_inserter(selected),
            [&filter](const TimelineEvent &event) { return filter.matches(event); });
    }
    sortByCause(selected);
    if (selected.size() > filter.most) {
        selected.erase(selected.begin(), selected.end() - static_cast<std::ptrdiff_t>(filter.most));
    }
    return selected;
}

Json describe(const TimelineEvent &event)
{
    Json document {{"logical", event.logicalTime}, {"time_ms", event.wallMilliseconds}, {"instance", event.instance},
        {"event", event.kind}};
    const auto add = [&document](const char *name, const std::string &value) {
        if (!value.empty()) {
            document[name] = value;
        }
    };
    add("task", event.task);
    add("request", event.request);
    add("worker", event.worker);
    add("detail", event.detail);
    return document;
}

TimelineEvent parseTimelineEvent(const Json &document)
{
    return {memberOr(document, "logical", std::uint64_t {0}), memberOr(document, "time_ms", std::int64_t {0}),
        memberOr(document, "instance", std::string()), memberOr(document, "event", std::string()),
        memberOr(document, "task", std::string()), memberOr(document, "request", std::string()),
        memberOr(document, "worker", std::string()), memberOr(document, "detail", std::string())};
}

void sortByCause(std::vector<TimelineEvent> &events)
{
    std::stable_sort(events.begin(), events.end(), [](const TimelineEvent &left, const TimelineEvent &right) {
        return std::tie(left.logicalTime, left.instance) < std::tie(right.logicalTime, right.instance);
    });
}

}
