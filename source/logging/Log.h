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

// Sends log records of at least the given level to standard output as JSON lines that name the instance.
// Records gather in a bounded buffer until flushLog() is called.
void startLog(const std::string &instance, const std::string &level);

// Writes one record. The fields are added to the time, level, instance and event. Of each event only so many records
// a second are kept; the first of the next second tells how many were left out.
void log(LogLevel level, const std::string &event, const Json &fields = Json::object());

// Writes what has gathered as far as standard output takes it without blocking.
void flushLog();

}
