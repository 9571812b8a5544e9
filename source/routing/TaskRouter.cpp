#include "routing/TaskRouter.h"

#include "base/Identifier.h"
#include "workers/WorkerCodec.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds CommandTimeout {2'500};
constexpr int MaximumMovesFollowed = 8;
constexpr std::int64_t MinimumWaitBeforeMoveMilliseconds = 2'000;
constexpr std::size_t MovesPerTick = 16;

// Returns the partition to which a task was submitted. The task's name begins with it, even after a move.
std::string partitionOf(const std::string &task)
{
    return task.substr(0, task.find(':'));
}

std::string keyedTaskName(const std::string &partition, const std::string &key)
{
    return partition + ":k" + std::to_string(stableHash("a" + key)) + "-" + std::to_string(stableHash("b" + key));
}

Error noReachableOwner(const std::string &partition)
{
    return {ErrorKind::Unavailable, "no owner of partition " + partition + " can be reached",
        "send the call again in a few seconds"};
}

}

Json describeTask(const TaskEntry &entry, const std::string &partition)
{
    const TaskSpecification &specification = entry.specification;
    Json document {{"task", specification.task}, {"profile", specification.profile},
        {"class", nameOf(specification.profileClass)}, {"phase", nameOf(entry.phase)}, {"attempt", entry.attempt},
        {"final", isFinal(entry.phase)}, {"partition", partition}, {"submitted_ms", specification.submittedAt},
        {"deadline_ms", specification.deadline}, {"failures", entry.failures}, {"evictions", entry.evictions}};
    const auto add = [&document](const char *name, const std::string &value) {
        if (!value.empty()) {
            document[name] = value;
        }
    };
    add("worker", entry.worker);
    add("checkpoint", entry.checkpoint);
    add("result", entry.result);
    add("reason", entry.reason);
    add("moved_to", entry.movedTo);
    if (entry.cancelRequested) {
        document["cancel_requested"] = true;
    }
    if (entry.finishedAt != 0) {
        document["finished_ms"] = entry.finishedAt;
    }
    return document;
}

TaskRouter::TaskRouter(Context context) : m_context(context)
{
}

Result<std::string> TaskRouter::choosePartition(const Profile &profile) const
{
    struct Candidate
    {
        std::string partition;
        int distance = 0;
        std::int64_t waiting = 0;
        std::int64_t freeMilliCores = 0;
    };
    std::vector<Candidate> candidates;
    bool fitsSomeWorker = false;
    const auto consider = [&](const PartitionOffer &offer, int distance, const std::string &region) {
        const Resources freeResources {offer.freeMilliCores, offer.freeMemoryMegabytes, offer.freeAccelerators};
        const bool allowed
            = profile.regions.empty() || std::ranges::find(profile.regions, region) != profile.regions.end();
        if (offer.ready && allowed) {
            const Resources largest {offer.largestMilliCores, offer.largestMemoryMegabytes, offer.largestAccelerators};
            fitsSomeWorker = fitsSomeWorker || profile.resources.fitsInto(largest);
            const bool fits = profile.resources.fitsInto(freeResources);
            candidates.push_back(
                {offer.partition, distance + (fits ? 0 : 10), offer.waitingTasks, offer.freeMilliCores});
        }
    };
    for (const PartitionOffer &offer : m_context.partitions.offers()) {
        consider(offer, 0, m_context.settings.region);
    }
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        const bool sameRegion = gossip->region == m_context.settings.region;
        const int distance = gossip->dataCentre == m_context.settings.dataCentre ? 0 : sameRegion ? 1 : 2;
        for (const PartitionOffer &offer : gossip->offers) {
            consider(offer, distance, gossip->region);
        }
    }
    if (!candidates.empty() && !fitsSomeWorker) {
        return Error {ErrorKind::Impossible, "no known worker is large enough for profile " + profile.name,
            "reduce the resources of the profile, or add a larger worker"};
    }
    if (candidates.empty()) {
        return Error {ErrorKind::Unavailable, "no partition is ready to take a task", "send the call again shortly"};
    }
    const auto rank = [](const Candidate &candidate) {
        return std::tuple(candidate.distance, candidate.waiting, -candidate.freeMilliCores);
    };
    return std::ranges::min(candidates, {}, rank).partition;
}

