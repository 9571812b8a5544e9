#pragma once

#include "base/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace Wagtail
{

// The cancellations of jobs that no partition had accepted, as far as one of them may still be accepted by this
// partition. Its submission may be on its way through another instance, another owner or the store.
class EarlyCancellations
{
public:
    // No submission that was sent before its cancellation is carried out later than this.
    static constexpr Milliseconds Lifetime {60'000};

    explicit EarlyCancellations(const Clock &clock);

    // Keeps the job's cancellation from now on for its lifetime.
    void add(const std::string &job);

    // Forgets the job's cancellation, because the job is known.
    void remove(const std::string &job);

    [[nodiscard]] bool contains(const std::string &job) const;

    // Forgets the cancellations whose lifetime is over, and returns their jobs.
    [[nodiscard]] std::vector<std::string> removeExpired();

private:
    const Clock &m_clock;
    std::map<std::string, Instant> m_addedAt;
};

}
