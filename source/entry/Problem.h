#pragma once

#include "base/Error.h"
#include "base/Outcome.h"
#include "http/HttpMessages.h"

namespace Wagtail
{

// Returns the response that reports an error as a problem document (RFC 9457), with its remedy and with what is known
// about whether the request ran.
[[nodiscard]] HttpResponse problem(const Error &error, Outcome outcome = Outcome::NotRun);

// Returns the HTTP status code of an error kind.
[[nodiscard]] int statusOf(ErrorKind kind);

}
