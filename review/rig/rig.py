"""Starts wagtail-node processes against the stand-in of their platform, and plays their clients and the operator."""

import asyncio
import base64
import http.client
import json
import os
import random
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from platform_standin import Gangs, HttpServer, Store, Worker  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "review.example"
PREFIX = "/jobs/"
# The figures of sites/wcwp-grid.toml.
BOUNDS = {"ContactMs": 4000, "MaxHoldMs": 6000, "DrainMs": 3000, "GraceS": 6, "StopTimeoutMs": 200,
          "GangTimeoutMs": 3000, "CheckpointS": 2, "RestoreMs": 600, "cancel_ms": 3000, "visible_ms": 3000,
          "status_s": 120, "HeartbeatMs": 1100, "finish_s": 14}
# "64 channels each" (SYSTEM.md).
CHANNELS = 64
ZONES = {"depot": "wheatbelt", "pumphouse": "wheatbelt", "office": "coastal"}


class CannotRun(Exception):
    """The case could not be played."""


def render(template, values):
    """Fills in the placeholders and sections of a settings template, as DEPLOY.md describes them."""
    def section(match):
        rows = values.get(match[1], {}).items()
        return "".join(match[2].replace("{{@}}", key).replace("{{.}}", value) for key, value in rows)

    def placeholder(match):
        value = values
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return str(value)
    text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", section, template, flags=re.DOTALL)
    return re.sub(r"{{([\w.]+)}}", placeholder, text)


def free_port(address):
    with socket.socket() as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


