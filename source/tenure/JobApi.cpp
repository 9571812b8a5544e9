#include "tenure/JobApi.h"

#include "http/HttpStatus.h"

namespace Wagtail
{

namespace
{

constexpr std::string_view Root = "/v1/partitions/";

HttpResponse answer(int status, const Json &document)
{
    return {status, {{"Content-Type", "application/json"}}, writeJson(document)};
}

// Splits "a/b/c" at the slashes.
std::vector<std::string> split(std::string_view path)
{
    std::vector<std::string> parts;
    while (true) {
        const std::size_t slash = path.find('/');
        parts.emplace_back(path.substr(0, slash));
        if (slash == std::string_view::npos) {
            return parts;
        }
        path = path.substr(slash + 1);
    }
}

}

HttpResponse describeAccept(const AcceptResult &result)
{
    switch (result.outcome) {
    case AcceptOutcome::Accepted:
        return answer(HttpStatus::Ok, {{"partition", result.home}});
    case AcceptOutcome::Exists:
        return answer(HttpStatus::Conflict, {{"partition", result.home}});
    case AcceptOutcome::StoreAway:
        return answer(
            HttpStatus::ServiceUnavailable, {{"detail", "the store is not answering"}, {"remedy", "retry later"}});
    case AcceptOutcome::Elsewhere:
        return answer(HttpStatus::SeeOther, {{"partition", result.home}});
    case AcceptOutcome::Refused:
        return answer(HttpStatus::TooManyRequests,
            {{"detail", "the workers have no room for the job"}, {"remedy", "submit it later"}});
    case AcceptOutcome::Unknown:
        break;
    }
    return answer(
        HttpStatus::GatewayTimeout, {{"detail", "the outcome is not known"}, {"remedy", "submit the same job again"}});
}

JobApi::JobApi(PartitionSeats &seats) : m_seats(seats)
{
}

bool JobApi::handle(const HttpRequest &request, const HttpServer::Responder &respond)
{
    if (!request.path.starts_with(Root)) {
        return false;
    }
    const std::vector<std::string> parts = split(std::string_view(request.path).substr(Root.size()));
    JobKeeper *keeper = m_seats.keeper(parts[0]);
    if (keeper == nullptr) {
        respond(answer(HttpStatus::MisdirectedRequest,
            {{"detail", "this instance does not own " + parts[0]}, {"remedy", "ask the present owner"}}));
        return true;
    }
    constexpr std::size_t CollectionParts = 2;
    constexpr std::size_t ItemParts = 3;
    const std::string collection = parts.size() >= CollectionParts ? parts[1] : std::string();
    if (collection == "jobs" && parts.size() == CollectionParts && request.method == "POST") {
        submit(*keeper, request, respond);
    } else if (collection == "jobs" && parts.size() == ItemParts && request.method == "GET") {
        status(*keeper, parts[2], respond);
    } else if (collection == "jobs" && parts.size() == ItemParts && request.method == "DELETE") {
        cancel(*keeper, parts[2], respond);
    } else if (collection == "room" && parts.size() == CollectionParts && request.method == "GET") {
        respond(answer(HttpStatus::Ok, describe(keeper->jobs().headrooms())));
    } else if (collection == "queues" && parts.size() == ItemParts && request.method == "GET") {
        respond(answer(HttpStatus::Ok, {{"waiting", keeper->waitingCount(parts[2])}}));
    } else {
        respond(answer(HttpStatus::NotFound, {{"detail", "no such call"}, {"remedy", "see docs/API.md"}}));
    }
    return true;
}

void JobApi::submit(JobKeeper &keeper, const HttpRequest &request, const HttpServer::Responder &respond)
{
    Result<JobRecord> record = parseJobRecord(request.body);
    if (const Error *error = errorOf(record)) {
        respond(answer(HttpStatus::BadRequest, {{"detail", error->detail}, {"remedy", error->remedy}}));
        return;
    }
    const bool here = request.parameter("placement") == "here";
    keeper.submit(std::get<JobRecord>(std::move(record)),
        here ? JobKeeper::Placement::Here : JobKeeper::Placement::Free,
        [respond](const AcceptResult &result) { respond(describeAccept(result)); });
}

void JobApi::cancel(JobKeeper &keeper, const std::string &id, const HttpServer::Responder &respond)
{
    keeper.cancel(id, [respond](bool known) {
        respond(known ? answer(HttpStatus::Ok, Json::object())
                      : answer(HttpStatus::NotFound, {{"detail", "no such job here"}}));
    });
}

void JobApi::status(const JobKeeper &keeper, const std::string &id, const HttpServer::Responder &respond)
{
    const std::optional<JobPhase> phase = keeper.phaseOf(id);
    respond(phase ? answer(HttpStatus::Ok, {{"phase", nameOf(*phase)}})
                  : answer(HttpStatus::NotFound, {{"detail", "no such job here"}}));
}

}
