#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// The clock of the machine.
class SystemClock final : public Clock
{
public:
    [[nodiscard]] Instant now() const override;
    [[nodiscard]] std::int64_t wallMilliseconds() const override;
};

}
