"""What the scripts of this review share: a small fleet on loopback, clients, and the record.

The instances are started by standins/entry_fleet.py with the settings of a small deployment. The
store is the project's stand-in. The runner here adds to the project's one: a heartbeat, models
that are loaded from the start, slow prompts, and crashes under one part of a prompt.
"""

from __future__ import annotations

import atexit
import contextlib
import http.client
import os
import random
import signal
import socket
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "standins"))
# The program starts in the root of the repository, with the command of deploy/system.toml.
os.chdir(ROOT)
os.environ["CARAWAYTURN_ENTRY"] = "target/carawayturn-entry"
from answer_bytes import END, chunk  # noqa: E402
from entry_fleet import Instance, route, wait_until  # noqa: E402
from platform_fleet import BackendServer, Store, _Handler, _Server  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

# Bounds of the small deployments' pages.
CONTACT_S = 3.0
HEARTBEAT_S = 1.2
SETTINGS = """role=entry
machine_class=front
serves=front
region=r
zones.a=r
limits.cpu_share=0.17
limits.cpu_cores=1
limits.memory_mb=182
limits.max_fds=2940
limits.link_mbps=700.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1200
bounds.contact_ms=3000
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
bounds.require_fencing=false
bounds.thaw_ms=300
bounds.ceiling_window_s=5
bounds.ceiling_overrun=1.1
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
"""


