"""Sends malformed input of all kinds to a running daemon: each gets a typed error with a remedy, and it goes on serving.

usage: run_bad_input.py [--seed N] [--port P]
"""

import argparse
import os
import random
import socket
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [os.path.join(os.path.dirname(os.path.dirname(HERE)), "scripts")]
from deployment import Deployment, call, document, key_now  # noqa: E402

# Deeper than a stack bears when such a document is copied, and within the limit of a body.
DEEP = b"[" * 200_000 + b"]" * 200_000

CASES = [
    ("POST", "/v1/requests/nothing", b"x", {}, 404),
    ("GET", "/v1/requests/check", None, {}, 405),
    ("POST", "/v1/requests/check", b"x", {"Wagtail-Deadline-Ms": "soon"}, 400),
    ("POST", "/v1/requests/check", b"x", {"Wagtail-Deadline-Ms": "-1"}, 400),
    ("POST", "/v1/requests/bill", b"x", {}, 400),
    ("POST", "/v1/requests/bill", b"x", {"Idempotency-Key": "not-a-key"}, 400),
    ("POST", "/v1/requests/bill", b"x", {"Idempotency-Key": key_now(-10_000_000)}, 400),
    ("POST", "/v1/requests/bill", b"x", {"Idempotency-Key": key_now(10_000_000)}, 504),
    ("POST", "/v1/requests/bill", b"x", {"Idempotency-Key": "--------------7---------------------"}, 400),
    ("POST", "/v1/requests/bill", b"x", {"Idempotency-Key": "-1234567-1234-7000-8000-000000000000"}, 400),
    ("POST", "/v1/requests/night", b"x", {}, 400),
    ("POST", "/v1/requests/check", b"x" * (1 << 21), {}, 413),
    ("POST", "/v1/tasks", b"{", {}, 400),
    ("POST", "/v1/tasks", b"[]", {}, 400),
    ("POST", "/v1/tasks", {"profile": "night", "colour": "red"}, {}, 400),
    ("POST", "/v1/tasks", {"profile": "nothing"}, {}, 404),
    ("POST", "/v1/tasks", {"profile": "check"}, {}, 400),
    ("POST", "/v1/tasks", {"profile": "huge"}, {}, 422),
    ("POST", "/v1/tasks", DEEP, {}, 400),
    ("POST", "/v1/tasks", b'{"profile":"night","payload":' + DEEP + b"}", {}, 400),
    ("POST", "/v1/tasks", b'{"profile":"night","deadline_ms":1e400}', {}, 400),
    ("PUT", "/v1/profiles/check", b'{"class":' + DEEP + b"}", {}, 400),
    ("PUT", "/v1/profiles/check", {"class": "quick", "priority": 10**30}, {}, 400),
    ("PUT", "/v1/teams/finance", b'{"millicores":' + DEEP + b"}", {}, 400),
    ("PUT", "/v1/teams/finance", {"millicores": 2**64 - 1}, {}, 400),
    ("POST", "/v1/watchers", {"profile": "night"}, {}, 400),
    ("GET", "/v1/tasks/nothing", None, {}, 404),
    ("GET", "/v1/tasks/depot.0:nothing", None, {}, 404),
    ("POST", "/v1/tasks/depot.0:nothing/cancel", b"", {}, 404),
    ("PUT", "/v1/profiles/BAD", {"class": "urgent"}, {}, 400),
    ("PUT", "/v1/profiles/check", {"class": "quick", "priority": 1e9}, {}, 400),
    ("PUT", "/v1/profiles/check", {"class": "urgent"}, {"If-Match": "1"}, 409),
    ("PUT", "/v1/profiles/check", {"class": "urgent"}, {"If-None-Match": "*"}, 409),
    ("PUT", "/v1/profiles/check", {"class": "urgent"}, {"If-Match": "latest"}, 400),
    ("DELETE", "/v1/profiles/nothing", None, {}, 404),
    ("PUT", "/v1/teams/finance", {"millicores": -1}, {}, 400),
    ("POST", "/v1/workers/w-0/dance", b"", {}, 400),
    ("GET", "/v1/workers/nothing/explain", None, {}, 404),
    ("GET", "/nothing", None, {}, 404),
]


def check_cases(port):
    faults = []
    for method, path, body, headers, wanted in CASES:
        status, _, content = call(port, method, path, body, headers)
        problem = document((status, {}, content))
        if status != wanted or not problem.get("remedy") or not problem.get("detail"):
            faults.append(f"{method} {path}: {status} and not {wanted}, {content[:200]!r}")
    return faults


def send_noise(port, generator):
    """Writes random bytes, or a damaged request, to a port and hangs up."""
    noise = bytes(generator.randrange(256) for _ in range(generator.randrange(1, 400)))
    valid = b"POST /v1/requests/check HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
    cut = generator.randrange(len(valid))
    data = generator.choice([noise, valid[:cut], valid[:cut] + noise, b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + noise])
    with socket.create_connection(("127.0.0.1", port), timeout=2) as connection:
        connection.sendall(data)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--port", type=int, default=18000)
    arguments = parser.parse_args()
    generator = random.Random(arguments.seed)
    with Deployment(tempfile.mkdtemp(prefix="wagtailbank-bad-"), arguments.port, {"depot": ("wheatbelt", 2)}) as deployment:
        deployment.start_store()
        deployment.start_workers("w", "depot", 2)
        deployment.start_daemon("depot-1", "depot")
        deployment.wait_ready()
        port = deployment.daemons["depot-1"]
        for name, profile in {"check": {"class": "urgent"}, "bill": {"class": "urgent", "idempotent": False},
                              "night": {"class": "batch"}, "huge": {"class": "batch", "millicores": 900000}}.items():
            assert call(port, "PUT", f"/v1/profiles/{name}", profile)[0] == 200
        faults = check_cases(port)
        for _ in range(300):
            send_noise(port + generator.randrange(2), generator)
        faults += check_cases(port)
        answer = call(port, "POST", "/v1/requests/check", b"still there")
        if answer[2] != b"answer:still there" or deployment.processes["depot-1"].poll() is not None:
            faults.append(f"the daemon does not serve any more: {answer}")
        code, _, errors = deployment.ctl("profile", "apply", "--file", os.devnull)
        if code != 2 or "needs sections" not in errors:
            faults.append(f"an empty profile file gave {code}: {errors}")
    for fault in faults[:20]:
        print("violation:", fault)
    print(f"bad input seed {arguments.seed}: {2 * len(CASES)} malformed calls, 300 pieces of noise, {len(faults)} violations")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
