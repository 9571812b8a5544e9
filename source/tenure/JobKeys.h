#pragma once

#include <string>

namespace Wagtail::JobKeys
{

// All instances watch this prefix. It holds the registered instances and the owner of each partition.
inline const std::string Cluster = "wagtail/cluster/";
inline const std::string Instances = Cluster + "instances/";
inline const std::string Owners = Cluster + "owners/";

// Returns the key that holds a job's home partition, which owns the job. Writing a partition accepts the job.
[[nodiscard]] inline std::string home(const std::string &job)
{
    return "wagtail/homes/" + job;
}

// The value of a job's home key while its submission is refused. No partition has this name.
inline const std::string RefusedHome = "/refused";

[[nodiscard]] inline bool isRefused(const std::string &home)
{
    return home == RefusedHome;
}

// Returns the key that holds the instance that owns a partition.
[[nodiscard]] inline std::string owner(const std::string &partition)
{
    return Owners + partition;
}

// Returns the key that every transaction of an owner rewrites, so that none takes effect twice or out of order.
[[nodiscard]] inline std::string head(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/head";
}

// Returns the key that holds the workers that may have leases from the current leader term.
[[nodiscard]] inline std::string leaseHolders(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/lease-holders";
}

// Returns the key that holds what earlier owners have learned about interference between tasks.
[[nodiscard]] inline std::string interferenceModel(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/pressure";
}

// Returns the key that holds the policies by which unfinished jobs are scheduled, if their records show others.
[[nodiscard]] inline std::string policies(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/policies";
}

[[nodiscard]] inline std::string jobs(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/jobs/";
}

[[nodiscard]] inline std::string progress(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/progress/";
}

// Returns the prefix of requests that instances leave for a partition's owner when they can't reach it, and that owners
// of other partitions send it.
[[nodiscard]] inline std::string inbox(const std::string &partition)
{
    return "wagtail/inbox/" + partition + "/";
}

// Cancellations sort after submissions, so that a listing contains a job's submission before its cancellation.
[[nodiscard]] inline std::string inboxSubmission(const std::string &partition, const std::string &job)
{
    return inbox(partition) + "1-submit-" + job;
}

// Returns the key of a delegation. The message identifies it among those of the job, because a later one that replaced
// it could be erased with it unread.
[[nodiscard]] inline std::string inboxDelegation(
    const std::string &partition, const std::string &job, const std::string &message)
{
    return inbox(partition) + "1-delegate-" + job + "/" + message;
}

// Returns the key of a message that gives tasks of a job back to its home partition. The message identifies it among
// those of the sender.
[[nodiscard]] inline std::string inboxReturn(
    const std::string &partition, const std::string &job, const std::string &sender, const std::string &message)
{
    return inbox(partition) + "1-return-" + job + "/" + sender + "/" + message;
}

// Returns the key of the message that hands a job over to a partition. The message identifies it among those of the
// sender.
[[nodiscard]] inline std::string inboxMove(
    const std::string &partition, const std::string &job, const std::string &sender, const std::string &message)
{
    return inbox(partition) + "1-move-" + job + "/" + sender + "/" + message;
}

[[nodiscard]] inline std::string inboxCancellation(const std::string &partition, const std::string &job)
{
    return inbox(partition) + "2-cancel-" + job;
}

// Returns the key of the request to fail a job because another partition has given up a delegated task of it.
[[nodiscard]] inline std::string inboxGivenUp(const std::string &partition, const std::string &job)
{
    return inbox(partition) + "3-give-up-" + job;
}

// Returns the prefix of everything that an owner reads at the start of its leader term.
[[nodiscard]] inline std::string partition(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/";
}

}
