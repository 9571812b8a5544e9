#include "routing/TaskRouter.h"

#include "base/Identifier.h"
#include "workers/WorkerCodec.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

constexpr Milliseconds CommandTimeout {2'500};
constexpr int MaximumMoves = 8;
constexpr std::int64_t MoveAfterMilliseconds = 2'000;
constexpr std::size_t MovesPerTick = 16;

// A task's name begins with the partition that first kept it.
std::string partitionOf(const std::string &task)
{
    return task.substr(0, task.find(':'));
}

std::string keyedTaskName(const std::string &partition, const std::string &key)
{
    return partition + ":k" + std::to_string(stableHash("a" + key)) + "-" + std::to_string(stableHash("b" + key));
}

Error noKeeper(const std::string &partition)
{
    return {ErrorKind::Unavailable, "partition " + partition + " has no owner that can be reached",
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
        std::int64_t room = 0;
    };
    std::vector<Candidate> candidates;
    bool everFits = false;
    const auto consider = [&](const PartitionOffer &offer, int distance, const std::string &region) {
        const Resources room {offer.freeMilliCores, offer.freeMemoryMegabytes, offer.freeAccelerators};
        const bool allowed
            = profile.regions.empty() || std::ranges::find(profile.regions, region) != profile.regions.end();
        if (offer.ready && allowed) {
            const Resources largest {offer.largestMilliCores, offer.largestMemoryMegabytes, offer.largestAccelerators};
            everFits = everFits || profile.resources.fitsInto(largest);
            const bool fits = profile.resources.fitsInto(room);
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
    if (!candidates.empty() && !everFits) {
        return Error {ErrorKind::Impossible, "no worker that is known is large enough for profile " + profile.name,
            "lower the profile's resources, or add a larger worker"};
    }
    if (candidates.empty()) {
        return Error {ErrorKind::Unavailable, "no partition is ready to take a task", "send the call again shortly"};
    }
    const auto rank = [](const Candidate &candidate) {
        return std::tuple(candidate.distance, candidate.waiting, -candidate.room);
    };
    return std::ranges::min(candidates, {}, rank).partition;
}

void TaskRouter::submit(const TaskSubmission &submission, Handler handler)
{
    const std::shared_ptr<const Profile> profile = m_context.profiles.find(submission.profile);
    if (!profile) {
        handler(Error {ErrorKind::NotFound, "no profile is named '" + submission.profile + "'",
            "create it with wagtailctl profile apply, or name another"});
        return;
    }
    const bool classFits
        = submission.requiredClass.empty() || submission.requiredClass == nameOf(profile->profileClass);
    if (profile->profileClass == ProfileClass::Urgent || !classFits) {
        handler(Error {ErrorKind::InvalidInput,
            "profile " + profile->name + " is of class " + std::string(nameOf(profile->profileClass)),
            "name a profile of the class that this path serves"});
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
    sendFollowing(partitionOf(task), {{"command", "status"}, {"task", task}}, 0, std::move(handler));
}

void TaskRouter::cancel(const std::string &task, Handler handler)
{
    sendFollowing(partitionOf(task), {{"command", "cancel"}, {"task", task}}, 0, std::move(handler));
}

void TaskRouter::explain(const std::string &task, Handler handler)
{
    sendFollowing(partitionOf(task), {{"command", "explain"}, {"task", task}}, 0, std::move(handler));
}

// Sends a command to a partition and again to the one to which the task has moved.
void TaskRouter::sendFollowing(const std::string &partition, Json command, int moves, Handler handler)
{
    command["partition"] = partition;
    const Json copy = command;
    send(partition, copy,
        [this, command = std::move(command), moves, handler = std::move(handler)](Result<Json> result) mutable {
            const Json *document = std::get_if<Json>(&result);
            const bool moved = document != nullptr && memberOr(*document, "phase", std::string()) == "moved";
            if (!moved || moves >= MaximumMoves) {
                handler(std::move(result));
                return;
            }
            sendFollowing(
                memberOr(*document, "moved_to", std::string()), std::move(command), moves + 1, std::move(handler));
        });
}

void TaskRouter::send(const std::string &partition, Json command, Handler handler)
{
    if (PartitionController *keeper = m_context.partitions.readyController(partition)) {
        executeOnKeeper(*keeper, command, std::move(handler));
        return;
    }
    if (!PartitionIdentity::parse(partition)) {
        handler(Error {ErrorKind::NotFound, "no such task", "use the name that the submission returned"});
        return;
    }
    const std::optional<PartitionOwner> owner = m_context.partitions.ownerOf(partition);
    if (!owner || owner->peerAddress.empty()) {
        handler(noKeeper(partition));
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
                    handler(Error {ErrorKind::Internal, "the other daemon's answer can't be read", "ask again"});
                    return;
                }
                m_context.timeline.observe(reply->logicalTime);
                handler(parseJson(reply->document, "the other daemon's answer"));
            });
        });
}

