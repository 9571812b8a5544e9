#pragma once

#include "base/Clock.h"
#include "base/Error.h"

#include <functional>
#include <string>

namespace Wagtail
{

// The version of the messages between daemons. A daemon refuses every other version.
constexpr int PeerProtocolVersion = 1;

// A message between daemons: its kind and its msgpack body.
struct PeerMessage
{
    std::string kind;
    std::string body;
    int protocolVersion = PeerProtocolVersion;
};

// Calls other daemons. Unavailable means that the call did not leave; Internal that its effect is not known.
class PeerCaller
{
public:
    using Handler = std::function<void(Result<std::string>)>;

    PeerCaller() = default;
    PeerCaller(const PeerCaller &) = delete;
    PeerCaller &operator=(const PeerCaller &) = delete;
    virtual ~PeerCaller() = default;

    // Sends a message to the daemon at ip:port and passes its answer on exactly once.
    virtual void call(const std::string &address, PeerMessage message, Milliseconds timeout, Handler handler) = 0;
};

// Answers the messages of other daemons.
using PeerReply = std::function<void(Result<std::string>)>;
using PeerHandler = std::function<void(PeerMessage, PeerReply)>;

}
