#include "eventloop/AsioScheduler.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <memory>

namespace Wagtail
{

AsioScheduler::AsioScheduler(asio::io_context &context) : m_context(context)
{
}

void AsioScheduler::post(std::function<void()> action)
{
    asio::post(m_context, std::move(action));
}

void AsioScheduler::after(Milliseconds delay, std::function<void()> action)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code &error) {
        if (!error) {
            action();
        }
    });
}

}
