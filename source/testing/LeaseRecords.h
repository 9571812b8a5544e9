#pragma once

#include "scheduling/JobScheduler.h"

namespace Wagtail
{

// Acts as a store that has a due record of the lease holders at once.
inline void storeLeaseRecord(JobScheduler &jobs)
{
    if (jobs.isLeaseRecordDue()) {
        jobs.leaseRecordStored(jobs.beginLeaseRecord().number);
    }
}

}
