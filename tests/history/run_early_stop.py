"""Stops programs at a random moment of their start: each of them ends with status 0, as at any other planned stop.

usage: run_early_stop.py [--program NAME] [--seed N] [--port P] [--starts N]
"""

import argparse
import os
import random
import signal
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
BUILD = os.path.join(os.path.dirname(os.path.dirname(HERE)), "build")
HOST = "127.0.0.1"
LATEST_SIGNAL_MS = 50.0
LATEST_SETTINGS_MS = 10.0
# So many processes run at once.
BATCH = 10
PORTS_PER_START = 4
GRACE_S = 2
# A process that does not stop by itself within this time does not stop at all.
LONGEST_STOP_S = 10.0

NODE_SETTINGS = """
[instance]
name = "depot-0"
data_centre = "depot"
region = "wheatbelt"
[regions]
"depot" = "wheatbelt"
[listen]
callers = "{callers}"
readiness = "{readiness}"
peers = "{peers}"
metrics = "{metrics}"
[store]
address = "{store}"
[limits]
processor_share = 1.0
[workers]
lease_ms = 6000
drain_ms = 3000
[jobs]
status_retention_s = 120
[shutdown]
grace_s = {grace}
[log]
level = "info"
"""

DAEMON_SETTINGS = """
[instance]
name = "depot-0"
data_centre = "depot"
region = "wheatbelt"
[listen]
address = "127.0.0.1"
http_port = {http_port}
peer_port = {peer_port}
[store]
address = "http://{store}"
[[data_centres]]
name = "depot"
region = "wheatbelt"
partitions = 1
[limits]
drain_ms = 500
"""

# The signals that each program takes, the one that stops it first.
SIGNALS = {"wagtail-node": [signal.SIGTERM, signal.SIGHUP], "wagtaild": [signal.SIGTERM, signal.SIGINT]}


def settings(program, first_port, store_port):
    """Returns the settings of an instance whose store does not answer."""
    store = f"{HOST}:{store_port}"
    if program == "wagtaild":
        return DAEMON_SETTINGS.format(http_port=first_port, peer_port=first_port + 1, store=store)
    names = ["callers", "readiness", "peers", "metrics"]
    addresses = {name: f"{HOST}:{first_port + number}" for number, name in enumerate(names)}
    return NODE_SETTINGS.format(store=store, grace=GRACE_S, **addresses)


def hand_over(pipe, text):
    try:
        os.write(pipe, text.encode())
    except BrokenPipeError:
        pass  # The process has ended. Its status tells how.
    os.close(pipe)


def start_and_stop(program, path, text, settings_ms, signals):
    """Starts the program, and hands over its settings and the signals at times after it has asked for the settings.

    Before that the system loads the program, which can't take a signal yet. A pipe tells when it asks.
    """
    os.mkfifo(path)
    process = subprocess.Popen([os.path.join(BUILD, program), "--settings", path],
                               stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    pipe = os.open(path, os.O_WRONLY)
    begin = time.monotonic()
    # What the program reads when it is told that the settings have changed.
    with open(path + ".new", "w", encoding="utf-8") as file:
        file.write(text)
    os.rename(path + ".new", path)
    events = [(settings_ms, lambda: hand_over(pipe, text))]
    events += [(at_ms, lambda number=number: process.send_signal(number)) for at_ms, number in signals]
    for at_ms, act in sorted(events, key=lambda event: event[0]):
        time.sleep(max(0.0, begin + at_ms / 1000.0 - time.monotonic()))
        act()
    return process


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--program", choices=SIGNALS, default="wagtail-node")
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--port", type=int, default=22000)
    parser.add_argument("--starts", type=int, default=50)
    options = parser.parse_args()
    choice = random.Random(options.seed)
    stop, other = SIGNALS[options.program]
    failures = []
    with tempfile.TemporaryDirectory() as folder:
        for first in range(0, options.starts, BATCH):
            running = []
            for number in range(first, min(first + BATCH, options.starts)):
                path = os.path.join(folder, f"{number}.toml")
                text = settings(options.program, options.port + 1 + number * PORTS_PER_START, options.port)
                stop_ms = choice.uniform(0.0, LATEST_SIGNAL_MS)
                signals = [(stop_ms, stop)]
                if choice.random() < 0.5:
                    signals.append((choice.uniform(0.0, stop_ms), other))
                settings_ms = choice.uniform(0.0, LATEST_SETTINGS_MS)
                running.append((signals, start_and_stop(options.program, path, text, settings_ms, signals)))
            for signals, process in running:
                try:
                    status = process.wait(LONGEST_STOP_S)
                except subprocess.TimeoutExpired:
                    process.kill()
                    process.wait()
                    status = "none"
                if status != 0:
                    sent = ", ".join(f"{number.name} at {at_ms:.1f} ms" for at_ms, number in signals)
                    failures.append(f"{sent}: status {status}")
    print(f"{options.program}, seed {options.seed}: {options.starts} starts, {len(failures)} ended badly")
    for failure in failures:
        print(f"    {failure}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
