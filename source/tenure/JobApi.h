#pragma once

#include "http/HttpServer.h"
#include "tenure/PartitionOwnership.h"

namespace Wagtail
{

// Returns an owner's response to a submission.
[[nodiscard]] HttpResponse submissionResponse(const AcceptResult &result);

// HTTP interface to the jobs of the partitions that this instance owns, for the other instances and for operators.
// docs/API.md lists the calls.
class JobApi
{
public:
    explicit JobApi(PartitionOwnership &ownership);

    // Handles a request. Returns false if the path does not belong to this interface.
    bool handle(const HttpRequest &request, const HttpServer::Responder &respond);

private:
    void submit(PartitionLeader &leader, const HttpRequest &request, const HttpServer::Responder &respond);
    static void holdPlaces(PartitionLeader &leader, const HttpRequest &request, const HttpServer::Responder &respond);
    void cancel(PartitionLeader &leader, const std::string &id, const HttpServer::Responder &respond);
    static void status(const PartitionLeader &leader, const std::string &id, const HttpServer::Responder &respond);

    PartitionOwnership &m_ownership;
};

}
