#include "logging/LogBuffer.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace Wagtail
{

namespace
{

// A pipe that reports room takes this much without blocking.
constexpr std::size_t ChunkBytes = 4'096;

bool takesMore(int descriptor)
{
    pollfd request {descriptor, POLLOUT, 0};
    return ::poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

}

LogBuffer::LogBuffer(std::size_t capacityBytes) : m_capacity(capacityBytes)
{
}

void LogBuffer::append(std::string_view line)
{
    const std::lock_guard guard(m_mutex);
    if (m_text.size() + line.size() + 1 > m_capacity) {
        ++m_dropped;
        return;
    }
    m_text.append(line);
    m_text.push_back('\n');
}

void LogBuffer::flush(int descriptor)
{
    const std::lock_guard guard(m_mutex);
    std::size_t written = 0;
    while (written < m_text.size() && takesMore(descriptor)) {
        const std::size_t length = std::min(ChunkBytes, m_text.size() - written);
        const ssize_t count = ::write(descriptor, m_text.data() + written, length);
        if (count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    m_text.erase(0, written);
    if (m_dropped > 0 && m_text.empty()) {
        m_text = R"({"event":"log-lines-dropped","count":)" + std::to_string(m_dropped) + "}\n";
        m_dropped = 0;
    }
}

LogRateLimit::LogRateLimit(int mostPerSecond) : m_most(mostPerSecond)
{
}

LogRateLimit::Verdict LogRateLimit::admit(const std::string &event, std::int64_t second)
{
    Window &window = m_windows[event];
    Verdict verdict;
    if (window.second != second) {
        verdict.leftOut = window.leftOut;
        window = {second, 0, 0};
    }
    verdict.allowed = window.written < m_most;
    if (verdict.allowed) {
        ++window.written;
    } else {
        ++window.leftOut;
    }
    return verdict;
}

}
