"""The operator moves a queue to another service, and the owner is restarted. Then the old service's worker leaves.

Two lasting tasks that were accepted before have to go on at the new service.
"""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "rig-2"))
import rig as rigs  # noqa: E402

LASTING = "00000000000000c2"


def create():
    rig = rigs.Rig(HERE, {"depot": "wheatbelt"}, nodes=3)
    rig.services = {"old": {"RejectsOverload": True}, "new": {"RejectsOverload": True}}
    rig.queues = {"q": {"service": "old", "attempts": 4}}
    rig.add_worker("old-0", "depot", rack="r0", service="old")
    for index in range(15):
        rig.add_worker(f"new-{index}", "depot", rack=f"r{index // 8 + 1}", service="new")
    return rig


async def play(rig):
    await rig.submit(LASTING, [{"Count": 2, "Cpu": 2000, "MemMb": 512, "EstimatedMs": 500, "LongRunning": True}])
    await rig.until(lambda: len(rig.runs) >= 2, 15, "the tasks run")
    await asyncio.sleep(2)
    rig.queues["q"]["service"] = "new"
    rig.write_manifest()
    await asyncio.sleep(rigs.BOUNDS["ConfigApplyMs"] / 1000 + 2)
    if rigs.TROUBLE:
        # A planned restart: the platform stops the node with SIGTERM and starts it again.
        owner = rig.owner()
        owner.signal(signal.SIGTERM)
        await asyncio.wait_for(owner.process.wait(), rigs.BOUNDS["GraceS"])
        await asyncio.sleep(1)
        await owner.start()
        await asyncio.sleep(9)
    # The old service's worker, one of 16, drains and leaves.
    worker = rig.workers[0]
    worker.state = "draining"
    worker.register()
    rig.record.add(worker.id, "drains")
    await asyncio.sleep(rigs.BOUNDS["DrainMs"] / 1000 + 1)
    worker.crash()
    rig.store.apply([], ["servers/" + worker.id])
    rig.record.add(worker.id, "has left")
    left_at = rig.record.now()
    # More than the longest lease, and the 6 s and the 3 s of the rule.
    await asyncio.sleep(25)
    state = await rig.state(LASTING)
    running = [run for run in rig.runs if run["over"] is None]
    rig.record.add("judge", "at the end", state=state, running=[run["task"] for run in running])
    if len(running) < 2 and state in ("pending", "running"):
        return [f"{2 - len(running)} of 2 lasting tasks have not run for {rig.record.now() - left_at:.0f} s, while all "
                "workers of the queue's service are free"]
    return []


if __name__ == "__main__":
    rigs.main(sys.modules[__name__])
