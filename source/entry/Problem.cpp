#include "entry/Problem.h"

#include "base/JsonReader.h"

#include <random>

namespace Wagtail
{

namespace
{

// Returns a random delay in seconds, so that the retries of many callers are spread over time.
std::string retryAfter()
{
    thread_local std::mt19937 generator {std::random_device {}()};
    return std::to_string(std::uniform_int_distribution<int>(1, 4)(generator));
}

}

int statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::TooLarge:
        return 413;
    case ErrorKind::Impossible:
        return 422;
    case ErrorKind::Overloaded:
        return 429;
    case ErrorKind::DeadlineExceeded:
        return 504;
    case ErrorKind::NoRoom:
    case ErrorKind::Unavailable:
    case ErrorKind::StoreUnavailable:
    case ErrorKind::NotOwner:
    case ErrorKind::StaleToken:
        return 503;
    case ErrorKind::UnsupportedProtocol:
    case ErrorKind::Internal:
        break;
    }
    return 502;
}

HttpResponse problem(const Error &error, Outcome outcome)
{
    constexpr int StatusTooMany = 429;
    constexpr int StatusUnavailable = 503;
    HttpResponse response;
    response.status = statusOf(error.kind);
    response.headers
        = {{"Content-Type", "application/problem+json"}, {"Wagtail-Outcome", std::string(nameOf(outcome))}};
    if (response.status == StatusTooMany || response.status == StatusUnavailable) {
        response.headers.push_back({"Retry-After", retryAfter()});
    }
    response.body = writeJson({{"type", "urn:wagtailbank:" + std::string(nameOf(error.kind))},
        {"title", nameOf(error.kind)}, {"status", response.status}, {"detail", error.detail}, {"remedy", error.remedy},
        {"outcome", nameOf(outcome)}});
    return response;
}

}
