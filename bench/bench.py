"""Measures a deployment of stand-ins and daemons on loopback. Every load is bounded and ends by itself."""

import csv
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "scripts"))
from deployment import BUILD, Deployment, call, document, wait_until  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
ROWS = []


def report(name, value, unit, target=""):
    ROWS.append((name, f"{value:.3f}" if isinstance(value, float) else str(value), unit, target))
    print(f"{name:<58} {ROWS[-1][1]:>12} {unit:<12} {target}", flush=True)


def load(url, count, concurrency=1, rate=0, body="x", header=""):
    result = subprocess.run([os.path.join(BUILD, "wagtail-load"), f"--url={url}", f"--count={count}",
                             f"--concurrency={concurrency}", f"--rate={rate}", f"--body={body}", f"--header={header}"],
                            capture_output=True, text=True, timeout=120, check=True)
    return json.loads(result.stdout)


def processor_seconds(process):
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_megabytes(process):
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024


def store_calls(deployment):
    return sum(document(call(deployment.store, "GET", "/v1/statistics")).values())


def put_profile(port, name, profile):
    assert call(port, "PUT", f"/v1/profiles/{name}", profile)[0] == 200


def everywhere(deployment, name):
    for port in deployment.daemons.values():
        wait_until(lambda p=port: call(p, "GET", f"/v1/profiles/{name}")[0] == 200, 5, name)


def request_path(folder):
    """Latency and throughput of small urgent requests, beside a direct call of a worker in the same run."""
    with Deployment(os.path.join(folder, "path"), 22000, {"depot": ("wheatbelt", 1)}) as deployment:
        deployment.start_store()
        deployment.start_workers("fast", "depot", 4, slots=32)
        deployment.start_daemon("owner", "depot")
        deployment.wait_ready()
        owner = deployment.daemons["owner"]
        put_profile(owner, "check", {"class": "urgent"})
        deployment.start_daemon("other", "depot")
        everywhere(deployment, "check")
        time.sleep(3)
        status = document(call(owner, "GET", "/v1/status"))["instances"]
        holder = next(item["instance"] for item in status if item["partitions"])
        owner_name = "owner" if holder.startswith("owner") else "other"
        forward_name = "other" if owner_name == "owner" else "owner"
        owner, forward = deployment.daemons[owner_name], deployment.daemons[forward_name]
        token = document(call(owner, "GET", "/v1/workers"))["workers"]
        port = deployment.workers["fast-0"]["port"]
        assert len(token) == 4
        direct_url = f"http://127.0.0.1:{port}/v1/requests"
        owner_url = f"http://127.0.0.1:{owner}/v1/requests/check"
        forward_url = f"http://127.0.0.1:{forward}/v1/requests/check"
        highest = 2 ** 62
        direct = load(direct_url, 4000, header=f"Wagtail-Token:{highest}")
        through = load(owner_url, 4000)
        forwarded = load(forward_url, 4000)
        report("direct call of a worker, median", direct["p50"], "ms")
        report("added through the owner, median", through["p50"] - direct["p50"], "ms", "<= 0.3")
        report("added through a forwarding daemon, median", forwarded["p50"] - direct["p50"], "ms", "<= 0.6")
        process = deployment.processes[owner_name]
        before = processor_seconds(process)
        full = load(owner_url, 60000, concurrency=64)
        used = processor_seconds(process) - before
        report("requests a second through the owner", full["calls"] / full["seconds"], "1/s", ">= 25000")
        report("failures in that load", full["failures"], "calls", "0")
        report("processor time per request", used / full["calls"] * 1e6, "us")
        half = full["calls"] / full["seconds"] / 2
        paced_direct = load(direct_url, 20000, 64, half, header=f"Wagtail-Token:{highest}")
        paced = load(owner_url, 20000, 64, half)
        report("added at half load through the owner, p99", paced["p99"] - paced_direct["p99"], "ms", "<= 1")
        forward_full = load(forward_url, 30000, concurrency=64)
        report("requests a second through a forwarding daemon", forward_full["calls"] / forward_full["seconds"], "1/s")
        forward_half = forward_full["calls"] / forward_full["seconds"] / 2
        base = load(direct_url, 10000, 64, forward_half, header=f"Wagtail-Token:{highest}")
        paced_forward = load(forward_url, 10000, 64, forward_half)
        report("added at half load through a forwarding daemon, p99", paced_forward["p99"] - base["p99"], "ms", "<= 2")


