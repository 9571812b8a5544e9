#pragma once

#include "base/Clock.h"
#include "base/Scheduler.h"
#include "configuration/VersionedEntries.h"
#include "http/HttpServer.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace Wagtail
{

// Serves this instance's copy of entries to other instances, which read it with a PeerEntrySource. Used on the control
// thread.
class EntryShare
{
public:
    struct Environment
    {
        const Clock &clock;
        Scheduler &scheduler;
        const VersionedEntries &entries;
        // Returns whether the store itself has confirmed the copy lately.
        std::function<bool()> isCurrent;
    };

    // Takes the path at which the copy is served.
    EntryShare(Environment environment, std::string path);
    ~EntryShare();
    EntryShare(const EntryShare &) = delete;
    EntryShare &operator=(const EntryShare &) = delete;

    // Must be called after each change of an entry.
    void entryChanged();

    // Answers a request for the copy, or for news of changes after a revision. Returns false for other paths.
    bool handle(const HttpRequest &request, const HttpServer::Responder &respond);

private:
    // A request that waits for a change.
    struct Waiting
    {
        std::uint64_t number = 0;
        StoreRevision after = 0;
        HttpServer::Responder respond;
    };

    void answerListing(const HttpServer::Responder &respond);
    void await(StoreRevision after, Milliseconds wait, const HttpServer::Responder &respond);
    void answerUnchanged(std::uint64_t number);

    Environment m_environment;
    std::string m_path;
    // The copy's revision when an entry last changed. The copy's own revision also rises without a change.
    StoreRevision m_changedAt = 0;
    std::list<Waiting> m_waiting;
    std::uint64_t m_lastNumber = 0;
    // The serialized copy and its revision.
    std::string m_listing;
    StoreRevision m_listingRevision = 0;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
