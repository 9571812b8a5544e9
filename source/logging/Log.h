#pragma once

#include "base/JsonReader.h"

#include <string>

namespace Wagtail
{

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// Sends log records of at least the given level to standard error as JSON lines that name the instance.
void startLog(const std::string &instance, const std::string &level);

// Writes one record. The fields are added to the time, level, instance and event.
void log(LogLevel level, const std::string &event, const Json &fields = Json::object());

}
