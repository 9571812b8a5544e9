#pragma once

#include "FaultyRelay.h"
#include "base/JsonReader.h"

#include <map>
#include <string>

namespace Wagtail
{

// The relays between the parts of a deployment. Each belongs to a kind, named after what it leads to, and is numbered
// within it.
class PlatformLinks
{
public:
    explicit PlatformLinks(asio::io_context &context);

    void add(const std::string &kind, std::uint16_t port, std::uint16_t targetPort);

    // Changes the links whose numbers an order lists. Every order states all of their faults; what it does not name is
    // over.
    void apply(const Json &order);

    // A life of a link's target ends.
    void noteRestart(const std::string &kind, std::size_t number);

    // Returns what the links of each kind have counted.
    [[nodiscard]] Json counts() const;

private:
    asio::io_context &m_context;
    std::map<std::string, std::vector<std::unique_ptr<FaultyRelay>>> m_links;
};

}
