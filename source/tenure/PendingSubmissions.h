#pragma once

#include "tenure/JobJournal.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Wagtail
{

// The submissions to a partition whose outcome is not known yet. All copies of a submission get the outcome of the
// first one, because a refusal says that the job never runs.
class PendingSubmissions
{
public:
    using Handler = std::function<void(const AcceptResult &)>;

    PendingSubmissions() = default;
    // Tells all who wait that the outcome is unknown.
    ~PendingSubmissions();
    PendingSubmissions(const PendingSubmissions &) = delete;
    PendingSubmissions &operator=(const PendingSubmissions &) = delete;

    [[nodiscard]] bool contains(const std::string &job) const;

    // Calls the handler with the outcome of the job's submission. Begins one if there is none.
    void add(const std::string &job, Handler handler);

    // Ends the job's submission.
    void finish(const std::string &job, const AcceptResult &result);

private:
    std::map<std::string, std::vector<Handler>> m_handlers;
};

}