void TaskRouter::submit(const TaskSubmission &submission, Handler handler)
{
    const std::shared_ptr<const Profile> profile = m_context.profiles.find(submission.profile);
    if (!profile) {
        handler(Error {ErrorKind::NotFound, "no profile is named '" + submission.profile + "'",
            "create it with wagtailctl profile apply, or use another profile"});
        return;
    }
    const bool classMatches
        = submission.requiredClass.empty() || submission.requiredClass == nameOf(profile->profileClass);
    if (profile->profileClass == ProfileClass::Urgent || !classMatches) {
        handler(Error {ErrorKind::InvalidInput,
            "profile " + profile->name + " is of class " + std::string(nameOf(profile->profileClass)),
            "use a profile of the class that this path serves"});
        return;
    }
    std::string partition;
    std::string name;
    const Result<std::string> chosen = choosePartition(*profile);
    const Error *refusal = errorOf(chosen);
    if (refusal != nullptr && (submission.key.empty() || refusal->kind == ErrorKind::Impossible)) {
        handler(*refusal);
        return;
    }
    if (submission.key.empty()) {
        partition = std::get<std::string>(chosen);
        name = partition + ":" + createIdentifier(m_context.clock.wallMilliseconds());
    } else {
        const std::vector<PartitionIdentity> partitions = m_context.partitions.allPartitions();
        partition = partitions[stableHash(submission.key) % partitions.size()].text();
        name = keyedTaskName(partition, submission.key);
    }
    const std::int64_t now = m_context.clock.wallMilliseconds();
    const std::int64_t time
        = submission.deadlineMilliseconds > 0 ? submission.deadlineMilliseconds : profile->deadlineMilliseconds;
    TaskSpecification specification;
    specification.task = name;
    specification.profile = profile->name;
    specification.profileClass = profile->profileClass;
    specification.team = profile->team;
    specification.resources = profile->resources;
    specification.payload = submission.payload;
    specification.submittedAt = now;
    specification.deadline = now + time;
    specification.priority = profile->priority;
    specification.maximumAttempts = profile->maximumAttempts;
    specification.repeatability = profile->repeatability;
    Json command {{"command", "submit"}, {"partition", partition}, {"specification", describe(specification)}};
    send(partition, std::move(command), [this, name, handler = std::move(handler)](Result<Json> result) {
        const Json *document = std::get_if<Json>(&result);
        if (document != nullptr && memberOr(*document, "phase", std::string()) == "moved") {
            status(name, handler);
            return;
        }
        handler(std::move(result));
    });
}

void TaskRouter::status(const std::string &task, Handler handler)
{
    sendFollowingMoves(partitionOf(task), {{"command", "status"}, {"task", task}}, 0, std::move(handler));
}

void TaskRouter::cancel(const std::string &task, Handler handler)
{
    sendFollowingMoves(partitionOf(task), {{"command", "cancel"}, {"task", task}}, 0, std::move(handler));
}

void TaskRouter::explain(const std::string &task, Handler handler)
{
    sendFollowingMoves(partitionOf(task), {{"command", "explain"}, {"task", task}}, 0, std::move(handler));
}

// Sends a command to a partition and, if the task has moved, on to its new partition.
void TaskRouter::sendFollowingMoves(const std::string &partition, Json command, int moves, Handler handler)
{
    command["partition"] = partition;
    const Json copy = command;
    send(partition, copy,
        [this, command = std::move(command), moves, handler = std::move(handler)](Result<Json> result) mutable {
            const Json *document = std::get_if<Json>(&result);
            const bool moved = document != nullptr && memberOr(*document, "phase", std::string()) == "moved";
            if (!moved || moves >= MaximumMovesFollowed) {
                handler(std::move(result));
                return;
            }
            sendFollowingMoves(
                memberOr(*document, "moved_to", std::string()), std::move(command), moves + 1, std::move(handler));
        });
}

