"""Callers that run at the same time and record what they asked and what they were told."""

import random
import threading
import time

from deployment import call, document, key_now


class Recorder:
    """Everything that was asked and answered in one run. Appending to a list is atomic."""

    def __init__(self, deployment, seed):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.requests = []
        self.keyed = []
        self.tasks = []
        self.changes = []
        self.reads = []
        self.failures = []
        self.stopping = threading.Event()
        self.threads = []

    def ports(self):
        return list(self.deployment.daemons.values())

    def pick(self, generator):
        ports = self.ports()
        return generator.choice(ports) if ports else None

    def start(self, target, count):
        for _ in range(count):
            generator = random.Random(self.random.random())
            thread = threading.Thread(target=self.guard, args=(target, generator), daemon=True)
            thread.start()
            self.threads.append(thread)

    def guard(self, target, generator):
        try:
            target(generator)
        except Exception as failure:  # pylint: disable=broad-except
            self.failures.append(repr(failure))

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(timeout=60)
        assert not any(thread.is_alive() for thread in self.threads), "a caller got no answer"

    def urgent_caller(self, generator):
        number = 0
        while not self.stopping.is_set():
            port = self.pick(generator)
            if port is None:
                time.sleep(0.05)
                continue
            number += 1
            size = generator.choice([10, 10, 10, 2000, 200_000])
            body = f"{generator.random()}-{number}-".encode().ljust(size, b"x")
            started = time.time()
            status, headers, content = call(port, "POST", "/v1/requests/check", body, {"Wagtail-Deadline-Ms": "4000"})
            self.requests.append({"body": body, "status": status, "outcome": headers.get("Wagtail-Outcome", "none"),
                                  "content": content, "at": started, "seconds": time.time() - started})

    def keyed_caller(self, generator):
        """Sends each key until it is told that it ran or that the outcome is unknown, through changing instances."""
        while not self.stopping.is_set():
            key = key_now()
            body = f"bill {key}".encode()
            answers = []
            for _ in range(6):
                port = self.pick(generator)
                if port is None:
                    time.sleep(0.1)
                    continue
                status, headers, content = call(
                    port, "POST", "/v1/requests/bill", body, {"Idempotency-Key": key, "Wagtail-Deadline-Ms": "2500"})
                answers.append((status, headers.get("Wagtail-Outcome", "none"), content))
                if status == 200:
                    break
                time.sleep(0.1)
            self.keyed.append({"key": key, "body": body, "answers": answers})

    def parallel_caller(self, generator):
        """Sends the same key through several instances at once."""
        while not self.stopping.is_set():
            key = key_now()
            body = f"bill {key}".encode()
            answers = []

            def send(port, key=key, body=body, answers=answers):
                status, headers, content = call(
                    port, "POST", "/v1/requests/bill", body, {"Idempotency-Key": key, "Wagtail-Deadline-Ms": "2500"})
                answers.append((status, headers.get("Wagtail-Outcome", "none"), content))
            threads = [threading.Thread(target=send, args=(port,)) for port in self.ports()]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            self.keyed.append({"key": key, "body": body, "answers": answers})
            time.sleep(generator.random() * 0.05)

    def task_caller(self, generator):
        while not self.stopping.is_set():
            port = self.pick(generator)
            if port is None:
                time.sleep(0.05)
                continue
            key = key_now()
            payload = f'{{"run_ms":{generator.choice([50, 200, 1500])}}}'
            acknowledged = None
            for _ in range(5):
                status, _, content = call(port, "POST", "/v1/tasks", {"profile": "tariff", "payload": payload},
                                          {"Idempotency-Key": key})
                if status == 202:
                    acknowledged = document((status, {}, content))["task"]
                    break
                time.sleep(0.2)
                port = self.pick(generator) or port
            cancelled = False
            if acknowledged and generator.random() < 0.15:
                status, headers, _ = call(port, "POST", f"/v1/tasks/{acknowledged}/cancel")
                # A cancellation without an answer, or with an unknown outcome, may have taken effect.
                cancelled = status == 200 or headers.get("Wagtail-Outcome") != "not-run"
            self.tasks.append({"key": key, "task": acknowledged, "cancelled": cancelled})
            time.sleep(generator.random() * 0.1)

    def operator(self, generator):
        """Changes one profile from the revision that it read; others do the same."""
        while not self.stopping.is_set():
            port = self.pick(generator)
            if port is None:
                time.sleep(0.05)
                continue
            status, headers, content = call(port, "GET", "/v1/profiles/raced")
            if status != 200:
                time.sleep(0.05)
                continue
            before = int(headers["ETag"].strip('"'))
            value = generator.randrange(1, 90_000)
            profile = document((status, {}, content))
            wanted = {name: item for name, item in profile.items() if name not in ("name", "revision")}
            wanted["queue_limit"] = value
            status, headers, content = call(port, "PUT", "/v1/profiles/raced", wanted, {"If-Match": str(before)})
            after = int(headers["ETag"].strip('"')) if status == 200 else None
            self.changes.append({"before": before, "status": status, "after": after, "value": value})
            time.sleep(generator.random() * 0.1)

    def read_all(self):
        for name, port in list(self.deployment.daemons.items()):
            status, headers, content = call(port, "GET", "/v1/profiles/raced")
            if status == 200:
                self.reads.append({"instance": name, "revision": int(headers["ETag"].strip('"')),
                                   "value": document((status, {}, content))["queue_limit"]})

    def reader(self, generator):
        """Reads the raced profile from one instance after another and records in which order."""
        while not self.stopping.is_set():
            self.read_all()
            time.sleep(0.02 + generator.random() * 0.03)
