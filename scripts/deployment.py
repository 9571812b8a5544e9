"""Starts stand-ins and daemons on loopback for the demo, the history tests and the bench."""

import http.client
import json
import os
import signal
import subprocess
import time
import uuid

BUILD = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "build")


def call(port, method, path, body=None, headers=None, timeout=15):
    """Sends one call and returns (status, headers, body); status 0 stands for no answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        content = answer.read()
        return answer.status, dict(answer.getheaders()), content
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        connection.close()


def document(answer):
    """Returns the JSON body of an answer, or an empty object."""
    try:
        return json.loads(answer[2])
    except ValueError:
        return {}


def key_now(age_ms=0):
    """Returns a UUID of version 7."""
    milliseconds = int(time.time() * 1000) - age_ms
    random = uuid.uuid4().hex
    text = f"{milliseconds:012x}7{random[:3]}8{random[3:18]}"
    return f"{text[:8]}-{text[8:12]}-{text[12:16]}-{text[16:20]}-{text[20:32]}"


def wait_until(check, seconds, what):
    """Polls until the check holds; raises when the time is over."""
    end = time.time() + seconds
    while time.time() < end:
        if check():
            return
        time.sleep(0.05)
    raise AssertionError(f"timed out after {seconds} s: {what}")


class Deployment:
    """Processes of one run. All of them end when the deployment is closed."""

    def __init__(self, folder, base_port=7600, data_centres=None, limits=None, threads=None):
        self.folder = folder
        self.base = base_port
        self.data_centres = data_centres or {"depot": ("wheatbelt", 4), "office": ("coastal", 2)}
        self.limits = limits or {}
        self.processes = {}
        self.daemons = {}
        self.workers = {}
        self.ended = {}
        os.makedirs(folder, exist_ok=True)
        self.next_port = base_port + 10

    def start(self, name, program, arguments):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(
            [os.path.join(BUILD, program)] + arguments, stdout=log, stderr=log)
        log.close()

    def start_store(self):
        self.store = self.base
        self.start("store", "wagtail-standin-store", [f"--port={self.store}"])
        wait_until(lambda: call(self.store, "GET", "/v1/statistics")[0] == 200, 10, "the store")

    def start_workers(self, name, data_centre, count, **options):
        """Starts a process that serves some workers, and adds them to the instance list."""
        port = self.next_port
        self.next_port += count
        arguments = [f"--port={port}", f"--count={count}", f"--prefix={name}"]
        arguments += [f"--{key.replace('_', '-')}={value}" for key, value in options.items()]
        self.start(name, "wagtail-standin-workers", arguments)
        wait_until(lambda: call(port + count - 1, "GET", "/v1/breaches")[0] == 200, 10, name)
        for i in range(count):
            self.workers[f"{name}-{i}"] = {
                "name": f"{name}-{i}", "address": f"127.0.0.1:{port + i}", "data_centre": data_centre,
                "rack": f"{name}-rack-{i // 8}", "slots": int(options.get("slots", 8)), "connections": 64,
                "state": "live", "process": name, "port": port + i,
                "capacity": {"millicores": int(options.get("millicores", 64000)),
                             "memory_mb": int(options.get("memory_mb", 250000)),
                             "accelerators": int(options.get("accelerators", 0))}}
        self.publish_workers()

    def publish_workers(self):
        call(self.store, "PUT", "/v1/instances", list(self.workers.values()))

    def start_daemon(self, name, data_centre, http_port=None, publish=True):
        """Starts a daemon; unless it is published, the balancer does not send callers to it yet."""
        if http_port is None:
            http_port = self.next_port
            self.next_port += 2
        region = self.data_centres[data_centre][0]
        seeds = [f"127.0.0.1:{port + 1}" for port in self.daemons.values()]
        lines = ["[instance]", f'name = "{name}"', f'data_centre = "{data_centre}"', f'region = "{region}"',
                 "[listen]", 'address = "127.0.0.1"', f"http_port = {http_port}", f"peer_port = {http_port + 1}",
                 "[store]", f'address = "http://127.0.0.1:{self.store}"', "[peers]", f"seeds = {json.dumps(seeds)}"]
        for dc_name, (dc_region, partitions) in self.data_centres.items():
            lines += ["[[data_centres]]", f'name = "{dc_name}"', f'region = "{dc_region}"', f"partitions = {partitions}"]
        lines += ["[limits]"] + [f"{key} = {value}" for key, value in self.limits.items()]
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write("\n".join(lines) + "\n")
        if publish:
            self.daemons[name] = http_port
        self.start(name, "wagtaild", ["--settings", path])
        return http_port

    def wait_ready(self, seconds=20):
        for name, port in self.daemons.items():
            wait_until(lambda p=port: call(p, "GET", "/readyz")[0] == 200, seconds, f"{name} to be ready")
        first = next(iter(self.daemons.values()))
        wanted = len(self.workers)

        def all_open():
            rows = document(call(first, "GET", "/v1/workers")).get("workers", [])
            return len([row for row in rows if row["admission"] == "open"]) >= wanted
        wait_until(all_open, seconds, "all workers to be open")

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        process = self.processes.pop(name)
        process.kill()
        process.wait()
        self.daemons.pop(name, None)

    def stop(self, name, seconds=30):
        """Stops a process gracefully and returns its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        status = process.wait(timeout=seconds)
        self.daemons.pop(name, None)
        return status

    def store_faults(self, **faults):
        call(self.store, "POST", "/v1/faults", faults)

    def worker_faults(self, worker, **faults):
        call(self.workers[worker]["port"], "POST", "/v1/faults", faults)

    def breaches(self):
        found = []
        for worker in self.workers.values():
            found += document(call(worker["port"], "GET", "/v1/breaches")).get("breaches", [])
        return found

    def histories(self):
        return [document(call(worker["port"], "GET", "/v1/history")) for worker in self.workers.values()
                if worker["process"] in self.processes]

    def ctl(self, *arguments, server=None):
        """Runs wagtailctl and returns (exit code, standard output, standard error)."""
        port = server or next(iter(self.daemons.values()))
        result = subprocess.run([os.path.join(BUILD, "wagtailctl"), "--server", f"127.0.0.1:{port}", *arguments],
                                capture_output=True, text=True, timeout=90, check=False)
        return result.returncode, result.stdout, result.stderr

    def close(self):
        for process in self.processes.values():
            try:
                process.send_signal(signal.SIGCONT)
                process.kill()
            except OSError:
                pass
        for process in self.processes.values():
            process.wait()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()
