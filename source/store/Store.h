#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "store/StoreMessages.h"

#include <functional>

namespace Wagtail
{

// The platform's key-value store. Answers arrive on the control thread.
// StoreUnavailable means that the effect of the call is not known; Conflict means that it had none.
class Store
{
public:
    template<typename Value> using Handler = std::function<void(Result<Value>)>;

    Store() = default;
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;
    virtual ~Store() = default;

    // Reads one key; the result is empty when it does not exist.
    virtual void read(const std::string &key, Handler<std::optional<StoreEntry>> handler) = 0;

    // Lists all keys with a prefix.
    virtual void list(const std::string &prefix, Handler<StoreListing> handler) = 0;

    // Writes one key. Fails with Conflict when the expected revision is not the present one.
    virtual void write(StoreWrite write, Handler<StoreRevision> handler) = 0;

    // Applies all changes at one revision if every condition holds. A refusal by a condition is no error but an
    // uncommitted result. Fails with NotFound when a named lease has lapsed.
    virtual void commit(StoreTransaction transaction, Handler<StoreTransactionResult> handler) = 0;

    // Erases one key. Fails with Conflict when the expected revision is not the present one.
    virtual void erase(const std::string &key, std::optional<StoreRevision> expected, Handler<std::monostate> handler)
        = 0;

    // Erases the keys from the first, included, to the end, not included.
    virtual void eraseRange(const std::string &first, const std::string &end, Handler<std::monostate> handler) = 0;

    virtual void grantLease(Milliseconds duration, Handler<LeaseIdentifier> handler) = 0;

    // Extends a lease by its duration. Fails with NotFound when it has lapsed.
    virtual void renewLease(LeaseIdentifier lease, Handler<std::monostate> handler) = 0;

    // Ends a lease and erases the keys attached to it.
    virtual void revokeLease(LeaseIdentifier lease, Handler<std::monostate> handler) = 0;

    // Waits for changes after a revision. Fails with NotFound when the store no longer has them: list again.
    virtual void watch(const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler)
        = 0;
};

}
