#include "cli/Commands.h"

#include "cli/Table.h"
#include "profiles/Profile.h"
#include "settings/TomlReader.h"

#include <fstream>
#include <sstream>

namespace Wagtail
{

namespace
{

constexpr long CallTimeout = 20'000;
constexpr int FirstErrorStatus = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return Error {ErrorKind::InvalidInput, path + " can't be read", "give the path of a readable file"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Json documentOf(const HttpAnswer &answer)
{
    const Result<Json> parsed = parseJson(answer.body, "the answer");
    return errorOf(parsed) != nullptr ? Json::object() : std::get<Json>(parsed);
}

}

Commands::Commands(CommandLine line, SendCall send) : m_line(std::move(line)), m_send(std::move(send))
{
}

ExitCode Commands::run(CommandOutput &output)
{
    ExitCode code = ExitCode::Done;
    const std::string command = word(0);
    if (command == "help") {
        m_output.text = helpText();
    } else if (command == "request") {
        code = runRequest();
    } else if (command == "task") {
        code = runTask();
    } else if (command == "watcher") {
        code = runWatcher();
    } else if (command == "profile") {
        code = runProfile();
    } else if (command == "team") {
        code = runTeam();
    } else if (command == "worker") {
        code = runWorker();
    } else if (command == "status") {
        code = runStatus();
    } else if (command == "timeline") {
        code = runTimeline();
    } else {
        code = usage("'" + command + "' is no command");
    }
    output = m_output;
    return code;
}

std::string Commands::word(std::size_t position) const
{
    return position < m_line.words.size() ? m_line.words[position] : std::string();
}

ExitCode Commands::usage(const std::string &what)
{
    m_output.errors += "wagtailctl: " + what + "; see wagtailctl --help\n";
    return ExitCode::Usage;
}

HttpAnswer Commands::call(
    const std::string &method, const std::string &target, std::string body, HttpHeaders headers) const
{
    HttpCall request;
    request.method = method;
    request.url = "http://" + m_line.server + target;
    request.headers = std::move(headers);
    request.body = std::move(body);
    request.timeoutMilliseconds
        = CallTimeout + static_cast<long>(m_line.waitMilliseconds + m_line.deadlineMilliseconds);
    return m_send(std::move(request));
}

HttpHeaders Commands::keyHeader() const
{
    return m_line.key.empty() ? HttpHeaders() : HttpHeaders {{"Idempotency-Key", m_line.key}};
}

ExitCode Commands::fail(const HttpAnswer &answer)
{
    if (answer.delivery != Delivery::Answered) {
        m_output.errors += "wagtailctl: " + m_line.server + " gave no answer: " + answer.failure
            + "\n    remedy: check --server, or ask another instance\n";
        return answer.delivery == Delivery::NotSent ? ExitCode::Unreachable : ExitCode::Unknown;
    }
    const Json document = documentOf(answer);
    m_output.errors += "wagtailctl: " + memberOr(document, "detail", answer.body)
        + "\n    remedy: " + memberOr(document, "remedy", std::string("see the instance's log"))
        + "\n    outcome: " + memberOr(document, "outcome", std::string("unknown")) + "\n";
    if (answer.status == StatusConflict) {
        return ExitCode::Conflict;
    }
    if (answer.status == StatusNotFound) {
        return ExitCode::NotFound;
    }
    return memberOr(document, "outcome", std::string()) == "not-run" ? ExitCode::NotRun : ExitCode::Unknown;
}

ExitCode Commands::show(const HttpAnswer &answer)
{
    if (answer.delivery != Delivery::Answered || answer.status >= FirstErrorStatus) {
        return fail(answer);
    }
    m_output.text += m_line.output == OutputFormat::JsonText ? answer.body + "\n" : formatFields(documentOf(answer));
    return ExitCode::Done;
}

ExitCode Commands::showRows(
    const HttpAnswer &answer, const std::string &member, const std::vector<std::string> &columns)
{
    if (answer.delivery != Delivery::Answered || answer.status >= FirstErrorStatus) {
        return fail(answer);
    }
    if (m_line.output == OutputFormat::JsonText) {
        m_output.text += answer.body + "\n";
        return ExitCode::Done;
    }
    const Json document = documentOf(answer);
    m_output.text += formatTable(memberOr(document, member.c_str(), Json::array()), columns);
    for (const Json &instance : memberOr(document, "not_asked", Json::array())) {
        m_output.errors += "did not answer: " + writeJson(instance) + "\n";
    }
    return ExitCode::Done;
}

Result<std::string> Commands::payload() const
{
    return m_line.file.empty() ? Result<std::string>(m_line.data) : readFile(m_line.file);
}

ExitCode Commands::runRequest()
{
    if (word(1).empty()) {
        return usage("request needs a profile");
    }
    const Result<std::string> body = payload();
    if (const Error *error = errorOf(body)) {
        return usage(error->detail);
    }
    HttpHeaders headers = keyHeader();
    if (m_line.deadlineMilliseconds > 0) {
        headers.push_back({"Wagtail-Deadline-Ms", std::to_string(m_line.deadlineMilliseconds)});
    }
    const HttpAnswer answer
        = call("POST", "/v1/requests/" + percentEncode(word(1)), std::get<std::string>(body), std::move(headers));
    const bool done = answer.delivery == Delivery::Answered && answer.header("Wagtail-Outcome") == "done";
    if (!done) {
        return fail(answer);
    }
    m_output.text += answer.body + "\n";
    return ExitCode::Done;
}

ExitCode Commands::submit(const std::string &path, const std::string &profile)
{
    if (profile.empty()) {
        return usage("a profile is needed");
    }
    const Result<std::string> body = payload();
    if (const Error *error = errorOf(body)) {
        return usage(error->detail);
    }
    const Json document {
        {"profile", profile}, {"payload", std::get<std::string>(body)}, {"deadline_ms", m_line.deadlineMilliseconds}};
    return show(call("POST", path, writeJson(document), keyHeader()));
}

ExitCode Commands::runTask()
{
    const std::string verb = word(1);
    const std::string target = "/v1/tasks/" + percentEncode(word(2));
    if (verb == "submit") {
        return submit("/v1/tasks", word(2));
    }
    if (verb == "list") {
        return showRows(
            call("GET", "/v1/tasks"), "tasks", {"task", "profile", "class", "phase", "attempt", "worker", "reason"});
    }
    if (word(2).empty()) {
        return usage("name a task");
    }
    if (verb == "status") {
        return show(call("GET", target));
    }
    if (verb == "wait") {
        return show(call("GET", target + "?wait_ms=" + std::to_string(m_line.waitMilliseconds)));
    }
    if (verb == "cancel") {
        return show(call("POST", target + "/cancel"));
    }
    if (verb == "explain") {
        return show(call("GET", target + "/explain"));
    }
    return usage("'task " + verb + "' is no command");
}

ExitCode Commands::runWatcher()
{
    if (word(1) == "start") {
        return submit("/v1/watchers", word(2));
    }
    if (word(1) == "list") {
        return showRows(
            call("GET", "/v1/watchers"), "tasks", {"task", "profile", "phase", "attempt", "worker", "reason"});
    }
    return usage("'watcher " + word(1) + "' is no command");
}

ExitCode Commands::runProfile()
{
    const std::string verb = word(1);
    if (verb == "list") {
        return showRows(call("GET", "/v1/profiles"), "profiles",
            {"name", "class", "revision", "priority", "deadline_ms", "idempotent", "team", "millicores", "memory_mb"});
    }
    if (verb == "apply") {
        return applyProfiles();
    }
    if (word(2).empty()) {
        return usage("name a profile");
    }
    const std::string target = "/v1/profiles/" + percentEncode(word(2));
    if (verb == "show") {
        return show(call("GET", target));
    }
    if (verb == "retire") {
        HttpHeaders headers;
        if (m_line.expectedRevision >= 0) {
            headers.push_back({"If-Match", std::to_string(m_line.expectedRevision)});
        }
        return show(call("DELETE", target, {}, std::move(headers)));
    }
    return usage("'profile " + verb + "' is no command");
}

// The file has one section [profiles.NAME] for each profile. All are checked before the first is sent.
ExitCode Commands::applyProfiles()
{
    const Result<std::string> text = readFile(m_line.file);
    if (const Error *error = errorOf(text)) {
        return usage(error->detail + "; give --file");
    }
    const Result<Json> parsed = parseToml(std::get<std::string>(text), m_line.file);
    if (const Error *error = errorOf(parsed)) {
        return usage(error->detail);
    }
    const Json profiles = memberOr(std::get<Json>(parsed), "profiles", Json::object());
    if (profiles.empty() || std::get<Json>(parsed).size() != 1) {
        return usage(m_line.file + " needs sections [profiles.NAME] and no others");
    }
    bool valid = true;
    for (const auto &[name, document] : profiles.items()) {
        const Result<Profile> profile = parseProfile(name, document);
        if (const Error *error = errorOf(profile)) {
            m_output.errors += m_line.file + ": " + error->detail + "\n    remedy: " + error->remedy + "\n";
            valid = false;
        }
    }
    if (!valid) {
        return ExitCode::Usage;
    }
    for (const auto &[name, document] : profiles.items()) {
        const ExitCode code = applyProfile(name, document);
        if (code != ExitCode::Done) {
            return code;
        }
    }
    return ExitCode::Done;
}

ExitCode Commands::applyProfile(const std::string &name, const Json &document)
{
    const Json wanted = describe(std::get<Profile>(parseProfile(name, document)));
    const HttpAnswer present = call("GET", "/v1/profiles/" + name);
    if (present.delivery != Delivery::Answered
        || (present.status >= FirstErrorStatus && present.status != StatusNotFound)) {
        return fail(present);
    }
    const Json before = present.status == StatusNotFound ? Json::object() : documentOf(present);
    bool changed = false;
    for (const auto &[member, value] : wanted.items()) {
        const Json old = memberOr(before, member.c_str(), Json());
        if (old != value) {
            changed = true;
            m_output.text += name + "." + member + ": " + (old.is_null() ? "(none)" : writeJson(old)) + " -> "
                + writeJson(value) + "\n";
        }
    }
    if (m_line.dryRun || !changed) {
        m_output.text += name + (changed ? ": would change\n" : ": unchanged\n");
        return ExitCode::Done;
    }
    HttpHeaders headers;
    if (m_line.expectedRevision >= 0) {
        headers.push_back({"If-Match", std::to_string(m_line.expectedRevision)});
    } else if (before.empty()) {
        headers.push_back({"If-None-Match", "*"});
    } else {
        headers.push_back({"If-Match", present.header("ETag").value_or("0")});
    }
    const HttpAnswer answer = call("PUT", "/v1/profiles/" + name, writeJson(wanted), std::move(headers));
    if (answer.delivery != Delivery::Answered || answer.status >= FirstErrorStatus) {
        return fail(answer);
    }
    m_output.text
        += name + ": revision " + std::to_string(memberOr(documentOf(answer), "revision", std::uint64_t {0})) + "\n";
    return ExitCode::Done;
}

ExitCode Commands::runTeam()
{
    const std::string verb = word(1);
    if (verb == "list") {
        return showRows(
            call("GET", "/v1/teams"), "teams", {"name", "revision", "millicores", "memory_mb", "accelerators"});
    }
    if (word(2).empty()) {
        return usage("name a team");
    }
    const std::string target = "/v1/teams/" + percentEncode(word(2));
    if (verb == "set") {
        return show(call("PUT", target, m_line.data));
    }
    if (verb == "remove") {
        return show(call("DELETE", target));
    }
    return usage("'team " + verb + "' is no command");
}

ExitCode Commands::runWorker()
{
    const std::string verb = word(1);
    if (verb == "list") {
        return showRows(call("GET", "/v1/workers"), "workers",
            {"name", "rack", "partition", "owner", "admission", "slots_in_use", "running"});
    }
    if (word(2).empty()) {
        return usage("name a worker");
    }
    const std::string target = "/v1/workers/" + percentEncode(word(2));
    if (verb == "drain" || verb == "return") {
        return show(call("POST", target + "/" + verb));
    }
    if (verb == "explain") {
        return show(call("GET", target + "/explain"));
    }
    return usage("'worker " + verb + "' is no command");
}

ExitCode Commands::runStatus()
{
    return showRows(call("GET", "/v1/status"), "instances",
        {"instance", "data_centre", "standing", "revision", "ready", "open_requests", "partitions"});
}

ExitCode Commands::runTimeline()
{
    std::string target = "/v1/timeline?since_ms=" + std::to_string(m_line.sinceMilliseconds);
    const auto add = [&target](const std::string &name, const std::string &value) {
        if (!value.empty()) {
            target += "&" + name + "=" + percentEncode(value);
        }
    };
    add("task", m_line.task);
    add("request", m_line.request);
    add("worker", m_line.worker);
    add("kind", m_line.kind);
    return showRows(call("GET", target), "events",
        {"logical", "time_ms", "instance", "event", "task", "request", "worker", "detail"});
}

}
