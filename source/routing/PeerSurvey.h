#pragma once

#include "base/Scheduler.h"
#include "configuration/VersionedEntries.h"
#include "membership/PeerDirectory.h"
#include "peers/PeerEndpoint.h"
#include "timeline/Timeline.h"

#include <functional>
#include <string>
#include <vector>

namespace Wagtail
{

// Asks all other instances the same question. Used on the control thread.
class PeerSurvey
{
public:
    struct Context
    {
        Scheduler &scheduler;
        PeerDirectory &peers;
        PeerCaller &caller;
        VersionedEntries &entries;
        Timeline &timeline;
        std::string instance;
    };

    // Gets the answers, and a list of the instances that gave none.
    using Handler = std::function<void(std::vector<Json> answers, Json unasked)>;

    explicit PeerSurvey(Context context);

    void ask(const std::string &kind, const Json &question, Handler handler);

private:
    struct Gathering;

    [[nodiscard]] std::map<std::string, std::string> targets() const;

    Context m_context;
};

}
