"""What the scripts of this review share: the instances, a store for drills and the record.

Instances are processes of the deployed program, started by the project's own stand-ins on
loopback addresses. Exit status of a script: 1 if the rule was broken, 0 if it held, 2 if the case
could not be run.
"""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "standins"))
os.environ["CARAWAYTURN_ENTRY"] = str(ROOT / "target" / "carawayturn-entry")
os.chdir(ROOT)

from entry_fleet import Instance  # noqa: E402
from platform_fleet import BackendServer, Store  # noqa: E402

# Bounds of the small deployments `sites/mthunzi-minutes.toml` and `sites/nilerest-ops.toml`, as
# DEPLOY.md shows them.
SETTINGS = """role=entry
machine_class=front
serves=front
limits.cpu_share=0.17
limits.cpu_cores=1
limits.memory_mb=182
limits.max_fds=2940
limits.link_mbps=700.0
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
bounds.budget_slack=108
bounds.quota_window_s=8
bounds.recovery_s=12
bounds.require_fencing=false
bounds.thaw_ms=300
"""
HEARTBEAT_S = 1.2
# An entry of a silent server is removed after this many heartbeats.
SILENT_HEARTBEATS = 3
# A script ends by itself before the 120 s that it may take.
LONGEST_RUN_S = 112
# Interval at which the store takes the copies from which it may come back.
COPY_INTERVAL_S = 0.1
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CaseError(Exception):
    """The case could not be run as described."""


class Record:
    """The file record.txt: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began:8.3f} s  {text}\n")
            self._file.flush()


class DrillStore(Store):
    """The platform's store, which may come back from a copy that is some seconds old.

    Each answer has the header Store-Era, which rises by one each time. A feed from a version that
    the store does not have gets 410. What the operator and the runners wrote since the copy was
    taken is written again.
    """

    SYSTEM_TABLES = ("carawayturn", "carawayturn_streams", "carawayturn_versions")

    def __init__(self) -> None:
        self.era = 1
        self.away = False
        # Whether calls to a store that is away get no answer, in place of a closed channel.
        self.silent = False
        self._copies: list[tuple[float, dict, list, int]] = []
        super().__init__()
        threading.Thread(target=self._keep_copies, daemon=True).start()

    def _keep_copies(self) -> None:
        while True:
            with self.lock:
                self._copies.append((time.monotonic(), dict(self.rows), list(self.history),
                                     self.version))
            del self._copies[:-200]
            time.sleep(COPY_INTERVAL_S)

    def leave(self) -> None:
        self.away = True

    def return_from_copy_of(self, moment: float, first_write=None) -> None:
        """Ends the absence with the last copy that was taken before this moment. `first_write` is
        what the operator writes at once; the operator tries again until the store takes it."""
        with self.lock:
            present = dict(self.rows)
            _, rows, history, self.version = [
                copy for copy in self._copies if copy[0] <= moment][-1]
            self.rows, self.history = dict(rows), list(history)
            if first_write:
                first_write()
            for (table, key), row in present.items():
                if table not in self.SYSTEM_TABLES and (
                        self.rows.get((table, key)) == rows.get((table, key)) != row):
                    self._write(table, key, row["value"], row["part"])
            for table, key in set(self.rows) - set(present):
                if table not in self.SYSTEM_TABLES:
                    self._remove(table, key)
            self.era += 1
            self.away = False
            self.lock.notify_all()

    def _give_no_answer(self, call) -> None:
        """A channel on which an answer is lost delivers nothing further."""
        if not self.silent:
            call.drop()
            return
        call.close_connection = True
        with contextlib.suppress(OSError):
            while call.connection.recv(65536):
                pass

    def handle(self, call, body: bytes, rewrite_answer=lambda value: value) -> None:
        if self.away:
            self._give_no_answer(call)
            return
        send_answer = call.answer
        era = self.era

        def answer(status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
            # A call that was open when the store left gets no answer.
            if self.away or self.era != era:
                self._give_no_answer(call)
            else:
                send_answer(status, body, {**(headers or {}), "Store-Era": str(era)})

        call.answer = answer
        super().handle(call, body, rewrite_answer)
        call.__dict__.pop("answer", None)

    def _feed(self, query: dict, body: bytes) -> tuple[int, dict]:
        with self.lock:
            if int(query["after"]) > self.version:
                return 410, {}
        return super()._feed(query, body)


class CountedHeartbeats:
    """What a BackendServer writes its row to: the store, with the number of heartbeats."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._count = 0

    def put(self, table: str, key: str, value: dict) -> None:
        self._count += 1
        self._store.put(table, key, {**value, "seq": self._count})


def engine_headers(number: int) -> dict[str, str]:
    """Returns the headers of a request for a model: token counts, prompt and time budget."""
    return {"X-Token-Count": "100,160", "X-Prompt-Prefix": f"{number // 3:x}a:60,{number:x}b:40",
            "X-Deadline-Ms": "20000"}


