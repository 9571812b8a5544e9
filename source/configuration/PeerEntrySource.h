#pragma once

#include "base/JsonReader.h"
#include "http/HttpClient.h"
#include "store/EntrySource.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Wagtail
{

// Reads entries from the copies that other instances serve with an EntryShare, and from the store if there are none or
// none of them answers. A large entry then crosses the link between two regions only a few times, however many
// instances need it. Used on the control thread.
class PeerEntrySource final : public EntrySource
{
public:
    struct Environment
    {
        const Clock &clock;
        EntrySource &store;
        HttpClient &client;
        // Returns the addresses of the instances to read from, as ip:port, the preferred one first. None if this
        // instance reads from the store.
        std::function<std::vector<std::string>()> peers;
        std::function<void(std::string_view what, const std::string &subject, const Json &inputs)> log;
    };

    // Takes the path at which the other instances serve their copies.
    PeerEntrySource(Environment environment, std::string path);
    ~PeerEntrySource() override;
    PeerEntrySource(const PeerEntrySource &) = delete;
    PeerEntrySource &operator=(const PeerEntrySource &) = delete;

    void list(const std::string &prefix, Handler<StoreListing> handler) override;
    void watch(
        const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler) override;

    // Returns whether the store itself has answered lately, so that other instances may rely on what was read.
    [[nodiscard]] bool isCurrent() const;

private:
    using Peers = std::vector<std::string>;

    void listFrom(Peers peers, const std::string &prefix, Handler<StoreListing> handler);
    void watchFrom(
        Peers peers, const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler);
    [[nodiscard]] Peers usablePeers();
    [[nodiscard]] HttpCall callTo(const std::string &peer, const std::string &query, long timeoutMilliseconds) const;
    void noteAnswer(const std::string &peer, const HttpAnswer &answer, bool usable);
    // Returns whether the store is to be left alone although no peer has given a usable answer.
    [[nodiscard]] bool isAwaitingPeers() const;
    void noteSource(const std::string &source);
    void noteStoreAnswer(bool answered);

    Environment m_environment;
    std::string m_path;
    // Until when a peer that gave no usable answer is not asked again.
    std::map<std::string, Instant> m_avoidedUntil;
    // Since when peers have answered that the store has not confirmed their copies.
    std::optional<Instant> m_unconfirmedSince;
    std::optional<Instant> m_storeAnsweredAt;
    // The peer that was read last, or "store".
    std::string m_source;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