class Record:
    """Writes what was sent, answered and run to record.txt, in the order of time."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()
        self.line(f"TROUBLE={int(TROUBLE)}")

    def line(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self._file.flush()

    def result(self, text: str) -> None:
        self.line(text)
        print(text, flush=True)


class Runner(BackendServer):
    """A model runner that streams; the first event of a stream comes after `prefill_s`.

    Under a prompt with the part `harmful_part` (not as its last one) the runner crashes when it
    begins to write the first event: its port closes, all connections end, and after `away_s` it is
    back under its id, with a new start time and without models.
    """

    def __init__(self, store: Store, record: Record, name: str, **options) -> None:
        self.log = record
        self.slots_told = options.get("slots", 48)
        self.events = options.get("events", 20)
        self.pace_s = options.get("pace_s", 0.1)
        self.prefill_s = options.get("prefill_s", 0.1)
        # Whether the head of a stream is sent before the prompt has been read.
        self.early_head = options.get("early_head", False)
        self.harmful_part = options.get("harmful_part", "")
        # Version of the weights, which answers and entries carry.
        self.weights_version = 1
        # Whether the harmful part crashes the runner with this version.
        self.harms = options.get("harms", True)
        # Whether streams have neither a length nor chunks and end with their connections.
        self.unframed = options.get("unframed", False)
        # Whole events that are written before a crash.
        self.events_before_crash = options.get("events_before_crash", 0)
        self.away_s = options.get("away_s", 2.0)
        # Time that the load of a model takes, which the configuration states too.
        self.load_s = options.get("load_s", 1.0)
        self.loading = ""
        self.crashes: list[float] = []
        # Time and request id of each request that arrived and was not rejected with 421, and
        # whether it has the harmful part.
        self.reached: list[tuple[float, str, bool]] = []
        # Ids of the sound streams that a crash has broken off.
        self.cut_off: list[tuple[float, str]] = []
        self.open: dict[str, bool] = {}
        self.down = False
        self.closed = False
        super().__init__(store, name, options.get("service", "llm"), options.get("models", ["m1"]))
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self) -> None:
        while not self.closed:
            time.sleep(HEARTBEAT_S)
            if not self.down and not self.closed:
                self.record()

    def record(self, state: str = "ready") -> None:
        self.beats = getattr(self, "beats", 0) + 1
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.public_address, "zone": self.zone,
            "version": "v1", "slots": self.slots_told, "state": state, "cold_left_ms": 0,
            "stage": "colocated", "seq": self.beats, "born": self.born, "models": self._models()})

    def _models(self) -> list[dict]:
        return [{**model, "version": self.weights_version} for model in super()._models()]

    def close(self) -> None:
        self.closed = True
        with contextlib.suppress(OSError):
            super().close()

    def _answer(self, call: _Handler, body: bytes) -> None:
        if call.path == "/report" and call.headers.get("X-Expect-Instance") == self.name:
            call.answer_json(200, {"stage": "colocated", "models": self._models(),
                                   "busy": bool(self.loading), "seq": self.order_count,
                                   "queued": 0, "active": len(self.open), "born": self.born})
        else:
            super()._answer(call, body)

    def _order(self, call: _Handler, order: dict) -> None:
        with self.lock:
            status = 202
            if self.loading or order["expected"] != self.order_count:
                status = 409
            elif order["op_type"] == "model_load" and order["model"] in self.models:
                status = 200
            if status != 409:
                self.order_count += 1
            if status == 202 and order["op_type"] == "model_load":
                self.loading = order["model"]
                threading.Thread(target=self._load, args=(order["model"], self.born),
                                 daemon=True).start()
            elif status == 202:
                self.models.pop(order["model"], None)
        self.log.line(f"runner {self.name}: order {order['op_type']} {order['model']} of "
                      f"{order['holder']}, fence {order['fencing_token']}: {status}")
        call.answer_json(status, {})

    def _load(self, model: str, born: int) -> None:
        time.sleep(self.load_s)
        with self.lock:
            if self.born != born or self.down:
                return
            self.models[model] = []
            self.loading = ""
        self.record()

    def _run(self, call: _Handler, body: bytes) -> None:
        request_id = call.headers["X-Request-Id"]
        parts = [part.partition(":")[0]
                 for part in call.headers.get("X-Prompt-Prefix", "").split(",")]
        harmful = bool(self.harmful_part) and self.harmful_part in parts[:-1]
        model = call.headers.get("X-Model", "").split("/")[0]
        headers = {"X-Request-Id": request_id}
        if model not in self.models:
            self.log.line(f"runner {self.name}: {request_id} arrived, 421 (no such model here)")
            call.answer(421, b"", {**headers, "X-Instance-Id": self.name})
            return
        self.reached.append((time.monotonic(), request_id, harmful))
        self.log.line(f"runner {self.name}: {request_id} arrived"
                      f"{', harmful' if harmful else ''}")
        self.open[request_id] = harmful
        try:
            self._write_stream(call, headers, harmful)
            self.log.line(f"runner {self.name}: {request_id} complete")
        except OSError:
            pass
        finally:
            self.open.pop(request_id, None)

    def _write_stream(self, call: _Handler, headers: dict[str, str], harmful: bool) -> None:
        if self.early_head:
            self._head(call, headers)
        time.sleep(self.prefill_s)
        crashes = harmful and self.harms and TROUBLE
        if not self.early_head and (not crashes or self.events_before_crash > 0):
            self._head(call, headers)
        first = int(call.headers.get("Last-Event-Id") or 0) + 1
        for number in range(first, self.events + 1):
            if crashes and number == first + self.events_before_crash:
                self.crash()
                call.close_connection = True
                raise OSError
            event = b"id: %d\ndata: %d\n\n" % (number, number)
            call.wfile.write(event if self.unframed else chunk(event))
            call.wfile.flush()
            time.sleep(self.pace_s)
        if self.unframed:
            call.close_connection = True
        else:
            call.wfile.write(END)

    def _head(self, call: _Handler, headers: dict[str, str]) -> None:
        framing = {"Connection": "close"} if self.unframed else {"Transfer-Encoding": "chunked"}
        call.send_response(200)
        for name, value in {**headers, "X-Server-Seal": "s", "Content-Type": "text/event-stream",
                            "X-Weight-Versions": str(self.weights_version), **framing}.items():
            call.send_header(name, value)
        call.end_headers()
        call.wfile.flush()

    def crash(self) -> None:
        with self.lock:
            if self.down:
                return
            self.down = True
        now = time.monotonic()
        self.crashes.append(now)
        lost = [each for each, harmful in list(self.open.items()) if not harmful]
        self.cut_off += [(now, each) for each in lost]
        self.log.line(f"runner {self.name}: crashed, with {len(lost)} sound streams: "
                      f"{' '.join(lost)}")
        crashed = self._server
        # The port refuses connections from now on, and the others end, as after a kill.
        crashed.socket.shutdown(socket.SHUT_RDWR)
        crashed.end_connections()
        threading.Thread(target=self._start_again, args=(crashed.server_address,),
                         daemon=True).start()

    def _start_again(self, address: tuple[str, int]) -> None:
        crashed = self._server
        crashed.shutdown()
        crashed.server_close()
        time.sleep(self.away_s)
        while not self.closed:
            with contextlib.suppress(OSError):
                self._server = _Server(address, _Handler)
                break
            time.sleep(0.05)
        if self.closed:
            return
        self.loading = ""
        self._serve()
        self.restart()
        self.down = False
        self.log.line(f"runner {self.name}: back, empty")


def configuration(keys: list[str], routes: list[dict], models: tuple[str, ...] = ("m1",),
                  load_time_s: float = 1.0) -> dict:
    """A configuration like those of the small deployments."""
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {"name": "plain", "health_path": "/health", "max_conns": 214},
            {"name": "llm", "health_path": "/health", "max_conns": 643, "engine": {
                "slots": 48, "kv_capacity": 119408, "weights_mb": 230000.0, "adapter_slots": 8,
                "loads_per_s": 4.2, "models": [
                    {"name": name, "weights_mb": 72700.0, "load_time_s": load_time_s,
                     "disk_s": load_time_s, "warm_s": load_time_s, "adapters": 0,
                     "adapter_size_mb": 66.0} for name in models]}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": keys, "rate_per_s": 1000000, "burst": 1000000,
                     "unit": "tokens", "plain_tokens": 200}]}


@dataclass
class Answer:
    """One client attempt and its outcome."""

    request_id: str
    sent_at: float
    status: int = 0
    complete: bool = False
    events: list[int] = field(default_factory=list)
    label: str = ""


class Fleet:
    """The store, runners and instances; ends all that it started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.runners: list[Runner] = []
        self.instances: list[Instance] = []
        self.answers: list[Answer] = []
        self.threads: list[threading.Thread] = []
        atexit.register(self.close)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: sys.exit(CANNOT_RUN))

    def start_instances(self, count: int, servers: int) -> None:
        for number in range(count):
            self.instances.append(Instance(self.store, f"front-{number}",
                                           more_settings=SETTINGS))
        for instance in self.instances:
            instance.wait_until_serving(servers)
        wait_until(lambda: any(each.events(1020) or self._is_hub(each)
                               for each in self.instances), "there is a hub")
        time.sleep(1.0)

    @staticmethod
    def _is_hub(instance: Instance) -> bool:
        return bool(instance.state().get("hub"))

    def close(self) -> None:
        for instance in self.instances:
            with contextlib.suppress(Exception):
                instance.close()
        for runner in self.runners:
            runner.close()
        with contextlib.suppress(Exception):
            self.store.close()

    def send(self, instance: Instance, path: str, request_id: str, headers: dict[str, str],
             label: str = "") -> threading.Thread:
        """Sends one request of a streaming route on a new channel, in a thread."""
        thread = threading.Thread(target=self._send, daemon=True,
                                  args=(instance, path, request_id, headers, label))
        self.threads.append(thread)
        thread.start()
        return thread

    def _send(self, instance: Instance, path: str, request_id: str, headers: dict[str, str],
              label: str) -> None:
        answer = Answer(request_id, time.monotonic(), label=label)
        self.answers.append(answer)
        self.record.line(f"client: {request_id} sent to {instance.name} ({label})")
        connection = http.client.HTTPConnection("127.0.0.1", instance.front_port, timeout=40)
        try:
            connection.request("POST", path, request_id.encode(),
                               {"Host": "h.example", "X-Request-Id": request_id, **headers})
            reply = connection.getresponse()
            answer.status = reply.status
            for line in reply:
                if line.startswith(b"id: "):
                    answer.events.append(int(line[4:]))
            answer.complete = True
        except (OSError, http.client.HTTPException):
            pass
        finally:
            connection.close()
        self.record.line(f"client: {request_id} answered {answer.status}, {len(answer.events)} "
                         f"events, {'complete' if answer.complete else 'broken off'}")

    def join(self) -> None:
        for thread in self.threads:
            thread.join(45)

    def crashes(self) -> list[float]:
        return sorted(at for runner in self.runners for at in runner.crashes)

    def harmful_arrivals_after(self, limit: float) -> list[tuple[float, str]]:
        return sorted((at, request_id) for runner in self.runners
                      for at, request_id, harmful in runner.reached if harmful and at > limit)


