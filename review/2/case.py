"""Clients cancel submissions right after their ack, while answers of the platform's store are lost."""

import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig"))
from rig import BOUNDS, CannotRun, run  # noqa: E402

# sites/wcwp-grid.toml: platform_lost, x = 0.35, for_s = 4.5.
LOST_SHARE = 0.35
LOST_S = 4.5
# A submission each so many seconds, to one after the other of the nodes that don't hold the partition.
PERIOD_S = 1.0
STEP = {"Count": 1, "Cpu": 1000, "MemMb": 500, "EstimatedMs": 500, "LongRunning": True}


def lose_first_write_of(jobs, record):
    """The response to the first write that hands one of the submissions to the store is lost, and no other."""
    waiting = set(jobs)

    def loses(transaction):
        written = {row["Key"].rsplit("/", 1)[-1] for row in transaction.get("Writes", [])} & waiting
        waiting.difference_update(written)
        for job in written:
            record(f"the store has written {job}; its response is lost")
        return bool(written)
    return loses


def client(rig, job, front, cancelled):
    """Hands a submission in, again if need be, and cancels it as soon as it is acknowledged."""
    for _ in range(4):
        status = rig.submit(front, job, [STEP], {"lasting": True})
        if status == 200:
            break
        time.sleep(1.0 if status in (429, 503) else 0.1)
    else:
        return
    while rig.call(front, "DELETE", job)[0] not in (200, 410):
        time.sleep(0.1)
    cancelled[job] = time.monotonic()


def case(rig, trouble):
    owner = rig.owner()
    if owner is None:
        raise CannotRun("no node holds the partition")
    fronts = [index for index in range(rig.node_count) if index != owner]
    jobs = [f"{random.getrandbits(64):016x}" for _ in range(int(LOST_S / PERIOD_S))]
    if trouble:
        rig.store.loses = lose_first_write_of(jobs, rig.record)
    begin, before = time.monotonic(), rig.store.writes
    cancelled, clients = {}, []
    for number, job in enumerate(jobs):
        clients.append(threading.Thread(target=client, args=(rig, job, fronts[number % len(fronts)], cancelled)))
        clients[-1].start()
        time.sleep(PERIOD_S)
    time.sleep(max(0.0, begin + LOST_S - time.monotonic()))
    rig.store.loses = lambda transaction: False
    writes = rig.store.writes - before
    rig.record(f"the store loses no more answers: {rig.store.lost} of {writes} writes were done and not answered")
    if rig.store.lost > LOST_SHARE * writes:
        raise CannotRun("more answers were lost than the pages allow")
    for thread in clients:
        thread.join(30)
    # In touch again, then the time after which a cancelled task has to be gone, then a second.
    time.sleep((BOUNDS["ContactMs"] + BOUNDS["cancel_ms"] + BOUNDS["StopTimeoutMs"]) / 1000 + 1)
    broken = []
    for runs in rig.runs().values():
        for task, number in runs:
            job = task.split(".")[0]
            if job in cancelled:
                age = time.monotonic() - cancelled[job]
                broken.append(f"UNASKED: {task} run {number} runs {age:.1f} s after the ack of its cancelling")
                rig.call(owner, "GET", job)
    rig.record(f"{len(cancelled)} submissions cancelled, {len(broken)} of these still run")
    return broken


if __name__ == "__main__":
    run(FOLDER, case)
