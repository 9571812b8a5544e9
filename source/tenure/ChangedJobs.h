#pragma once

#include <optional>
#include <set>
#include <string>

namespace Wagtail
{

// The jobs whose progress has to be written. They are written in rounds, so that each change is written after at most
// one other write of each job, however many jobs change meanwhile.
// Load pattern: a burst beside a slow store, in which jobs change faster than they are written.
class ChangedJobs
{
public:
    void add(const std::string &job);

    // Forgets a job that is written otherwise.
    void erase(const std::string &job);

    [[nodiscard]] bool isEmpty() const;

    // Begins a round with all jobs that have changed up to now. Returns false if there is one already.
    bool beginRound();

    [[nodiscard]] bool hasRound() const;

    // Returns whether all jobs of the round have been taken.
    [[nodiscard]] bool isRoundTaken() const;

    void endRound();

    // Ends the round before all of its jobs are written. They become part of the next one.
    void abandonRound();

    // Takes the next job except the given ones, those of the round first.
    [[nodiscard]] std::optional<std::string> take(const std::set<std::string> &except);

private:
    bool m_hasRound = false;
    std::set<std::string> m_round;
    // The jobs that have changed since the round began.
    std::set<std::string> m_later;
};

}
