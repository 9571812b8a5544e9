#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "store/StoreMessages.h"

#include <functional>

namespace Wagtail
{

// Where entries below a prefix and their changes can be read. Handlers are called on the control thread.
class EntrySource
{
public:
    template<typename Value> using Handler = std::function<void(Result<Value>)>;

    EntrySource() = default;
    EntrySource(const EntrySource &) = delete;
    EntrySource &operator=(const EntrySource &) = delete;
    virtual ~EntrySource() = default;

    // Lists all entries whose keys have the prefix.
    virtual void list(const std::string &prefix, Handler<StoreListing> handler) = 0;

    // Waits at most the given time for changes after a revision. Fails with NotFound if the source can't tell the
    // changes since that revision; the caller must then list the prefix again.
    virtual void watch(const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler)
        = 0;
};

}
