"""Randomized soak test: injects faults into real instances while callers send requests.

Run `soak.py --seeds 1-50 --jobs 3` by hand; `--untimed` (for CI) leaves out the promises that
a slow machine could break. Seeds from 5000 to 6999 stop instances again and again under streams
whose runners are silent for a while; in seeds from 4000 to 4999 streams end with their connections.
In seeds from 7000 on, releases replace runners while callers take up streams that broke off. A seed
that fails is added to seeds.txt.
"""

from __future__ import annotations

import argparse
import contextlib
import http.client
import itertools
import shutil
import subprocess
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "standins"))
import promises  # noqa: E402
from callers import Call  # noqa: E402
from entry_fleet import HANG_LIMIT_S, Instance, wait_until  # noqa: E402
from faults import FaultPlayer  # noqa: E402
from soak_fleet import (  # noqa: E402
    INSTANCE_COUNT, QUOTA_BURST, QUOTA_RATE, Fault, SoakFleet)
from stop_load import last_run_ends  # noqa: E402

RECOVERY_S = 12.0
# Time after the callers stop within which the requests still running at servers end.
LAST_RUNS_S = 2.0


def heal(fleet: SoakFleet) -> None:
    for link in itertools.chain.from_iterable(fleet.links.values()):
        link.heal()
    for server in fleet.servers:
        if server.name not in fleet.departed_at:
            server.mode = "good"
    for instance in fleet.instances:
        if instance.process.poll() is not None:
            fleet.unexpected_exits.append(
                f"EXIT {instance.name} ended with {instance.process.returncode}")
            instance.start()


def is_served(instance: Instance, key: str, kind: str, number: int) -> bool:
    headers = {"Authorization": f"Token {key}"}
    if kind == "draft":
        headers["X-Model"] = "m1"
    with contextlib.suppress(OSError, http.client.HTTPException):
        return instance.request(f"/{kind}/a", id=f"after-{instance.name}-{kind}-{number}",
                                headers=headers)[0] == 200
    return False


def check_recovery(fleet: SoakFleet, limit_s: float) -> list[str]:
    """Checks that every instance serves every kind of request again after the last fault."""
    begin = time.monotonic()
    numbers = itertools.count()
    found = []
    for instance, kind in itertools.product(fleet.instances, ("book", "status", "draft")):
        try:
            wait_until(lambda: is_served(instance, fleet.keys[-1], kind, next(numbers)),
                       "service", max(1.0, begin + limit_s - time.monotonic()))
        except AssertionError:
            found.append(f"RECOVER {instance.name} does not serve {kind} after {limit_s} s")
    return found


def run_seed(seed: int, arguments: argparse.Namespace) -> list[str]:
    """Plays one seed and returns the promise violations, one line each."""
    untimed, keep = arguments.untimed, arguments.keep
    fleet = SoakFleet(seed, arguments.instances)
    try:
        FaultPlayer(fleet).play()
        heal(fleet)
        found = check_recovery(fleet, HANG_LIMIT_S if untimed else RECOVERY_S)
        for caller in fleet.callers:
            caller.stop()
        time.sleep(LAST_RUNS_S)
        calls = [call for caller in fleet.callers for call in caller.calls]
        runs = [run for server in fleet.servers for run in server.ran
                if not run["id"].startswith("after-")]
        found += fleet.unexpected_exits
        found += promises.at_most_once(calls, runs)
        found += promises.answer_sources(calls, runs)
        found += promises.unrequested_runs(calls, runs)
        found += promises.withdrawn_keys(calls, runs, fleet.withdrawn)
        found += promises.quotas(calls, runs, "small", QUOTA_RATE, QUOTA_BURST)
        found += promises.orders(fleet.servers)
        faults = fleet.faults + [Fault("early_end", runner.name, at, at)
                                 for runner in fleet.versioned_runners()
                                 for at in runner.early_ends]
        arrivals = [{"id": name, "server": server.name, "at": at}
                    for server in fleet.servers for at, name in server.arrivals]
        found += promises.planned_stops(calls, arrivals, fleet.stops, faults, not untimed)
        found += promises.streams_without_end(calls, runs, last_run_ends(fleet.servers),
                                              fleet.stops, faults)
        found += promises.leaving_servers(calls, fleet.servers)
        found += promises.joined_streams(calls)
        found += promises.streams_without_last_event(calls)
        found += promises.events_over_tries(calls)
        begun, taken_up = promises.shares_that_go_on(calls, fleet.versioned_runners(),
                                                     fleet.faults, fleet.stops)
        if not untimed:
            found += promises.take_ups(begun, taken_up)
            found += promises.paused_servers(calls, fleet.servers, fleet.faults)
            found += promises.runs_at_departed_servers(calls, runs, fleet.departed_at,
                                                       fleet.is_undisturbed)
        served = sum(call.status == 200 and call.whole for call in calls)
        alone = promises.undisturbed_stops(fleet.stops, fleet.faults)
        streams = sum(call.kind == "draft" and call.status == 200 for call in calls)
        print(f"seed {seed}: {len(fleet.faults)} faults, {len(fleet.stops)} stops, "
              f"{len(alone)} of them by SIGTERM alone, {len(calls)} requests, {served} served, "
              f"{streams} streams begun, {sum(bool(call.resumes) for call in calls)} taken up "
              f"({sum(taken_up)} of {len(taken_up)} in touch went on), {len(found)} broken",
              flush=True)
        if found and keep:
            keep_logs(fleet, found, keep / f"seed-{seed}")
            keep_calls(calls, arrivals, keep / f"seed-{seed}")
        return found
    finally:
        fleet.close()


