#include "cli/CommandLine.h"

#include <cstdlib>
#include <popt.h>

namespace Wagtail
{

namespace
{

constexpr long DefaultWait = 30'000;

std::string take(char *text)
{
    std::string result = text == nullptr ? "" : text;
    std::free(text);
    return result;
}

}

std::string helpText()
{
    return R"(wagtailctl - operate wagtailbank

  wagtailctl [OPTIONS] request PROFILE            send an urgent request (--data, --file, --key, --deadline-ms)
  wagtailctl [OPTIONS] task submit PROFILE        submit a batch task (--data, --file, --key, --deadline-ms)
  wagtailctl [OPTIONS] task status|wait|cancel|explain TASK
  wagtailctl [OPTIONS] task list
  wagtailctl [OPTIONS] watcher start PROFILE      start a standing watcher (--data, --file, --key)
  wagtailctl [OPTIONS] watcher list
  wagtailctl [OPTIONS] profile apply --file FILE  create or change profiles (--dry-run, --expect REVISION)
  wagtailctl [OPTIONS] profile list
  wagtailctl [OPTIONS] profile show|retire NAME
  wagtailctl [OPTIONS] team list
  wagtailctl [OPTIONS] team set|remove NAME       a team's quota (--data '{"millicores":64000,"memory_mb":1000}')
  wagtailctl [OPTIONS] worker list
  wagtailctl [OPTIONS] worker drain|return|explain WORKER
  wagtailctl [OPTIONS] status                     owners, store, revision in force on each instance
  wagtailctl [OPTIONS] timeline                   events of all instances (--task, --request, --worker, --kind, --since-ms)

  --server IP:PORT     the instance to ask, default $WAGTAIL_SERVER or 127.0.0.1:8080
  --output json|table  how to print answers, default table

exit codes: 0 done, 1 refused and not run, 2 wrong usage, 3 outcome unknown, 4 the instance can't be reached,
            5 conflict with another change, 6 not found
)";
}

Result<CommandLine> parseCommandLine(int count, const char **arguments)
{
    CommandLine line;
    char *server = nullptr;
    char *output = nullptr;
    char *file = nullptr;
    char *data = nullptr;
    char *key = nullptr;
    char *task = nullptr;
    char *request = nullptr;
    char *worker = nullptr;
    char *kind = nullptr;
    long deadline = 0;
    long wait = DefaultWait;
    long expected = -1;
    long long since = 0;
    int dryRun = 0;
    int help = 0;
    const poptOption options[] = {
        {"server", 's', POPT_ARG_STRING, &server, 0, nullptr, nullptr},
        {"output", 'o', POPT_ARG_STRING, &output, 0, nullptr, nullptr},
        {"file", 'f', POPT_ARG_STRING, &file, 0, nullptr, nullptr},
        {"data", 'd', POPT_ARG_STRING, &data, 0, nullptr, nullptr},
        {"key", 'k', POPT_ARG_STRING, &key, 0, nullptr, nullptr},
        {"task", 0, POPT_ARG_STRING, &task, 0, nullptr, nullptr},
        {"request", 0, POPT_ARG_STRING, &request, 0, nullptr, nullptr},
        {"worker", 0, POPT_ARG_STRING, &worker, 0, nullptr, nullptr},
        {"kind", 0, POPT_ARG_STRING, &kind, 0, nullptr, nullptr},
        {"deadline-ms", 0, POPT_ARG_LONG, &deadline, 0, nullptr, nullptr},
        {"wait-ms", 0, POPT_ARG_LONG, &wait, 0, nullptr, nullptr},
        {"expect", 0, POPT_ARG_LONG, &expected, 0, nullptr, nullptr},
        {"since-ms", 0, POPT_ARG_LONGLONG, &since, 0, nullptr, nullptr},
        {"dry-run", 0, POPT_ARG_NONE, &dryRun, 0, nullptr, nullptr},
        {"help", 'h', POPT_ARG_NONE, &help, 0, nullptr, nullptr},
        POPT_TABLEEND,
    };
    poptContext context = poptGetContext("wagtailctl", count, arguments, options, 0);
    const int parsed = poptGetNextOpt(context);
    const std::string fault = parsed < -1 ? std::string(poptBadOption(context, 0)) + ": " + poptStrerror(parsed) : "";
    while (const char *word = poptGetArg(context)) {
        line.words.emplace_back(word);
    }
    poptFreeContext(context);
    const char *environment = std::getenv("WAGTAIL_SERVER");
    const std::string named = take(server);
    line.server = !named.empty() ? named : environment != nullptr ? environment : line.server;
    const std::string format = take(output);
    line.output = format == "json" ? OutputFormat::JsonText : OutputFormat::Table;
    line.file = take(file);
    line.data = take(data);
    line.key = take(key);
    line.task = take(task);
    line.request = take(request);
    line.worker = take(worker);
    line.kind = take(kind);
    line.deadlineMilliseconds = deadline;
    line.waitMilliseconds = wait;
    line.expectedRevision = expected;
    line.sinceMilliseconds = since;
    line.dryRun = dryRun != 0;
    if (help != 0) {
        line.words = {"help"};
        return line;
    }
    if (!fault.empty()) {
        return Error {ErrorKind::InvalidInput, fault, "see wagtailctl --help"};
    }
    if (!format.empty() && format != "json" && format != "table") {
        return Error {ErrorKind::InvalidInput, "--output '" + format + "' is not known", "use json or table"};
    }
    if (line.words.empty()) {
        return Error {ErrorKind::InvalidInput, "no command is given", "see wagtailctl --help"};
    }
    return line;
}

}
