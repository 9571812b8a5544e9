#pragma once

#include "entry/ConfigurationService.h"
#include "http/HttpServer.h"
#include "metrics/Metrics.h"
#include "routing/PeerFanOut.h"
#include "routing/RequestRouter.h"
#include "routing/TaskRouter.h"

#include <functional>
#include <string>
#include <vector>

namespace Wagtail
{

// The HTTP interface for callers and operators, which docs/API.md specifies. Used on the control thread.
class HttpApi
{
public:
    struct Context
    {
        const Clock &clock;
        Scheduler &scheduler;
        RequestRouter &requests;
        TaskRouter &tasks;
        ConfigurationService &configuration;
        PartitionManager &partitions;
        PeerFanOut &fanOut;
        ProfileCatalog &profiles;
        VersionedEntries &entries;
        Timeline &timeline;
        Metrics &metrics;
        const Settings &settings;
        std::string instance;
        // Returns why this instance is not ready, or an empty text when it is.
        std::function<std::string()> notReadyReason;
    };

    explicit HttpApi(Context context);

    // Dispatches a request by its path and responds exactly once, possibly later.
    void handle(HttpRequest request, HttpServer::Responder respond);

    // Returns this instance's part of the status answer: its partitions and the workers that it owns.
    [[nodiscard]] Json localStatus();

    // Returns the events in this instance's timeline that match a filter, given in its JSON form.
    [[nodiscard]] Json localEvents(const Json &filter);

private:
    using Respond = HttpServer::Responder;

    void handleRequest(HttpRequest request, const Respond &respond);
    void handleTasks(const HttpRequest &request, const Respond &respond, const std::string &requiredClass);
    void submitTask(const HttpRequest &request, const Respond &respond, const std::string &requiredClass);
    void waitForTask(const std::string &task, Instant until, const Respond &respond);
    void handleProfiles(const HttpRequest &request, const Respond &respond);
    void putProfile(const HttpRequest &request, const std::string &name, const Respond &respond);
    void listProfiles(const Respond &respond);
    void showProfile(const std::string &name, const Respond &respond);
    void handleTeams(const HttpRequest &request, const Respond &respond);
    void handleWorkers(const HttpRequest &request, const Respond &respond);
    void setWorkerState(const std::string &worker, const std::string &verb, const Respond &respond);
    void listWorkers(const Respond &respond);
    void explainWorker(const std::string &worker, const Respond &respond);
    void handleTimeline(const HttpRequest &request, const Respond &respond);
    void handleStatus(const Respond &respond);
    [[nodiscard]] static std::vector<std::string> segments(const std::string &path);
    [[nodiscard]] static Result<ChangeCondition> conditionOf(const HttpRequest &request);
    [[nodiscard]] std::function<void(Result<StoreRevision>)> changeHandler(const Respond &respond, int status) const;

    Context m_context;
};

}
