#pragma once

#include "base/JsonReader.h"
#include "cli/CommandLine.h"
#include "http/HttpMessages.h"

#include <functional>
#include <string>

namespace Wagtail
{

// The exit codes on which scripts rely.
enum class ExitCode {
    Done = 0,
    NotRun = 1,
    Usage = 2,
    Unknown = 3,
    Unreachable = 4,
    Conflict = 5,
    NotFound = 6,
};

// Sends a call and returns its answer.
using SendCall = std::function<HttpAnswer(HttpCall)>;

// Where a command prints: its results, and what went wrong.
struct CommandOutput
{
    std::string text;
    std::string errors;
};

// Runs the commands of wagtailctl against one instance.
class Commands
{
public:
    Commands(CommandLine line, SendCall send);

    // Runs the command and adds what it prints to the output.
    [[nodiscard]] ExitCode run(CommandOutput &output);

private:
    ExitCode runRequest();
    ExitCode runTask();
    ExitCode submit(const std::string &path, const std::string &profile);
    ExitCode runWatcher();
    ExitCode runProfile();
    ExitCode applyProfiles();
    ExitCode applyProfile(const std::string &name, const Json &document);
    ExitCode runTeam();
    ExitCode runWorker();
    ExitCode runStatus();
    ExitCode runTimeline();
    ExitCode usage(const std::string &what);
    ExitCode show(const HttpAnswer &answer);
    ExitCode showRows(const HttpAnswer &answer, const std::string &member, const std::vector<std::string> &columns);
    ExitCode fail(const HttpAnswer &answer);
    [[nodiscard]] HttpAnswer call(
        const std::string &method, const std::string &target, std::string body = {}, HttpHeaders headers = {}) const;
    [[nodiscard]] Result<std::string> payload() const;
    [[nodiscard]] std::string word(std::size_t position) const;
    [[nodiscard]] HttpHeaders keyHeader() const;

    CommandLine m_line;
    SendCall m_send;
    CommandOutput m_output;
};

}