def idle_and_configuration(folder):
    """Nine daemons: store calls while idle, and the time until a change is in force on all of them."""
    centres = {"depot": ("wheatbelt", 4), "pumphouse": ("wheatbelt", 4), "office": ("coastal", 4)}
    with Deployment(os.path.join(folder, "nine"), 22400, centres) as deployment:
        deployment.start_store()
        for centre in centres:
            deployment.start_workers(centre, centre, 8)
            for i in range(3):
                deployment.start_daemon(f"{centre}-{i}", centre)
        deployment.wait_ready(40)
        port = next(iter(deployment.daemons.values()))
        put_profile(port, "first", {"class": "urgent"})
        time.sleep(3)
        calls = store_calls(deployment)
        used = [processor_seconds(deployment.processes[name]) for name in deployment.daemons]
        sent = traffic(deployment)
        time.sleep(10)
        report("store calls of nine idle daemons", (store_calls(deployment) - calls) / 10, "1/s", "< 15")
        used = [processor_seconds(deployment.processes[name]) - u for name, u in zip(deployment.daemons, used)]
        report("processor share of an idle daemon", statistics.mean(used) / 10 * 100, "% of a core", "<= 2.9")
        after = traffic(deployment)
        for kind in after:
            report(f"peer bytes received by a daemon, {kind}", (after[kind] - sent.get(kind, 0)) / 10 / 9, "B/s")
        times = []
        calls = store_calls(deployment)
        for i in range(20):
            name = f"change-{i}"
            started = time.time()
            put_profile(port, name, {"class": "urgent"})
            for other in deployment.daemons.values():
                while call(other, "GET", f"/v1/profiles/{name}")[0] != 200:
                    time.sleep(0.001)
            times.append(time.time() - started)
        spent = sum(times)
        report("a change in force on nine daemons, median", statistics.median(times) * 1000, "ms", "<= 1000")
        report("a change in force on nine daemons, worst of 20", max(times) * 1000, "ms", "<= 3000")
        report("store calls per change, idle calls taken off", (store_calls(deployment) - calls - 11 * spent) / 20, "calls")


def traffic(deployment):
    totals = {}
    for port in deployment.daemons.values():
        text = call(port, "GET", "/metrics")[2].decode()
        for kind, value in re.findall(r'wagtail_peer_bytes_total\{kind="([^"]+)"\} (\d+)', text):
            totals[kind] = totals.get(kind, 0) + int(value)
    return totals