class Fleet(contextlib.ExitStack):
    """A store, backend servers and instances, which all end with the script."""

    def __init__(self, store: Store) -> None:
        super().__init__()
        self.store = store
        self.instances: list[Instance] = []
        self.servers: list[BackendServer] = []
        self.callback(store.close)

    def add_server(self, name: str, service: str, models: list[str] | None) -> BackendServer:
        server = BackendServer(CountedHeartbeats(self.store), name, service, models)
        self.servers.append(server)
        self.callback(server.close)
        return server

    def add_instance(self, name: str) -> Instance:
        instance = Instance(self.store, name, more_settings=SETTINGS)
        self.instances.append(instance)
        self.callback(instance.close)
        return instance

    def record_runs(self, record: Record) -> None:
        for server in self.servers:
            for run in server.ran:
                record.write(f"ran: {run['headers'].get('X-Request-Id')} at {server.name}")

    def send_heartbeats(self) -> None:
        """Lets the servers write their rows again at every heartbeat, one after the other."""
        def beat() -> None:
            while True:
                for server in self.servers:
                    time.sleep(HEARTBEAT_S / len(self.servers))
                    if not self.store.away:
                        server.record()
        threading.Thread(target=beat, daemon=True).start()


class ServerProcess:
    """A backend server that runs as a process; see server_process.py."""

    def __init__(self, fleet: Fleet, record: Record, name: str, service: str, events: int,
                 pause_s: float, framing: str = "unframed", version: str = "v1",
                 models: str = "m1", slots: int = 32, on_disk: tuple[str, ...] = ()) -> None:
        self.store, self.record, self.name, self.service = fleet.store, record, name, service
        self.version, self.slots, self.on_disk = version, slots, on_disk
        self.models = models if service == "llm" else ""
        self.lines: list[str] = []
        self._row: dict | None = None
        program = Path(__file__).resolve().parent / "server_process.py"
        self.process = subprocess.Popen(
            [sys.executable, "-B", str(program), name, str(events), str(pause_s), framing,
             self.models, ",".join(on_disk)],
            stdout=subprocess.PIPE, text=True)
        fleet.callback(self.kill)
        port, born = self.process.stdout.readline().split()
        self.address, self.born = f"127.0.0.1:{port}", int(born)
        threading.Thread(target=self._read_lines, daemon=True).start()
        self.write_row("ready")
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def _read_lines(self) -> None:
        for line in self.process.stdout:
            self.lines.append(line.strip())
            self.record.write(f"{self.name}: {line.strip()}")
            if line.startswith("models ") and self._row is not None:
                self.models = line.split()[1] if len(line.split()) > 1 else ""
                self._row["models"] = self._model_list()

    def _send_heartbeats(self) -> None:
        while self.process.poll() is None:
            time.sleep(HEARTBEAT_S)
            if self._row is not None:
                self._row["seq"] += 1
                if not getattr(self.store, "away", False):
                    self.store.put("servers", self.name, self._row)

    def _model_list(self) -> list[dict]:
        return [{"name": model, "version": 1, "adapters": []}
                for model in self.models.split(",") if model]

    def write_row(self, state: str, **more) -> None:
        self._row = {"service": self.service, "address": self.address, "zone": "a",
                     "slots": self.slots, "state": state, "seq": 1, "born": self.born,
                     "version": self.version,
                     "models": self._model_list(),
                     "resident": {"in_memory": [], "on_disk": list(self.on_disk)}, **more}
        self.store.put("servers", self.name, self._row)

    def leave(self, remaining_s: float) -> None:
        """Reports in the row and in all further answers that the server leaves."""
        self.process.send_signal(signal.SIGUSR1)
        self.write_row("draining", remaining_ms=int(remaining_s * 1000))

    def crash(self) -> None:
        """Ends the process, which tells nobody. The store removes its row later."""
        self.kill()
        expiry = threading.Timer(SILENT_HEARTBEATS * HEARTBEAT_S, self.store.remove,
                                 ["servers", self.name])
        expiry.daemon = True
        expiry.start()

    def count(self, word: str) -> int:
        return sum(line.startswith(word + " ") for line in self.lines)

    def kill(self) -> None:
        self._row = None
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


def hub_of(store: Store) -> dict:
    """Returns the row of the lease: name, address and fence of the holder."""
    return store.get("carawayturn", "hub") or {}


def end_children() -> None:
    """Ends processes that this one started and has not ended, by their ids."""
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        with contextlib.suppress(OSError, IndexError):
            status = (entry / "stat").read_text(encoding="utf-8").rpartition(")")[2].split()
            if int(status[1]) == os.getpid():
                os.kill(int(entry.name), signal.SIGKILL)


def stop_case(number: int, _frame: object) -> None:
    raise CaseError(f"stopped by signal {number}")


def run_case(folder: str, play) -> None:
    """Plays the case and ends the process with its exit status. `play` gets the record and
    returns what broke the rule, or nothing. Ends all processes, also if it fails, is told to
    stop or takes too long."""
    record = Record(Path(folder))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, stop_case)
    signal.alarm(LONGEST_RUN_S)
    broken: list[str] = []
    status = 2
    try:
        broken = play(record)
        status = 1 if broken else 0
    except BaseException as failure:
        record.write(f"the case could not be run: {failure!r}")
        traceback.print_exc()
    finally:
        signal.alarm(0)
        end_children()
    for line in broken:
        record.write(f"BROKEN: {line}")
    if status != 2:
        record.write("the rule was broken" if broken else "the rule held")
        print("\n".join(broken) or "the rule held")
    sys.stdout.flush()
    os._exit(status)


def describe(order: dict) -> str:
    return json.dumps({name: order.get(name) for name in
                       ("op_type", "model", "expected", "holder", "fencing_token")})