def judge_containment(fleet: Fleet) -> int:
    """The rule BUDGET on a part that crashes runners: no more than three requests with it reach
    runners later than contact_ms after the fifth crash. No instance has any trouble of its own, so
    all are in touch."""
    crashes = fleet.crashes()
    if len(crashes) < 5:
        fleet.record.result(f"{len(crashes)} crashes: nothing is bound")
        return HELD
    limit = crashes[4] + CONTACT_S
    late = fleet.harmful_arrivals_after(limit)
    lost = sum(at > limit for runner in fleet.runners for at, _ in runner.cut_off)
    fleet.record.result(
        f"{len(crashes)} crashes, the fifth at {crashes[4] - fleet.record.began:.2f}; "
        f"{len(late)} requests with the part reached runners later than contact_ms after it, and "
        f"the crashes then cut off {lost} sound streams")
    return BROKEN if len(late) > 3 else HELD


def stream_headers(parts: list[str], deadline_ms: int, key: str = "k1", model: str = "m1",
                   part_tokens: int = 350, prompt_tokens: int = 1460) -> dict[str, str]:
    """The tokens of the parts add up to those of the prompt; the last part has the rest."""
    shared = len(parts) - 1
    prefix = [f"{part}:{part_tokens}" for part in parts[:-1]]
    prefix.append(f"{parts[-1]}:{prompt_tokens - shared * part_tokens}")
    return {"X-Model": model, "X-Token-Count": f"{prompt_tokens},171",
            "Authorization": f"Token {key}", "X-Deadline-Ms": str(deadline_ms),
            "X-Prompt-Prefix": ",".join(prefix)}


def own_part(chooser: random.Random) -> str:
    return f"{chooser.getrandbits(32):08x}"


def run_case(main) -> None:
    """Runs a case; its exit status tells whether the rule was broken."""
    try:
        status = main()
    except (Exception, SystemExit) as failure:  # noqa: BLE001
        print(f"the case could not run: {failure!r}", flush=True)
        status = CANNOT_RUN
    sys.exit(status)


__all__ = ["BROKEN", "CANNOT_RUN", "CONTACT_S", "HELD", "TROUBLE", "Answer", "Fleet", "Instance",
           "Record", "Runner", "Store", "configuration", "judge_containment", "own_part", "route",
           "run_case", "stream_headers", "wait_until"]