void TaskRouter::execute(const Json &command, Handler handler)
{
    if (memberOr(command, "command", std::string()) == "list") {
        handler(listOwn());
        return;
    }
    const std::string partition = memberOr(command, "partition", std::string());
    PartitionController *keeper = m_context.partitions.readyController(partition);
    if (keeper == nullptr) {
        handler(noKeeper(partition));
        return;
    }
    executeOnKeeper(*keeper, command, std::move(handler));
}

void TaskRouter::executeOnKeeper(PartitionController &keeper, const Json &command, Handler handler)
{
    const std::string partition = keeper.term().partition.text();
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
        keeper.submit(std::move(accepted), answer);
        return;
    }
    if (verb == "cancel") {
        keeper.cancel(task, answer);
        return;
    }
    const TaskEntry *entry = keeper.table().find(task);
    if (entry == nullptr) {
        handler(Error {ErrorKind::NotFound, "no task is named " + task, "use the name that the submission returned"});
        return;
    }
    Json document = describeTask(*entry, partition);
    if (verb == "explain") {
        document["explanation"] = keeper.explain(task);
    }
    handler(std::move(document));
}

Json TaskRouter::listOwn() const
{
    Json tasks = Json::array();
    for (const PartitionController *keeper : m_context.partitions.controllers()) {
        for (const auto &[name, entry] : keeper->table().tasks()) {
            if (entry.phase != TaskPhase::Moved) {
                tasks.push_back(describeTask(entry, keeper->term().partition.text()));
            }
        }
    }
    return {{"tasks", std::move(tasks)}};
}

void TaskRouter::list(Handler handler)
{
    m_context.survey.ask("task", {{"command", "list"}},
        [this, handler = std::move(handler)](std::vector<Json> answers, const Json &unasked) {
            answers.push_back(listOwn());
            Json tasks = Json::array();
            for (const Json &answer : answers) {
                for (const Json &task : memberOr(answer, "tasks", Json::array())) {
                    tasks.push_back(task);
                }
            }
            handler(Json {{"tasks", std::move(tasks)}, {"not_asked", unasked}});
        });
}

void TaskRouter::tick()
{
    if (m_context.partitions.ownershipState() != OwnershipState::Held) {
        return;
    }
    for (PartitionController *keeper : m_context.partitions.controllers()) {
        if (keeper->isReady()) {
            moveWaiting(*keeper);
        }
    }
}

std::optional<std::string> TaskRouter::chooseTarget(const TaskEntry &entry, const std::string &own) const
{
    std::optional<std::string> best;
    std::tuple<int, std::int64_t> bestRank;
    const auto consider = [&](const PartitionOffer &offer, int distance) {
        const Resources room {offer.freeMilliCores, offer.freeMemoryMegabytes, offer.freeAccelerators};
        const std::tuple rank(distance, -offer.freeMilliCores);
        const bool usable = offer.ready && offer.partition != own && offer.waitingTasks == 0
            && entry.specification.resources.fitsInto(room);
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

void TaskRouter::moveWaiting(PartitionController &keeper)
{
    const std::string own = keeper.term().partition.text();
    const std::int64_t now = m_context.clock.wallMilliseconds();
    std::size_t moves = 0;
    std::vector<TaskEntry> entries;
    for (const std::string &name : keeper.table().unassigned()) {
        entries.push_back(*keeper.table().find(name));
    }
    for (const TaskEntry &entry : entries) {
        if (entry.phase == TaskPhase::Moving) {
            continueMove(keeper, entry);
            continue;
        }
        const bool waitedLong = now - entry.specification.submittedAt > MoveAfterMilliseconds;
        if (!waitedLong || entry.cancelRequested || moves >= MovesPerTick) {
            continue;
        }
        if (const auto target = chooseTarget(entry, own)) {
            keeper.startMove(entry.specification.task, *target);
            ++moves;
        }
    }
}

// Offers the task to its target until the target has it. The target accepts a task once, however often it is offered.
void TaskRouter::continueMove(PartitionController &keeper, const TaskEntry &entry)
{
    const std::string task = entry.specification.task;
    if (!m_moving.insert(task).second) {
        return;
    }
    const std::string own = keeper.term().partition.text();
    Json command {{"command", "submit"}, {"partition", entry.movedTo}, {"specification", describe(entry.specification)},
        {"last_attempt", entry.attempt}, {"checkpoint", entry.checkpoint}, {"moves", entry.moves}};
    send(entry.movedTo, std::move(command), [this, task, own](const Result<Json> &result) {
        m_moving.erase(task);
        PartitionController *present = m_context.partitions.readyController(own);
        if (present == nullptr || errorOf(result) != nullptr) {
            return;
        }
        const TaskEntry *moved = present->table().find(task);
        if (moved != nullptr && moved->cancelRequested) {
            // The cancellation came in while the task was on its way; it goes on to where the task is now.
            send(moved->movedTo, {{"command", "cancel"}, {"partition", moved->movedTo}, {"task", task}},
                [this, task, own](const Result<Json> &cancelled) {
                    PartitionController *keeperNow = m_context.partitions.readyController(own);
                    if (keeperNow != nullptr && errorOf(cancelled) == nullptr) {
                        keeperNow->endMove(task, true);
                    }
                });
            return;
        }
        present->endMove(task, true);
    });
}

}
