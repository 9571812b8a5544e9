#pragma once

#include "base/JsonReader.h"
#include "base/Scheduler.h"
#include "http/HttpClient.h"
#include "http/HttpServer.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// Reaches the store directly, or through another instance while the store turns this one away or is cut off from it.
// Also answers the other instances' relayed calls.
class StoreRelay final : public HttpClient
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        HttpClient &client;
        // Returns a cheap read of the store, to find out whether it answers.
        std::function<HttpCall()> probe;
        // Returns the addresses of the other instances, as ip:port, nearest first.
        std::function<std::vector<std::string>()> peers;
        std::function<void(std::string_view what, const std::string &subject, const Json &inputs)> log;
    };

    explicit StoreRelay(Environment environment);
    ~StoreRelay() override;

    // Sends a call to the store. The handler gets the store's answer by whichever way it came.
    void send(HttpCall call, Handler handler) override;

    // Answers another instance's call for the store, or its question whether the store answers here. Returns false
    // when the path is neither.
    bool handle(const HttpRequest &request, const HttpServer::Responder &respond);

    // Asks the other instances whether the store answers them. Call it while no call succeeds.
    void survey();

    // Returns whether the store was found to answer neither this instance nor at least half of the others, and none of
    // them lately.
    [[nodiscard]] bool isOutageConfirmed() const;

    // Returns whether the store answered this instance directly within the last moments.
    [[nodiscard]] bool answersDirectly() const;

private:
    void sendDirectly(HttpCall call, Handler handler);
    void sendThroughPeer(HttpCall call, Handler handler);
    void noteDirect(bool answered);
    void probeLater();
    [[nodiscard]] std::string relayPeer() const;

    Environment m_environment;
    int m_failuresInRow = 0;
    bool m_relaying = false;
    std::size_t m_nextPeer = 0;
    std::optional<Instant> m_lastDirectAnswer;
    // The other instances that reached the store at the last survey.
    std::vector<std::string> m_reaching;
    std::optional<Instant> m_outageConfirmedAt;
    std::optional<Instant> m_lastSurvey;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
