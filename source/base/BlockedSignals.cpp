#include "base/BlockedSignals.h"

namespace Wagtail
{

BlockedSignals::BlockedSignals(std::initializer_list<int> signals)
{
    sigset_t blocked {};
    sigemptyset(&blocked);
    for (const int signal : signals) {
        sigaddset(&blocked, signal);
    }
    pthread_sigmask(SIG_BLOCK, &blocked, &m_before);
}

BlockedSignals::~BlockedSignals()
{
    release();
}

void BlockedSignals::release()
{
    pthread_sigmask(SIG_SETMASK, &m_before, nullptr);
}

}
