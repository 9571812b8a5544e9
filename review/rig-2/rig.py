"""Runs wagtail-node processes on small stand-ins of the platform's store, its workers and its clients.

The stand-ins follow PROTOCOL.md. They live in the process of the case that uses them; the nodes are separate processes,
started with the run command of the deploy file. All addresses are loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy_file:
    # The run command of the deploy file, relative to the repository.
    COMMAND = tomllib.load(deploy_file)["roles"]["node"]["run"].split()
TEMPLATE = os.path.join(ROOT, "deploy", "settings.toml.in")
HOST = "review.example"
HEARTBEAT_S = 1.1
# The bounds of wcwp-grid.
BOUNDS = {"ContactMs": 4000, "AckTimeoutMs": 5000, "DrainMs": 3000, "GraceS": 6, "ConfigApplyMs": 3000,
          "MaxHoldMs": 6000, "StopTimeoutMs": 200, "GangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000,
          "finish_s": 14, "status_s": 120, "CheckpointS": 2, "RestoreMs": 600}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file with what was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, who, event, **fields):
        text = " ".join(f"{key}={json.dumps(value)}" for key, value in fields.items())
        self.file.write(f"{self.now():8.3f} s  {who}: {event} {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads an HTTP/1.1 message and returns its first line, headers and body, or None at the end of the stream."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return head[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


class HttpServer:
    """A listener whose handler gets (method, target, headers, body) and returns (status, document), or None for no
    answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def open(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                method, target, _ = message[0].split(" ", 2)
                answer = await self.handler(method, target, message[1], message[2])
                if answer is None:
                    # The call gets no answer, and the connection stays silent.
                    await reader.read()
                    return
                body = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} Status\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Closes the listener and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, target, document=None, headers=None, timeout=5.0):
    """Sends one call and returns (status, document); status 0 stands for no answer."""
    host, _, port = address.rpartition(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"" if document is None else json.dumps(document).encode()
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}", "Content-Type: application/json"]
            lines += [f"{name}: {value}" for name, value in {"Host": address, **(headers or {})}.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            message = await read_message(reader)
            if message is None:
                return 0, {}
            text = message[2]
            return int(message[0].split(" ")[1]), json.loads(text) if text else {}
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, ConnectionError, OSError, ValueError):
        return 0, {}


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.server = HttpServer(self.handle)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key, value, lease=0):
        """Writes a key as one change. The value is bytes."""
        self.apply([(key, value, lease)], [])

    def apply(self, writes, removals):
        self.revision += 1
        for key, value, lease in writes:
            created = self.items[key]["Created"] if key in self.items else self.revision
            self.items[key] = {"Key": key, "Value": base64.b64encode(value).decode(), "Revision": self.revision,
                               "Created": created, "Lease": lease}
            self.history.append(self.items[key])
        for key in removals:
            if self.items.pop(key, None):
                self.history.append({"Key": key, "Revision": self.revision, "Deleted": True})
        self.notify()

    def read(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["Value"]) if item else None

    async def expire_leases(self):
        while True:
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if now >= until:
                    self.end_lease(lease)
            await asyncio.sleep(0.02)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["Lease"] == lease]
        if keys:
            self.apply([], keys)

    async def handle(self, method, target, headers, body):
        del headers
        path, _, query = target.partition("?")
        given = {name: values[0] for name, values in urllib.parse.parse_qs(query).items()}
        document = json.loads(body) if body else {}
        if path == "/-/kv-key":
            item = self.items.get(given.get("Key", ""))
            return (200, {**item, "AsOf": self.revision}) if item else (404, {"AsOf": self.revision})
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(given.get("Prefix", "")) and key > given.get("After", ""))
            return 200, {"items": [self.items[key] for key in keys[:500]], "MorePages": len(keys) > 500,
                         "AsOf": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(given.get("Prefix", ""), int(given["After"]), int(given["WaitMs"]) / 1000)
        if path == "/-/kv-txn":
            return self.commit(document)
        if path == "/-/kv-lease":
            lease = self.next_lease
            self.next_lease += 1
            duration = max(1.0, document["TtlMs"] / 1000)
            self.leases[lease] = (time.monotonic() + duration, duration)
            return 200, {"Lease": lease, "TtlMs": int(duration * 1000)}
        number = int(path.rpartition("/")[2]) if path.rpartition("/")[2].isdigit() else 0
        if number not in self.leases:
            return 404, {}
        if path.startswith("/-/kv-keep/"):
            duration = self.leases[number][1]
            self.leases[number] = (time.monotonic() + duration, duration)
        elif path.startswith("/-/kv-lease-end/"):
            self.end_lease(number)
        return 200, {}

    async def watch(self, prefix, after, wait_s):
        end = time.monotonic() + wait_s
        while True:
            changed = self.changed
            events = [event for event in self.history if event["Revision"] > after and event["Key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, document):
        conditions = document.get("Precondition", [])
        held = all((self.items[row["Key"]]["Revision"] if row["Key"] in self.items else 0) == row["Revision"]
                   for row in conditions)
        if not held:
            return 412, {"items": [self.items.get(row["Key"], {"Key": row["Key"], "Revision": 0})
                                   for row in conditions]}
        writes = document.get("Writes", [])
        if any(row.get("Lease", 0) and row["Lease"] not in self.leases for row in writes):
            return 404, {}
        if any(row["Key"].startswith(("op/", "servers/")) for row in writes):
            return 403, {}
        self.apply([(row["Key"], base64.b64decode(row["Value"]), row.get("Lease", 0)) for row in writes],
                   document.get("Remove", []))
        return 200, {"Revision": self.revision}


class Run:
    def __init__(self, task, number, worker, step, work_ms):
        self.task, self.number, self.worker, self.step = task, number, worker, step
        # Work that was saved before, in milliseconds.
        self.saved_before = work_ms
        self.began = time.monotonic()
        self.stopping = False

    def key(self):
        return self.task.rpartition(".")[0], self.number


class Worker:
    """One machine. Each of its lives is a worker."""

    def __init__(self, rig, name, ip, zone, rack, service="workers", cpu=64000, labels=("a",)):
        self.rig, self.name, self.ip, self.zone, self.rack, self.service = rig, name, ip, zone, rack, service
        self.cpu, self.labels = cpu, list(labels)
        self.state = "ready"
        self.port = 0
        self.lease = None
        self.life = 0
        self.up = False
        self.server = None
        # Called for each order before it is carried out; a case may hold it up here.
        self.on_order = None
        self.registered = time.monotonic()

    async def start(self, new_id=True):
        self.life += 1
        self.up = True
        if new_id or self.life == 1:
            self.id = f"i-{self.life}-{self.name}"
        self.born_ms = int(time.time() * 1000)
        self.born = time.monotonic()
        self.token, self.lease_until, self.next_end = 0, 0, 1
        self.running, self.ended, self.closed = {}, [], {}
        self.end_listed = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.port = await self.server.open(self.ip, self.port)
        self.register()
        self.rig.record.add(self.id, "starts", born=self.born_ms, address=self.address(), cpu=self.cpu,
                            labels=self.labels)

    def address(self):
        return f"{self.ip}:{self.port}"

    def crash(self):
        """Ends the worker's process. What runs on it ends, and its connections are reset."""
        self.up = False
        self.server.close()
        for run in list(self.running.values()):
            self.rig.run_over(run, "lost with its worker")
        self.running = {}
        self.rig.record.add(self.id, "crashes")

    async def go_dark(self, seconds):
        """Takes the worker's power for a while: it falls silent, and what runs on it ends. Then its next life starts."""
        async def silent(worker, target, order):
            self.rig.record.add(worker.id, "is dark and does not get", target=target, order=order)
            return False
        self.up, self.on_order = False, silent
        for run in list(self.running.values()):
            self.rig.run_over(run, "lost with its worker")
        self.running = {}
        self.rig.record.add(self.id, "goes dark")
        await asyncio.sleep(seconds)
        self.server.close()
        self.on_order = None
        await self.start()

    def register(self):
        entry = {"Service": self.service, "Address": self.address(), "Zone": self.zone, "Version": "1", "Slots": 8,
                 "State": self.state, "ColdRemainingMs": 0, "Seq": 1, "born": self.born_ms,
                 "Capacity": {"Cpu": self.cpu, "MemMb": 256000, "Gpu": 0}, "Labels": self.labels + [self.rack]}
        self.rig.store.write("servers/" + self.id, json.dumps(entry).encode())
        self.registered = time.monotonic()

    def keep_registration(self):
        """Sends a heartbeat when it is due; the entry of a silent worker lapses after three of them."""
        now = time.monotonic()
        if self.up and now - self.registered >= HEARTBEAT_S:
            self.registered = now
            if self.rig.store.read("servers/" + self.id) is None:
                self.register()
        elif not self.up and now - self.registered >= 3 * HEARTBEAT_S:
            if self.rig.store.read("servers/" + self.id) is not None:
                self.rig.store.apply([], ["servers/" + self.id])

    def clock(self):
        return int((time.monotonic() - self.born) * 1000)

    def reply(self, status, **fields):
        return status, {"ClockMs": self.clock(), "born": self.born_ms, **fields}

    async def handle(self, method, target, headers, body):
        if method != "POST":
            return 200, {}
        order = json.loads(body)
        if self.on_order and not await self.on_order(self, target, order):
            return None
        return await self.carry_out(target, headers, order)

    async def carry_out(self, target, headers, order):
        if headers.get("expect-instance", self.id) != self.id:
            return self.reply(421)
        if order.get("FencingToken", 0) < self.token:
            return self.reply(409, Reason="fence")
        self.token = order.get("FencingToken", 0)
        if target == "/-/hold":
            return await self.hold(order)
        if target == "/-/run-start":
            answer = self.start_run(order)
        elif target == "/-/run-stop":
            answer = self.stop_run(order)
        elif target == "/-/pace":
            answer = self.reply(200)
        else:
            answer = self.reply(404)
        self.rig.record.add(self.id, target, order=order, status=answer[0], reason=answer[1].get("Reason", ""))
        return answer

    def extend(self, order):
        if "UntilMs" in order:
            self.lease_until = max(self.lease_until, min(order["UntilMs"], self.clock() + BOUNDS["MaxHoldMs"]))

    def used(self):
        return sum(run.step.get("Cpu", 0) for run in self.running.values())

    def start_run(self, order):
        task, number = order["Task"], order["Run"]
        self.rig.note_start_order(self, order)
        if (task, number) in self.running:
            self.extend(order)
            return self.reply(200)
        if number <= self.closed.get(task, 0):
            self.extend(order)
            return self.reply(409, Reason="old")
        if order["UntilMs"] <= self.clock():
            return self.reply(409, Reason="late")
        step = self.rig.step_of(task)
        if self.rig.rejects_overload(self.service) and self.used() + step.get("Cpu", 0) > self.cpu:
            self.extend(order)
            return self.reply(409, Reason="room")
        self.extend(order)
        checkpoint = order.get("Checkpoint", "")
        run = Run(task, number, self, step, int(checkpoint[:8], 16) if checkpoint else 0)
        self.running[(task, number)] = run
        self.rig.run_began(run, order)
        return self.reply(200)

    def stop_run(self, order):
        task, number = order["Task"], order["Run"]
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.running.get((task, number))
        if run and not run.stopping:
            run.stopping = True
            asyncio.get_running_loop().call_later(0.05, self.end, run, "stopped")
        return self.reply(200)

    async def hold(self, order):
        self.ended = [end for end in self.ended if end[0] > order.get("LastSeen", 0)]
        self.rig.note_seen(self, order.get("LastSeen", 0))
        self.extend(order)
        wait_s = min(order.get("WaitMs", 0), 2000) / 1000
        if wait_s and not self.ended:
            try:
                await asyncio.wait_for(self.end_listed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, self.rig.saved(run), self.rig.percent(run), run.step.get("Cpu", 0)]
                   for run in self.running.values()]
        return self.reply(200, Running=running, Ended=[end[:5] for end in self.ended[:500]])

    def end(self, run, how):
        if not self.up or self.running.pop((run.task, run.number), None) is None:
            return
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        saved = "" if how == "done" else self.rig.saved(run, at_stop=how == "stopped")
        self.ended.append([self.next_end, run.task, run.number, how, saved])
        self.next_end += 1
        self.end_listed.set()
        self.end_listed = asyncio.Event()
        self.rig.run_over(run, how)

    def advance(self):
        if not self.up:
            return
        lapsed = self.running and self.clock() > self.lease_until
        for run in list(self.running.values()):
            if lapsed:
                self.end(run, "lapsed")
            elif not run.stopping:
                how = self.rig.end_of(run)
                if how:
                    self.end(run, how)


class Node:
    def __init__(self, rig, name, ip, zone):
        self.rig, self.name, self.ip, self.zone = rig, name, ip, zone
        self.front, self.ready = f"{ip}:8161", f"{ip}:8167"
        self.process = None

    def write_settings(self):
        values = {"Node": self.name, "Zone": self.zone, "Region": self.rig.regions[self.zone],
                  "Zones": self.rig.regions, "Listen": {"Front": self.front, "ReadyAddr": self.ready},
                  "Ip": self.ip, "PortRange": [7720, 7735], "platform": {"Address": self.rig.store_address},
                  "Advice": self.rig.advice_address, "Limits": {"CpuShare": 0.25}, "Bounds": BOUNDS}

        def section(match):
            rows = values.get(match[1], {}).items()
            return "".join(match[2].replace("{{@}}", key).replace("{{.}}", value) for key, value in rows)

        def placeholder(match):
            value = values
            for name in match[1].split("."):
                value = value[int(name)] if isinstance(value, list) else value[name]
            return str(value)
        with open(TEMPLATE, encoding="utf-8") as file:
            text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", section, file.read(), flags=re.DOTALL)
        path = os.path.join(self.rig.folder, self.name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(re.sub(r"{{([\w.]+)}}", placeholder, text))
        return path

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["WAGTAILBANK_BOOT"] = self.write_settings()
        with open(os.path.join(self.rig.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.rig.record.add(self.name, "starts")

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.rig.record.add(self.name, "gets a signal", signal=signal.Signals(number).name)
            self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()


class CannotRun(Exception):
    pass


# The ports that a node opens: for clients, for readiness checks, for other nodes and for its metrics.
NODE_PORTS = (8161, 8167, 7720, 9464)


def free_prefix(nodes):
    """Returns the first two bytes of loopback addresses on which the ports of all nodes are free."""
    for second in random.sample(range(16, 251), 50):
        try:
            for index in range(nodes):
                for port in NODE_PORTS:
                    with socket.socket() as probe:
                        probe.bind((f"127.{second}.1.{index + 1}", port))
            return f"127.{second}"
        except OSError:
            pass
    raise CannotRun("no free ports for the nodes")


class Rig:
    """A deployment. A case defines the submissions and the disruptions, and judges the record."""

    def __init__(self, case_folder, zones, nodes):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="wagtail-review-")
        self.regions = zones
        self.store = Store(self.record)
        self.workers, self.nodes, self.tasks = [], [], []
        self.jobs, self.gangs = {}, {}
        # All runs in the order of their begin, as dictionaries, and all start orders.
        self.runs, self.start_orders = [], []
        self.services = {"workers": {"RejectsOverload": True}}
        self.queues = {"q": {"service": "workers", "attempts": 4}}
        self.version = 0
        # The service that knows which workers a queue's policy allows, if a case needs one.
        self.advice_address = ""
        self.advisor = None
        # An error of the stand-ins, after which nothing can be judged.
        self.failure = None
        self.prefix = free_prefix(nodes)
        names = list(zones)
        for index in range(nodes):
            zone = names[index % len(names)]
            self.nodes.append(Node(self, f"edge-{index + 1}", f"{self.prefix}.1.{index + 1}", zone))

    def add_worker(self, name, zone, **options):
        index = len(self.workers) + 1
        options.setdefault("rack", f"{zone}-r{index // 8}")
        worker = Worker(self, name, f"{self.prefix}.2.{index}", zone, **options)
        self.workers.append(worker)
        return worker

    def rejects_overload(self, service):
        return self.services[service]["RejectsOverload"]

    def write_manifest(self):
        """Writes the next version of the manifest."""
        self.version += 1
        routes = [{"Name": name, "Host": HOST, "Prefix": f"/{name}/", "Kind": "non_idempotent", "TimeoutMs": 3000,
                   "TargetLatencyMs": 1000, "Priority": 0, "Service": queue["service"],
                   "MaxAttempts": queue["attempts"], "Stretch": 2.0, **queue.get("fields", {})} for name, queue in self.queues.items()]
        services = [{"Name": name, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1", "Tls": False,
                     "Spare": False, **fields} for name, fields in self.services.items()]
        manifest = {"Version": self.version, "Routes": routes, "Services": services,
                    "Limits": {"MaxBodyBytes": 262144}}
        self.store.write("op/config", json.dumps(manifest).encode())
        self.record.add("operator", "writes a manifest", version=self.version, queues=self.queues)

    async def start(self):
        if not os.access(os.path.join(ROOT, COMMAND[0]), os.X_OK):
            raise CannotRun(COMMAND[0] + " is missing; run the build of the deploy file")
        port = await self.store.server.open(f"{self.prefix}.0.1")
        self.store_address = f"{self.prefix}.0.1:{port}"
        if self.advisor:
            self.advice_address = f"{self.prefix}.0.2:{await self.advisor.open(f'{self.prefix}.0.2')}"
        self.tasks = [asyncio.create_task(self.store.expire_leases()), asyncio.create_task(self.advance())]
        for worker in self.workers:
            await worker.start()
        self.write_manifest()
        for node in self.nodes:
            await node.start()
        await self.until(self.all_ready, 30, "all nodes are ready")
        await asyncio.sleep(4)

    async def all_ready(self):
        answers = [await call(node.ready, "GET", "/-/ready", timeout=1) for node in self.nodes]
        return all(answer[0] == 200 for answer in answers)

    async def until(self, check, seconds, what):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"not within {seconds} s: {what}")

    async def advance(self):
        try:
            while True:
                for worker in self.workers:
                    worker.advance()
                    worker.keep_registration()
                await asyncio.sleep(0.01)
        except Exception as failure:
            self.failure = failure
            raise

    def owner(self):
        """Returns the node that last became the owner, by the entry that it wrote to the store."""
        for key in sorted(self.store.items):
            if key.startswith("wagtail/cluster/owners/"):
                text = self.store.read(key).decode()
                return next((node for node in self.nodes if f'"{node.name}"' in text), None)
        return None

    # Submissions

    def step_of(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    async def submit(self, job, steps, queue="q", node=0, **fields):
        """Submits a job. Members of a step whose names begin with a dot are for the stand-ins only."""
        self.jobs[job] = {"steps": steps, "queue": queue, "accepted": None}
        body = {"Spec": "work of " + job, **fields, "Steps": [
            {name: value for name, value in step.items() if not name.startswith(".")} for step in steps]}
        for attempt in range(5):
            target = self.nodes[(node + attempt) % len(self.nodes)]
            status, _ = await call(target.front, "POST", f"/{queue}/{job}", body,
                                   {"Host": HOST, "Deadline-Ms": "3000"})
            self.record.add("client", f"POST /{queue}/{job} to {target.name}", body=body, status=status)
            if status == 200:
                self.jobs[job]["accepted"] = time.monotonic()
                return status
            await asyncio.sleep(0.5)
        return status

    async def state(self, job, node=0):
        queue = self.jobs[job]["queue"]
        for attempt in range(4):
            target = self.nodes[(node + attempt) % len(self.nodes)]
            status, document = await call(target.front, "GET", f"/{queue}/{job}", None,
                                          {"Host": HOST, "Deadline-Ms": "3000"})
            self.record.add("client", f"GET /{queue}/{job} to {target.name}", status=status, answer=document)
            if status == 200:
                return document.get("State")
            if status == 410:
                return "410"
            await asyncio.sleep(0.3)
        return None

    # What runs

    def note_start_order(self, worker, order):
        self.start_orders.append({"at": self.record.now(), "worker": worker, "id": worker.id, **order})

    def run_began(self, run, order):
        gang = run.step.get("Gang")
        if gang:
            self.gangs.setdefault(run.key(), {"present": set(), "since": None, "over": None})
            state = self.gangs[run.key()]
            state["present"].add(run.task)
            if len(state["present"]) == run.step["Count"]:
                state["since"] = time.monotonic()
        self.runs.append({"task": run.task, "run": run.number, "worker": run.worker.id, "service": run.worker.service,
                          "began": self.record.now(), "over": None, "how": None, "ack": None,
                          "checkpoint": order.get("Checkpoint", ""), "life": (run.worker.name, run.worker.life),
                          "number": None})
        self.record.add(run.worker.id, "run begins", task=run.task, run=run.number,
                        checkpoint=order.get("Checkpoint", ""))

    def find_run(self, run):
        return next(entry for entry in reversed(self.runs)
                    if entry["task"] == run.task and entry["run"] == run.number and entry["worker"] == run.worker.id
                    and entry["over"] is None)

    def run_over(self, run, how):
        entry = self.find_run(run)
        entry["over"], entry["how"] = self.record.now(), how
        if how != "lost with its worker":
            entry["number"] = run.worker.next_end - 1
        if run.step.get("Gang"):
            state = self.gangs[run.key()]
            if how != "done" and state["over"] is None:
                state["over"] = "broken"
        self.record.add(run.worker.id, "run ends", task=run.task, run=run.number, how=how)

    def note_seen(self, worker, number):
        """Notes the ends that a worker was told are taken note of."""
        for entry in self.runs:
            if entry["life"] == (worker.name, worker.life) and entry["number"] and entry["number"] <= number \
                    and entry["ack"] is None:
                entry["ack"] = self.record.now()

    def worked_ms(self, run):
        """Returns the work that is done, including what a checkpoint carried over."""
        begin = run.began
        if run.step.get("Gang"):
            begin = self.gangs[run.key()]["since"]
            if begin is None:
                return run.saved_before
        restore = BOUNDS["RestoreMs"] / 1000 if run.saved_before else 0
        return run.saved_before + max(0, int((time.monotonic() - begin - restore) * 1000))

    def saved(self, run, at_stop=False):
        """Returns the present checkpoint of a run: the work that is saved and digits of the job's id."""
        if not run.step.get("Checkpointing"):
            return ""
        worked = self.worked_ms(run)
        unit = int(BOUNDS["CheckpointS"] * 1000)
        saved = worked if at_stop else max(run.saved_before, worked // unit * unit)
        return f"{saved:08x}{run.task[2:10]}" if saved else ""

    def percent(self, run):
        if run.step.get("LongRunning"):
            return 100
        return min(99, self.worked_ms(run) * 100 // run.step[".work_ms"])

    def end_of(self, run):
        """Returns how a run ends now, or None if it goes on."""
        if run.step.get("Gang"):
            state = self.gangs[run.key()]
            if state["over"]:
                return state["over"]
            if state["since"] is None:
                late = time.monotonic() - run.began >= BOUNDS["GangTimeoutMs"] / 1000
                return "alone" if late else None
            if self.worked_ms(run) >= run.step[".work_ms"]:
                state["over"] = "done"
                return "done"
            return None
        if run.step.get("LongRunning"):
            return None
        return "done" if self.worked_ms(run) >= run.step[".work_ms"] else None

    async def close(self):
        for node in self.nodes:
            await node.kill()
        for task in self.tasks:
            task.cancel()
        for worker in self.workers:
            if worker.server:
                worker.server.close()
        self.store.server.close()
        if self.advisor:
            self.advisor.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case):
    """Plays a case and exits with 1 if its rule was broken, 0 if it held and 2 if it could not run. The case is a
    coroutine that returns the breaches as a list of texts."""
    async def play():
        rig = None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            rig = case.create()
            await rig.start()
            breaches = await asyncio.wait_for(case.play(rig), 105)
            if rig.failure:
                raise CannotRun("the stand-in failed: " + repr(rig.failure))
            for breach in breaches:
                rig.record.add("judge", "the rule is broken:", what=breach)
                print("broken:", breach)
            print("broken" if breaches else "held", "with" if TROUBLE else "without", "the disruption")
            return 1 if breaches else 0
        except (Exception, asyncio.CancelledError) as failure:  # pylint: disable=broad-except
            print("the case could not run:", repr(failure))
            return 2
        finally:
            if rig:
                await rig.close()
    sys.exit(asyncio.run(play()))
