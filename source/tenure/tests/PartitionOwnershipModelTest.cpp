#include "FaultHistory.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Wagtail
{

// Under any combination of faults no task runs twice at the same time or after its recorded end, none gets more
// attempts than allowed, and every acknowledged job ends with the expected result.
RC_GTEST_PROP(PartitionOwnershipModel, keepsItsGuaranteesUnderFaults, ())
{
    FaultHistory history;
    history.wait(Milliseconds(1'500));
    const int length = *rc::gen::inRange(5, 40);
    for (int i = 0; i < length; ++i) {
        // Submissions are more frequent than any one fault.
        const int kind = *rc::gen::inRange(0, static_cast<int>(FaultEvent::Count) + 6);
        const FaultEvent event
            = kind < static_cast<int>(FaultEvent::Count) ? static_cast<FaultEvent>(kind) : FaultEvent::Submit;
        history.apply(event, *rc::gen::inRange(0, 1'000));
        history.wait(Milliseconds(*rc::gen::inRange(1, 20) * 50));
    }
    history.settle();
    history.check();
}

}
