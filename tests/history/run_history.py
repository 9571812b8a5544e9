"""Runs real processes under concurrent load and failures, then checks the recorded history.

usage: run_history.py SCENARIO [--seed N] [--seconds S] [--port P] [--keep]
"""

import argparse
import os
import random
import signal
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(os.path.dirname(os.path.dirname(HERE)), "scripts")]
import checkers  # noqa: E402
from deployment import Deployment, call, document, wait_until  # noqa: E402
from recorder import Recorder  # noqa: E402

PROFILES = {
    "check": {"class": "urgent", "deadline_ms": 4000, "max_attempts": 4},
    "bill": {"class": "urgent", "deadline_ms": 4000, "idempotent": False, "max_attempts": 4},
    "tariff": {"class": "batch", "millicores": 2000, "memory_mb": 100, "max_attempts": 5, "deadline_ms": 600000},
    "raced": {"class": "urgent", "queue_limit": 1},
}


class Scenario:
    """One deployment in two data centres with callers, and the failures that a subclass adds."""

    def __init__(self, deployment, seed, seconds):
        self.deployment = deployment
        self.seconds = seconds
        self.random = random.Random(seed)
        self.recorder = Recorder(deployment, seed)
        self.restarts = 0
        self.removed = []

    def set_up(self):
        self.deployment.start_store()
        for group in range(3):
            self.deployment.start_workers(f"depot{group}", "depot", 1)
        self.deployment.start_workers("office", "office", 2)
        self.deployment.start_daemon("depot-1", "depot")
        self.deployment.start_daemon("depot-2", "depot")
        self.deployment.start_daemon("depot-3", "depot")
        self.deployment.start_daemon("office-1", "office")
        self.deployment.wait_ready(40)
        port = self.deployment.daemons["depot-1"]
        for name, profile in PROFILES.items():
            assert call(port, "PUT", f"/v1/profiles/{name}", profile)[0] == 200
        for other in self.deployment.daemons.values():
            for name in PROFILES:
                wait_until(lambda p=other, n=name: call(p, "GET", f"/v1/profiles/{n}")[0] == 200, 5, "profiles")

    def start_callers(self):
        recorder = self.recorder
        recorder.start(recorder.urgent_caller, 4)
        recorder.start(recorder.keyed_caller, 3)
        recorder.start(recorder.parallel_caller, 1)
        recorder.start(recorder.task_caller, 3)
        recorder.start(recorder.operator, 2)
        recorder.start(recorder.reader, 1)

    def sleep(self, least, most):
        time.sleep(self.random.uniform(least, most))

    def restart(self, name, graceful):
        data_centre = name.rsplit("-", 1)[0]
        if graceful:
            status = self.deployment.stop(name)
            assert status == 0, f"{name} stopped with status {status}"
        else:
            self.deployment.kill(name)
        self.restarts += 1
        self.sleep(0.1, 1.0)
        self.deployment.start_daemon(f"{data_centre}-{10 + self.restarts}", data_centre)
        return f"{data_centre}-{10 + self.restarts}"

    def disturb(self, end):
        """Subclasses add failures until the end."""

    def end_faults(self):
        self.deployment.store_faults(mode="up", delay_ms=0, lose_answers=0)
        for name in list(self.deployment.processes):
            self.deployment.signal(name, signal.SIGCONT)
        for worker in self.deployment.workers:
            self.deployment.worker_faults(worker, frozen=False, cross_every=0, truncate_every=0, lose_start_every=0,
                                          answer_delay_ms=0)

    def listed_tasks(self):
        port = next(iter(self.deployment.daemons.values()))
        return {task["task"]: task for task in document(call(port, "GET", "/v1/tasks")).get("tasks", [])}

    def wait_for_tasks(self):
        names = [task["task"] for task in self.recorder.tasks if task["task"]]

        def all_final():
            listed = self.listed_tasks()
            return all(name in listed and listed[name]["final"] for name in names)
        try:
            wait_until(all_final, 90, "tasks to end")
        except AssertionError:
            pass

    def extra_checks(self):
        return []

    def run(self):
        self.set_up()
        self.start_callers()
        self.disturb(time.time() + self.seconds)
        self.end_faults()
        time.sleep(4)
        self.recorder.stop()
        self.wait_for_tasks()
        self.recorder.read_all()
        histories = self.deployment.histories()
        bodies = {}
        for history in histories:
            for body, count in history.get("once_bodies", {}).items():
                bodies[body] = bodies.get(body, 0) + count
        faults = list(self.recorder.failures)
        faults += checkers.check_answers(self.recorder)
        faults += checkers.check_not_run(self.recorder, bodies)
        faults += checkers.check_task_runs(histories)
        faults += checkers.check_tasks_end(self.recorder, self.listed_tasks())
        faults += checkers.check_register(self.recorder)
        faults += self.deployment.breaches()
        faults += self.extra_checks()
        return faults

    def summary(self):
        recorder = self.recorder
        done = sum(1 for request in recorder.requests if request["outcome"] == "done")
        keyed = sum(1 for item in recorder.keyed if any(answer[0] == 200 for answer in item["answers"]))
        tasks = [task for task in recorder.tasks if task["task"]]
        changed = sum(1 for change in recorder.changes if change["status"] == 200)
        return (f"urgent {done} of {len(recorder.requests)} done, keyed {keyed} of {len(recorder.keyed)} done, "
                f"{len(tasks)} of {len(recorder.tasks)} tasks accepted, {changed} of {len(recorder.changes)} changes made")


