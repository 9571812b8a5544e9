"""Starts wagtail-node processes and the stand-in of their platform on loopback."""

import base64
import json
import math
import os
import re
import signal
import threading
import time

from deployment import Deployment, call, document, wait_until
from node_schedule import DRAIN_MS

TEMPLATE = os.path.join(os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__)))),
                        "deploy", "settings.toml.in")
NAMES = ["depot", "office", "pumphouse", "harbour", "siding", "reservoir"]
HOST = "rig.example"
QUEUES = {"bill": "/bill/", "tariff": "/tariff/", "watch": "/watch/"}
# A queue that versions of the configuration add and drop. What becomes of its jobs meanwhile is not promised.
TEMPORARY_QUEUES = {"yard": "/yard/"}
STOP_CHOICES_MS = [900, 200]
GRACE_S = 6.0
PORTS_PER_INSTANCE = 4
# The ports of relays in front of an instance: for callers and for peers.
RELAYS_PER_INSTANCE = 2
REGIONS = ["wheatbelt", "coastal"]
# The time from one region to the other.
REGION_DELAY_MS = 30
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def render(template, values):
    """Fills in the placeholders and the sections of a settings template, as the platform does."""
    def section(match):
        rows = values.get(match[1], {}).items()
        return "".join(match[2].replace("{{@}}", key).replace("{{.}}", value) for key, value in rows)
    text = re.sub(r"{{#(\w+)}}(.*?){{/\1}}", section, template, flags=re.DOTALL)

    def placeholder(match):
        value = values
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return str(value)
    return re.sub(r"{{([\w.]+)}}", placeholder, text)


