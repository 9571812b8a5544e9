#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// How long after it left a worker may still carry out a call that got no answer.
constexpr Milliseconds LongestLateCall {6'000};

}
