"""The only worker of a kind in one region leaves. A submission that needs that kind has to go on in the other region."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "rig-2"))
import rig as rigs  # noqa: E402

JOB = "00000000000000a7"
FIRST_MS = 4000
SECOND_MS = 1000
# finish_s after the end of the traffic, and the 3 s of the rule.
FINISH_S = rigs.BOUNDS["finish_s"] + 3
ZONES = {"depot": "wheatbelt", "pumphouse": "wheatbelt", "office": "coastal", "harbour": "coastal"}


def create():
    rig = rigs.Rig(HERE, ZONES, nodes=4)
    for index in range(16):
        zone = list(ZONES)[index % 4]
        # One worker of kind b in wheatbelt, and two in coastal.
        kind = "b" if index in (0, 2, 3) else "a"
        rig.add_worker(f"worker-{index}", zone, rack=f"{zone}-r0", labels=[kind])
    return rig


async def leave(rig, worker):
    """Empties a worker and takes it away."""
    worker.state = "draining"
    worker.register()
    rig.record.add(worker.id, "drains", zone=worker.zone, labels=worker.labels)
    await asyncio.sleep(rigs.BOUNDS["DrainMs"] / 1000 + 0.5)
    worker.crash()
    rig.store.apply([], ["servers/" + worker.id])
    rig.record.add(worker.id, "has left")


async def play(rig):
    steps = [{"Count": 2, "Cpu": 2000, "MemMb": 512, "EstimatedMs": FIRST_MS, ".work_ms": FIRST_MS},
             {"Count": 2, "Cpu": 2000, "MemMb": 512, "EstimatedMs": SECOND_MS, "After": [0], "Requires": "b",
              ".work_ms": SECOND_MS}]
    await rig.submit(JOB, steps)
    if rigs.TROUBLE:
        await leave(rig, rig.workers[0])
    else:
        await asyncio.sleep(rigs.BOUNDS["DrainMs"] / 1000 + 0.5)
    await asyncio.sleep(FIRST_MS / 1000 + FINISH_S)
    state = await rig.state(JOB)
    first = [run for run in rig.runs if run["task"].startswith(JOB + ".0.0.") and run["how"] == "done"]
    second = [run for run in rig.runs if run["task"].startswith(JOB + ".0.1.")]
    rig.record.add("judge", "at the end", state=state, first=len(first), second=len(second))
    if state in ("pending", "running") and len(first) == 2 and not second:
        waited = rig.record.now() - max(run["over"] for run in first)
        return [f"the second step has waited for {waited:.0f} s, while both workers of its kind in coastal are empty"]
    return []


if __name__ == "__main__":
    rigs.main(sys.modules[__name__])
