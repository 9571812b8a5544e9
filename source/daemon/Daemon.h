#pragma once

#include "base/Error.h"
#include "settings/Settings.h"

#include <memory>

namespace Wagtail
{

// One running instance: its threads, its connections and its control state.
class Daemon
{
public:
    // Opens the listening sockets. Fails with Unavailable when an address can't be bound.
    [[nodiscard]] static Result<std::unique_ptr<Daemon>> create(const Settings &settings);

    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    // Serves until a SIGTERM or SIGINT has been answered by a graceful shutdown. Returns the exit status.
    int run();

private:
    class Implementation;

    explicit Daemon(std::unique_ptr<Implementation> implementation);

    std::unique_ptr<Implementation> m_implementation;
};

}
