#include "entry/EntryApi.h"

#include "base/Identifier.h"
#include "base/MemberReader.h"
#include "configuration/ClusterKeys.h"
#include "configuration/ConfigurationValue.h"
#include "entry/Problem.h"
#include "workers/WorkerCodec.h"

#include <charconv>

namespace Wagtail
{

namespace
{

constexpr Milliseconds PollPeriod {100};
constexpr std::int64_t LongestWait = 60'000;
constexpr std::int64_t LongestDeadline = 3'600'000;

HttpResponse json(int status, const Json &document)
{
    return {status, {{"Content-Type", "application/json"}}, writeJson(document)};
}

HttpResponse notFound(const std::string &path)
{
    return problem({ErrorKind::NotFound, "nothing is served at " + path, "see docs/API.md for the paths"});
}

HttpResponse methodNotAllowed(const HttpRequest &request)
{
    constexpr int StatusMethodNotAllowed = 405;
    HttpResponse response = problem({ErrorKind::InvalidInput, request.method + " is not served at " + request.path,
        "see docs/API.md for the methods"});
    response.status = StatusMethodNotAllowed;
    return response;
}

std::optional<std::int64_t> wholeNumber(const std::string &text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

// Reads a team's quota; what it leaves out is not limited.
Result<Resources> parseQuota(const std::string &body)
{
    constexpr std::int64_t Unlimited = 1'000'000'000'000;
    const Result<Json> document = parseJson(body, "the quota");
    if (const Error *error = errorOf(document)) {
        return *error;
    }
    MemberReader reader(std::get<Json>(document), "quota");
    const Resources quota {reader.integer("millicores", 0, Unlimited, Unlimited),
        reader.integer("memory_mb", 0, Unlimited, Unlimited), reader.integer("accelerators", 0, Unlimited, Unlimited)};
    const Status complete = reader.finish();
    if (const Error *error = errorOf(complete)) {
        return *error;
    }
    return quota;
}

void respondWith(const HttpServer::Responder &respond, const Result<Json> &result, int status)
{
    const Error *error = errorOf(result);
    if (error == nullptr) {
        respond(json(status, std::get<Json>(result)));
        return;
    }
    const Outcome outcome = error->kind == ErrorKind::Internal ? Outcome::Unknown : Outcome::NotRun;
    respond(problem(*error, outcome));
}

}

EntryApi::EntryApi(Context context) : m_context(std::move(context))
{
}

std::vector<std::string> EntryApi::segments(const std::string &path)
{
    std::vector<std::string> parts;
    std::size_t start = 1;
    while (start < path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        parts.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

void EntryApi::handle(HttpRequest request, HttpServer::Responder respond)
{
    if (request.path.starts_with("/v1/requests/")) {
        handleRequest(std::move(request), respond);
    } else if (request.path == "/v1/tasks" || request.path.starts_with("/v1/tasks/")) {
        handleTasks(request, respond, "");
    } else if (request.path == "/v1/watchers") {
        handleTasks(request, respond, "watcher");
    } else if (request.path == "/v1/profiles" || request.path.starts_with("/v1/profiles/")) {
        handleProfiles(request, respond);
    } else if (request.path == "/v1/teams" || request.path.starts_with("/v1/teams/")) {
        handleTeams(request, respond);
    } else if (request.path == "/v1/workers" || request.path.starts_with("/v1/workers/")) {
        handleWorkers(request, respond);
    } else if (request.path == "/v1/timeline") {
        handleTimeline(request, respond);
    } else if (request.path == "/v1/status" || request.path == "/v1/instances") {
        handleStatus(respond);
    } else if (request.path == "/healthz") {
        respond(json(200, {{"status", "ok"}}));
    } else if (request.path == "/readyz") {
        const std::string why = m_context.unreadiness();
        respond(why.empty() ? json(200, {{"status", "ready"}})
                            : problem({ErrorKind::Unavailable, why, "wait until the instance is ready"}));
    } else if (request.path == "/metrics") {
        respond({200, {{"Content-Type", "text/plain; version=0.0.4"}}, m_context.metrics.text()});
    } else {
        respond(notFound(request.path));
    }
}

void EntryApi::handleRequest(HttpRequest request, const Respond &respond)
{
    const std::vector<std::string> parts = segments(request.path);
    if (parts.size() != 3) {
        respond(notFound(request.path));
        return;
    }
    if (request.method != "POST") {
        respond(methodNotAllowed(request));
        return;
    }
    std::int64_t deadline = 0;
    if (const auto header = request.header("Wagtail-Deadline-Ms")) {
        const auto value = wholeNumber(*header);
        if (!value || *value < 1 || *value > LongestDeadline) {
            respond(problem({ErrorKind::InvalidInput, "Wagtail-Deadline-Ms is '" + *header + "'",
                "give the time left as whole milliseconds from 1 to 3600000"}));
            return;
        }
        deadline = *value;
    }
    RoutedRequest routed;
    routed.identity = createIdentifier(m_context.clock.wallMilliseconds());
    routed.profile = parts[2];
    routed.key = request.header("Idempotency-Key").value_or("");
    const std::shared_ptr<const Profile> profile = m_context.profiles.find(routed.profile);
    if (deadline == 0 && profile) {
        deadline = profile->deadlineMilliseconds;
    }
    routed.deadline = m_context.clock.now() + Milliseconds(deadline);
    routed.body = std::move(request.body);
    const std::string identity = routed.identity;
    m_context.requests.route(std::move(routed), [this, respond, identity](RequestResult result) {
        m_context.metrics.count("wagtail_requests_total", "outcome=\"" + std::string(nameOf(result.outcome)) + "\"");
        if (result.outcome != Outcome::Done) {
            HttpResponse response = problem(result.error, result.outcome);
            response.headers.push_back({"Wagtail-Request", identity});
            respond(std::move(response));
            return;
        }
        respond({result.status,
            {{"Content-Type", result.contentType}, {"Wagtail-Outcome", "done"}, {"Wagtail-Request", identity}},
            std::move(result.body)});
    });
}

void EntryApi::handleTasks(const HttpRequest &request, const Respond &respond, const std::string &requiredClass)
{
    const std::vector<std::string> parts = segments(request.path);
    if (parts.size() == 2 && request.method == "POST") {
        submitTask(request, respond, requiredClass);
        return;
    }
    if (parts.size() == 2 && request.method == "GET") {
        m_context.tasks.list([respond, requiredClass](Result<Json> result) {
            if (auto *document = std::get_if<Json>(&result); document != nullptr && !requiredClass.empty()) {
                Json matching = Json::array();
                for (const Json &task : (*document)["tasks"]) {
                    if (memberOr(task, "class", std::string()) == requiredClass) {
                        matching.push_back(task);
                    }
                }
                (*document)["tasks"] = std::move(matching);
            }
            respondWith(respond, result, 200);
        });
        return;
    }
    const auto answer = [respond](const Result<Json> &result) {
        respondWith(respond, result, 200);
    };
    const bool hasVerb = parts.size() == 4;
    if (hasVerb && parts[3] == "cancel" && request.method == "POST") {
        m_context.tasks.cancel(parts[2], answer);
    } else if (hasVerb && parts[3] == "explain" && request.method == "GET") {
        m_context.tasks.explain(parts[2], answer);
    } else if (parts.size() == 3 && request.method == "GET") {
        const std::int64_t wait = wholeNumber(request.parameter("wait_ms").value_or("0")).value_or(0);
        const auto bounded = Milliseconds(std::clamp<std::int64_t>(wait, 0, LongestWait));
        waitForTask(parts[2], m_context.clock.now() + bounded, respond);
    } else if (parts.size() == 3 || hasVerb) {
        respond(methodNotAllowed(request));
    } else {
        respond(notFound(request.path));
    }
}

void EntryApi::submitTask(const HttpRequest &request, const Respond &respond, const std::string &requiredClass)
{
    constexpr std::int64_t LargestTaskDeadline = 30LL * 24 * 3600 * 1000;
    const Result<Json> parsed = parseJson(request.body, "the task");
    if (const Error *error = errorOf(parsed)) {
        respond(problem(*error));
        return;
    }
    MemberReader reader(std::get<Json>(parsed), "task");
    TaskSubmission submission;
    submission.profile = reader.text("profile", "");
    submission.payload = reader.text("payload", "");
    submission.deadlineMilliseconds = reader.integer("deadline_ms", 0, LargestTaskDeadline, 0);
    submission.key = request.header("Idempotency-Key").value_or("");
    submission.requiredClass = requiredClass;
    const Status complete = reader.finish();
    if (const Error *error = errorOf(complete)) {
        respond(problem(*error));
        return;
    }
    constexpr int StatusAccepted = 202;
    m_context.tasks.submit(
        submission, [respond](const Result<Json> &result) { respondWith(respond, result, StatusAccepted); });
}

void EntryApi::waitForTask(const std::string &task, Instant until, const Respond &respond)
{
    m_context.tasks.status(task, [this, task, until, respond](const Result<Json> &result) {
        const Json *document = std::get_if<Json>(&result);
        const bool final = document != nullptr && memberOr(*document, "final", false);
        if (final || m_context.clock.now() >= until) {
            respondWith(respond, result, 200);
            return;
        }
        m_context.scheduler.after(PollPeriod, [this, task, until, respond] { waitForTask(task, until, respond); });
    });
}

Result<ChangeCondition> EntryApi::conditionOf(const HttpRequest &request)
{
    if (request.header("If-None-Match") == "*") {
        return ChangeCondition {MustNotExist};
    }
    std::optional<std::string> match = request.header("If-Match");
    if (!match) {
        return ChangeCondition {};
    }
    std::erase(*match, '"');
    const auto revision = wholeNumber(*match);
    if (!revision || *revision < 0) {
        return Error {ErrorKind::InvalidInput, "If-Match is no revision", "give the number from the ETag"};
    }
    return ChangeCondition {static_cast<StoreRevision>(*revision)};
}

std::function<void(Result<StoreRevision>)> EntryApi::changeAnswer(const Respond &respond, int status) const
{
    return [respond, status](const Result<StoreRevision> &result) {
        if (const Error *error = errorOf(result)) {
            respond(problem(*error, error->kind == ErrorKind::StoreUnavailable ? Outcome::Unknown : Outcome::NotRun));
            return;
        }
        const StoreRevision revision = std::get<StoreRevision>(result);
        HttpResponse response = json(status, {{"revision", revision}});
        response.headers.push_back({"ETag", "\"" + std::to_string(revision) + "\""});
        respond(std::move(response));
    };
}

void EntryApi::handleProfiles(const HttpRequest &request, const Respond &respond)
{
    const std::vector<std::string> parts = segments(request.path);
    const std::string name = parts.size() > 2 ? parts[2] : "";
    if (parts.size() > 3) {
        respond(notFound(request.path));
    } else if (request.method == "GET") {
        name.empty() ? listProfiles(respond) : showProfile(name, respond);
    } else if (request.method == "PUT" && !name.empty()) {
        putProfile(request, name, respond);
    } else if (request.method == "DELETE" && !name.empty()) {
        const Result<ChangeCondition> condition = conditionOf(request);
        if (const Error *error = errorOf(condition)) {
            respond(problem(*error));
            return;
        }
        m_context.configuration.erase(
            ClusterKeys::Profiles + name, std::get<ChangeCondition>(condition), changeAnswer(respond, 200));
    } else {
        respond(methodNotAllowed(request));
    }
}

void EntryApi::listProfiles(const Respond &respond)
{
    Json profiles = Json::array();
    for (const auto &[profileName, item] : m_context.profiles.items()) {
        Json document = describe(*item.profile);
        document["name"] = profileName;
        document["revision"] = item.revision;
        profiles.push_back(std::move(document));
    }
    respond(json(200, {{"profiles", profiles}, {"revision", m_context.entries.revision()}}));
}

void EntryApi::showProfile(const std::string &name, const Respond &respond)
{
    const auto found = m_context.profiles.items().find(name);
    if (found == m_context.profiles.items().end()) {
        respond(problem({ErrorKind::NotFound, "no profile is named '" + name + "'", "list the profiles"}));
        return;
    }
    Json document = describe(*found->second.profile);
    document["name"] = name;
    document["revision"] = found->second.revision;
    HttpResponse response = json(200, document);
    response.headers.push_back({"ETag", "\"" + std::to_string(found->second.revision) + "\""});
    respond(std::move(response));
}

void EntryApi::putProfile(const HttpRequest &request, const std::string &name, const Respond &respond)
{
    const Result<Json> document = parseJson(request.body, "the profile");
    if (const Error *error = errorOf(document)) {
        respond(problem(*error));
        return;
    }
    const Result<Profile> profile = parseProfile(name, std::get<Json>(document));
    if (const Error *error = errorOf(profile)) {
        respond(problem(*error));
        return;
    }
    const Result<ChangeCondition> condition = conditionOf(request);
    if (const Error *error = errorOf(condition)) {
        respond(problem(*error));
        return;
    }
    m_context.configuration.write(ClusterKeys::Profiles + name, describe(std::get<Profile>(profile)),
        std::get<ChangeCondition>(condition), changeAnswer(respond, 200));
}

void EntryApi::handleTeams(const HttpRequest &request, const Respond &respond)
{
    const std::vector<std::string> parts = segments(request.path);
    if (parts.size() == 2 && request.method == "GET") {
        Json teams = Json::array();
        for (const StoreEntry *entry : m_context.entries.withPrefix(ClusterKeys::Teams)) {
            const Result<Json> value = readConfigurationValue(entry->value, "a team");
            Json item = errorOf(value) == nullptr ? std::get<Json>(value) : Json::object();
            item["name"] = entry->key.substr(ClusterKeys::Teams.size());
            item["revision"] = entry->revision;
            teams.push_back(std::move(item));
        }
        respond(json(200, {{"teams", teams}}));
        return;
    }
    const bool changes = parts.size() == 3 && (request.method == "PUT" || request.method == "DELETE");
    if (!changes) {
        respond(parts.size() > 3 ? notFound(request.path) : methodNotAllowed(request));
        return;
    }
    const Result<ChangeCondition> condition = conditionOf(request);
    const Status name = checkName(parts[2], "team");
    const Error *fault = errorOf(name) != nullptr ? errorOf(name) : errorOf(condition);
    if (fault != nullptr) {
        respond(problem(*fault));
        return;
    }
    const std::string key = ClusterKeys::Teams + parts[2];
    if (request.method == "DELETE") {
        m_context.configuration.erase(key, std::get<ChangeCondition>(condition), changeAnswer(respond, 200));
        return;
    }
    const Result<Resources> quota = parseQuota(request.body);
    if (const Error *error = errorOf(quota)) {
        respond(problem(*error));
        return;
    }
    m_context.configuration.write(
        key, describe(std::get<Resources>(quota)), std::get<ChangeCondition>(condition), changeAnswer(respond, 200));
}

void EntryApi::handleWorkers(const HttpRequest &request, const Respond &respond)
{
    const std::vector<std::string> parts = segments(request.path);
    if (parts.size() == 2 && request.method == "GET") {
        listWorkers(respond);
    } else if (parts.size() == 4 && parts[3] == "explain" && request.method == "GET") {
        explainWorker(parts[2], respond);
    } else if (parts.size() == 4 && request.method == "POST") {
        setWorkerState(parts[2], parts[3], respond);
    } else if (parts.size() == 2 || parts.size() == 4) {
        respond(methodNotAllowed(request));
    } else {
        respond(notFound(request.path));
    }
}

void EntryApi::setWorkerState(const std::string &worker, const std::string &verb, const Respond &respond)
{
    if (verb != "drain" && verb != "return") {
        respond(problem({ErrorKind::InvalidInput, "'" + verb + "' is no command for a worker", "use drain or return"}));
        return;
    }
    const Json state {{"state", verb == "drain" ? "drained" : "in-service"}};
    m_context.configuration.write(ClusterKeys::Workers + worker, state, {}, changeAnswer(respond, 200));
}

void EntryApi::listWorkers(const Respond &respond)
{
    m_context.survey.ask("status", Json::object(), [this, respond](std::vector<Json> answers, Json unasked) {
        answers.push_back(ownStatus());
        Json workers = Json::array();
        for (const Json &answer : answers) {
            for (const Json &worker : memberOr(answer, "workers", Json::array())) {
                workers.push_back(worker);
            }
        }
        respond(json(200, {{"workers", workers}, {"not_asked", unasked}}));
    });
}

void EntryApi::explainWorker(const std::string &worker, const Respond &respond)
{
    m_context.survey.ask("status", Json::object(), [this, worker, respond](std::vector<Json> answers, const Json &) {
        answers.push_back(ownStatus());
        for (const Json &answer : answers) {
            for (const Json &item : memberOr(answer, "workers", Json::array())) {
                if (memberOr(item, "name", std::string()) == worker) {
                    respond(json(200, item));
                    return;
                }
            }
        }
        respond(problem({ErrorKind::NotFound, "no owner of a worker named '" + worker + "' answered",
            "list the workers, or ask again after a take-over"}));
    });
}

Json EntryApi::ownStatus()
{
    Json partitions = Json::array();
    Json workers = Json::array();
    for (PartitionController *keeper : m_context.partitions.controllers()) {
        const std::string partition = keeper->term().partition.text();
        partitions.push_back({{"partition", partition}, {"token", keeper->term().token}, {"ready", keeper->isReady()},
            {"tasks", keeper->table().tasks().size()}, {"log_stalled_ms", keeper->logStalledFor().count()}});
        for (const auto &[name, worker] : keeper->fleet().workers()) {
            Json item = describe(worker.description);
            item["owner"] = m_context.instance;
            item["partition"] = partition;
            item["admission"] = nameOf(worker.admission);
            item["reserved"] = describe(worker.reserved);
            item["slots_in_use"] = worker.slotsInUse;
            item["foreign_slots"] = worker.foreignSlots;
            item["running"] = worker.runningByProfile;
            workers.push_back(std::move(item));
        }
    }
    const std::string why = m_context.unreadiness();
    return {{"instance", m_context.instance}, {"data_centre", m_context.settings.dataCentre},
        {"region", m_context.settings.region}, {"standing", nameOf(m_context.partitions.ownershipState())},
        {"revision", m_context.entries.revision()}, {"ready", why.empty()}, {"reason", why},
        {"open_requests", m_context.requests.openCount()}, {"partitions", partitions}, {"workers", workers}};
}

Json EntryApi::ownEvents(const Json &filter)
{
    TimelineFilter wanted;
    wanted.task = memberOr(filter, "task", std::string());
    wanted.request = memberOr(filter, "request", std::string());
    wanted.worker = memberOr(filter, "worker", std::string());
    wanted.kind = memberOr(filter, "kind", std::string());
    wanted.sinceWallMilliseconds = memberOr(filter, "since_ms", std::int64_t {0});
    wanted.most = memberOr(filter, "most", std::size_t {500});
    Json events = Json::array();
    for (const TimelineEvent &event : m_context.timeline.select(wanted)) {
        events.push_back(describe(event));
    }
    return {{"events", std::move(events)}};
}

void EntryApi::handleTimeline(const HttpRequest &request, const Respond &respond)
{
    Json filter = Json::object();
    for (const char *name : {"task", "request", "worker", "kind"}) {
        if (const auto value = request.parameter(name)) {
            filter[name] = *value;
        }
    }
    filter["since_ms"] = wholeNumber(request.parameter("since_ms").value_or("0")).value_or(0);
    filter["most"] = wholeNumber(request.parameter("most").value_or("500")).value_or(500);
    m_context.survey.ask("timeline", filter, [this, filter, respond](std::vector<Json> answers, Json unasked) {
        answers.push_back(ownEvents(filter));
        std::vector<TimelineEvent> events;
        for (const Json &answer : answers) {
            for (const Json &event : memberOr(answer, "events", Json::array())) {
                events.push_back(parseTimelineEvent(event));
            }
        }
        sortByCause(events);
        Json merged = Json::array();
        for (const TimelineEvent &event : events) {
            merged.push_back(describe(event));
        }
        respond(json(200, {{"events", merged}, {"not_asked", unasked}}));
    });
}

void EntryApi::handleStatus(const Respond &respond)
{
    m_context.survey.ask("status", Json::object(), [this, respond](std::vector<Json> answers, Json unasked) {
        answers.push_back(ownStatus());
        Json instances = Json::array();
        for (Json &answer : answers) {
            answer.erase("workers");
            instances.push_back(std::move(answer));
        }
        respond(json(200, {{"instances", instances}, {"not_asked", unasked}}));
    });
}

}
