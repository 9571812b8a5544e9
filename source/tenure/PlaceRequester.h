#pragma once

#include "tenure/PlaceRequest.h"

#include <functional>
#include <optional>

namespace Wagtail
{

// Sends requests for places to the owners of other partitions.
class PlaceRequester
{
public:
    PlaceRequester() = default;
    PlaceRequester(const PlaceRequester &) = delete;
    PlaceRequester &operator=(const PlaceRequester &) = delete;
    virtual ~PlaceRequester() = default;

    // Takes the answer, or nothing if there is none or the owner is of a version that holds no places for others.
    using Handler = std::function<void(const std::optional<PlaceAnswer> &answer)>;

    // Sends a request to the owner of a partition. The handler is called later, and once.
    virtual void request(const std::string &partition, const PlaceRequest &request, Handler handler) = 0;
};

}
