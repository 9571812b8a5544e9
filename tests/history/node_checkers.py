"""Checks of what the stand-ins and the callers of run_node.py saw. Each returns a list of violations in words."""

CRASHES_BEFORE_GIVING_UP = 2


def check_runs(violations):
    """No task runs in two places at once, or starts after an end as done that was acknowledged."""
    return [f"{item['subject']}: {item['what']}: run {item['later']['run']} on {item['later']['worker']}, earlier run "
            f"{item['earlier']['run']} on {item['earlier']['worker']}; all runs: {item['runs']}" for item in violations]


def check_jobs(jobs, runs):
    """Every accepted job is done unless it was cancelled, and nothing ran that was not accepted."""
    faults = []
    known = {job.id: job for job in jobs}
    for job in jobs:
        seen = runs.get(job.id, {"starts": 0, "done": 0, "crashes": 0})
        given_up = job.state == "failed" and seen["crashes"] >= CRASHES_BEFORE_GIVING_UP
        if job.accepted_at and not job.cancelled and job.state != "done" and not given_up:
            faults.append(f"{job.id} was accepted at {job.accepted_at:.3f} and is lost: {job.state}, {seen}")
        if job.state == "done" and seen["done"] < job.tasks:
            faults.append(f"{job.id} is shown as done, but only {seen['done']} of its {job.tasks} tasks are")
        if seen["starts"] and all(status in (404, 429, 503) for status in job.statuses):
            faults.append(f"{job.id} ran {seen['starts']} times, but every attempt to submit it was refused")
    faults += [f"{name} ran, but nobody submitted it" for name in runs if name not in known]
    return faults