void TaskRouter::send(const std::string &partition, Json command, Handler handler)
{
    if (PartitionController *controller = m_context.partitions.readyController(partition)) {
        executeLocally(*controller, command, std::move(handler));
        return;
    }
    if (!PartitionIdentity::parse(partition)) {
        handler(Error {ErrorKind::NotFound, "no task has this name", "use the name that the submission returned"});
        return;
    }
    const std::optional<PartitionOwner> owner = m_context.partitions.ownerOf(partition);
    if (!owner || owner->peerAddress.empty()) {
        handler(noReachableOwner(partition));
        return;
    }
    const DocumentMessage message {writeJson(command), m_context.timeline.logicalTime()};
    m_context.caller.call(owner->peerAddress, {"task", encodeMessage(message)}, CommandTimeout,
        [this, handler = std::move(handler)](Result<std::string> answer) {
            m_context.scheduler.post([this, handler, answer = std::move(answer)] {
                if (const Error *error = errorOf(answer)) {
                    handler(*error);
                    return;
                }
                const auto reply = decodeMessage<DocumentMessage>(std::get<std::string>(answer));
                if (!reply) {
                    handler(Error {
                        ErrorKind::Internal, "the answer of the other instance can't be parsed", "repeat the command"});
                    return;
                }
                m_context.timeline.observe(reply->logicalTime);
                handler(parseJson(reply->document, "the answer of the other instance"));
            });
        });
}

void TaskRouter::execute(const Json &command, Handler handler)
{
    if (memberOr(command, "command", std::string()) == "list") {
        handler(listLocal());
        return;
    }
    const std::string partition = memberOr(command, "partition", std::string());
    PartitionController *controller = m_context.partitions.readyController(partition);
    if (controller == nullptr) {
        handler(noReachableOwner(partition));
        return;
    }
    executeLocally(*controller, command, std::move(handler));
}

void TaskRouter::executeLocally(PartitionController &controller, const Json &command, Handler handler)
{
    const std::string partition = controller.term().partition.text();
    const std::string verb = memberOr(command, "command", std::string());
    const std::string task = memberOr(command, "task", std::string());
    const auto answer = [partition, handler](const Result<TaskEntry> &result) {
        if (const Error *error = errorOf(result)) {
            handler(*error);
            return;
        }
        handler(describeTask(std::get<TaskEntry>(result), partition));
    };
    if (verb == "submit") {
        TaskAccepted accepted {parseTaskSpecification(memberOr(command, "specification", Json::object())),
            memberOr(command, "last_attempt", std::uint64_t {0}), memberOr(command, "checkpoint", std::string()),
            memberOr(command, "moves", std::uint64_t {0})};
        controller.submit(std::move(accepted), answer);
        return;
    }
    if (verb == "cancel") {
        controller.cancel(task, answer);
        return;
    }
    const TaskEntry *entry = controller.table().find(task);
    if (entry == nullptr) {
        handler(Error {ErrorKind::NotFound, "no task is named " + task, "use the name that the submission returned"});
        return;
    }
    Json document = describeTask(*entry, partition);
    if (verb == "explain") {
        document["explanation"] = controller.explain(task);
    }
    handler(std::move(document));
}

Json TaskRouter::listLocal() const
{
    Json tasks = Json::array();
    for (const PartitionController *controller : m_context.partitions.controllers()) {
        for (const auto &[name, entry] : controller->table().tasks()) {
            if (entry.phase != TaskPhase::Moved) {
                tasks.push_back(describeTask(entry, controller->term().partition.text()));
            }
        }
    }
    return {{"tasks", std::move(tasks)}};
}

void TaskRouter::list(Handler handler)
{
    m_context.fanOut.query("task", {{"command", "list"}},
        [this, handler = std::move(handler)](std::vector<Json> answers, const Json &unanswered) {
            answers.push_back(listLocal());
            Json tasks = Json::array();
            for (const Json &answer : answers) {
                for (const Json &task : memberOr(answer, "tasks", Json::array())) {
                    tasks.push_back(task);
                }
            }
            handler(Json {{"tasks", std::move(tasks)}, {"not_asked", unanswered}});
        });
}

void TaskRouter::tick()
{
    if (m_context.partitions.ownershipState() != OwnershipState::Held) {
        return;
    }
    for (PartitionController *controller : m_context.partitions.controllers()) {
        if (controller->isReady()) {
            moveWaiting(*controller);
        }
    }
}

