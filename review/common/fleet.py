"""A small deployment on loopback: the platform's store, runners as processes, instances.

The store and the way in which an instance is started are the project's own stand-ins. Runners
check in at the store every HEARTBEAT_S. A runner whose process ends says nothing; another one
starts DOWN_S later with a new id at a new address, and the entry of the former one is removed
after three intervals of silence.
"""

from __future__ import annotations

import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "standins"))
os.chdir(ROOT)
# The command of deploy/system.toml.
os.environ["CARAWAYTURN_ENTRY"] = "target/carawayturn-entry"

from entry_fleet import Instance, find_adjacent_ports, wait_until  # noqa: E402
from platform_fleet import Store  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HEARTBEAT_S = 1.2
DOWN_S = 3.0
CONTACT_S = 3.0
# A case that isn't done by then could not run.
LIMIT_S = 110.0
LOAD_S = 9.0
# Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# Settings of a small deployment, beside those that entry_fleet.py writes.
SETTINGS = """role=entry
machine_class=front
serves=front
region=north
zones.a=north
limits.cpu_share=0.17
limits.cpu_cores=1
limits.memory_mb=182
limits.max_fds=2940
limits.link_mbps=700.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.seed_lag_s=3
bounds.reuse_after_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.outer_ms=5000
bounds.strict_revoke=true
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=116
bounds.quota_window_s=8
bounds.quota_overrun=0.1
bounds.quota_slack=11000
bounds.recovery_s=12
bounds.pass_ms=120
bounds.retry_after_s=0
bounds.require_fencing=false
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_overrun=1.1
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.tx_ms=5.0
platform.part_writes_s=200
platform.row_bytes=65536
platform.across=false
platform.history_s=20
"""


def route(name: str, kind: str, service: str, **options) -> dict:
    return {"name": name, "host": "visits.example", "path_prefix": f"/{name}/", "kind": kind,
            "timeout_ms": 15000, "target_latency_ms": 1000, "priority": 1, "service": service,
            "max_attempts": 1, "public": False, "sticky": kind == "streaming",
            "resumable": False, "gap_target_ms": 300, **options}


