#pragma once

#include "base/Clock.h"
#include "base/Error.h"
#include "store/StoreMessages.h"

#include <functional>

namespace Wagtail
{

// The platform's key-value store, with leases, transactions and watches. Handlers are called on the control thread.
// After StoreUnavailable the effect of the call is unknown; after Conflict it had none.
class Store
{
public:
    template<typename Value> using Handler = std::function<void(Result<Value>)>;

    Store() = default;
    Store(const Store &) = delete;
    Store &operator=(const Store &) = delete;
    virtual ~Store() = default;

    // Reads one key. The result is empty if the key does not exist.
    virtual void read(const std::string &key, Handler<std::optional<StoreEntry>> handler) = 0;

    // Lists all entries whose keys have the prefix.
    virtual void list(const std::string &prefix, Handler<StoreListing> handler) = 0;

    // Writes one key. Fails with Conflict if the key does not have the expected revision.
    virtual void write(StoreWrite write, Handler<StoreRevision> handler) = 0;

    // Applies all changes at one revision if every condition holds. A condition that does not hold is not an error but
    // gives an uncommitted result. Fails with NotFound if a lease of the transaction has expired.
    virtual void commit(StoreTransaction transaction, Handler<StoreTransactionResult> handler) = 0;

    // Erases one key. Fails with Conflict if the key does not have the expected revision.
    virtual void erase(const std::string &key, std::optional<StoreRevision> expected, Handler<std::monostate> handler)
        = 0;

    // Erases all keys from first (inclusive) to end (exclusive).
    virtual void eraseRange(const std::string &first, const std::string &end, Handler<std::monostate> handler) = 0;

    // Grants a lease that expires after the duration unless it is renewed.
    virtual void grantLease(Milliseconds duration, Handler<LeaseIdentifier> handler) = 0;

    // Renews a lease for its duration. Fails with NotFound if it has expired.
    virtual void renewLease(LeaseIdentifier lease, Handler<std::monostate> handler) = 0;

    // Ends a lease and erases the keys that are attached to it.
    virtual void revokeLease(LeaseIdentifier lease, Handler<std::monostate> handler) = 0;

    // Waits at most the given time for changes after a revision. Fails with NotFound if the store's history no longer
    // reaches back to that revision; the caller must then list the prefix again.
    virtual void watch(const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler)
        = 0;
};

}
