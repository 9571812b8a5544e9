"""A stand-in of the platform's store and of its workers, as far as PROTOCOL.md describes them, in one event loop."""

import asyncio
import base64
import json
import random
import time
import urllib.parse

MAXIMUM_ITEMS = 500
MAXIMUM_ENDS = 500


def steady_ms():
    return time.monotonic() * 1000


class HttpServer:
    """Serves HTTP/1.1 with persistent connections. The handler returns (status, document), or None for no answer."""

    def __init__(self, address, port, handler):
        self.address, self.port, self.handler = address, port, handler
        self.server = None
        self.writers = set()
        # Whether every channel is reset as soon as it is opened.
        self.resets = False
        # The most channels that may be open at a time, and how many of these lead to machines that have lost power.
        self.channels = None
        self.silent = 0
        # Whether the machine at the other end of the channels that end now is losing its power.
        self.peer_loses_power = False

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Stops listening and resets all open channels."""
        self.server.close()
        self.reset()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.resets:
                writer.transport.abort()
                return
            if self.channels is not None and len(self.writers) + self.silent > self.channels:
                # All channels are taken: a new one hangs.
                self.writers.discard(writer)
                await reader.read()
                return
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                headers = {}
                while True:
                    header = (await reader.readline()).decode().strip()
                    if not header:
                        break
                    name, value = header.split(":", 1)
                    headers[name.lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                answer = await self.handler(method, target, headers, body)
                if answer is None:
                    # Nothing further comes on a channel on which a response was lost.
                    await reader.read()
                    break
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(data)) + data)
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            if writer in self.writers:
                self.writers.discard(writer)
                # A machine without power closes nothing, so the channel stays open at this end.
                self.silent += self.peer_loses_power
            writer.close()

    def set_down(self, down):
        """Resets all channels, the open ones and all new ones, until the server is up again."""
        self.resets = down
        if down:
            self.reset()

    def reset(self):
        """Resets all open channels."""
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 1
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        # Decides whether the response to a write is lost: a function of the parsed transaction.
        self.loses = lambda transaction: False
        self.writes = 0
        self.lost = 0
        self.down = False

    def put(self, key, value, lease=0):
        before = self.items.get(key)
        self.items[key] = {"Key": key, "Value": value, "Revision": self.revision,
                           "Created": before["Created"] if before else self.revision, "Lease": lease}
        self.history.append((self.revision, dict(self.items[key])))

    def erase(self, key):
        if self.items.pop(key, None) is not None:
            self.history.append((self.revision, {"Key": key, "Revision": self.revision, "Deleted": True}))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def write_own(self, key, document):
        """A write of the operator or of a worker."""
        self.revision += 1
        self.put(key, base64.b64encode(json.dumps(document).encode()).decode())
        self.notify()

    def erase_own(self, key):
        self.revision += 1
        self.erase(key)
        self.notify()

    def expire(self):
        now = steady_ms()
        for lease, (_, until) in list(self.leases.items()):
            if until < now:
                self.end_lease(lease)

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        self.revision += 1
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.erase(key)
        self.notify()

    async def handle(self, method, target, _headers, body):
        self.expire()
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/-/kv-key":
            item = self.items.get(query.get("Key", ""))
            return (200, dict(item, AsOf=self.revision)) if item else (404, {})
        if path == "/-/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("Prefix", ""))
                          and key > query.get("After", ""))
            return 200, {"items": [self.items[key] for key in keys[:MAXIMUM_ITEMS]],
                         "MorePages": len(keys) > MAXIMUM_ITEMS, "AsOf": self.revision}
        if path == "/-/kv-watch":
            return await self.watch(query)
        if path == "/-/kv-txn":
            return self.transact(json.loads(body))
        if path == "/-/kv-lease":
            self.next_lease += 1
            duration = max(1000, json.loads(body)["TtlMs"])
            self.leases[self.next_lease] = (duration, steady_ms() + duration)
            return 200, {"Lease": self.next_lease, "TtlMs": duration}
        if path.startswith("/-/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            duration = self.leases[lease][0]
            self.leases[lease] = (duration, steady_ms() + duration)
            return 200, {}
        if path.startswith("/-/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("Prefix", ""), int(query.get("After", 0))
        until = steady_ms() + min(30000, int(query.get("WaitMs", 0)))
        while True:
            events = [event for revision, event in self.history if revision > after and event["Key"].startswith(prefix)]
            if events or steady_ms() >= until:
                return 200, {"events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), (until - steady_ms()) / 1000)
            except asyncio.TimeoutError:
                pass
            self.expire()

    def transact(self, transaction):
        entries = sum(len(transaction.get(name, [])) for name in ("Precondition", "Writes", "Remove"))
        if entries > 32:
            return 400, {}
        self.writes += 1
        answer = self.commit(transaction)
        if self.loses(transaction):
            self.lost += 1
            return None
        return answer

    def commit(self, transaction):
        conditions = transaction.get("Precondition", [])
        if any(self.items.get(row["Key"], {}).get("Revision", 0) != row["Revision"] for row in conditions):
            return 412, {"items": [self.items[row["Key"]] for row in conditions if row["Key"] in self.items]}
        if any(row.get("Lease", 0) and row["Lease"] not in self.leases for row in transaction.get("Writes", [])):
            return 404, {}
        self.revision += 1
        for row in transaction.get("Writes", []):
            self.put(row["Key"], row["Value"], row.get("Lease", 0))
        for key in transaction.get("Remove", []):
            self.erase(key)
        self.notify()
        return 200, {"Revision": self.revision}


class Gangs:
    """Which members of a gang are present, by step and run, and how much work they have done together."""

    def __init__(self):
        self.gangs = {}

    @staticmethod
    def key(task, run):
        return task.rsplit(".", 1)[0], run

    def join(self, task, run, size, saved_ms):
        gang = self.gangs.setdefault(self.key(task, run), {"size": size, "members": set(), "began": None, "over": None})
        gang["members"].add(task)
        if len(gang["members"]) == size and gang["over"] is None:
            gang["began"] = steady_ms() - saved_ms

    def work_done(self, task, run):
        began = self.gangs[self.key(task, run)]["began"]
        return 0 if began is None else max(0, steady_ms() - began)

    def leave(self, task, run, how):
        """Without one of its members a gang is broken, unless it was done."""
        gang = self.gangs.get(self.key(task, run))
        if gang and gang["over"] is None:
            gang["over"] = "done" if how == "done" else "broken"

    def end_of(self, task, run, run_ms):
        """Returns how a member has to end now, or nothing."""
        gang = self.gangs[self.key(task, run)]
        if gang["over"] is None and gang["began"] is not None and steady_ms() >= gang["began"] + run_ms:
            gang["over"] = "done"
        return gang["over"]

    def is_complete(self, task, run):
        return self.gangs[self.key(task, run)]["began"] is not None


class Worker:
    """A worker: runs tasks under a lease on its own clock and lists what runs and what has ended.

    The payload of a submission tells what its tasks do: {"run_ms": N}, {"run_ms": N, "fails": true}, or
    {"lasting": true}, with "serves": true for tasks with a tail, "gang": N for the members of a gang, and "saves": true
    for checkpoints. A list under "steps" tells it for each step. No task disturbs another one.
    """

    def __init__(self, store, gangs, record, name, address, zone, rack, bounds):
        self.store, self.gangs, self.record = store, gangs, record
        self.name, self.zone, self.rack, self.bounds = name, zone, rack, bounds
        self.http = HttpServer(address, 0, self.handle)
        self.up = False
        self.life = 0
        # The orders that started something, as task, run number and checkpoint.
        self.starts = []
        # The tail of its tasks that serve, in milliseconds.
        self.tail_ms = 10

    async def open(self):
        await self.http.open()
        self.begin_life()
        asyncio.get_running_loop().create_task(self.beat())

    def begin_life(self):
        self.life += 1
        self.up = True
        self.born_at = steady_ms()
        self.born = int(time.time() * 1000)
        self.token = 0
        self.lease_until = 0
        self.running = {}
        self.ends = []
        self.next_end = 1
        self.closed = {}
        self.sequence = 0
        self.listed_change = asyncio.Event()
        self.record(f"{self.name} life {self.life} born {self.born}")
        self.register()

    def register(self):
        if self.store.down:
            return
        self.sequence += 1
        self.store.write_own("servers/" + self.name, {
            "Service": "workers", "Address": f"{self.http.address}:{self.http.port}", "Zone": self.zone,
            "Version": "1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Seq": self.sequence,
            "born": self.born, "Labels": ["a", self.rack],
            "Capacity": {"Cpu": 64000, "MemMb": 250000, "Gpu": 0}})

    async def beat(self):
        """Reports to the store from time to time, and ends what is over."""
        last = steady_ms()
        while True:
            await asyncio.sleep(0.02)
            if not self.up:
                continue
            self.advance()
            if steady_ms() - last >= self.bounds["HeartbeatMs"]:
                last = steady_ms()
                self.register()

    def clock(self):
        return int(steady_ms() - self.born_at)

    def crash(self):
        """Ends the life of the worker at once. Its channels are reset, and nothing listens until restart()."""
        for (task, run) in self.running:
            self.record(f"{self.name} crashed under {task} run {run}")
            self.gangs.leave(task, run, "crashed")
        self.record(f"{self.name} crashes")
        self.up = False
        self.running = {}
        self.http.close()

    async def restart(self):
        """Begins a new life under the same id, at the same address."""
        await self.http.open()
        self.begin_life()

    def advance(self):
        lapsed = self.lease_until and self.clock() > self.lease_until
        for (task, run), state in list(self.running.items()):
            if lapsed:
                self.end(task, run, "lapsed")
            elif state["stops_at"] is not None and steady_ms() >= state["stops_at"]:
                self.end(task, run, "stopped")
            elif state["gang"]:
                self.advance_member(task, run, state)
            elif state["stops_at"] is None and not state["lasting"] and self.work_done(state) >= state["run_ms"]:
                self.end(task, run, "failed" if state["fails"] else "done")
        if lapsed:
            self.lease_until = 0

    def advance_member(self, task, run, state):
        how = self.gangs.end_of(task, run, state["run_ms"])
        if how is not None:
            self.end(task, run, how)
        elif not self.gangs.is_complete(task, run) and steady_ms() >= state["began"] + self.bounds["GangTimeoutMs"]:
            self.end(task, run, "alone")

    def checkpoint(self, task, run, state):
        """Returns the checkpoint of a run: the work in it, and a number that each member chooses anew each time."""
        if not state["saves"]:
            return ""
        work = self.gangs.work_done(task, run) if state["gang"] else self.work_done(state)
        period = self.bounds["CheckpointS"] * 1000
        saved = int(work // period * period)
        if saved > state["saved"]:
            state["saved"] = saved
            state["checkpoint"] = f"{saved:08x}{random.getrandbits(32):08x}"
        return state["checkpoint"]

    @staticmethod
    def work_done(state):
        now = max(steady_ms(), state["since"])
        state["work"] += (now - state["since"]) * state["percent"] / 100
        state["since"] = now
        return state["work"]

    def end(self, task, run, how):
        saved = self.checkpoint(task, run, self.running[(task, run)])
        if self.running.pop((task, run))["gang"]:
            self.gangs.leave(task, run, how)
        self.closed[task] = max(run, self.closed.get(task, 0))
        self.ends.append([self.next_end, task, run, how, saved])
        self.next_end += 1
        self.record(f"{self.name} ended {task} run {run} {how}")
        self.listed_change.set()
        self.listed_change = asyncio.Event()

    async def handle(self, _method, target, headers, body):
        if not self.up:
            return None
        if headers.get("expect-instance", self.name) != self.name:
            return 421, {}
        self.advance()
        order = json.loads(body)
        if order.get("FencingToken", 0) < self.token:
            return self.refuse("fence")
        self.token = order.get("FencingToken", 0)
        if target == "/-/run-start":
            return self.start(order)
        if target == "/-/run-stop":
            return self.stop(order)
        if target == "/-/pace":
            return self.pace(order)
        if target == "/-/hold":
            return await self.hold(order)
        return 404, {}

    def reply(self, status, document):
        return status, dict(document, ClockMs=self.clock(), born=self.born)

    def refuse(self, reason):
        return self.reply(409, {"Reason": reason})

    def extend(self, order):
        until = min(order.get("UntilMs", 0), self.clock() + self.bounds["MaxHoldMs"])
        self.lease_until = max(self.lease_until, until)

    def start(self, order):
        task, run = order["Task"], order["Run"]
        if (task, run) in self.running:
            self.extend(order)
            return self.reply(200, {})
        if run <= self.closed.get(task, 0):
            self.extend(order)
            return self.refuse("old")
        if order["UntilMs"] <= self.clock():
            return self.refuse("late")
        self.extend(order)
        payload = json.loads(order["Spec"])
        if "steps" in payload:
            payload = payload["steps"][int(task.split(".")[2])]
        self.running[(task, run)] = {"since": steady_ms(), "work": 0.0, "percent": 100, "stops_at": None,
                                     "run_ms": payload.get("run_ms", 0), "fails": payload.get("fails", False),
                                     "lasting": payload.get("lasting", False), "serves": payload.get("serves", False),
                                     "gang": payload.get("gang", 0), "began": steady_ms(),
                                     "saves": payload.get("saves", False), "checkpoint": order.get("Checkpoint", ""),
                                     "saved": 0}
        saved = int(order["Checkpoint"][:8], 16) if order.get("Checkpoint") else 0
        state = self.running[(task, run)]
        state["work"] = state["saved"] = saved
        state["since"] += self.bounds["RestoreMs"] if saved else 0
        if payload.get("gang"):
            self.gangs.join(task, run, payload["gang"], saved)
        self.starts.append((task, run, order.get("Checkpoint", "")))
        checkpoint = f" from {order['Checkpoint']}" if order.get("Checkpoint") else ""
        self.record(f"{self.name} started {task} run {run}{checkpoint}")
        return self.reply(200, {})

    def stop(self, order):
        task, run = order["Task"], order["Run"]
        self.closed[task] = max(run, self.closed.get(task, 0))
        state = self.running.get((task, run))
        if state and state["stops_at"] is None:
            state["stops_at"] = steady_ms() + self.bounds["StopTimeoutMs"] / 2
        return self.reply(200, {})

    def pace(self, order):
        state = self.running.get((order["Task"], order["Run"]))
        if state:
            self.work_done(state)
            state["percent"] = order["Percent"]
        return self.reply(200, {})

    async def hold(self, order):
        if "UntilMs" in order:
            self.extend(order)
        self.ends = [end for end in self.ends if end[0] > order.get("LastSeen", 0)]
        wait = min(2000, order.get("WaitMs", 0))
        life = self.life
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self.listed_change.wait(), wait / 1000)
            except asyncio.TimeoutError:
                pass
        if not self.up or life != self.life:
            return None
        running = []
        for (task, run), state in self.running.items():
            percent = 100 if state["lasting"] else min(99, int(100 * self.work_done(state) / max(1, state["run_ms"])))
            usage = self.tail_ms if state["serves"] else 10 * state["percent"]
            running.append([task, run, self.checkpoint(task, run, state), percent, usage])
        return self.reply(200, {"Running": running, "Ended": self.ends[:MAXIMUM_ENDS]})
