#pragma once

#include <csignal>
#include <initializer_list>

namespace Wagtail
{

// Blocks signals in this thread, and in those that it creates meanwhile. Signals that arrive are pending until they are
// released, so that a program can install its handlers first.
class BlockedSignals
{
public:
    BlockedSignals(std::initializer_list<int> signals);
    // Releases the signals.
    ~BlockedSignals();
    BlockedSignals(const BlockedSignals &) = delete;
    BlockedSignals &operator=(const BlockedSignals &) = delete;

    // Lets the thread take the signals as before. Must be called in the thread that blocked them.
    void release();

private:
    sigset_t m_before {};
};

}
