"""The worker of a task crashes and comes back, again and again. Nothing of the submission ever ends as failed."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig"))
from rig import run  # noqa: E402

CRASHES = 4
# sites/wcwp-grid.toml: srv_crash, share = 0.14, for_s = 4.5. One of eight workers is a share of 0.125.
DOWN_S = 3.0
# How long the task runs before its worker crashes.
RUN_S = 2.5
JOBS = {"00000000000000aa": ({"Count": 1, "Cpu": 7000, "MemMb": 4000, "EstimatedMs": 320, "LongRunning": True},
                             {"lasting": True}),
        "00000000000000bb": ({"Count": 1, "Cpu": 7000, "MemMb": 4000, "EstimatedMs": 6000}, {"run_ms": 6000})}


def worker_of(rig, job):
    for worker, runs in rig.runs().items():
        if any(task.startswith(job + ".") for task, _ in runs):
            return next(candidate for candidate in rig.workers if candidate.name == worker)
    return None


def case(rig, trouble):
    broken = []
    for job, (step, payload) in JOBS.items():
        if rig.submit(0, job, [step], payload) != 200:
            raise RuntimeError("the submission was not accepted")
        crashes = 0
        limit = time.monotonic() + 30
        while time.monotonic() < limit:
            state = rig.call(1, "GET", job)[1].get("State")
            if state in ("failed", "done"):
                break
            worker = worker_of(rig, job)
            if worker is None or not trouble or crashes == CRASHES:
                time.sleep(0.5)
                continue
            time.sleep(RUN_S)
            if worker_of(rig, job) is not worker:
                continue
            rig.do(worker.crash)
            crashes += 1
            time.sleep(DOWN_S)
            rig.run(worker.restart())
        if state == "failed":
            broken.append(f"LOST: {job} is shown as failed after {crashes} crashes of its workers and no end as failed")
    return broken


if __name__ == "__main__":
    run(FOLDER, case)
