#pragma once

#include "base/Scheduler.h"

#include <asio/io_context.hpp>

namespace Wagtail
{

// Runs functions on the thread of an Asio context. May be called from any thread.
class AsioScheduler final : public Scheduler
{
public:
    explicit AsioScheduler(asio::io_context &context);

    void post(std::function<void()> action) override;
    void after(Milliseconds delay, std::function<void()> action) override;

private:
    asio::io_context &m_context;
};

}
