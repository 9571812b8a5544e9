#pragma once

#include "base/Clock.h"
#include "base/Scheduler.h"
#include "http/HttpClient.h"
#include "tenure/PartitionSeats.h"

namespace Wagtail
{

// Asks the owners of other partitions for their room, while this instance owns a partition itself, and tells it to the
// partitions that are owned here.
class RoomSurvey
{
public:
    struct Environment
    {
        Scheduler &scheduler;
        HttpClient &client;
        PartitionSeats &seats;
        const PartitionPlan &plan;
    };

    explicit RoomSurvey(Environment environment);
    ~RoomSurvey();
    RoomSurvey(const RoomSurvey &) = delete;
    RoomSurvey &operator=(const RoomSurvey &) = delete;

    void start();

private:
    void ask();
    void askOwner(const std::string &partition, const std::string &address);

    Environment m_environment;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
