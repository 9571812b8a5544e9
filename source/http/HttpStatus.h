#pragma once

// The HTTP status codes that several slices use.
namespace Wagtail::HttpStatus
{

constexpr int Ok = 200;
constexpr int SeeOther = 303;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr int Conflict = 409;
constexpr int Gone = 410;
constexpr int PreconditionFailed = 412;
constexpr int MisdirectedRequest = 421;
constexpr int TooManyRequests = 429;
constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

}
