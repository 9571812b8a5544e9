#include "logging/Log.h"

#include "logging/LogBuffer.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <chrono>
#include <unistd.h>

namespace Wagtail
{

namespace
{

using Logger = boost::log::sources::severity_logger_mt<int>;

// What gathers between two flushes under load, several times over.
constexpr std::size_t BufferBytes = 524'288;
// Keeps the volume bounded under load; enough for every decision of a calm second.
constexpr int MostPerEventAndSecond = 40;

LogBuffer &buffer()
{
    static LogBuffer instance(BufferBytes);
    return instance;
}

LogRateLimit &rateLimit()
{
    static LogRateLimit instance(MostPerEventAndSecond);
    return instance;
}

std::mutex &rateMutex()
{
    static std::mutex instance;
    return instance;
}

// Passes formatted records on to the buffer.
class BufferBackend
    : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::synchronized_feeding>
{
public:
    static void consume(const boost::log::record_view &, const string_type &line)
    {
        buffer().append(line);
    }
};

std::string &instanceName()
{
    static std::string name;
    return name;
}

Logger &logger()
{
    static Logger instance;
    return instance;
}

const char *nameOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

}

void startLog(const std::string &instance, const std::string &level)
{
    namespace expressions = boost::log::expressions;
    instanceName() = instance;
    int threshold = 0;
    for (const LogLevel candidate : {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
        if (level == nameOf(candidate)) {
            threshold = static_cast<int>(candidate);
        }
    }
    using Sink = boost::log::sinks::synchronous_sink<BufferBackend>;
    const auto sink = boost::make_shared<Sink>();
    sink->set_formatter(expressions::stream << expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    boost::log::core::get()->set_filter(expressions::attr<int>("Severity") >= threshold);
}

void log(LogLevel level, const std::string &event, const Json &fields)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t time = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    LogRateLimit::Verdict verdict;
    {
        constexpr std::int64_t MillisecondsPerSecond = 1'000;
        const std::lock_guard guard(rateMutex());
        verdict = rateLimit().admit(event, time / MillisecondsPerSecond);
    }
    if (!verdict.allowed) {
        return;
    }
    Json record = fields;
    record["time_ms"] = time;
    record["level"] = nameOf(level);
    record["instance"] = instanceName();
    record["event"] = event;
    if (verdict.leftOut > 0) {
        record["left_out"] = verdict.leftOut;
    }
    BOOST_LOG_SEV(logger(), static_cast<int>(level)) << writeJson(record);
}

void flushLog()
{
    buffer().flush(STDOUT_FILENO);
}

}
