#pragma once

#include <map>
#include <string>

namespace Wagtail
{

// Tracks how much work the jobs of each queue typically have, to tell what a job is worth beside others of its queue.
class QueueWorkEstimator
{
public:
    // Adds a job of a queue and returns its value, between 0.3 and 4. It has a fixed part, because callers wait for
    // small jobs as well, and a part that grows with its work relative to a typical job of the queue, whose value is 1.
    // The work is in core-milliseconds.
    double addJob(const std::string &queue, double work);

private:
    // Moving average of the work of a queue's jobs, in core-milliseconds.
    std::map<std::string, double> m_typicalWork;
};

}
