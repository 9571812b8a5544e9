#pragma once

#include "http/HttpServer.h"
#include "tenure/PartitionSeats.h"

namespace Wagtail
{

// Returns how an owner answers a submission.
[[nodiscard]] HttpResponse describeAccept(const AcceptResult &result);

// Serves the jobs of the partitions that this instance owns, to the other instances and to operators.
// docs/API.md lists the calls.
class JobApi
{
public:
    explicit JobApi(PartitionSeats &seats);

    // Answers a call. Returns false when the path is not one of this interface.
    bool handle(const HttpRequest &request, const HttpServer::Responder &respond);

private:
    void submit(JobKeeper &keeper, const HttpRequest &request, const HttpServer::Responder &respond);
    void cancel(JobKeeper &keeper, const std::string &id, const HttpServer::Responder &respond);
    static void status(const JobKeeper &keeper, const std::string &id, const HttpServer::Responder &respond);

    PartitionSeats &m_seats;
};

}