class Record:
    """The record of one run: what was sent, answered and run, with the seconds since its start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
            self.file.flush()


class Rig:
    """The platform, its workers, and the nodes."""

    def __init__(self, record, nodes=3, workers=8):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="wagtail-review-")
        self.network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}."
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.node_count, self.worker_count = nodes, workers
        self.processes = {}
        self.fronts = {}
        self.settings = {}

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def do(self, function, *arguments):
        """Calls a function of the stand-ins in their event loop."""
        async def act():
            return function(*arguments)
        return self.run(act())

    def start(self):
        program = os.path.join(ROOT, "target", "wagtail-node")
        if not os.path.exists(program):
            raise CannotRun("target/wagtail-node is missing: run the build of deploy/system.toml")
        self.run(self.start_platform())
        for index in range(self.node_count):
            self.start_node(index)
        limit = time.monotonic() + 20
        while not all(self.is_ready(index) for index in range(self.node_count)):
            if time.monotonic() > limit:
                raise CannotRun("the nodes did not become ready")
            time.sleep(0.1)
        # Traffic starts 10 s after the machines do.
        time.sleep(5)
        self.record("traffic begins")

    async def start_platform(self):
        self.store = Store(self.record)
        self.store_server = HttpServer(self.network + "1", 0, self.store.handle)
        await self.store_server.open()
        zones = list(ZONES)
        self.workers = []
        gangs = Gangs()
        for index in range(self.worker_count):
            zone = zones[index % len(zones)]
            worker = Worker(self.store, gangs, self.record, f"w{index}", self.network + "2", zone, zone + "-0", BOUNDS)
            await worker.open()
            worker.http.channels = CHANNELS
            self.workers.append(worker)
        route = {"Host": HOST, "Prefix": PREFIX, "Name": "jobs", "Service": "workers", "Priority": 0, "MaxAttempts": 4,
                 "Stretch": 2.0, "TargetLatencyMs": 2000}
        self.store.write_own("op/config", {"Version": 1, "Routes": [route],
                                           "Services": [{"Name": "workers", "RejectsOverload": True}],
                                           "Limits": {"MaxBodyBytes": 262144}})

    def set_store_down(self, down):
        """While the store is down, all channels to it are reset, and leases run out."""
        self.record("the store is down" if down else "the store is up again")

        def change():
            self.store.down = down
            self.store_server.set_down(down)
        self.do(change)

    def start_node(self, index):
        zone = list(ZONES)[index % len(ZONES)]
        name, address = f"node-{index}", f"{self.network}{index + 10}"
        if index not in self.settings:
            ports = [free_port(address) for _ in range(3)]
            values = {"Node": name, "Zone": zone, "Region": ZONES[zone], "Zones": ZONES, "Ip": address,
                      "Listen": {"Front": f"{address}:{ports[0]}", "ReadyAddr": f"{address}:{ports[1]}"},
                      "PortRange": [ports[2]], "Advice": "", "Limits": {"CpuShare": 0.25}, "Bounds": BOUNDS,
                      "platform": {"Address": f"{self.network}1:{self.store_server.port}"}}
            with open(os.path.join(ROOT, "deploy", "settings.toml.in"), encoding="utf-8") as file:
                text = render(file.read(), values)
            path = os.path.join(self.folder, name + ".toml")
            with open(path, "w", encoding="utf-8") as file:
                file.write(text)
            self.settings[index] = path
            self.fronts[index] = (address, ports[0], ports[1])
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "WAGTAILBANK_BOOT": self.settings[index]}
        self.processes[index] = subprocess.Popen([os.path.join(ROOT, "target", "wagtail-node")], cwd=ROOT,
                                                 env=environment, stdout=log, stderr=log)
        log.close()

    def lose_power(self, index):
        """Ends a node as if its machine had lost power: its channels to the workers stay open at their end."""
        self.record(f"node-{index} loses power")

        def change(losing):
            for worker in self.workers:
                worker.http.peer_loses_power = losing
        self.do(change, True)
        self.processes[index].kill()
        self.processes[index].wait()
        time.sleep(0.2)
        self.do(change, False)
        taken = {worker.name: (len(worker.http.writers), worker.http.silent) for worker in self.workers}
        self.record(f"channels at the workers, open and silent: {taken}")

    def is_ready(self, index):
        address, _, port = self.fronts[index]
        return self.call_port(address, port, "GET", "/-/ready", timeout=0.5)[0] == 200

    @staticmethod
    def call_port(address, port, method, path, body=None, timeout=3.0):
        connection = http.client.HTTPConnection(address, port, timeout=timeout)
        try:
            connection.request(method, path, body, {"Host": HOST, "Content-Type": "application/json",
                                                    "Deadline-Ms": "3000"})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def call(self, index, method, job, body=None):
        """Sends a client's request to the front of a node. Status 0 stands for no answer."""
        address, port, _ = self.fronts[index]
        data = json.dumps(body).encode() if body is not None else None
        status, content = self.call_port(address, port, method, PREFIX + job, data)
        try:
            document = json.loads(content)
        except ValueError:
            document = {}
        self.record(f"{method} {job} at node-{index} -> {status} {json.dumps(document)}")
        return status, document

    def submit(self, index, job, steps, payload):
        return self.call(index, "POST", job, {"Spec": json.dumps(payload), "Steps": steps})[0]

    def owner(self):
        """Returns the index of the node that holds the partition, as the store shows it."""
        for key, item in self.do(lambda: dict(self.store.items)).items():
            if key.startswith("wagtail/cluster/owners/"):
                return int(re.search(r"node-(\d+)", base64.b64decode(item["Value"]).decode())[1])
        return None

    def runs(self):
        """Returns what runs now: the task and its run number by worker."""
        return self.do(lambda: {worker.name: list(worker.running) for worker in self.workers if worker.up})

    def log_lines(self):
        lines = []
        for index in range(self.node_count):
            with open(os.path.join(self.folder, f"node-{index}.log"), encoding="utf-8", errors="replace") as file:
                lines += [f"node-{index} {line.rstrip()}" for line in file]
        return lines

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.loop.call_soon_threadsafe(self.loop.stop)
        if os.environ.get("KEEP") == "1":
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder)


def play(folder, case, **options):
    """Plays a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if it could not run.

    The case is a function of the rig and of whether there is trouble. It returns what broke the rule.
    """
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {trouble}")
    rig = Rig(record, **options)
    try:
        rig.start()
        broken = case(rig, trouble)
        ended = [index for index, process in rig.processes.items() if process.poll() is not None]
        if ended:
            raise CannotRun(f"nodes ended by themselves: {ended}")
    except Exception as failure:  # pylint: disable=broad-except
        record(f"could not run: {failure!r}")
        print("could not run:", repr(failure))
        return 2
    finally:
        rig.close()
    for line in broken[:20]:
        record("BROKEN: " + line)
        print("broken:", line)
    print("broken" if broken else "held")
    return 1 if broken else 0


def run(folder, case, **options):
    """Plays a case and ends the process with its result, without waiting for the threads of the stand-ins."""
    result = play(folder, case, **options)
    sys.stdout.flush()
    os._exit(result)
