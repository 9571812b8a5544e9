"""The demo: the whole path as separate processes, each outcome checked."""

import json
import os
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from deployment import Deployment, call, document, key_now, wait_until  # noqa: E402

PROFILES = """
[profiles.axle-check]
class = "urgent"
deadline_ms = 3000
millicores = 500
memory_mb = 256

[profiles.bill]
class = "urgent"
idempotent = false
deadline_ms = 5000

[profiles.tariff-run]
class = "batch"
deadline_ms = 600000
millicores = 4000
memory_mb = 8000
team = "finance"

[profiles.pump-watch]
class = "watcher"
millicores = 200
memory_mb = 128
"""


def say(text):
    print(f"== {text}", flush=True)


def check(holds, what):
    if not holds:
        raise AssertionError(what)
    print(f"   ok: {what}", flush=True)


def main():
    folder = tempfile.mkdtemp(prefix="wagtailbank-demo-")
    with Deployment(folder, base_port=int(os.environ.get("WAGTAIL_DEMO_PORT", "17600"))) as deployment:
        run(deployment, folder)
    print("demo: all outcomes as expected")


def run(deployment, folder):
    say("starting the platform's stand-ins and three daemons in two data centres")
    deployment.start_store()
    deployment.start_workers("depot-a", "depot", 2)
    deployment.start_workers("depot-b", "depot", 2)
    deployment.start_workers("office", "office", 2)
    deployment.start_daemon("depot-1", "depot")
    deployment.start_daemon("depot-2", "depot")
    deployment.start_daemon("office-1", "office")
    deployment.wait_ready(30)
    print(deployment.ctl("status")[1])

    say("applying a profile of each class")
    profiles = os.path.join(folder, "profiles.toml")
    with open(profiles, "w", encoding="utf-8") as file:
        file.write(PROFILES)
    code, text, _ = deployment.ctl("profile", "apply", "--file", profiles, "--dry-run")
    check(code == 0 and "axle-check: would change" in text, "a dry run shows the difference")
    code, text, errors = deployment.ctl("profile", "apply", "--file", profiles)
    check(code == 0, f"the profiles are applied {errors}")
    for port in deployment.daemons.values():
        wait_until(lambda p=port: call(p, "GET", "/v1/profiles/pump-watch")[0] == 200, 3, "the profile everywhere")
    print(deployment.ctl("profile", "list")[1])

    say("an urgent request is answered while its caller waits")
    code, text, errors = deployment.ctl("request", "axle-check", "--data", "box 7")
    check(code == 0 and text == "answer:box 7\n", f"wagtailctl prints the whole answer {errors}")
    answer = call(deployment.daemons["office-1"], "POST", "/v1/requests/axle-check", b"box 8")
    check(answer[0] == 200 and answer[2] == b"answer:box 8", "plain HTTP gives the whole answer")

    say("a bill with a key runs once, whichever instance is asked")
    key = key_now()
    answers = [call(port, "POST", "/v1/requests/bill", b"bill 41", {"Idempotency-Key": key})
               for port in deployment.daemons.values()]
    check(all(a[0] == 200 and a[2] == b"answer:bill 41" for a in answers), "every retry gets the recorded answer")
    runs = sum(history["once"].values().__len__() for history in deployment.histories())
    check(runs == 1, "the upstreams saw it once")

    say("a batch task is accepted, run and finished")
    code, text, errors = deployment.ctl("--output", "json", "task", "submit", "tariff-run", "--data", '{"run_ms":400}')
    check(code == 0, f"the task is accepted {errors}")
    task = json.loads(text)["task"]
    code, text, _ = deployment.ctl("--output", "json", "task", "wait", task)
    check(json.loads(text)["phase"] == "done", "the task is done")

    say("a standing watcher is started, and replaced once when its worker is killed")
    code, text, errors = deployment.ctl(
        "--output", "json", "watcher", "start", "pump-watch", "--data", '{"endless":true}')
    check(code == 0, f"the watcher is accepted {errors}")
    watcher = json.loads(text)["task"]

    def running_on():
        for history in deployment.histories():
            for item in history["running"]:
                if item["task"] == watcher:
                    return history["worker"]
        return None
    wait_until(lambda: running_on() is not None, 10, "the watcher to run")
    first = running_on()
    process = deployment.workers[first]["process"]
    started = time.time()
    deployment.kill(process)
    wait_until(lambda: running_on() is not None, 30, "the watcher to run again")
    second = running_on()
    check(second != first, f"it runs again on {second}, {time.time() - started:.1f} s after {first} was killed")
    copies = sum(item["task"] == watcher for history in deployment.histories() for item in history["running"])
    check(copies == 1, "it runs in one place")

    say("a worker is drained")
    code, _, errors = deployment.ctl("worker", "drain", second)
    check(code == 0, f"the drain is accepted {errors}")
    wait_until(lambda: running_on() not in (None, second), 15, "the watcher to leave the drained worker")
    check(True, f"the watcher moved to {running_on()}")

    say("the merged time line of the watcher")
    print(deployment.ctl("timeline", "--task", watcher)[1])

    say("a planned stop")
    check(deployment.stop("depot-2") == 0, "depot-2 stopped gracefully")
    alive = [w for w in deployment.workers.values() if w["process"] in deployment.processes]
    breaches = sum((document(call(w["port"], "GET", "/v1/breaches")).get("breaches", []) for w in alive), [])
    check(not breaches, f"no worker recorded a breach {breaches}")


if __name__ == "__main__":
    main()
