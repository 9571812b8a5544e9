#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Wagtail
{

enum class OutputFormat {
    Table,
    JsonText,
};

// A parsed command line of wagtailctl: the words of the command and the values of its options.
struct CommandLine
{
    std::vector<std::string> words;
    std::string server = "127.0.0.1:8080";
    OutputFormat output = OutputFormat::Table;
    std::string file;
    std::string data;
    std::string key;
    std::string task;
    std::string request;
    std::string worker;
    std::string kind;
    std::int64_t deadlineMilliseconds = 0;
    std::int64_t waitMilliseconds = 30'000;
    std::int64_t expectedRevision = -1;
    std::int64_t sinceMilliseconds = 0;
    bool dryRun = false;
};

// Reads the arguments. Fails with InvalidInput that says how to get help.
[[nodiscard]] Result<CommandLine> parseCommandLine(int count, const char **arguments);

// Returns the page that explains all commands and exit codes.
[[nodiscard]] std::string helpText();

}
