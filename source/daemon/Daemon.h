#pragma once

#include "base/Error.h"
#include "settings/Settings.h"

#include <memory>

namespace Wagtail
{

// A running instance with its threads, connections and control state.
class Daemon
{
public:
    // Creates an instance and opens its listening sockets. Fails with Unavailable when an address can't be bound.
    [[nodiscard]] static Result<std::unique_ptr<Daemon>> create(const Settings &settings);

    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    // Serves until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit status.
    int run();

private:
    class Implementation;

    explicit Daemon(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

}
