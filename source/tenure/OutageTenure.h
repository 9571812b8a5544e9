#pragma once

#include "base/Clock.h"

namespace Wagtail
{

// Decides whether an owner may go on without its store lease because the store answers no instance. It may while nobody
// can have taken over since the lease was last held: the outage has to be confirmed soon after that, and for as long as
// the owner goes on. An owner that had to stop does not go on in a later outage.
// Load pattern: the store is away several times in a row and back for a second or two, which some instances miss.
class OutageTenure
{
public:
    // Applies the present state. Must be called at least every 250 ms.
    void observe(bool leaseHeld, bool outageConfirmed, Instant now);

    [[nodiscard]] bool mayGoOn() const;

private:
    // Whether nobody can have taken over so far.
    bool m_isUnbroken = false;
    bool m_wasConfirmed = false;
    bool m_mayGoOn = false;
    Instant m_leaseHeldAt;
};

}
