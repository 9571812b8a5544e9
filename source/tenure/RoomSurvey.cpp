#include "tenure/RoomSurvey.h"

#include "http/HttpStatus.h"

namespace Wagtail
{

namespace
{

// Lasting jobs arrive a few a second at most, so a room this old is off by little.
constexpr Milliseconds Period {1'000};
// An owner that does not answer in this time is taken to be busy or away; its last room stays in use.
constexpr long TimeoutMilliseconds = 700;

}

RoomSurvey::RoomSurvey(Environment environment) : m_environment(environment)
{
}

RoomSurvey::~RoomSurvey()
{
    *m_alive = false;
}

void RoomSurvey::start()
{
    ask();
    m_environment.scheduler.after(Period, [this, alive = m_alive] {
        if (*alive) {
            start();
        }
    });
}

void RoomSurvey::ask()
{
    const std::vector<std::string> partitions = m_environment.plan.partitions();
    const bool ownsAny = std::any_of(partitions.begin(), partitions.end(),
        [this](const std::string &partition) { return m_environment.seats.keeper(partition) != nullptr; });
    if (!ownsAny) {
        return;
    }
    for (const std::string &partition : partitions) {
        const std::optional<InstanceCard> owner = m_environment.seats.ownerOf(partition);
        const JobKeeper *keeper = m_environment.seats.keeper(partition);
        if (keeper != nullptr) {
            m_environment.seats.updateRoom(partition, keeper->jobs().headrooms());
        } else if (owner) {
            askOwner(partition, owner->address);
        }
    }
}

void RoomSurvey::askOwner(const std::string &partition, const std::string &address)
{
    HttpCall call;
    call.method = "GET";
    call.url = "http://" + address + "/v1/partitions/" + partition + "/room";
    call.timeoutMilliseconds = TimeoutMilliseconds;
    m_environment.client.send(std::move(call), [this, alive = m_alive, partition](const HttpAnswer &answer) {
        if (!*alive || answer.delivery != Delivery::Answered || answer.status != HttpStatus::Ok) {
            return;
        }
        const Result<Json> document = parseJson(answer.body, "the owner's room");
        if (const Json *rooms = std::get_if<Json>(&document)) {
            m_environment.seats.updateRoom(partition, parsePoolHeadrooms(*rooms));
        }
    });
}

}
