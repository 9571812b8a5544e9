#include "PlatformLinks.h"

namespace Wagtail
{

namespace
{

Milliseconds milliseconds(const Json &order, const char *name)
{
    return Milliseconds(memberOr(order, name, std::int64_t {0}));
}

FaultyRelay::Faults faultsIn(const Json &order)
{
    FaultyRelay::Faults faults;
    faults.delay = milliseconds(order, "delay_ms");
    faults.delaySpread = milliseconds(order, "delay_spread_ms");
    faults.requestsCut = memberOr(order, "requests_cut", false);
    faults.answersCut = memberOr(order, "answers_cut", false);
    faults.partialAnswers = memberOr(order, "partial_answers", 0.0);
    faults.mostResetGap = milliseconds(order, "most_reset_gap_ms");
    faults.leastResetGap = std::min(milliseconds(order, "least_reset_gap_ms"), faults.mostResetGap);
    return faults;
}

}

PlatformLinks::PlatformLinks(asio::io_context &context) : m_context(context)
{
}

void PlatformLinks::add(const std::string &kind, std::uint16_t port, std::uint16_t targetPort)
{
    m_links[kind].push_back(std::make_unique<FaultyRelay>(m_context, port, targetPort));
}

void PlatformLinks::apply(const Json &order)
{
    const auto links = m_links.find(memberOr(order, "kind", std::string()));
    if (links == m_links.end()) {
        return;
    }
    const FaultyRelay::Faults faults = faultsIn(order);
    const std::size_t silenceEvery = memberOr(order, "silence_every", std::size_t {0});
    for (const std::size_t number : memberOr(order, "links", std::vector<std::size_t>())) {
        if (number >= links->second.size()) {
            continue;
        }
        FaultyRelay &link = *links->second[number];
        link.setFaults(faults);
        if (memberOr(order, "reset", false)) {
            link.resetConnections();
        }
        if (silenceEvery > 0) {
            link.silenceConnections(silenceEvery);
        }
    }
}

void PlatformLinks::noteRestart(const std::string &kind, std::size_t number)
{
    m_links.at(kind).at(number)->noteRestart();
}

Json PlatformLinks::counts() const
{
    Json kinds = Json::object();
    for (const auto &[kind, links] : m_links) {
        FaultyRelay::Counts sum;
        for (const auto &link : links) {
            sum.accepted += link->counts().accepted;
            sum.reset += link->counts().reset;
            sum.cutHeads += link->counts().cutHeads;
            sum.cutBodies += link->counts().cutBodies;
            sum.outdated += link->counts().outdated;
        }
        kinds[kind] = {{"accepted", sum.accepted}, {"reset", sum.reset}, {"cut_heads", sum.cutHeads},
            {"cut_bodies", sum.cutBodies}, {"outdated", sum.outdated}};
    }
    return kinds;
}

}
