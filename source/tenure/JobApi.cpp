#include "tenure/JobApi.h"

#include "http/HttpStatus.h"

#include <charconv>

namespace Wagtail
{

namespace
{

constexpr std::string_view PathPrefix = "/v1/partitions/";

HttpResponse jsonResponse(int status, const Json &document)
{
    return {status, {{"Content-Type", "application/json"}}, writeJson(document)};
}

// Splits a path such as "a/b/c" at the slashes.
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

HttpResponse submissionResponse(const AcceptResult &result)
{
    switch (result.outcome) {
    case AcceptOutcome::Accepted:
        return jsonResponse(HttpStatus::Ok, {{"partition", result.partition}});
    case AcceptOutcome::Exists:
        return jsonResponse(HttpStatus::Conflict, {{"partition", result.partition}});
    case AcceptOutcome::StoreUnavailable:
        return jsonResponse(
            HttpStatus::ServiceUnavailable, {{"detail", "the store is not answering"}, {"remedy", "retry later"}});
    case AcceptOutcome::Redirected:
        return jsonResponse(HttpStatus::SeeOther, {{"partition", result.partition}});
    case AcceptOutcome::Refused:
        return jsonResponse(HttpStatus::TooManyRequests,
            {{"detail", "the workers have no free capacity for the job"}, {"remedy", "submit it later"}});
    case AcceptOutcome::RefusedBefore:
        return jsonResponse(HttpStatus::PreconditionFailed,
            {{"refusal", result.refusal}, {"refusal_age_ms", result.refusalAge.count()},
                {"detail", "the job was refused before"},
                {"remedy", "name the refusal if the submission was received after it"}});
    case AcceptOutcome::Unknown:
        break;
    }
    return jsonResponse(HttpStatus::GatewayTimeout,
        {{"detail", "the outcome of the submission is unknown"}, {"remedy", "submit the same job again"}});
}

JobApi::JobApi(PartitionOwnership &ownership) : m_ownership(ownership)
{
}

bool JobApi::handle(const HttpRequest &request, const HttpServer::Responder &respond)
{
    if (request.path == SuccessorQuery::Path && request.method == "GET") {
        respond({m_ownership.mayTakeOver() ? HttpStatus::Ok : HttpStatus::ServiceUnavailable, {}, {}});
        return true;
    }
    if (!request.path.starts_with(PathPrefix)) {
        return false;
    }
    const std::vector<std::string> parts = split(std::string_view(request.path).substr(PathPrefix.size()));
    PartitionLeader *leader = m_ownership.leader(parts[0]);
    if (leader == nullptr) {
        respond(jsonResponse(HttpStatus::MisdirectedRequest,
            {{"detail", "this instance does not own partition " + parts[0]},
                {"remedy", "send the request to its owner"}}));
        return true;
    }
    constexpr std::size_t CollectionParts = 2;
    constexpr std::size_t ItemParts = 3;
    const std::string collection = parts.size() >= CollectionParts ? parts[1] : std::string();
    if (collection == "jobs" && parts.size() == CollectionParts && request.method == "POST") {
        submit(*leader, request, respond);
    } else if (collection == "jobs" && parts.size() == ItemParts && request.method == "GET") {
        status(*leader, parts[2], respond);
    } else if (collection == "jobs" && parts.size() == ItemParts && request.method == "DELETE") {
        cancel(*leader, parts[2], respond);
    } else if (collection == "places" && parts.size() == CollectionParts && request.method == "POST") {
        holdPlaces(*leader, request, respond);
    } else if (collection == "room" && parts.size() == CollectionParts && request.method == "GET") {
        respond(jsonResponse(HttpStatus::Ok, describe(leader->jobScheduler().headrooms())));
    } else if (collection == "queues" && parts.size() == ItemParts && request.method == "GET") {
        respond(jsonResponse(HttpStatus::Ok, {{"waiting", leader->waitingCount(parts[2])}}));
    } else {
        respond(
            jsonResponse(HttpStatus::NotFound, {{"detail", "unknown path or method"}, {"remedy", "see docs/API.md"}}));
    }
    return true;
}

void JobApi::submit(PartitionLeader &leader, const HttpRequest &request, const HttpServer::Responder &respond)
{
    Result<JobRecord> record = parseJobRecord(request.body);
    if (const Error *error = errorOf(record)) {
        respond(jsonResponse(HttpStatus::BadRequest, {{"detail", error->detail}, {"remedy", error->remedy}}));
        return;
    }
    const bool here = request.parameter("placement") == "here";
    const std::string refusalText = request.parameter("after_refusal").value_or("");
    StoreRevision refusal = MustNotExist;
    std::from_chars(refusalText.data(), refusalText.data() + refusalText.size(), refusal);
    leader.submit(
        std::get<JobRecord>(std::move(record)),
        here ? PartitionLeader::Placement::ThisPartition : PartitionLeader::Placement::AnyPartition,
        [respond](const AcceptResult &result) { respond(submissionResponse(result)); }, refusal);
}

void JobApi::holdPlaces(PartitionLeader &leader, const HttpRequest &request, const HttpServer::Responder &respond)
{
    const Result<PlaceRequest> places = parsePlaceRequest(request.body);
    if (const Error *error = errorOf(places)) {
        respond(jsonResponse(HttpStatus::BadRequest, {{"detail", error->detail}, {"remedy", error->remedy}}));
        return;
    }
    respond(jsonResponse(HttpStatus::Ok, describe(leader.holdPlaces(std::get<PlaceRequest>(places)))));
}

void JobApi::cancel(PartitionLeader &leader, const std::string &id, const HttpServer::Responder &respond)
{
    using CancelOutcome = PartitionLeader::CancelOutcome;
    leader.cancel(id, [respond](CancelOutcome outcome) {
        switch (outcome) {
        case CancelOutcome::Recorded:
            respond(jsonResponse(HttpStatus::Ok, Json::object()));
            return;
        case CancelOutcome::NotOwned:
            respond(jsonResponse(HttpStatus::NotFound, {{"detail", "no such job here"}}));
            return;
        case CancelOutcome::Unknown:
            break;
        }
        respond(jsonResponse(HttpStatus::GatewayTimeout,
            {{"detail", "it is not known whether the job is being accepted"}, {"remedy", "cancel it again"}}));
    });
}

void JobApi::status(const PartitionLeader &leader, const std::string &id, const HttpServer::Responder &respond)
{
    const std::optional<JobPhase> phase = leader.phaseOf(id);
    respond(phase ? jsonResponse(HttpStatus::Ok, {{"phase", nameOf(*phase)}})
                  : jsonResponse(HttpStatus::NotFound, {{"detail", "no such job here"}}));
}

}
