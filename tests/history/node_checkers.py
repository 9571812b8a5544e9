"""Checks of what the stand-ins and the callers of run_node.py saw. Each returns a list of violations in words."""

from node_deployment import QUEUES

CRASHES_BEFORE_GIVING_UP = 2
# After the last fault an instance is in touch again within this time.
CONTACT_S = 4.0
# Until then after its cancellation was acknowledged, tasks of a job may start.
CANCEL_S = 3.0
# From its last run on a task that lasts may be away for so long while there is room for it.
LASTING_S = 6.0


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
        if job.is_owed() and job.state != "done" and not given_up:
            faults.append(f"{job.id} was accepted at {job.accepted_at:.3f} and is lost: {job.state}, {seen}")
        if job.state == "done" and seen["done"] < job.tasks:
            faults.append(f"{job.id} is shown as done, but only {seen['done']} of its {job.tasks} tasks are")
        if seen["starts"] and all(status in (404, 429, 503) for status in job.statuses):
            faults.append(f"{job.id} ran {seen['starts']} times, but every attempt to submit it was refused")
    faults += [f"{name} ran, but nobody submitted it" for name in runs if name not in known]
    return faults


def check_cancelled(jobs, runs, calm_at):
    """No task of a job whose cancellation was acknowledged starts later than that allows, or still runs."""
    faults = []
    for job in jobs:
        seen = runs.get(job.id)
        if job.cancelled_at is None or seen is None:
            continue
        late_s = seen["last_began_ms"] / 1000 - max(job.cancelled_at, calm_at + CONTACT_S)
        if seen["running"]:
            faults.append(f"{job.id} was cancelled at {job.cancelled_at:.3f}, and {seen['running']} of its tasks run")
        elif late_s > CANCEL_S:
            faults.append(f"{job.id} was cancelled at {job.cancelled_at:.3f}, and a task began {late_s:.1f} s too late")
    return faults


def check_lasting(jobs, runs):
    """All tasks of a job that lasts run as long as nobody cancels it."""
    return [f"{job.id} lasts, and {runs.get(job.id, {'running': 0})['running']} of its {job.tasks} tasks run"
            for job in jobs if job.lasting and job.accepted_at and not job.cancelled
            and job.queue in QUEUES and runs.get(job.id, {"running": 0})["running"] < job.tasks]
