#pragma once

#include "StandinStore.h"
#include "store/Store.h"
#include "testing/ManualScheduler.h"

namespace Wagtail
{

// A store over the stand-in's state that can be down and can lose answers after taking effect.
// Each client may also be cut off from it alone.
class FaultyStore final : public Store
{
public:
    FaultyStore(StandinStore &state, Scheduler &scheduler) : m_state(state), m_scheduler(scheduler)
    {
    }

    bool down = false;
    int loseAnswers = 0;
    Milliseconds delay {1};
    // How many listings and watches were asked for.
    int lists = 0;
    int watches = 0;
    // Whether the history never reaches back to the revision of a watch.
    bool hasNoHistory = false;

    void read(const std::string &key, Handler<std::optional<StoreEntry>> handler) override
    {
        answer<std::optional<StoreEntry>>([this, key] { return m_state.read(key); }, std::move(handler), Effect::None);
    }

    void list(const std::string &prefix, Handler<StoreListing> handler) override
    {
        ++lists;
        answer<StoreListing>([this, prefix] { return m_state.list(prefix); }, std::move(handler), Effect::None);
    }

    void write(StoreWrite write, Handler<StoreRevision> handler) override
    {
        answer<StoreRevision>(
            [this, write = std::move(write)] { return m_state.write(write); }, std::move(handler), Effect::Changes);
    }

    void commit(StoreTransaction transaction, Handler<StoreTransactionResult> handler) override
    {
        answer<StoreTransactionResult>(
            [this, transaction = std::move(transaction)] { return m_state.commit(transaction); }, std::move(handler),
            Effect::Changes);
    }

    void erase(const std::string &key, std::optional<StoreRevision> expected, Handler<std::monostate> handler) override
    {
        answer<std::monostate>(
            [this, key, expected] { return m_state.erase(key, expected); }, std::move(handler), Effect::Changes);
    }

    void eraseRange(const std::string &first, const std::string &end, Handler<std::monostate> handler) override
    {
        const auto work = [this, first, end] {
            m_state.eraseRange(first, end);
            return Status(std::monostate());
        };
        answer<std::monostate>(work, std::move(handler), Effect::Changes);
    }

    void grantLease(Milliseconds duration, Handler<LeaseIdentifier> handler) override
    {
        answer<LeaseIdentifier>(
            [this, duration] { return m_state.grantLease(duration); }, std::move(handler), Effect::Changes);
    }

    void renewLease(LeaseIdentifier lease, Handler<std::monostate> handler) override
    {
        answer<std::monostate>(
            [this, lease] { return m_state.renewLease(lease); }, std::move(handler), Effect::Changes);
    }

    void revokeLease(LeaseIdentifier lease, Handler<std::monostate> handler) override
    {
        const auto work = [this, lease] {
            m_state.revokeLease(lease);
            return Status(std::monostate());
        };
        answer<std::monostate>(work, std::move(handler), Effect::Changes);
    }

    void watch(const std::string &prefix, StoreRevision after, Milliseconds wait, Handler<StoreEvents> handler) override
    {
        ++watches;
        if (down) {
            fail<StoreEvents>(std::move(handler));
            return;
        }
        if (hasNoHistory) {
            m_scheduler.after(delay, [handler = std::move(handler)] {
                handler(Error {ErrorKind::NotFound, "the revision is not in the history", "list again"});
            });
            return;
        }
        m_state.watch(prefix, after, wait, [this, handler = std::move(handler)](Result<StoreEvents> result) {
            if (down) {
                // The answer to a watch that began before does not arrive either.
                fail<StoreEvents>(handler);
                return;
            }
            m_scheduler.post([handler, result = std::move(result)] { handler(result); });
        });
    }

private:
    enum class Effect {
        None,
        Changes,
    };

    template<typename Value> void fail(Handler<Value> handler)
    {
        m_scheduler.after(delay, [handler = std::move(handler)] {
            handler(Error {ErrorKind::StoreUnavailable, "the store is down", "retry"});
        });
    }

    template<typename Value, typename Work> void answer(Work work, Handler<Value> handler, Effect effect)
    {
        if (down) {
            fail<Value>(std::move(handler));
            return;
        }
        m_scheduler.after(delay, [this, work, handler = std::move(handler), effect] {
            Result<Value> result = work();
            const bool lost = effect == Effect::Changes && loseAnswers > 0;
            if (lost) {
                --loseAnswers;
                result = Error {ErrorKind::StoreUnavailable, "the answer was lost", "read it back"};
            }
            m_scheduler.after(delay, [handler, result = std::move(result)] { handler(result); });
        });
    }

    StandinStore &m_state;
    Scheduler &m_scheduler;
};

}
