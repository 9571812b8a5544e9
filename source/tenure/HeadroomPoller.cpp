#include "tenure/HeadroomPoller.h"

#include "http/HttpStatus.h"

namespace Wagtail
{

namespace
{

// At most a few long-running jobs arrive per second, so headroom of this age is still nearly accurate.
constexpr Milliseconds PollPeriod {1'000};
// Long-running tasks that wait for room elsewhere should run again within a second or two.
constexpr Milliseconds UrgentPollPeriod {250};
// An owner that does not answer within this time is considered busy or unreachable. Its last headroom stays in use.
constexpr long TimeoutMilliseconds = 700;

}

HeadroomPoller::HeadroomPoller(Environment environment) : m_environment(environment)
{
}

HeadroomPoller::~HeadroomPoller()
{
    *m_alive = false;
}

void HeadroomPoller::start()
{
    review();
    m_environment.scheduler.after(UrgentPollPeriod, [this, alive = m_alive] {
        if (*alive) {
            start();
        }
    });
}

void HeadroomPoller::review()
{
    const Instant now = m_environment.clock.now();
    const Milliseconds period = m_environment.ownership.seeksRoom() ? UrgentPollPeriod : PollPeriod;
    if (m_polledAt != Instant() && now - m_polledAt < period) {
        return;
    }
    m_polledAt = now;
    poll();
}

void HeadroomPoller::poll()
{
    const std::vector<std::string> partitions = m_environment.plan.partitions();
    const bool ownsAny = std::any_of(partitions.begin(), partitions.end(),
        [this](const std::string &partition) { return m_environment.ownership.leader(partition) != nullptr; });
    if (!ownsAny) {
        return;
    }
    for (const std::string &partition : partitions) {
        const std::optional<InstanceEntry> owner = m_environment.ownership.ownerOf(partition);
        const PartitionLeader *leader = m_environment.ownership.leader(partition);
        if (leader != nullptr) {
            m_environment.ownership.updateHeadroom(partition, leader->jobScheduler().headrooms());
        } else if (owner) {
            askOwner(partition, owner->address);
        }
    }
}

void HeadroomPoller::askOwner(const std::string &partition, const std::string &address)
{
    HttpCall call;
    call.method = "GET";
    call.url = "http://" + address + "/v1/partitions/" + partition + "/room";
    call.timeoutMilliseconds = TimeoutMilliseconds;
    m_environment.client.send(std::move(call), [this, alive = m_alive, partition](const HttpAnswer &answer) {
        if (!*alive || answer.delivery != Delivery::Answered || answer.status != HttpStatus::Ok) {
            return;
        }
        const Result<Json> document = parseJson(answer.body, "the owner's headroom");
        if (const Json *headrooms = std::get_if<Json>(&document)) {
            m_environment.ownership.updateHeadroom(partition, parsePoolHeadrooms(*headrooms));
        }
    });
}

}
