#pragma once

#include "base/Clock.h"
#include "base/JsonReader.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace Wagtail
{

// One step of a task, request, lease, ownership or configuration change.
struct TimelineEvent
{
    // Orders events by cause over all daemons (a Lamport clock).
    std::uint64_t logicalTime = 0;
    std::int64_t wallMilliseconds = 0;
    std::string instance;
    std::string kind;
    std::string task;
    std::string request;
    std::string worker;
    std::string detail;
};

// Which events a reader asks for. An empty member matches everything.
struct TimelineFilter
{
    std::string task;
    std::string request;
    std::string worker;
    std::string kind;
    std::int64_t sinceWallMilliseconds = 0;
    std::size_t most = 500;

    [[nodiscard]] bool matches(const TimelineEvent &event) const;
};

// The newest events of this daemon, in rings of bounded size. Events of single requests have a ring of their own,
// so that a busy entry does not push out the events of tasks and ownership. Used on the control thread.
class Timeline
{
public:
    Timeline(const Clock &clock, std::string instance, std::size_t capacity);

    // Has each later event of a task, a worker or the ownership passed on, for instance to the log.
    void onEvent(std::function<void(const TimelineEvent &)> listener);

    // Adds an event; its logical and wall time and its instance are set here.
    void record(TimelineEvent event);

    // Moves the logical clock past the time that another daemon sent along.
    void observe(std::uint64_t logicalTime);

    [[nodiscard]] std::uint64_t logicalTime() const;

    // Returns the newest matching events, oldest first.
    [[nodiscard]] std::vector<TimelineEvent> select(const TimelineFilter &filter) const;

private:
    const Clock &m_clock;
    std::string m_instance;
    std::size_t m_capacity;
    std::function<void(const TimelineEvent &)> m_listener;
    std::uint64_t m_logicalTime = 0;
    std::deque<TimelineEvent> m_events;
    std::deque<TimelineEvent> m_requestEvents;
};

[[nodiscard]] Json describe(const TimelineEvent &event);
[[nodiscard]] TimelineEvent parseTimelineEvent(const Json &document);

// Orders events of several daemons by cause.
void sortByCause(std::vector<TimelineEvent> &events);

}
