#include "tenure/StoreContact.h"

namespace Wagtail
{

StoreContact::StoreContact(const Clock &clock, Store &store, std::string key, std::function<void()> onAnswer)
    : m_clock(clock), m_store(store), m_key(std::move(key)), m_onAnswer(std::move(onAnswer))
{
}

StoreContact::~StoreContact()
{
    *m_alive = false;
}

void StoreContact::noteAnswer()
{
    m_answeredAt = m_clock.now();
}

bool StoreContact::hasAnsweredWithin(Milliseconds time) const
{
    return m_answeredAt && m_clock.now() - *m_answeredAt <= time;
}

void StoreContact::ask()
{
    if (m_isAsking) {
        return;
    }
    m_isAsking = true;
    m_store.read(m_key, [this, alive = m_alive](const Result<std::optional<StoreEntry>> &result) {
        if (!*alive) {
            return;
        }
        m_isAsking = false;
        if (errorOf(result) == nullptr) {
            noteAnswer();
            m_onAnswer();
        }
    });
}

}