def configuration() -> dict:
    """Routes like those of the sheets: visits and summaries as at Nile Rest, minutes as at
    Mthunzi. One tenant without a limit."""
    return {
        "version": 7,
        "routes": [
            route("book", "non_idempotent", "dispatch", timeout_ms=1500, target_latency_ms=300),
            route("status", "idempotent", "dispatch", timeout_ms=1500, target_latency_ms=300,
                  max_attempts=2),
            route("filing", "non_idempotent", "registry", timeout_ms=800,
                  target_latency_ms=150),
            route("lookup", "idempotent", "registry", timeout_ms=800, target_latency_ms=150,
                  max_attempts=2),
            route("hotel", "streaming", "scribe", timeout_ms=35000, target_latency_ms=4000)],
        "services": [
            {"name": "dispatch", "health_path": "/health", "max_conns": 214, "protocol": "h1",
             "tls": False},
            {"name": "registry", "health_path": "/health", "max_conns": 200, "protocol": "h1",
             "tls": False},
            {"name": "scribe", "health_path": "/health", "max_conns": 643, "protocol": "h1",
             "tls": False,
             "engine": {"slots": 48, "kv_capacity": 119408, "weights_mb": 230000,
                        "adapter_slots": 8, "loads_per_s": 4.2,
                        "models": [{"name": "m1", "weights_mb": 72700, "load_time_s": 9.0,
                                    "warm_s": 1.2, "disk_s": 2.0, "adapters": 0,
                                    "adapter_size_mb": 66}]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": ["k1"], "rate_per_s": 0, "burst": 0}]}


# All processes that were started, so that each of them is ended in any case.
started: list[subprocess.Popen] = []


def end_processes() -> None:
    for process in started:
        process.kill()
    for process in started:
        process.wait()


class FrontInstance(Instance):
    """An instance of carawayturn-entry."""

    def start(self) -> None:
        super().start()
        started.append(self.process)


class Runner:
    """A runner's process and its entry in the store. Starts again after it has ended."""

    def __init__(self, fleet: "Fleet", name: str, service: str, slots: int, options: dict):
        self.fleet, self.name, self.service = fleet, name, service
        self.slots, self.options = slots, options
        self.boots = 0
        self.closed = threading.Event()
        self.ends: list[float] = []
        self._start()
        self.supervisor = threading.Thread(target=self._supervise, daemon=True)
        self.supervisor.start()

    def _start(self) -> None:
        self.boots += 1
        self.id = f"i-{self.name}-{self.boots}"
        port = find_adjacent_ports(1)
        self.address = f"127.0.0.1:{port}"
        self.born = int(time.time() * 1000)
        self.process = subprocess.Popen(
            [sys.executable, "-B", str(ROOT / "review/common/runner.py"), self.id, str(port),
             str(self.fleet.arrivals_file), json.dumps(self.options), str(self.born)])
        started.append(self.process)
        wait_until(self._listens, f"{self.id} listens")
        self._check_in()

    def _listens(self) -> bool:
        if self.process.poll() is not None:
            raise RuntimeError(f"{self.id} has ended")
        connection = http.client.HTTPConnection(self.address, timeout=1)
        try:
            connection.request("GET", "/health")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def _check_in(self) -> None:
        connection = http.client.HTTPConnection(self.address, timeout=1)
        try:
            connection.request("GET", "/report")
            models = json.loads(connection.getresponse().read())["models"]
        except (OSError, http.client.HTTPException):
            # The process has just ended, and says nothing more.
            return
        finally:
            connection.close()
        self.last_check_in = time.monotonic()
        self.fleet.store.put("servers", self.id, {
            "service": self.service, "address": self.address, "zone": "a", "version": "v1",
            "slots": self.slots, "state": "ready", "cold_left_ms": 0, "stage": "colocated",
            "models": models, "seq": int(time.monotonic() * 10), "born": self.born})

    def _supervise(self) -> None:
        while not self.closed.wait(0.01):
            if self.process.poll() is None:
                if time.monotonic() - self.last_check_in >= HEARTBEAT_S:
                    self._check_in()
                continue
            self.ends.append(time.monotonic())
            self.fleet.note(f"runner {self.id} has crashed")
            former = self.id
            expiry = self.last_check_in + 3 * HEARTBEAT_S - time.monotonic()
            threading.Timer(max(expiry, 0), self.fleet.store.remove, ("servers", former)).start()
            if self.closed.wait(DOWN_S):
                return
            # Runners restart empty.
            self.options = {**self.options, "models": []}
            self._start()
            self.fleet.note(f"runner {self.id} is up in its place")

    def close(self) -> None:
        self.closed.set()
        # A process that the supervisor is just starting has to be ended too.
        self.supervisor.join()


class Fleet:
    def __init__(self, case: str):
        self.folder = tempfile.TemporaryDirectory()
        self.arrivals_file = Path(self.folder.name) / "arrivals"
        self.arrivals_file.touch()
        self.begin = time.monotonic()
        self.lines: list[str] = []
        self.lock = threading.Lock()
        self.record = ROOT / "review" / case / "record.txt"
        self.store = Store()
        self.store.put("op", "config", configuration())
        self.runners: list[Runner] = []
        self.instances: list[Instance] = []
        self.note(f"TROUBLE={int(TROUBLE)}")

    def note(self, text: str, at: float | None = None) -> None:
        with self.lock:
            self.lines.append((at or time.monotonic(), text))

    def add_runner(self, name: str, service: str, slots: int, **options) -> Runner:
        runner = Runner(self, name, service, slots, options)
        self.runners.append(runner)
        return runner

    def start_instances(self, count: int) -> None:
        for number in range(count):
            self.instances.append(FrontInstance(self.store, f"front-a-{number + 1}",
                                                more_settings=SETTINGS))
        for instance in self.instances:
            instance.wait_until_serving(servers=len(self.runners))
        wait_until(lambda: any(each.state().get("hub", {}).get("this_instance", False)
                               for each in self.instances), "an instance is the hub")

    def arrivals(self) -> list[dict]:
        """The requests that runners began to run."""
        return [json.loads(line) for line in self.arrivals_file.read_text().splitlines()]

    def crashes(self) -> list[float]:
        return sorted(at for runner in self.runners for at in runner.ends)

    def call(self, instance: int, method: str, path: str, request_id: str, body: bytes = b"",
             deadline_ms: int = 3000, **headers: str) -> tuple[int | None, bytes, dict]:
        """Sends one request on a new connection; the status is None if the connection ended
        without a complete answer."""
        front = f"127.0.0.1:{self.instances[instance].front_port}"
        connection = http.client.HTTPConnection(front, timeout=40)
        fields = {"Host": "visits.example", "X-Request-Id": request_id,
                  "X-Deadline-Ms": str(deadline_ms), "Authorization": "Token k1",
                  **{name.replace("_", "-"): value for name, value in headers.items()}}
        self.note(f"client sends {method} {path} id {request_id} to {front_name(instance)}")
        status, received, answer_headers = None, b"", {}
        try:
            connection.request(method, path, body or None, fields)
            answer = connection.getresponse()
            answer_headers = dict(answer.getheaders())
            received = answer.read()
            status = answer.status
        except http.client.IncompleteRead as cut:
            received = cut.partial
        except (OSError, http.client.HTTPException) as failure:
            self.note(f"request {request_id}: {failure!r}")
        finally:
            connection.close()
        self.note(f"client got {status} for id {request_id}, {len(received)} bytes, "
                  f"Retry-After {answer_headers.get('Retry-After')}: {received[:70]!r}")
        return status, received, answer_headers

    def finish(self, result: int, summary: str) -> int:
        for arrival in self.arrivals():
            self.note(f"runner {arrival['server']} begins to run {arrival['path']} id "
                      f"{arrival['id']}"
                      + (f" after event {arrival['resumed']}" if arrival["resumed"] else ""),
                      arrival["at"])
        self.note(summary)
        self.note(f"exit {result}")
        text = "".join(f"{at - self.begin:9.3f} {line}\n" for at, line in sorted(self.lines))
        self.record.write_text(text, encoding="utf-8")
        print(summary)
        return result

    def close(self) -> None:
        for runner in self.runners:
            runner.close()
        for instance in self.instances:
            instance.close()
        self.store.close()
        self.folder.cleanup()


def front_name(instance: int) -> str:
    return f"front-a-{instance + 1}"


def play(case: str, story) -> None:
    """Runs `story`, which gets the fleet and returns the exit code and a summary. All processes
    that were started are ended in any case, also if this one is told to end."""
    def give_up(*_) -> None:
        end_processes()
        os._exit(COULD_NOT_RUN)

    for each in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(each, give_up)
    limit = threading.Timer(LIMIT_S, give_up)
    limit.daemon = True
    limit.start()
    fleet = None
    try:
        fleet = Fleet(case)
        code = fleet.finish(*story(fleet))
    except Exception as failure:  # pylint: disable=broad-except
        print(f"the case could not run: {failure!r}", file=sys.stderr)
        code = COULD_NOT_RUN
    try:
        if fleet:
            fleet.close()
    finally:
        end_processes()
        sys.stdout.flush()
        os._exit(code)
