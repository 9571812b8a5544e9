#pragma once

#include "base/Clock.h"
#include "http/HttpClient.h"
#include "tenure/InstanceEntry.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Wagtail
{

// Asks instances whether they would take a partition over now, and remembers those that would not. An entry in the
// store does not tell that its instance stops, has just started or is late itself.
class SuccessorQuery
{
public:
    // Instances are asked at this path.
    static constexpr const char *Path = "/v1/successor";
    // An instance that did not agree is not asked again for this time.
    static constexpr Milliseconds RefusalLifetime {5'000};

    SuccessorQuery(const Clock &clock, HttpClient &client);
    ~SuccessorQuery();
    SuccessorQuery(const SuccessorQuery &) = delete;
    SuccessorQuery &operator=(const SuccessorQuery &) = delete;

    // Asks an instance and calls the handler if it agrees. Only one instance is asked at a time.
    void ask(const InstanceEntry &instance, std::function<void()> agreed);

    [[nodiscard]] bool isPending() const;

    // Returns whether the instance has refused lately or did not answer.
    [[nodiscard]] bool hasRefused(const std::string &instance) const;

private:
    const Clock &m_clock;
    HttpClient &m_client;
    bool m_isPending = false;
    // When instances have refused, by name.
    std::map<std::string, Instant> m_refusals;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
