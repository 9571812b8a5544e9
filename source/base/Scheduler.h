#pragma once

#include "base/Clock.h"

#include <functional>

namespace Wagtail
{

// Runs functions on the control thread.
class Scheduler
{
public:
    Scheduler() = default;
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;
    virtual ~Scheduler() = default;

    // Runs the function soon, after the present one.
    virtual void post(std::function<void()> action) = 0;

    // Runs the function after a delay.
    virtual void after(Milliseconds delay, std::function<void()> action) = 0;
};

}
