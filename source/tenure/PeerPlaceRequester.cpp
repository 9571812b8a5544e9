#include "tenure/PeerPlaceRequester.h"

#include "http/HttpStatus.h"

namespace Wagtail
{

namespace
{

// Places are held for a few seconds, within which the tasks have to arrive.
constexpr long TimeoutMilliseconds = 700;

std::optional<PlaceAnswer> parseAnswer(const HttpAnswer &answer)
{
    if (answer.delivery != Delivery::Answered || answer.status != HttpStatus::Ok) {
        return std::nullopt;
    }
    const Result<Json> document = parseJson(answer.body, "the owner's answer to a request for places");
    const Json *members = std::get_if<Json>(&document);
    return members == nullptr ? std::nullopt : std::optional(parsePlaceAnswer(*members));
}

}

PeerPlaceRequester::PeerPlaceRequester(Environment environment) : m_environment(std::move(environment))
{
}

PeerPlaceRequester::~PeerPlaceRequester()
{
    *m_alive = false;
}

void PeerPlaceRequester::request(const std::string &partition, const PlaceRequest &request, Handler handler)
{
    const std::optional<InstanceEntry> owner = m_environment.ownerOf(partition);
    if (!owner) {
        m_environment.scheduler.post([alive = m_alive, handler = std::move(handler)] {
            if (*alive) {
                handler(std::nullopt);
            }
        });
        return;
    }
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + owner->address + "/v1/partitions/" + partition + "/places";
    call.body = serialize(request);
    call.timeoutMilliseconds = TimeoutMilliseconds;
    m_environment.client.send(
        std::move(call), [alive = m_alive, handler = std::move(handler)](const HttpAnswer &answer) {
            if (*alive) {
                handler(parseAnswer(answer));
            }
        });
}

}
