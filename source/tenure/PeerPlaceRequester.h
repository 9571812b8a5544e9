#pragma once

#include "base/Scheduler.h"
#include "http/HttpClient.h"
#include "tenure/InstanceEntry.h"
#include "tenure/PlaceRequester.h"

namespace Wagtail
{

// Requests places over HTTP from the instances that own the partitions.
class PeerPlaceRequester final : public PlaceRequester
{
public:
    struct Environment
    {
        Scheduler &scheduler;
        HttpClient &client;
        // Returns the owner of a partition, if one is known.
        std::function<std::optional<InstanceEntry>(const std::string &partition)> ownerOf;
    };

    explicit PeerPlaceRequester(Environment environment);
    ~PeerPlaceRequester() override;
    PeerPlaceRequester(const PeerPlaceRequester &) = delete;
    PeerPlaceRequester &operator=(const PeerPlaceRequester &) = delete;

    void request(const std::string &partition, const PlaceRequest &request, Handler handler) override;

private:
    Environment m_environment;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
