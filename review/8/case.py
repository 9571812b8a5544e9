"""A lasting submission asks for more than the workers that its queue's policy allows can hold. All batch work must go on.
"""

import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "rig-2"))
import rig as rigs  # noqa: E402

LASTING = "00000000000000c8"
BATCH = [f"{0xd0 + number:016x}" for number in range(20)]
ADVICE = {"DecisionMs": 50, "PerWorkerMs": 5, "ValidityMs": 10000}
# The machines that the policy allows for the lasting submission. Each holds four of its tasks.
ALLOWED = ("worker-0", "worker-1")
TASKS = 14
WORK_MS = 1000
# finish_s after the end of the traffic, and the 3 s of the rule.
FINISH_S = rigs.BOUNDS["finish_s"] + 3


def create():
    rig = rigs.Rig(HERE, {"depot": "wheatbelt"}, nodes=2)
    for index in range(8):
        rig.add_worker(f"worker-{index}", "depot", rack=f"r{index}")
    rig.queues["watch"] = {"service": "workers", "attempts": 2, "fields": {"Advice": ADVICE}}
    rig.queues["q"]["fields"] = {"Priority": 2}

    async def advise(method, target, headers, body):
        del method, target, headers
        asked = json.loads(body)
        await asyncio.sleep((ADVICE["DecisionMs"] + ADVICE["PerWorkerMs"] * len(asked["Workers"])) / 1000)
        good = [[worker, "ticket-" + worker] for worker in asked["Workers"] if worker.endswith(ALLOWED)]
        rig.record.add("advisor", "answers", asked=asked, good=good)
        return 200, {"Good": good, "ValidityMs": ADVICE["ValidityMs"]}
    rig.advisor = rigs.HttpServer(advise)
    return rig


async def play(rig):
    if rigs.TROUBLE:
        await rig.submit(LASTING, [{"Count": TASKS, "Cpu": 13000, "MemMb": 512, "EstimatedMs": 500,
                                    "LongRunning": True}], queue="watch")
        await asyncio.sleep(5)
    for job in BATCH:
        await rig.submit(job, [{"Count": 2, "Cpu": 14000, "MemMb": 512, "EstimatedMs": WORK_MS, ".work_ms": WORK_MS}])
        await asyncio.sleep(0.25)
    await asyncio.sleep(FINISH_S)
    breaches = []
    used = sum(worker.used() for worker in rig.workers)
    capacity = sum(worker.cpu for worker in rig.workers)
    for job in BATCH:
        state = await rig.state(job)
        if state == "pending" and not any(run["task"].startswith(job) for run in rig.runs):
            breaches.append(f"{job} has not begun {FINISH_S} s after the last submission, while {used} of {capacity} "
                            "thousandths of a core are in use and six workers are empty")
    rig.record.add("judge", "state of the lasting submission", state=await rig.state(LASTING) if rigs.TROUBLE else "")
    return breaches


if __name__ == "__main__":
    rigs.main(sys.modules[__name__])
