#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace Wagtail
{

// Holds log lines until they can be written without blocking. Lines beyond its size are dropped and counted.
class LogBuffer
{
public:
    explicit LogBuffer(std::size_t capacityBytes);

    void append(std::string_view line);

    // Writes whole lines to a file descriptor as long as it takes them at once.
    void flush(int descriptor);

private:
    std::mutex m_mutex;
    std::size_t m_capacity;
    std::string m_text;
    std::uint64_t m_dropped = 0;
};

// Limits how many records of each event are written in a second.
class LogRateLimit
{
public:
    explicit LogRateLimit(int mostPerSecond);

    // Returns whether a record may be written now, and how many of its event were left out in earlier seconds.
    struct Verdict
    {
        bool allowed = false;
        std::uint64_t leftOut = 0;
    };
    [[nodiscard]] Verdict admit(const std::string &event, std::int64_t second);

private:
    struct Window
    {
        std::int64_t second = 0;
        int written = 0;
        std::uint64_t leftOut = 0;
    };

    int m_most;
    std::map<std::string, Window> m_windows;
};

}
