#include "logging/Log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <chrono>
#include <iostream>

namespace Wagtail
{

namespace
{

using Logger = boost::log::sources::severity_logger_mt<int>;

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
    boost::log::add_console_log(std::cerr, boost::log::keywords::format = expressions::stream << expressions::smessage,
        boost::log::keywords::auto_flush = true);
    boost::log::core::get()->set_filter(expressions::attr<int>("Severity") >= threshold);
}

void log(LogLevel level, const std::string &event, const Json &fields)
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    Json record = fields;
    record["time_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    record["level"] = nameOf(level);
    record["instance"] = instanceName();
    record["event"] = event;
    BOOST_LOG_SEV(logger(), static_cast<int>(level)) << writeJson(record);
}

}
