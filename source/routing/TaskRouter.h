#pragma once

#include "base/JsonReader.h"
#include "ownership/PartitionManager.h"
#include "peers/PeerEndpoint.h"
#include "profiles/ProfileCatalog.h"
#include "routing/PeerSurvey.h"

#include <functional>
#include <string>

namespace Wagtail
{

// What a caller asks for when submitting a task. A zero deadline takes the profile's.
struct TaskSubmission
{
    std::string profile;
    std::string payload;
    std::string key;
    std::int64_t deadlineMilliseconds = 0;
    // Fails the submission unless the profile has this class; empty allows both.
    std::string requiredClass;
};

// Takes commands about tasks to the keeper of their partition, here or at another daemon, and moves waiting tasks to
// partitions that have room. Used on the control thread.
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
        PeerSurvey &survey;
        ProfileCatalog &profiles;
        Timeline &timeline;
        const Settings &settings;
    };

    explicit TaskRouter(Context context);

    void submit(const TaskSubmission &submission, Handler handler);
    void status(const std::string &task, Handler handler);
    void cancel(const std::string &task, Handler handler);
    void explain(const std::string &task, Handler handler);

    // Lists the tasks of all partitions that can be asked; the answer names those that could not.
    void list(Handler handler);

    // Executes a command that another daemon sent for a partition of this one.
    void execute(const Json &command, Handler handler);

    // Starts and continues moves of waiting tasks. Call it about once a second.
    void tick();

private:
    void send(const std::string &partition, Json command, Handler handler);
    void sendFollowing(const std::string &partition, Json command, int moves, Handler handler);
    void executeOnKeeper(PartitionController &keeper, const Json &command, Handler handler);
    void moveWaiting(PartitionController &keeper);
    void continueMove(PartitionController &keeper, const TaskEntry &entry);
    [[nodiscard]] Result<std::string> choosePartition(const Profile &profile) const;
    [[nodiscard]] std::optional<std::string> chooseTarget(const TaskEntry &entry, const std::string &own) const;
    [[nodiscard]] Json listOwn() const;

    Context m_context;
    std::set<std::string> m_moving;
};

// Returns the JSON form in which callers see a task.
[[nodiscard]] Json describeTask(const TaskEntry &entry, const std::string &partition);

}
