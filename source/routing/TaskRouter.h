#pragma once

#include "base/JsonReader.h"
#include "ownership/PartitionManager.h"
#include "peers/PeerEndpoint.h"
#include "profiles/ProfileCatalog.h"
#include "routing/PeerFanOut.h"

#include <functional>
#include <string>

namespace Wagtail
{

// A caller's request to submit a task. A deadline of zero stands for the deadline of the profile.
struct TaskSubmission
{
    std::string profile;
    std::string payload;
    std::string key;
    std::int64_t deadlineMilliseconds = 0;
    // The class that the profile must have, or empty to allow both batch and watcher.
    std::string requiredClass;
};

// Routes task commands to the owner of the task's partition, which may be this or another instance, and moves waiting
// tasks to partitions with free capacity. Used on the control thread.
class TaskRouter
{
public:
    using Handler = std::function<void(Result<Json>)>;

    struct Context
    {
        const Clock &clock;
        Scheduler &scheduler;
        PartitionManager &partitions;
        PeerDirectory &peers;
        PeerCaller &caller;
        PeerFanOut &fanOut;
        ProfileCatalog &profiles;
        Timeline &timeline;
        const Settings &settings;
    };

    explicit TaskRouter(Context context);

    // Submits a task to the most suitable partition or, if it has an idempotency key, to the partition of the key.
    void submit(const TaskSubmission &submission, Handler handler);
    void status(const std::string &task, Handler handler);
    void cancel(const std::string &task, Handler handler);
    void explain(const std::string &task, Handler handler);

    // Lists the tasks of all instances. The answer names the instances that could not be queried.
    void list(Handler handler);

    // Executes a command that another instance sent for a partition that this instance owns.
    void execute(const Json &command, Handler handler);

    // Starts and continues the moves of waiting tasks. Must be called about once a second.
    void tick();

private:
    void send(const std::string &partition, Json command, Handler handler);
    void sendFollowingMoves(const std::string &partition, Json command, int moves, Handler handler);
    void executeLocally(PartitionController &controller, const Json &command, Handler handler);
    void moveWaiting(PartitionController &controller);
    void continueMove(PartitionController &controller, const TaskEntry &entry);
    [[nodiscard]] Result<std::string> choosePartition(const Profile &profile) const;
    [[nodiscard]] std::optional<std::string> chooseMoveTarget(
        const TaskEntry &entry, const std::string &ownPartition) const;
    [[nodiscard]] Json listLocal() const;

    Context m_context;
    std::set<std::string> m_movesInProgress;
};

// Returns the JSON form in which callers see a task.
[[nodiscard]] Json describeTask(const TaskEntry &entry, const std::string &partition);

}
