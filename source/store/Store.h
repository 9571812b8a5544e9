#pragma once

#include "store/EntrySource.h"

namespace Wagtail
{

// The platform's key-value store, with leases, transactions and watches. Handlers are called on the control thread.
// After StoreUnavailable the effect of the call is unknown; after Conflict it had none.
class Store : public EntrySource
{
public:
    // Reads one key. The result is empty if the key does not exist.
    virtual void read(const std::string &key, Handler<std::optional<StoreEntry>> handler) = 0;

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
};

}
