"""Callers that hand jobs in through the front of the instances, ask for them and cancel some."""

import http.client
import json
import random
import threading
import time

from node_deployment import HOST, QUEUES, TEMPORARY_QUEUES

DEADLINE_S = 3.0
MOST_ATTEMPTS = 6
# A balancer reads no answer to a call for so long at most before it repeats it.
LONGEST_UNREAD_S = 0.3
# So many of 16 jobs are handed in once more only if there was no answer.
GIVING_UP_OF_16 = 5


class Job:
    """One job with what was asked and answered about it."""

    def __init__(self, generator):
        self.id = f"{generator.getrandbits(64):016x}"
        self.queue = generator.choice(list(QUEUES if generator.random() < 0.9 else TEMPORARY_QUEUES))
        run_ms = generator.choice([100, 300, 800, 2000, 4000, 6000])
        kind = generator.random()
        self.lasting = kind < 0.08
        gang = 0.08 <= kind < 0.2
        repeats = 0.2 <= kind < 0.35
        fills = 0.35 <= kind < 0.42
        saves = generator.random() < 0.3 and not gang
        first = {"Count": generator.choice([1, 4, 10, 30]), "Cpu": generator.choice([7000, 14000, 21000]),
                 "MemMb": 4000, "EstimatedMs": run_ms}
        if self.lasting or gang:
            first.update({"Count": generator.choice([2, 4]), "AntiAffinity": 1})
        per_worker = 1 if self.lasting or gang else 0
        if repeats:
            run_ms = first["EstimatedMs"] = min(run_ms, 800)
        if generator.random() < 0.4 and not gang:
            # More tasks than one data centre has workers for.
            per_worker = generator.choice([1, 2])
            first.update({"AntiAffinity": per_worker,
                          "Count": 8 if self.lasting else generator.choice([10, 30 * per_worker]),
                          "Cpu": 4000, "MemMb": 1000})
            run_ms = first["EstimatedMs"] = min(run_ms, 2000)
        steps = [dict(first, Gang=True) if gang else dict(first, LongRunning=True) if self.lasting else first]
        if generator.random() < 0.3 and not self.lasting:
            steps.append(dict(first, Count=generator.choice([1, 4]), After=[0]))
            if run_ms <= 2000 and generator.random() < 0.5:
                steps.append(dict(first, Count=generator.choice([1, 4]), After=[0, 1]))
        if fills:
            steps = [dict(step, Fills=True) for step in steps]
        for step in steps:
            if saves:
                step["Checkpointing"] = True
        # Some jobs are cancelled as soon as they are accepted, and those that last after a while.
        self.prompt_cancel = generator.random() < 0.1
        self.stay_s = generator.uniform(1, 40) if self.lasting else 0.0
        payload = {"run_ms": run_ms, "millicores": first["Cpu"], "memory_mb": first["MemMb"],
                   "fail_first": 0 if gang else generator.choice([0, 0, 0, 0, 0, 1]), "saves": saves,
                   "lasting": self.lasting, "gang": first["Count"] if gang else 0, "per_worker": per_worker,
                   "fills": fills}
        document = {"Spec": json.dumps(payload), "Steps": steps}
        times = generator.choice([2, 3]) if repeats else 1
        if repeats:
            # Occurrences that overlap, and others that don't.
            document.update({"RepeatCount": times, "IntervalMs": generator.choice([300, 1500]),
                             "FirstRunMs": int(time.time() * 1000) + generator.randrange(1500)})
        self.body = json.dumps(document).encode()
        self.tasks = times * sum(step["Count"] for step in steps)
        self.statuses = []
        # Some callers take a refusal for the last word, and the job must never run then.
        self.gives_up = int(self.id[-1], 16) < GIVING_UP_OF_16
        self.accepted_at = None
        self.cancelled = False
        self.cancelled_at = None
        self.state = None

    def path(self):
        return {**QUEUES, **TEMPORARY_QUEUES}[self.queue] + self.id

    def is_owed(self):
        """Returns whether the job has to be done."""
        return self.accepted_at and not self.cancelled and not self.lasting and self.queue in QUEUES

    def is_over(self):
        return self.state in ("done", "failed", "canceled")


class ChainJob(Job):
    """A chain of steps with short tasks, some of which fail several times."""

    def __init__(self, generator):
        super().__init__(generator)
        self.queue = generator.choice(list(QUEUES))
        self.lasting = False
        self.stay_s = 0.0
        run_ms = generator.choice([300, 600, 1000])
        count = generator.choice([1, 4, 10, 24])
        steps = [{"Count": count, "Cpu": 4000, "MemMb": 1000, "EstimatedMs": run_ms, "After": [step - 1] if step else []}
                 for step in range(generator.choice([2, 3, 4]))]
        payload = {"run_ms": run_ms, "millicores": 4000, "memory_mb": 1000,
                   "fail_first": generator.choice(8 * [0] + [1, 1, 2, 3])}
        self.body = json.dumps({"Spec": json.dumps(payload), "Steps": steps}).encode()
        self.tasks = count * len(steps)