class Calm(Scenario):
    """No failures: everything must be done."""

    def disturb(self, end):
        time.sleep(max(0, end - time.time()))

    def extra_checks(self):
        bad = [r for r in self.recorder.requests if r["outcome"] != "done"]
        return [f"{len(bad)} urgent requests failed without a failure: {bad[0]['status']} {bad[0]['content'][:200]!r}"] if bad else []


class Kills(Scenario):
    """Daemons are killed, frozen past their leases and thawed, with sends pending."""

    def disturb(self, end):
        while time.time() < end:
            name = self.random.choice(list(self.deployment.daemons))
            if self.random.random() < 0.5:
                self.restart(name, graceful=False)
            else:
                self.deployment.signal(name, signal.SIGSTOP)
                self.sleep(0.5, 6.0)
                self.deployment.signal(name, signal.SIGCONT)
            self.sleep(1.0, 4.0)


class Store(Scenario):
    """The store goes down, is slow, keeps silent and loses answers; daemons are killed meanwhile."""

    def disturb(self, end):
        while time.time() < end:
            choice = self.random.randrange(5)
            if choice == 0:
                self.deployment.store_faults(mode="down")
            elif choice == 1:
                self.deployment.store_faults(mode="silent")
            elif choice == 2:
                self.deployment.store_faults(delay_ms=self.random.choice([50, 300]))
            elif choice == 3:
                self.deployment.store_faults(lose_answers=self.random.randrange(1, 10))
            else:
                self.deployment.store_faults(mode="down", expire_while_down=True)
            if self.random.random() < 0.3:
                self.restart(self.random.choice(list(self.deployment.daemons)), graceful=self.random.random() < 0.5)
            self.sleep(0.5, 6.0)
            self.deployment.store_faults(mode="up", delay_ms=0, lose_answers=0, expire_while_down=False)
            self.sleep(0.5, 3.0)


class Workers(Scenario):
    """Workers freeze, answer crossed, cut short and late, and lose the answers to starts."""

    def disturb(self, end):
        while time.time() < end:
            worker = self.random.choice(list(self.deployment.workers))
            fault = self.random.choice([{"frozen": True}, {"cross_every": 5}, {"truncate_every": 5},
                                        {"lose_start_every": 2}, {"answer_delay_ms": 300}])
            self.deployment.worker_faults(worker, **fault)
            self.sleep(0.5, 7.0)
            self.deployment.worker_faults(worker, frozen=False, cross_every=0, truncate_every=0, lose_start_every=0,
                                          answer_delay_ms=0)
            self.sleep(0.2, 1.0)


