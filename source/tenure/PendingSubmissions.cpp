#include "tenure/PendingSubmissions.h"

#include <utility>

namespace Wagtail
{

PendingSubmissions::~PendingSubmissions()
{
    for (const auto &[job, handlers] : std::exchange(m_handlers, {})) {
        for (const Handler &handler : handlers) {
            handler({AcceptOutcome::Unknown, {}});
        }
    }
}

bool PendingSubmissions::contains(const std::string &job) const
{
    return m_handlers.contains(job);
}

void PendingSubmissions::add(const std::string &job, Handler handler)
{
    m_handlers[job].push_back(std::move(handler));
}

void PendingSubmissions::finish(const std::string &job, const AcceptResult &result)
{
    const auto submission = m_handlers.extract(job);
    if (submission.empty()) {
        return;
    }
    for (const Handler &handler : submission.mapped()) {
        handler(result);
    }
}

}
