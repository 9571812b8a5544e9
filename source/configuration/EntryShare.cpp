#include "configuration/EntryShare.h"

#include "configuration/StoreListingCodec.h"
#include "http/HttpStatus.h"

#include <algorithm>
#include <charconv>

namespace Wagtail
{

namespace
{

constexpr Milliseconds LongestWait {2'000};

std::uint64_t numberParameter(const HttpRequest &request, std::string_view name)
{
    const std::string text = request.parameter(name).value_or("");
    std::uint64_t number = 0;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    return error == std::errc() && end == last ? number : 0;
}

}

EntryShare::EntryShare(Environment environment, std::string path)
    : m_environment(std::move(environment)), m_path(std::move(path))
{
}

EntryShare::~EntryShare()
{
    *m_alive = false;
}

void EntryShare::entryChanged()
{
    m_changedAt = m_environment.entries.revision();
    m_listingRevision = 0;
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        if (waiting->after < m_changedAt) {
            waiting->respond({HttpStatus::Gone, {}, {}});
            waiting = m_waiting.erase(waiting);
        } else {
            ++waiting;
        }
    }
}

bool EntryShare::handle(const HttpRequest &request, const HttpServer::Responder &respond)
{
    if (request.path != m_path) {
        return false;
    }
    if (m_environment.entries.revision() == 0 || !m_environment.isCurrent()) {
        respond({HttpStatus::ServiceUnavailable, {}, {}});
    } else if (request.parameter("after")) {
        const auto wait = static_cast<std::int64_t>(
            std::min<std::uint64_t>(numberParameter(request, "wait_ms"), LongestWait.count()));
        await(numberParameter(request, "after"), Milliseconds(wait), respond);
    } else {
        answerListing(respond);
    }
    return true;
}

void EntryShare::answerListing(const HttpServer::Responder &respond)
{
    if (m_listingRevision != m_environment.entries.revision()) {
        m_listingRevision = m_environment.entries.revision();
        m_listing = serialize(m_environment.entries.snapshot());
    }
    respond({HttpStatus::Ok, {{"Content-Type", "application/octet-stream"}}, m_listing});
}

void EntryShare::await(StoreRevision after, Milliseconds wait, const HttpServer::Responder &respond)
{
    if (after < m_changedAt) {
        respond({HttpStatus::Gone, {}, {}});
        return;
    }
    const std::uint64_t number = ++m_lastNumber;
    m_waiting.push_back({number, after, respond});
    m_environment.scheduler.after(wait, [this, alive = m_alive, number] {
        if (*alive) {
            answerUnchanged(number);
        }
    });
}

void EntryShare::answerUnchanged(std::uint64_t number)
{
    const auto found = std::find_if(
        m_waiting.begin(), m_waiting.end(), [number](const Waiting &waiting) { return waiting.number == number; });
    if (found == m_waiting.end()) {
        return;
    }
    found->respond({m_environment.isCurrent() ? HttpStatus::Ok : HttpStatus::ServiceUnavailable, {}, {}});
    m_waiting.erase(found);
}

}