def capacity_share(folder):
    """One daemon with the workers and tasks that letter 1 gives one of nine: slopes of memory and processor time."""
    with Deployment(os.path.join(folder, "share"), 22800, {"depot": ("wheatbelt", 3)}) as deployment:
        deployment.start_store()
        deployment.start_workers("few", "depot", 11)
        deployment.start_daemon("one", "depot")
        deployment.wait_ready()
        port = deployment.daemons["one"]
        process = deployment.processes["one"]
        put_profile(port, "night", {"class": "batch", "millicores": 100, "memory_mb": 10})
        time.sleep(3)
        empty = resident_megabytes(process)
        used = processor_seconds(process)
        time.sleep(10)
        few_share = (processor_seconds(process) - used) / 10
        report("resident memory, 11 workers", empty, "MB")
        report("processor share, 11 workers idle", few_share * 100, "% of a core")
        deployment.start_workers("many", "depot", 100)
        wait_until(lambda: len([w for w in document(call(port, "GET", "/v1/workers")).get("workers", [])
                                if w["admission"] == "open"]) == 111, 30, "all workers")
        time.sleep(2)
        used = processor_seconds(process)
        time.sleep(10)
        many_share = (processor_seconds(process) - used) / 10
        with_workers = resident_megabytes(process)
        report("resident memory, 111 workers", with_workers, "MB")
        report("processor share, 111 workers idle", many_share * 100, "% of a core", "<= 2.9")
        report("processor time per worker heartbeat", (many_share - few_share) / 100 * 1e6, "us")
        count = 3178
        used, calls, started = processor_seconds(process), store_calls(deployment), time.time()

        def submit(share):
            for _ in range(share):
                assert call(port, "POST", "/v1/tasks", {"profile": "night", "payload": '{"run_ms":600000}'})[0] == 202
        threads = [threading.Thread(target=submit, args=(count // 14,)) for _ in range(14)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        count = count // 14 * 14

        def running():
            return sum(sum(w["running"].values()) for w in document(call(port, "GET", "/v1/workers"))["workers"])
        wait_until(lambda: running() == count, 60, "all tasks to run")
        seconds = time.time() - started
        report("task starts a second, accepted to running", count / seconds, "1/s", ">= 85")
        report("processor time per accepted and started task", (processor_seconds(process) - used) / count * 1e6, "us")
        report("store calls per task start", (store_calls(deployment) - calls) / count, "calls")
        time.sleep(3)
        full = resident_megabytes(process)
        report("resident memory, 111 workers and 3,178 tasks", full, "MB", "<= 32")
        report("memory per running task", (full - with_workers) * 1024 / count, "KB")
        used = processor_seconds(process)
        time.sleep(10)
        report("processor share, 111 workers and 3,178 tasks", (processor_seconds(process) - used) * 10, "% of a core", "<= 2.9")


def failures(folder):
    """Time until a killed daemon's workers take work again, work served in a store outage, time to leave."""
    with Deployment(os.path.join(folder, "fail"), 23400, {"depot": ("wheatbelt", 3)}) as deployment:
        deployment.start_store()
        deployment.start_workers("w", "depot", 6)
        for name in ("a", "b", "c"):
            deployment.start_daemon(name, "depot")
        deployment.wait_ready()
        ports = deployment.daemons
        put_profile(ports["a"], "check", {"class": "urgent"})
        put_profile(ports["a"], "night", {"class": "batch", "millicores": 100})
        everywhere(deployment, "night")
        time.sleep(12)
        outcomes = []
        stop = threading.Event()

        def caller(names):
            turn = 0
            while not stop.is_set():
                turn += 1
                name = names[turn % len(names)]
                if name not in deployment.daemons:
                    continue
                status = call(deployment.daemons[name], "POST", "/v1/requests/check", b"work_ms=5")[0]
                outcomes.append((time.time(), status))

        def served(seconds):
            start = len(outcomes)
            time.sleep(seconds)
            part = outcomes[start:]
            return sum(1 for _, status in part if status == 200) / seconds, part
        threads = [threading.Thread(target=caller, args=(["a", "b"],)) for _ in range(4)]
        for thread in threads:
            thread.start()
        time.sleep(1)
        before, _ = served(4)
        accepted = [document(call(ports["a"], "POST", "/v1/tasks", {"profile": "night", "payload": '{"run_ms":6000}'}))
                    for _ in range(40)]
        time.sleep(0.5)
        deployment.store_faults(mode="down")
        time.sleep(4)
        during, part = served(6)
        report("urgent work served in a store outage", during / before * 100, "%", ">= 95")
        report("urgent errors in a store outage", sum(1 for _, s in part if s != 200), "calls")
        runs = [item for h in deployment.histories() for item in h["ended"] if item["state"] == "done"]
        finished = sum(1 for t in accepted if any(item["task"] == t.get("task") for item in runs))
        report("batch accepted before, finished in a store outage", finished / len(accepted) * 100, "%", ">= 95")
        deployment.store_faults(mode="up")
        time.sleep(4)
        owned = {}
        for row in document(call(ports["a"], "GET", "/v1/workers"))["workers"]:
            owned.setdefault(row["owner"].rsplit("-", 1)[0], []).append(row["name"])
        deployment.kill("c")
        killed = time.time()
        lost = set(owned.get("c", []))

        def back():
            rows = document(call(ports["a"], "GET", "/v1/workers")).get("workers", [])
            return lost <= {row["name"] for row in rows if row["admission"] == "open"}
        wait_until(back, 30, "the workers to be owned again")
        report("a killed daemon's workers take work again", time.time() - killed, "s", "<= 5")
        errors = sum(1 for at, status in outcomes if killed <= at and status != 200)
        total = sum(1 for at, _ in outcomes if killed <= at)
        report("requests that the kill turned into errors", errors / max(1, total) * 100, "%")
        stop.set()
        for thread in threads:
            thread.join()
        marked = time.time()
        deployment.workers["w-0"]["state"] = "leaving"
        deployment.publish_workers()
        last = 0
        while time.time() - marked < 7:
            call(ports["a"], "POST", "/v1/requests/check", b"x")
            last = max(last, document(call(deployment.workers["w-0"]["port"], "GET", "/v1/history"))["last_request_at"])
        now = document(call(deployment.workers["w-0"]["port"], "GET", "/v1/history"))["now"]
        report("from leave mark to last new work", max(0.0, (last - now) / 1000 + (time.time() - marked)), "s", "<= 2")


MEASUREMENTS = {"path": request_path, "idle": idle_and_configuration, "share": capacity_share, "failures": failures}


def main():
    chosen = sys.argv[1:] or list(MEASUREMENTS)
    folder = tempfile.mkdtemp(prefix="wagtailbank-bench-")
    for name in chosen:
        MEASUREMENTS[name](folder)
    if not sys.argv[1:]:
        with open(os.path.join(HERE, "results.csv"), "w", newline="", encoding="utf-8") as file:
            writer = csv.writer(file)
            writer.writerow(("measurement", "value", "unit", "target"))
            writer.writerows(ROWS)


if __name__ == "__main__":
    main()
