#pragma once

#include <string>

namespace Wagtail::JobKeys
{

// All instances follow this prefix: who is there and who owns which partition.
inline const std::string Cluster = "wagtail/cluster/";
inline const std::string Instances = Cluster + "instances/";
inline const std::string Owners = Cluster + "owners/";

// Returns the key that names the partition in which a job lives. Its creation is the acceptance of the job.
[[nodiscard]] inline std::string home(const std::string &job)
{
    return "wagtail/homes/" + job;
}

[[nodiscard]] inline std::string owner(const std::string &partition)
{
    return Owners + partition;
}

// The key that every transaction of an owner rewrites, so that none takes effect twice or out of order.
[[nodiscard]] inline std::string head(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/head";
}

// The workers that may hold leases from the present tenure.
[[nodiscard]] inline std::string leaseHolders(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/lease-holders";
}

// What earlier owners have learned of how tasks disturb each other.
[[nodiscard]] inline std::string pressure(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/pressure";
}

[[nodiscard]] inline std::string jobs(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/jobs/";
}

[[nodiscard]] inline std::string progress(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/progress/";
}

// What entries left for the owner while they could not reach it.
[[nodiscard]] inline std::string inbox(const std::string &partition)
{
    return "wagtail/inbox/" + partition + "/";
}

// Cancellations sort behind submissions, so that a listing shows a job before its end.
[[nodiscard]] inline std::string inboxSubmission(const std::string &partition, const std::string &job)
{
    return inbox(partition) + "1-submit-" + job;
}

[[nodiscard]] inline std::string inboxDelegation(const std::string &partition, const std::string &job)
{
    return inbox(partition) + "1-delegate-" + job;
}

[[nodiscard]] inline std::string inboxCancellation(const std::string &partition, const std::string &job)
{
    return inbox(partition) + "2-cancel-" + job;
}

// Returns the prefix of everything that an owner reads when its tenure begins.
[[nodiscard]] inline std::string partition(const std::string &partition)
{
    return "wagtail/partitions/" + partition + "/";
}

}
