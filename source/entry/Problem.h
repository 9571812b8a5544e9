#pragma once

#include "base/Error.h"
#include "base/Outcome.h"
#include "http/HttpMessages.h"

namespace Wagtail
{

// Returns the problem document (RFC 9457) of an error, with its remedy and what is known of the request's outcome.
[[nodiscard]] HttpResponse problem(const Error &error, Outcome outcome = Outcome::NotRun);

// Returns the HTTP status that stands for an error kind.
[[nodiscard]] int statusOf(ErrorKind kind);

}
