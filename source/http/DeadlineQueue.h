#pragma once

#include "base/Clock.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Wagtail
{

// Deadlines of many operations, with a single timer. Most operations end before their deadline.
class DeadlineQueue
{
public:
    // Identifies an operation.
    using Key = void *;
    // Called with the operations whose deadlines have passed. They are not in the queue any more.
    using DueHandler = std::function<void(const std::vector<Key> &)>;

    DeadlineQueue(asio::io_context &context, DueHandler onDue);
    ~DeadlineQueue();
    DeadlineQueue(const DeadlineQueue &) = delete;
    DeadlineQueue &operator=(const DeadlineQueue &) = delete;

    void add(Key key, Instant deadline);

    // Removes a deadline, which must be the one that was added. There need be none any more.
    void remove(Key key, Instant deadline);

private:
    // Moving a timer costs a system call: it is left to fire early when the first deadline is removed.
    void arm();
    void onTimer();

    asio::steady_timer m_timer;
    DueHandler m_onDue;
    std::set<std::pair<Instant, Key>> m_deadlines;
    std::optional<Instant> m_armedFor;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
