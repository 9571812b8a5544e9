#pragma once

#include "http/HttpClient.h"
#include "store/Store.h"

#include <string>

namespace Wagtail
{

// Speaks the protocol of the platform's store, as docs/PLATFORM.md states it.
class HttpStore final : public Store
{
public:
    // The base address has the form http://ip:port. The timeout holds for each call but watches, which add their wait.
    HttpStore(HttpClient &client, std::string baseAddress, Milliseconds timeout);

    void read(const std::string &key, Handler<std::optional<StoreEntry>> handler) override;
    void list(const std::string &prefix, Handler<StoreListing> handler) override;
    void write(StoreWrite write, Handler<StoreRevision> handler) override;
    void commit(StoreTransaction transaction, Handler<StoreTransactionResult> handler) override;
    void erase(const std::string &key, std::optional<StoreRevision> expected, Handler<std::monostate> handler) override;
    void eraseRange(const std::string &first, const std::string &end, Handler<std::monostate> handler) override;
    void grantLease(Milliseconds duration, Handler<LeaseIdentifier> handler) override;
    void renewLease(LeaseIdentifier lease, Handler<std::monostate> handler) override;
    void revokeLease(LeaseIdentifier lease, Handler<std::monostate> handler) override;
    void watch(
        const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler) override;

private:
    [[nodiscard]] HttpCall call(std::string method, const std::string &target, std::string body = {}) const;
    void acknowledge(HttpCall call, Handler<std::monostate> handler);

    HttpClient &m_client;
    std::string m_baseAddress;
    Milliseconds m_timeout;
};

}
