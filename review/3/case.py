"""A gang ends as done while the store is down, and a worker of one of its members crashes before the store is back."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "rig"))
from rig import BOUNDS, CannotRun, run  # noqa: E402

# sites/wcwp-grid.toml: platform_down, how = "reset lapse", for_s = 4.5.
DOWN_S = 4.5
# sites/wcwp-grid.toml: srv_crash, share = 0.14, for_s = 4.5. One of eight workers is a share of 0.125.
CRASH_S = 2.0
MEMBERS, GANG_MS = 4, 2500
JOB = "00000000000000aa"
GANG = {"Count": MEMBERS, "Cpu": 20000, "MemMb": 4000, "EstimatedMs": GANG_MS, "Gang": True, "AntiAffinity": 1}
# More than the workers hold at once, so that some tasks have not begun when the store is back.
LAST_MS = 3000
LAST = {"Count": 60, "Cpu": 20000, "MemMb": 4000, "EstimatedMs": LAST_MS, "After": [0]}
PAYLOAD = {"steps": [{"run_ms": GANG_MS, "gang": MEMBERS}, {"run_ms": LAST_MS}]}


def case(rig, trouble):
    begin = time.monotonic()
    if rig.submit(0, JOB, [GANG, LAST], PAYLOAD) != 200:
        raise CannotRun("the submission was not accepted")
    time.sleep(1)
    placed = [name for name, runs in rig.runs().items() if runs]
    if len(placed) != MEMBERS:
        raise CannotRun("the members of the gang don't run on four workers")
    time.sleep(max(0.0, begin + 2.0 - time.monotonic()))
    if trouble:
        worker = next(worker for worker in rig.workers if worker.name == placed[-1])
        rig.set_store_down(True)
        # The gang ends 0.5 s later. Its members are on the list of their workers, and the first one of them is enough.
        time.sleep(1.5)
        rig.do(worker.crash)
        time.sleep(CRASH_S)
        rig.run(worker.restart())
        time.sleep(DOWN_S - 1.5 - CRASH_S)
        rig.set_store_down(False)
    # In touch again, then what LOST allows, with a second on top.
    limit = time.monotonic() + BOUNDS["ContactMs"] / 1000 + BOUNDS["finish_s"] + 3 + 1
    state = None
    while time.monotonic() < limit and state != "done":
        time.sleep(1)
        state = rig.call(1, "GET", JOB)[1].get("State")
    runs = rig.runs()
    rig.record(f"runs: {runs}")
    if state == "done" or any(runs.values()):
        return []
    return [f"LOST: {JOB} is {state}, its gang has ended as done, and nothing of the next step runs on empty workers"]


if __name__ == "__main__":
    run(FOLDER, case)