def keep_logs(fleet: SoakFleet, found: list[str], folder: Path) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    for instance in fleet.instances:
        shutil.copy(instance.log_path, folder / f"{instance.name}.log")
    faults = [f"{fault.begin:.3f} {fault.end:.3f} {fault.kind} {fault.target}"
              for fault in fleet.faults]
    faults += [f"{stop.begin:.3f} {stop.end:.3f} SIGTERM {stop.instance} process {stop.process} "
               f"code {stop.code}" for stop in fleet.stops]
    (folder / "findings.txt").write_text("\n".join([*found, *faults]) + "\n", encoding="utf-8")


def keep_calls(calls: list[Call], arrivals: list[dict], folder: Path) -> None:
    lines = [f"{call.sent_at:.3f} {call.ended_at:.3f} {call.request_id} {call.instance} "
             f"process {call.process} {call.kind} written={call.written} {call.status} "
             f"whole={call.whole} {call.body[:60]!r} {call.failure}" for call in calls]
    lines += [f"{arrival['at']:.3f} arrival {arrival['id']} at {arrival['server']}"
              for arrival in arrivals]
    (folder / "calls.txt").write_text("\n".join(sorted(lines)) + "\n", encoding="utf-8")


def regression_seeds() -> list[int]:
    lines = (HERE / "seeds.txt").read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def parse_seeds(text: str) -> list[int]:
    if text == "regression":
        return regression_seeds()
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def run_many(seeds: list[int], arguments: argparse.Namespace) -> int:
    """Runs each seed in a separate process, `jobs` at a time."""
    broken = 0
    waiting = list(seeds)
    running: list[subprocess.Popen] = []
    while waiting or running:
        while waiting and len(running) < arguments.jobs:
            command = [sys.executable, "-B", __file__, "--seeds", str(waiting.pop(0)),
                       "--instances", str(arguments.instances)]
            command += ["--untimed"] if arguments.untimed else []
            command += ["--keep", str(arguments.keep)] if arguments.keep else []
            running.append(subprocess.Popen(command))
        time.sleep(0.1)
        broken += sum(process.poll() not in (None, 0) for process in running)
        running = [process for process in running if process.poll() is None]
    print(f"{len(seeds)} seeds, {broken} broken")
    return 1 if broken else 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="N, FIRST-LAST or 'regression'")
    parser.add_argument("--jobs", type=int, default=1, help="seeds that run at once")
    parser.add_argument("--instances", type=int, default=INSTANCE_COUNT,
                        help="size of the fleet, a multiple of %(default)s")
    parser.add_argument("--untimed", action="store_true", help="leave out timed promises")
    parser.add_argument("--keep", type=Path, help="folder for the logs of broken seeds")
    arguments = parser.parse_args()
    seeds = parse_seeds(arguments.seeds)
    if len(seeds) != 1:
        return run_many(seeds, arguments)
    found = run_seed(seeds[0], arguments)
    for line in found[:20]:
        print(f"  {line}")
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