std::optional<std::string> TaskRouter::chooseMoveTarget(const TaskEntry &entry, const std::string &ownPartition) const
{
    std::optional<std::string> best;
    std::tuple<int, std::int64_t> bestRank;
    const auto consider = [&](const PartitionOffer &offer, int distance) {
        const Resources freeResources {offer.freeMilliCores, offer.freeMemoryMegabytes, offer.freeAccelerators};
        const std::tuple rank(distance, -offer.freeMilliCores);
        const bool usable = offer.ready && offer.partition != ownPartition && offer.waitingTasks == 0
            && entry.specification.resources.fitsInto(freeResources);
        if (usable && (!best || rank < bestRank)) {
            best = offer.partition;
            bestRank = rank;
        }
    };
    for (const PartitionOffer &offer : m_context.partitions.offers()) {
        consider(offer, 0);
    }
    for (const Gossip *gossip : m_context.peers.recentGossip()) {
        const bool sameRegion = gossip->region == m_context.settings.region;
        const bool sameDataCentre = gossip->dataCentre == m_context.settings.dataCentre;
        const std::shared_ptr<const Profile> profile = m_context.profiles.find(entry.specification.profile);
        const bool allowed = !profile || profile->regions.empty()
            || std::ranges::find(profile->regions, gossip->region) != profile->regions.end();
        for (const PartitionOffer &offer : gossip->offers) {
            if (allowed && !gossip->leaving) {
                consider(offer, sameDataCentre ? 0 : sameRegion ? 1 : 2);
            }
        }
    }
    return best;
}

void TaskRouter::moveWaiting(PartitionController &controller)
{
    const std::string ownPartition = controller.term().partition.text();
    const std::int64_t now = m_context.clock.wallMilliseconds();
    std::size_t moves = 0;
    std::vector<TaskEntry> entries;
    for (const std::string &name : controller.table().unassigned()) {
        entries.push_back(*controller.table().find(name));
    }
    for (const TaskEntry &entry : entries) {
        if (entry.phase == TaskPhase::Moving) {
            continueMove(controller, entry);
            continue;
        }
        const bool waitedLong = now - entry.specification.submittedAt > MinimumWaitBeforeMoveMilliseconds;
        if (!waitedLong || entry.cancelRequested || moves >= MovesPerTick) {
            continue;
        }
        if (const auto target = chooseMoveTarget(entry, ownPartition)) {
            controller.startMove(entry.specification.task, *target);
            ++moves;
        }
    }
}

// Submits the task to its target, and again at each tick until the target confirms. The target accepts the same task
// only once, so repeating is safe.
void TaskRouter::continueMove(PartitionController &controller, const TaskEntry &entry)
{
    const std::string task = entry.specification.task;
    if (!m_movesInProgress.insert(task).second) {
        return;
    }
    const std::string ownPartition = controller.term().partition.text();
    Json command {{"command", "submit"}, {"partition", entry.movedTo}, {"specification", describe(entry.specification)},
        {"last_attempt", entry.attempt}, {"checkpoint", entry.checkpoint}, {"moves", entry.moves}};
    send(entry.movedTo, std::move(command), [this, task, ownPartition](const Result<Json> &result) {
        m_movesInProgress.erase(task);
        PartitionController *currentController = m_context.partitions.readyController(ownPartition);
        if (currentController == nullptr || errorOf(result) != nullptr) {
            return;
        }
        const TaskEntry *moved = currentController->table().find(task);
        if (moved != nullptr && moved->cancelRequested) {
            // A cancellation arrived during the move. It must be forwarded to the target, which has the task now.
            send(moved->movedTo, {{"command", "cancel"}, {"partition", moved->movedTo}, {"task", task}},
                [this, task, ownPartition](const Result<Json> &cancelled) {
                    PartitionController *controllerAfterCancel = m_context.partitions.readyController(ownPartition);
                    if (controllerAfterCancel != nullptr && errorOf(cancelled) == nullptr) {
                        controllerAfterCancel->endMove(task, true);
                    }
                });
            return;
        }
        currentController->endMove(task, true);
    });
}

}
