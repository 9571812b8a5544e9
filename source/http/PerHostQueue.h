#pragma once

#include "base/Clock.h"
#include "base/Scheduler.h"
#include "http/HttpClient.h"

#include <memory>

namespace Wagtail
{

// Passes calls on to a client so that only a few are open to one host and port at a time. The others wait here in the
// order in which they came. The wait counts into the timeout of a call; one that has not left by then is answered as
// not sent.
//
// A host may grant a limited number of connections, and those of a process that loses power stay taken there. Therefore
// each process may hold only a part of them. Calls that must not wait for those of another kind use a queue of their
// own.
class PerHostQueue final : public HttpClient
{
public:
    PerHostQueue(const Clock &clock, Scheduler &scheduler, HttpClient &client, int openPerHost);
    ~PerHostQueue() override;

    void send(HttpCall call, Handler handler) override;

private:
    class Implementation;
    std::shared_ptr<Implementation> m_implementation;
};

}