class NodeDeployment(Deployment):
    """The platform, the instances and the balancer in front of them."""

    def __init__(self, folder, base_port, instances, workers, seed, lease_ms):
        super().__init__(folder, base_port)
        self.instances = instances
        self.worker_count = workers
        self.seed = seed
        self.lease_ms = lease_ms
        # How long a worker takes to stop a run at most.
        self.stop_ms = STOP_CHOICES_MS[seed // 2 % len(STOP_CHOICES_MS)]
        # The newest configuration, and the version that the store has.
        self.version = 1
        self.queues = QUEUES
        self.stored_version = 0
        self.configure_at = 0.0
        # With six data centres in two regions, each has an owner of its own.
        self.zones = NAMES[:min(len(NAMES), instances)]
        self.control = base_port
        self.links = base_port + 2
        self.node_ports = self.links + instances
        # Each instance has two blocks of ports.
        self.relay_ports = self.node_ports + 2 * instances * PORTS_PER_INSTANCE
        self.worker_ports = self.relay_ports + 2 * instances * RELAYS_PER_INSTANCE
        self.worker_links = self.worker_ports + workers
        self.faults = []
        # The share of calls of callers that the balancer repeats at another instance while the first copy is under way.
        self.resubmissions = 0.0
        self.restarts = 0
        # When to start a process again that was ended, and when to kill one that was asked to end.
        self.restart_at = {}
        self.kill_at = {}
        self.restart_delay = {}
        # Until when instances get only a share of each period, and how long that is, by name.
        self.starved = {}
        self.paused = set()
        # Former processes of instances whose next one has started: (process, when to resume it, when to kill it).
        self.former = []
        # Instances whose present process uses the second of its two blocks of ports.
        self.moved = set()
        # The instances to which the balancer sends callers.
        self.rotation = []
        # When the processes were looked after last, and the longest time between two such moments.
        self.supervised_at = None
        self.longest_step_s = 0.0
        self.stopping = threading.Event()

    def name(self, index):
        return f"{self.zones[index % len(self.zones)]}-{index // len(self.zones)}"

    def region(self, index):
        return REGIONS[index % len(self.zones) % 2]

    def port(self, index):
        """Returns the instance's port for callers; those for readiness, peers and metrics follow it."""
        return self.node_ports + PORTS_PER_INSTANCE * self.block(index)

    def block(self, index):
        """Returns the number of the block of ports that the instance's present process uses."""
        return index + (self.instances if index in self.moved else 0)

    def caller_port(self, index):
        """Returns the port of the relay in front of the instance's port for callers."""
        return self.relay_ports + RELAYS_PER_INSTANCE * self.block(index)

    def peer_port(self, index):
        """Returns the port of the relay in front of the instance's port for peers."""
        return self.caller_port(index) + 1

    def relays(self):
        """Returns the relays in front of all blocks of ports, as the stand-in reads them."""
        relays = []
        for block in range(2 * self.instances):
            port = self.node_ports + PORTS_PER_INSTANCE * block
            relay = self.relay_ports + RELAYS_PER_INSTANCE * block
            relays += [f"caller:{relay}:{port}", f"peer:{relay + 1}:{port + 2}"]
        return ",".join(relays)

    def start_platform(self):
        self.start("platform", "wagtail-standin-platform", [
            f"--control={self.control}", f"--store={self.control + 1}", f"--links={self.links}",
            f"--worker-ports={self.worker_ports}", f"--worker-links={self.worker_links}",
            f"--relays={self.relays()}", f"--instances={self.instances}",
            f"--workers={self.worker_count}", f"--data-centres={','.join(self.zones)}", f"--lease-ms={self.lease_ms}",
            f"--stop-ms={self.stop_ms}",
            f"--seed={self.seed}", f"--writes={70 * self.instances}", f"--reads={340 * self.instances}"])
        wait_until(lambda: call(self.control, "GET", "/violations")[0] == 200, 20, "the platform")
        wait_until(self.store_configuration, 20, "the configuration to be stored")

    def store_configuration(self):
        """Writes the newest configuration, and returns whether the store has it."""
        routes = [{"Host": HOST, "Prefix": prefix, "Name": name, "Service": "workers", "Priority": priority,
                   "MaxAttempts": 4, "Stretch": 2.0, "TargetLatencyMs": 2000}
                  for priority, (name, prefix) in enumerate(self.queues.items())]
        manifest = {"Version": self.version, "Routes": routes,
                    "Services": [{"Name": "workers", "RejectsOverload": True}], "Limits": {"MaxBodyBytes": 262144}}
        value = base64.b64encode(json.dumps(manifest).encode()).decode()
        body = {"Precondition": [], "Remove": [], "Writes": [{"Key": "op/config", "Value": value, "Lease": 0}]}
        if call(self.control + 1, "POST", "/-/kv-txn", body, {"Operator": "1"}, timeout=0.15)[0] == 200:
            self.stored_version = self.version
        return self.stored_version == self.version

    def write_settings(self, index, grace_s):
        """Writes the settings file of an instance and returns its path."""
        port = self.port(index)
        zone = self.zones[index % len(self.zones)]
        regions = {name: REGIONS[number % 2] for number, name in enumerate(self.zones)}
        values = {"Node": self.name(index), "Zone": zone, "Region": self.region(index), "Zones": regions,
                  "Ip": "127.0.0.1",
                  "Listen": {"Front": f"127.0.0.1:{port}", "ReadyAddr": f"127.0.0.1:{port + 1}"},
                  "PortRange": [port + 2], "platform": {"Address": f"127.0.0.1:{self.links + index}"}, "Advice": "",
                  "Limits": {"CpuShare": 0.5 if index % 3 == 0 else 0.12},
                  "Bounds": {"MaxHoldMs": self.lease_ms, "DrainMs": DRAIN_MS, "status_s": 300, "GraceS": grace_s}}
        with open(TEMPLATE, encoding="utf-8") as file:
            # The template gives all instances one port for their metrics, since each has a machine of its own.
            text = render(file.read(), values).replace("127.0.0.1:9464", f"127.0.0.1:{port + 3}")
        text = text.replace("[listen]\n", f'[listen]\nadvertised_peers = "127.0.0.1:{self.peer_port(index)}"\n')
        path = os.path.join(self.folder, self.name(index) + ".toml")
        with open(path + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(path + ".new", path)
        return path

    def start_node(self, index):
        self.start(self.name(index), "wagtail-node", ["--settings", self.write_settings(index, GRACE_S)])

    def start_all(self):
        self.start_platform()
        # Instances that were started one after the other would leave all partitions to the first.
        for index in range(self.instances):
            self.do_link(link=index)
            self.start_node(index)
            self.signal(self.name(index), signal.SIGSTOP)
        for index in range(self.instances):
            self.signal(self.name(index), signal.SIGCONT)
        threading.Thread(target=self.balance, daemon=True).start()
        wait_until(lambda: len(self.rotation) == self.instances, 60, "all instances to be ready")

    def balance(self):
        """Asks each instance once a second whether it is ready. It leaves the rotation after two misses."""
        misses = dict.fromkeys(range(self.instances), 2)
        while not self.stopping.is_set():
            begin = time.time()
            for index in range(self.instances):
                ready = call(self.port(index) + 1, "GET", "/-/ready", timeout=0.3)[0] == 200
                misses[index] = 0 if ready else misses[index] + 1
            self.rotation = [index for index, missed in misses.items() if missed < 2]
            self.stopping.wait(max(0.0, begin + 1.0 - time.time()))

    def caller_ports(self):
        rotation = self.rotation
        return [self.caller_port(index)
                for index in (rotation if len(rotation) * 2 >= self.instances else range(self.instances))]

    # The actions of a schedule.

    def do_store(self, **fault):
        call(self.control, "POST", "/store", fault)

    def do_link(self, link, **fault):
        # The store is in the first region.
        fault["delay_ms"] = fault.get("delay_ms", 0) + (REGION_DELAY_MS if self.region(link) != REGIONS[0] else 0)
        self.do_connections("store", [link], **fault)

    def do_connections(self, kind, links, **fault):
        """Changes all faults of the links of a kind: to the store, to workers, between peers or from callers."""
        call(self.control, "POST", "/links", {"kind": kind, "links": links, **fault})

    def do_instance_connections(self, kind, instances, **fault):
        """Changes all faults of the links of peers or callers to instances."""
        self.do_connections(kind, instances + [index + self.instances for index in instances], **fault)

    def do_workers(self, **fault):
        call(self.control, "POST", "/workers", fault)

    def do_terminate(self, instance, restart_after_s):
        name = self.name(instance)
        if name in self.processes and name not in self.restart_delay:
            self.restart_delay[name] = (instance, restart_after_s)
            self.kill_at[name] = time.time() + GRACE_S
            self.signal(name, signal.SIGTERM)
            if name not in self.paused:
                self.signal(name, signal.SIGCONT)

    def do_kill(self, instance, restart_after_s):
        name = self.name(instance)
        if name in self.processes:
            self.restart_delay[name] = (instance, restart_after_s)
            self.kill_at[name] = 0.0

    def do_pause(self, instance):
        name = self.name(instance)
        if name in self.processes and name not in self.restart_delay:
            self.paused.add(name)
            self.signal(name, signal.SIGSTOP)

    def do_resume(self, instance):
        name = self.name(instance)
        self.paused.discard(name)
        self.starved.pop(name, None)
        if name in self.processes:
            self.signal(name, signal.SIGCONT)

    def do_start_beside(self, instance, resume_after_s, kill_after_s):
        """Pauses the process of an instance and starts the next one under its name while the former still exists."""
        name = self.name(instance)
        if name not in self.processes or name in self.restart_delay or any(name == item[0] for item in self.former):
            return
        self.do_pause(instance)
        self.paused.discard(name)
        self.starved.pop(name, None)
        now = time.time()
        self.former.append((name, self.processes.pop(name), now + resume_after_s, now + kill_after_s))
        self.moved ^= {instance}
        self.restarts += 1
        self.start_node(instance)

    def supervise_former(self, now):
        """Resumes and kills former processes."""
        kept = []
        for name, process, resume_at, kill_at in self.former:
            if process.poll() is not None:
                self.faults.append(f"the former process of {name} ended by itself with status {process.returncode}")
                continue
            if now >= resume_at:
                process.send_signal(signal.SIGCONT)
            if now >= kill_at:
                process.kill()
                process.wait()
                continue
            kept.append((name, process, resume_at, kill_at))
        self.former = kept

    def do_configure(self, with_temporary):
        self.version += 1
        self.queues = {**QUEUES, **TEMPORARY_QUEUES} if with_temporary else QUEUES

    def do_hang_up(self, instance, grace_s):
        """Changes the settings file of an instance and tells it so, unless it has just been started."""
        name = self.name(instance)
        self.write_settings(instance, grace_s)
        if name in self.processes and call(self.port(instance) + 1, "GET", "/-/ready", timeout=0.3)[0]:
            self.signal(name, signal.SIGHUP)

    def do_resubmissions(self, share):
        self.resubmissions = share

    def do_drop_lease(self, instance):
        """Takes the lease of one instance away, with its entry and what it owns."""
        call(self.control, "POST", "/lease", {"key": "wagtail/cluster/instances/" + self.name(instance)})

    def do_starve(self, instance, for_s, share, period_s):
        self.starved[self.name(instance)] = (time.time() + for_s, share, period_s)

    def starve(self, now):
        """Stops and continues the starved instances in turn."""
        for name, (until, share, period_s) in list(self.starved.items()):
            over = now >= until
            if over:
                del self.starved[name]
            if name in self.processes and name not in self.paused and name not in self.restart_delay:
                runs = over or now % period_s < share * period_s
                self.signal(name, signal.SIGCONT if runs else signal.SIGSTOP)

    def supervise(self):
        """Kills what did not end in time, notices what ended by itself, and starts instances again."""
        now = time.time()
        self.longest_step_s = max(self.longest_step_s, now - (self.supervised_at or now))
        self.supervised_at = now
        self.starve(now)
        self.supervise_former(now)
        if self.stored_version != self.version and now >= self.configure_at:
            self.configure_at = now + 1.0
            self.store_configuration()
        for name, at in list(self.kill_at.items()):
            if now >= at:
                process = self.processes[name]
                process.kill()
                process.wait()
                self.note_end(name, now)
        for name, process in list(self.processes.items()):
            status = process.poll()
            if status is None:
                continue
            if name not in self.restart_delay or status != 0:
                self.faults.append(f"{name} ended by itself with status {status}")
            if name == "platform":
                raise AssertionError("the stand-in of the platform ended")
            self.note_end(name, now)
        for index, at in list(self.restart_at.items()):
            if now >= at:
                del self.restart_at[index]
                self.restarts += 1
                self.start_node(index)

    def note_end(self, name, now):
        self.processes.pop(name, None)
        self.kill_at.pop(name, None)
        index = next(i for i in range(self.instances) if self.name(i) == name)
        _, delay = self.restart_delay.pop(name, (index, 1.0))
        self.restart_at[index] = now + delay

    def calm(self):
        """Ends all faults."""
        self.do_resubmissions(share=0.0)
        self.supervise_former(math.inf)
        self.do_store()
        everyone = list(range(self.worker_count))
        self.do_workers(workers=everyone)
        for index in range(self.instances):
            self.do_link(link=index)
            self.do_resume(index)
        self.do_connections("worker", everyone)
        for kind in ("peer", "caller"):
            self.do_instance_connections(kind, list(range(self.instances)))

    def violations(self):
        return document(call(self.control, "GET", "/violations", timeout=30))

    def counts(self):
        return document(call(self.control, "GET", "/counts", timeout=30))

    def runs_of_jobs(self):
        return document(call(self.control, "GET", "/jobs", timeout=30))

    def processor_s(self):
        """Returns the processor time that the present process of each kind has used: all instances, and the platform."""
        used = {"instances": 0.0, "platform": 0.0}
        for name, process in self.processes.items():
            with open(f"/proc/{process.pid}/stat", encoding="ascii") as file:
                fields = file.read().rpartition(")")[2].split()
            # User and system time are the 14th and 15th field of the file, and the first two are not in the list.
            used["platform" if name == "platform" else "instances"] += (int(fields[11]) + int(fields[12])) / TICKS_PER_S
        return used

    def close(self):
        self.stopping.set()
        for _, process, _, _ in self.former:
            process.kill()
            process.wait()
        super().close()

    def merge_logs(self):
        """Writes the log lines of all processes in the order of time and returns the path."""
        lines = []
        for entry in sorted(os.listdir(self.folder)):
            if not entry.endswith(".log") or entry == "merged.log":
                continue
            with open(os.path.join(self.folder, entry), encoding="utf-8", errors="replace") as file:
                last = 0
                for line in file:
                    try:
                        last = json.loads(line).get("time_ms", last)
                    except (ValueError, AttributeError):
                        pass
                    lines.append((last, entry[:-len(".log")], line))
        lines.sort(key=lambda item: item[0])
        path = os.path.join(self.folder, "merged.log")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{name} {line}" for _, name, line in lines)
        return path
