#include "tenure/PlaceRequest.h"

#include <algorithm>

namespace Wagtail
{

namespace
{

Json describe(const std::set<TaskName> &tasks)
{
    Json names = Json::array();
    for (const TaskName &task : tasks) {
        names.push_back(task.text());
    }
    return names;
}

// Leaves out names that are malformed.
std::set<TaskName> parseTasks(const Json &document, const char *member)
{
    std::set<TaskName> tasks;
    for (const std::string &text : memberOr(document, member, std::vector<std::string>())) {
        if (const std::optional<TaskName> task = TaskName::parse(text)) {
            tasks.insert(*task);
        }
    }
    return tasks;
}

Error malformed(const std::string &detail)
{
    return {ErrorKind::InvalidInput, detail, "run the same version on all instances"};
}

}

std::string serialize(const PlaceRequest &request)
{
    Json jobs = Json::array();
    for (const JobRecord &job : request.jobs) {
        jobs.push_back(serialize(job));
    }
    return writeJson(
        {{"jobs", std::move(jobs)}, {"released", describe(request.released)}, {"running", describe(request.onlyFree)}});
}

Result<PlaceRequest> parsePlaceRequest(const std::string &text)
{
    const Result<Json> parsed = parseJson(text, "the request for places");
    if (const Error *error = errorOf(parsed)) {
        return *error;
    }
    const auto jobs = memberOr(std::get<Json>(parsed), "jobs", std::vector<std::string>());
    if (jobs.size() > PlaceRequest::MostJobs) {
        return malformed("the request for places names too many jobs");
    }
    PlaceRequest request {
        {}, parseTasks(std::get<Json>(parsed), "released"), parseTasks(std::get<Json>(parsed), "running")};
    std::size_t tasks = request.released.size();
    std::int64_t tasksOfJobs = 0;
    for (const std::string &job : jobs) {
        Result<JobRecord> record = parseJobRecord(job);
        if (const Error *error = errorOf(record)) {
            return *error;
        }
        request.jobs.push_back(std::get<JobRecord>(std::move(record)));
        const JobRecord &added = request.jobs.back();
        tasks += added.delegated.size();
        tasksOfJobs += added.specification.taskCount();
        const bool isOfOtherJob = std::any_of(added.delegated.begin(), added.delegated.end(),
            [&added](const DelegatedTask &task) { return task.task.job != added.specification.id; });
        if (isOfOtherJob) {
            return malformed("the request for places names a task of another job");
        }
    }
    if (tasks > PlaceRequest::MostTasks || tasksOfJobs > PlaceRequest::MostTasksOfJobs) {
        return malformed("the request for places names too many tasks");
    }
    return request;
}

Json describe(const PlaceAnswer &answer)
{
    return {{"held", describe(answer.held)}, {"room", describe(answer.headrooms)}};
}

PlaceAnswer parsePlaceAnswer(const Json &document)
{
    return {parseTasks(document, "held"), parsePoolHeadrooms(memberOr(document, "room", Json::object()))};
}

}