class Rolling(Scenario):
    """All daemons are replaced one after another by planned stops, under load: nothing is cut off."""

    def disturb(self, end):
        for name in list(self.deployment.daemons):
            data_centre = name.rsplit("-", 1)[0]
            self.restarts += 1
            fresh = f"{data_centre}-{10 + self.restarts}"
            fresh_port = self.deployment.start_daemon(fresh, data_centre, publish=False)
            wait_until(lambda p=fresh_port: call(p, "GET", "/readyz")[0] == 200, 20, "the new instance")
            self.deployment.daemons[fresh] = fresh_port
            # The balancer stops sending to an instance shortly before the platform stops it.
            self.deployment.daemons.pop(name)
            time.sleep(0.2)
            process = self.deployment.processes.pop(name)
            process.send_signal(signal.SIGTERM)
            status = process.wait(timeout=40)
            if status != 0:
                self.removed.append(f"{name} ended with status {status}")
            self.sleep(1.0, 2.0)

    def extra_checks(self):
        lost = [r for r in self.recorder.requests if r["outcome"] != "done"]
        faults = [f"{len(lost)} urgent requests were lost: {lost[0]['status']} {lost[0]['outcome']} "
                  f"{lost[0]['content'][:200]!r} after {lost[0]['seconds']:.2f} s"] if lost else []
        return faults + self.removed


class Leaving(Scenario):
    """Workers are drained by operators, by the list and by themselves, while owners change."""

    def disturb(self, end):
        while time.time() < end:
            worker = self.random.choice(list(self.deployment.workers))
            way = self.random.randrange(3)
            port = self.deployment.daemons.get("depot-1") or next(iter(self.deployment.daemons.values()))
            if way == 0:
                call(port, "POST", f"/v1/workers/{worker}/drain")
            elif way == 1:
                self.deployment.workers[worker]["state"] = "leaving"
                self.deployment.publish_workers()
            else:
                self.deployment.worker_faults(worker, leaving=True)
            if self.random.random() < 0.3:
                self.restart(self.random.choice(list(self.deployment.daemons)), graceful=False)
            time.sleep(6)
            before = self.requests_at(worker)
            time.sleep(1.5)
            if self.requests_at(worker) != before:
                self.removed.append(f"{worker} got new work long after it was marked as leaving (way {way})")
            port = next(iter(self.deployment.daemons.values()))
            call(port, "POST", f"/v1/workers/{worker}/return")
            self.deployment.workers[worker]["state"] = "live"
            self.deployment.publish_workers()
            self.deployment.worker_faults(worker, leaving=False)
            self.sleep(1.0, 3.0)

    def requests_at(self, worker):
        port = self.deployment.workers[worker]["port"]
        return document(call(port, "GET", "/v1/history"))["requests"]

    def extra_checks(self):
        return self.removed


SCENARIOS = {"calm": Calm, "kills": Kills, "store": Store, "workers": Workers, "rolling": Rolling, "leaving": Leaving}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--port", type=int, default=18000)
    parser.add_argument("--keep", action="store_true")
    arguments = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="wagtailbank-history-")
    data_centres = {"depot": ("wheatbelt", 4), "office": ("coastal", 2)}
    with Deployment(folder, arguments.port, data_centres) as deployment:
        scenario = SCENARIOS[arguments.scenario](deployment, arguments.seed, arguments.seconds)
        faults = scenario.run()
        print(f"{arguments.scenario} seed {arguments.seed}: {scenario.summary()}")
    for fault in faults[:20]:
        print("violation:", fault)
    if faults:
        print(f"logs in {folder}; repeat with: run_history.py {arguments.scenario} --seed {arguments.seed} "
              f"--seconds {arguments.seconds}")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
