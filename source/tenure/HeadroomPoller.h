#pragma once

#include "base/Clock.h"
#include "base/Scheduler.h"
#include "http/HttpClient.h"
#include "tenure/PartitionOwnership.h"

namespace Wagtail
{

// Polls the owners of the other partitions for their headroom and passes it to the partitions that this instance owns.
// Polls only while this instance owns a partition.
class HeadroomPoller
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        HttpClient &client;
        PartitionOwnership &ownership;
        const PartitionPlan &plan;
    };

    explicit HeadroomPoller(Environment environment);
    ~HeadroomPoller();
    HeadroomPoller(const HeadroomPoller &) = delete;
    HeadroomPoller &operator=(const HeadroomPoller &) = delete;

    void start();

private:
    // Polls if a poll is due.
    void review();
    void poll();
    void askOwner(const std::string &partition, const std::string &address);

    Environment m_environment;
    Instant m_polledAt;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
