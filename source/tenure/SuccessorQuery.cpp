#include "tenure/SuccessorQuery.h"

#include "http/HttpStatus.h"

namespace Wagtail
{

namespace
{

constexpr long TimeoutMilliseconds = 1'000;

}

SuccessorQuery::SuccessorQuery(const Clock &clock, HttpClient &client) : m_clock(clock), m_client(client)
{
}

SuccessorQuery::~SuccessorQuery()
{
    *m_alive = false;
}

void SuccessorQuery::ask(const InstanceEntry &instance, std::function<void()> agreed)
{
    m_isPending = true;
    HttpCall call;
    call.method = "GET";
    call.url = "http://" + instance.address + Path;
    call.timeoutMilliseconds = TimeoutMilliseconds;
    m_client.send(std::move(call),
        [this, alive = m_alive, name = instance.name, agreed = std::move(agreed)](const HttpAnswer &answer) {
            if (!*alive) {
                return;
            }
            m_isPending = false;
            if (answer.delivery == Delivery::Answered && answer.status == HttpStatus::Ok) {
                m_refusals.erase(name);
                agreed();
            } else {
                m_refusals[name] = m_clock.now();
            }
        });
}

bool SuccessorQuery::isPending() const
{
    return m_isPending;
}

bool SuccessorQuery::hasRefused(const std::string &instance) const
{
    const auto refusal = m_refusals.find(instance);
    return refusal != m_refusals.end() && m_clock.now() - refusal->second < RefusalLifetime;
}

}
