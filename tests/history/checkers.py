"""Checks of recorded histories, one for each property. Each returns a list of violations in words."""


def check_answers(recorder):
    """Every caller gets the whole answer to its own request."""
    faults = []
    for request in recorder.requests:
        if request["outcome"] == "done" and request["status"] == 200 and request["content"] != b"answer:" + request["body"]:
            faults.append(f"wrong answer to {request['body'][:30]!r}: {request['content'][:40]!r}")
    for keyed in recorder.keyed:
        for status, _, content in keyed["answers"]:
            if status == 200 and content != b"answer:" + keyed["body"]:
                faults.append(f"wrong answer to {keyed['key']}: {content[:40]!r}")
    return faults


def check_not_run(recorder, runs_of_bodies):
    """What every answer calls not run did not run, and nothing with a key ran twice."""
    faults = []
    for keyed in recorder.keyed:
        count = runs_of_bodies.get(keyed["body"].decode(), 0)
        outcomes = [outcome for _, outcome, _ in keyed["answers"]]
        if count > 1:
            faults.append(f"{keyed['key']} ran {count} times")
        if count > 0 and outcomes and all(outcome == "not-run" for outcome in outcomes):
            faults.append(f"{keyed['key']} was called not run by all answers, but ran")
        if any(status == 200 for status, _, _ in keyed["answers"]) and count == 0:
            faults.append(f"{keyed['key']} was answered but never ran")
    return faults


def check_task_runs(histories):
    """No task runs in two places at once, no attempt twice, and evicted work resumes from its checkpoint."""
    runs = []
    for history in histories:
        for item in history.get("ended", []):
            runs.append((item["task"], item["attempt"], item["started"], item["ended"], history["worker"], item["state"]))
        for item in history.get("running", []):
            runs.append((item["task"], item["attempt"], item["started"], history["now"], history["worker"], "running"))
    runs.sort()
    faults = []
    for before, run in zip(runs, runs[1:]):
        if before[0] != run[0]:
            continue
        if before[1] == run[1]:
            faults.append(f"{run[0]} attempt {run[1]} ran on {before[4]} and on {run[4]}")
        elif run[2] < before[3]:
            faults.append(f"{run[0]} ran on {before[4]} until {before[3]} and on {run[4]} from {run[2]}")
    return faults


def check_tasks_end(recorder, listed):
    """Every acknowledged task came to its end once, and one that was not cancelled is done."""
    faults = []
    for task in recorder.tasks:
        if task["task"] is None:
            continue
        present = listed.get(task["task"])
        if present is None:
            faults.append(f"{task['task']} was acknowledged and is lost")
        elif present["phase"] not in ("done", "cancelled") or (present["phase"] == "cancelled" and not task["cancelled"]):
            faults.append(f"{task['task']} ended as {present['phase']}: {present.get('reason')}")
    return faults


def check_register(recorder):
    """The configuration is a register: each change follows from one revision, once, and no instance reads backwards."""
    faults = []
    successors = {}
    values = {}
    for change in recorder.changes:
        if change["status"] != 200:
            continue
        if change["before"] in successors:
            faults.append(f"revision {change['before']} was changed twice")
        successors[change["before"]] = change["after"]
        values[change["after"]] = change["value"]
    newest = {}
    for read in recorder.reads:
        if read["revision"] < newest.get(read["instance"], 0):
            faults.append(f"{read['instance']} went back from {newest[read['instance']]} to {read['revision']}")
        newest[read["instance"]] = read["revision"]
        known = values.get(read["revision"])
        if known is not None and known != read["value"]:
            faults.append(f"revision {read['revision']} has two values")
    if newest and values and len(set(newest.values())) > 1:
        last = max(values)
        behind = [name for name, revision in newest.items() if revision < last and name in recorder.deployment.daemons]
        if behind:
            faults.append(f"{behind} never got revision {last}")
    return faults