class Connections:
    """The open connections of one caller. Each is used until it is closed."""

    def __init__(self):
        self.open = {}

    @staticmethod
    def send(connection, method, path, body):
        connection.request(method, path, body, {"Host": HOST, "Content-Type": "application/json",
                                                "Deadline-Ms": str(int(DEADLINE_S * 1000))})

    @classmethod
    def begin(cls, port, method, path, body):
        """Sends one call on a connection of its own and returns the connection, or nothing if that failed."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=DEADLINE_S)
        try:
            cls.send(connection, method, path, body)
            return connection
        except OSError:
            connection.close()
            return None

    def call(self, port, method, path, body=None):
        """Sends one call and returns (status, body); status 0 stands for no answer."""
        connection = self.open.get(port)
        if connection is None:
            connection = self.open[port] = http.client.HTTPConnection("127.0.0.1", port, timeout=DEADLINE_S)
        try:
            self.send(connection, method, path, body)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            del self.open[port]
            return 0, b""

    def close(self):
        for connection in self.open.values():
            connection.close()


class Callers:
    """All callers of one run, with the jobs that they have handed in."""

    def __init__(self, deployment, seed, jobs_per_s, job_kind=Job):
        self.deployment = deployment
        self.random = random.Random(seed)
        self.jobs = []
        self.failures = []
        self.lock = threading.Lock()
        self.unfinished = {}
        self.submitting = threading.Event()
        self.asking = threading.Event()
        self.threads = []
        self.jobs_per_s = jobs_per_s
        self.job_kind = job_kind
        # Calls that were repeated at another instance while the first copy was under way.
        self.repeated = {"POST": 0, "DELETE": 0}

    def start(self, submitters, askers):
        self.submitting.set()
        self.asking.set()
        for number in range(submitters + askers):
            target = self.submit_jobs if number < submitters else self.ask_for_jobs
            thread = threading.Thread(target=self.guard, args=(target, self.random.getrandbits(64), submitters))
            thread.daemon = True
            thread.start()
            self.threads.append(thread)

    def guard(self, target, seed, submitters):
        connections = Connections()
        try:
            target(random.Random(seed), connections, submitters)
        except Exception as failure:  # pylint: disable=broad-except
            self.failures.append(f"a caller failed: {failure!r}")
        finally:
            connections.close()

    def submit_jobs(self, generator, connections, submitters):
        while self.submitting.is_set():
            job = self.job_kind(generator)
            self.jobs.append(job)
            self.submit(job, generator, connections)
            if job.accepted_at and (job.prompt_cancel or generator.random() < 0.05):
                if not job.prompt_cancel:
                    time.sleep(generator.uniform(0, 2))
                self.cancel(job, generator, connections)
            self.cancel_over_stayed(generator, connections)
            if job.accepted_at and generator.random() < 0.03:
                # A repeated request that arrives late.
                connections.call(generator.choice(self.deployment.caller_ports()), "POST", job.path(), job.body)
            time.sleep(generator.expovariate(self.jobs_per_s / submitters))

    def submit(self, job, generator, connections):
        for _ in range(MOST_ATTEMPTS):
            status = self.balance(generator, connections, "POST", job.path(), job.body)
            job.statuses.append(status)
            if 200 <= status < 300:
                job.accepted_at = time.time()
                with self.lock:
                    self.unfinished[job.id] = job
                return
            if not self.submitting.is_set() or (job.gives_up and status):
                return
            time.sleep(generator.uniform(0.1, 0.6))

    def balance(self, generator, connections, method, path, body=None):
        """Sends one call and returns the status that the caller sees. A call may be given up after it was sent, cut or
        left unread, and repeated at another instance."""
        ports = self.deployment.caller_ports()
        generator.shuffle(ports)
        first = None
        if len(ports) > 1 and generator.random() < self.deployment.resubmissions:
            first = connections.begin(ports.pop(), method, path, body)
        if first is not None:
            with self.lock:
                self.repeated[method] += 1
            time.sleep(generator.choice([0.0, generator.uniform(0.0, LONGEST_UNREAD_S)]))
            if generator.random() < 0.5:
                first.close()
        status, _ = connections.call(ports.pop(), method, path, body)
        if first is not None:
            first.close()
        return status

    def cancel_over_stayed(self, generator, connections):
        """Cancels the oldest job that lasts and has stayed for its time."""
        now = time.time()
        with self.lock:
            due = next((job for job in self.unfinished.values()
                        if job.lasting and not job.cancelled and now - job.accepted_at > job.stay_s), None)
            if due is not None:
                due.cancelled = True
        if due is not None:
            self.cancel(due, generator, connections)

    def cancel(self, job, generator, connections):
        job.cancelled = True
        for _ in range(MOST_ATTEMPTS):
            if self.balance(generator, connections, "DELETE", job.path()) in (200, 410):
                job.cancelled_at = time.time()
                return
            time.sleep(0.3)

    def ask_for_jobs(self, generator, connections, _):
        while self.asking.is_set():
            with self.lock:
                job = generator.choice(list(self.unfinished.values())) if self.unfinished else None
            if job is not None:
                self.ask(job, generator, connections)
            time.sleep(0.02)

    def ask(self, job, generator, connections):
        port = generator.choice(self.deployment.caller_ports())
        status, content = connections.call(port, "GET", job.path())
        if status == 410:
            job.state = "unknown to " + str(port)
        elif status == 200:
            job.state = json.loads(content).get("State")
            if job.is_over():
                with self.lock:
                    self.unfinished.pop(job.id, None)

    def owed(self):
        """Returns the jobs that have to be done and are not over yet."""
        with self.lock:
            return [job for job in self.unfinished.values() if job.is_owed()]

    def stop(self):
        self.asking.clear()
        for thread in self.threads:
            thread.join(timeout=60)
        if any(thread.is_alive() for thread in self.threads):
            self.failures.append("a caller did not come to its end")
