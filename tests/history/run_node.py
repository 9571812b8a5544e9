"""Runs wagtail-node processes on a stand-in of their platform under faults, and checks what is seen from outside.

usage: run_node.py [--seed N] [--seconds S] [--instances K] [--workers W] [--lease-ms MS] [--port P]
                   [--build FOLDER] [--keep] [--sequence NAME] [--without-answer-faults] [--chains] [--print-schedule]

Exits with 1 and names the folder with the logs, merged by time, if a check fails.
"""

import argparse
import json
import os
import shutil
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [HERE, os.path.join(os.path.dirname(os.path.dirname(HERE)), "scripts")]
import deployment as programs  # noqa: E402
from node_callers import Callers, ChainJob, Job  # noqa: E402
from node_checkers import (CANCEL_S, CONTACT_S, LASTING_S, check_cancelled, check_jobs,  # noqa: E402
                           check_lasting, check_runs)
from node_deployment import NodeDeployment  # noqa: E402
from node_schedule import SEQUENCES, Schedule  # noqa: E402

# The longest lease of a worker. The seed chooses one unless an argument does.
LEASE_CHOICES_MS = [3_000, 6_000]
# The longest time that a worker drains, with its last report and the downtime after it.
DRAINED_S = 16.0
STEP_S = 0.02


def longest_calm_s(lease_ms):
    """Returns what may pass after the last fault until every job is done: the longest lease on a clock that is 2 %
    slow, the time until the workers are listed again, the longest chain of work of a job with its failures, and the
    platform's finish_s."""
    return 1.02 * lease_ms / 1000 + 2 + 18 + 14


def settled_s(lease_ms, stop_ms):
    """Returns when the last cancelled task has to be gone and the last one that lasts has to run again, after the last
    fault or cancellation."""
    return max(CONTACT_S + CANCEL_S + stop_ms / 1000, 1.02 * lease_ms / 1000 + 2 + LASTING_S)


def play(deployment, schedule, seconds):
    """Carries the schedule out and returns when it is over."""
    begin = time.time()
    pending = list(schedule.events)
    while time.time() < begin + seconds:
        while pending and begin + pending[0][0] <= time.time():
            _, action, arguments = pending.pop(0)
            getattr(deployment, "do_" + action)(**arguments)
        deployment.supervise()
        time.sleep(STEP_S)


def await_drained(deployment):
    """Waits until the workers that drain have left. That is the last fault."""
    end = time.time() + DRAINED_S
    while deployment.counts().get("draining", 1):
        if time.time() > end:
            deployment.faults.append("a worker that drains has not left")
            return
        deployment.supervise()
        time.sleep(STEP_S)


def await_jobs(deployment, callers):
    """Waits until all accepted jobs are done, or for as long as that may take, and returns the seconds."""
    begin = time.time()
    end = begin + longest_calm_s(deployment.lease_ms)
    while time.time() < end and (callers.owed() or deployment.restart_at or deployment.kill_at):
        deployment.supervise()
        time.sleep(STEP_S)
    return time.time() - begin


def create_schedule(arguments):
    return Schedule(arguments.seed, arguments.seconds, arguments.instances, arguments.workers, arguments.sequence,
                    not arguments.without_answer_faults)


def run(deployment, arguments):
    schedule = create_schedule(arguments)
    deployment.start_all()
    kind, jobs_per_s = (ChainJob, arguments.workers / 12) if arguments.chains else (Job, arguments.workers / 8)
    callers = Callers(deployment, arguments.seed, jobs_per_s, kind)
    callers.start(submitters=16 + 2 * arguments.instances, askers=4)
    play(deployment, schedule, arguments.seconds)
    deployment.calm()
    await_drained(deployment)
    calm_at = time.time()
    callers.submitting.clear()
    calm_s = await_jobs(deployment, callers)
    callers.stop()
    settled_at = max([calm_at] + [job.cancelled_at for job in callers.jobs if job.cancelled_at])
    settled_at += settled_s(deployment.lease_ms, deployment.stop_ms)
    while time.time() < settled_at:
        deployment.supervise()
        time.sleep(STEP_S)
    jobs = deployment.runs_of_jobs()
    used_s = deployment.processor_s()
    faults = check_runs(deployment.violations()) + check_jobs(callers.jobs, jobs) + deployment.faults
    faults += check_cancelled(callers.jobs, jobs, calm_at) + check_lasting(callers.jobs, jobs) + callers.failures
    accepted = sum(1 for job in callers.jobs if job.accepted_at)
    starts = sum(job["starts"] for job in jobs.values())
    counts = deployment.counts()
    print(f"node seed {arguments.seed}: {len(callers.jobs)} jobs, {accepted} accepted, {starts} runs, "
          f"{counts['limited_starts']} with a limit per worker, ends {json.dumps(counts['ends'])}, "
          f"{deployment.restarts} restarts, all over {calm_s:.1f} s after the last fault, {len(faults)} violations",
          flush=True)
    print(f"processor time {used_s['instances']:.1f} s of the running instances, {used_s['platform']:.1f} s of the "
          f"platform; connections {json.dumps(counts['connections'])}; longest step of this program "
          f"{deployment.longest_step_s:.1f} s; "
          f"calls repeated while under way {json.dumps(callers.repeated)}", flush=True)
    return faults


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=45)
    parser.add_argument("--instances", type=int, default=8)
    parser.add_argument("--workers", type=int, default=100)
    parser.add_argument("--lease-ms", type=int, help="the longest lease of a worker")
    parser.add_argument("--port", type=int, default=20000)
    parser.add_argument("--build", default=programs.BUILD, help="the folder with the programs")
    parser.add_argument("--keep", action="store_true", help="keep the logs also if all checks pass")
    parser.add_argument("--sequence", choices=list(SEQUENCES), help="play this sequence of faults only")
    parser.add_argument("--without-answer-faults", action="store_true",
                        help="leave out answers that end early or arrive late, and repeated calls")
    parser.add_argument("--chains", action="store_true", help="hand in chains of short tasks only")
    parser.add_argument("--print-schedule", action="store_true", help="print the faults and exit")
    arguments = parser.parse_args()
    if arguments.print_schedule:
        schedule = create_schedule(arguments)
        for event in schedule.events:
            print(*event)
        return 0
    programs.BUILD = arguments.build
    folder = tempfile.mkdtemp(prefix="wagtailbank-node-")
    lease_ms = arguments.lease_ms or LEASE_CHOICES_MS[arguments.seed % len(LEASE_CHOICES_MS)]
    with NodeDeployment(folder, arguments.port, arguments.instances, arguments.workers, arguments.seed,
                        lease_ms) as deployment:
        faults = run(deployment, arguments)
    for fault in faults[:20]:
        print("violation:", fault)
    if faults or arguments.keep:
        print(f"logs: {deployment.merge_logs()}; repeat with: run_node.py --seed {arguments.seed} "
              f"--seconds {arguments.seconds:g} --instances {arguments.instances} --workers {arguments.workers} "
              f"--lease-ms {lease_ms}" + (f" --sequence {arguments.sequence}" if arguments.sequence else "")
              + (" --without-answer-faults" if arguments.without_answer_faults else "")
              + (" --chains" if arguments.chains else ""))
    else:
        shutil.rmtree(folder)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
