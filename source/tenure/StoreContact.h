#pragma once

#include "base/Clock.h"
#include "store/Store.h"

#include <functional>
#include <memory>
#include <string>

namespace Wagtail
{

// Tells how lately the store has answered. A transaction that is sent to a store that is away can't be withdrawn and
// may take effect when the store is back, so what must not wait for that is decided by this before it is sent.
class StoreContact
{
public:
    // Takes a key to read when the store is asked, and what to do when it has answered that.
    StoreContact(const Clock &clock, Store &store, std::string key, std::function<void()> onAnswer);
    ~StoreContact();
    StoreContact(const StoreContact &) = delete;
    StoreContact &operator=(const StoreContact &) = delete;

    // Notes that the store has answered another request.
    void noteAnswer();

    // Returns whether the store has answered within this time.
    [[nodiscard]] bool hasAnsweredWithin(Milliseconds time) const;

    // Asks the store for an answer, unless one is awaited.
    void ask();

private:
    const Clock &m_clock;
    Store &m_store;
    std::string m_key;
    std::function<void()> m_onAnswer;
    std::optional<Instant> m_answeredAt;
    bool m_isAsking = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}
