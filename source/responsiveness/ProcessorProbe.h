#pragma once

#include <chrono>

namespace Wagtail
{

// Measures how long this process takes for a fixed computation.
class ProcessorProbe
{
public:
    ProcessorProbe() = default;
    ProcessorProbe(const ProcessorProbe &) = delete;
    ProcessorProbe &operator=(const ProcessorProbe &) = delete;
    virtual ~ProcessorProbe() = default;

    // Runs the computation and returns the time that passed.
    [[nodiscard]] virtual std::chrono::nanoseconds run() = 0;
};

// Runs the computation on the calling thread. Takes some tens of microseconds on an idle processor.
class SystemProcessorProbe final : public ProcessorProbe
{
public:
    [[nodiscard]] std::chrono::nanoseconds run() override;
};

}
