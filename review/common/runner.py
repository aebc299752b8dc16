"""A stand-in of a runner or of a server of a plain service, as a process of its own.

Usage: runner.py ID PORT RECORD OPTIONS BORN, where OPTIONS is a JSON object:
  is_runner        whether it is a model runner; it answers every request with a stream
  models           names of the models that it holds at its start
  load_s           seconds that it takes to load a model
  events           number of events of a stream
  event_gap_s      seconds between two events
  work_s           seconds of work for a plain request
  crash_path       the process ends when it begins to run a request with this path
  crash_part       the process ends when it begins to answer a prompt with this part (not the last)
  failing          numbers, in each five plain requests, of those that fail after they have run,
  failing_s        for so many seconds from the first request on, with status 503, without
  failure_bytes    X-Not-Executed and with a body of this length

Each arrival of a request is appended to RECORD as a line of JSON before anything else happens.
"""

from __future__ import annotations

import json
import os
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

SERVER_ID, PORT, RECORD = sys.argv[1], int(sys.argv[2]), sys.argv[3]
OPTIONS = json.loads(sys.argv[4])
BORN = int(sys.argv[5])
SEAL = "X-Server-Seal"
record_lock = threading.Lock()
record_file = os.open(RECORD, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
# Orders accepted, whether one is under way, models held, and plain requests run so far.
state = {"seq": 0, "busy": False, "models": list(OPTIONS.get("models", [])), "requests": 0,
         "first_request_at": None}
state_lock = threading.Lock()


def record(**fields) -> None:
    line = json.dumps({"at": time.monotonic(), "server": SERVER_ID, **fields}) + "\n"
    os.write(record_file, line.encode())


def fails() -> bool:
    """Counts a plain request and returns whether it fails after it has run."""
    with state_lock:
        state["first_request_at"] = state["first_request_at"] or time.monotonic()
        number = state["requests"] % 5
        state["requests"] += 1
        left = state["first_request_at"] + OPTIONS.get("failing_s", 0) - time.monotonic()
    return number in OPTIONS.get("failing", []) and left > 0


def carry_out(order: dict) -> int:
    """Begins to carry an order out and returns the status of the answer."""
    if order.get("op_type") not in ("model_load", "model_unload") or "adapter" in order or not (
            order.get("holder") and order.get("fencing_token")):
        return 400
    model, loads = order["model"], order["op_type"] == "model_load"
    with state_lock:
        if state["busy"] or order.get("expected", state["seq"]) != state["seq"]:
            return 409
        if (model in state["models"]) == loads:
            return 200
        state["seq"] += 1
        if not loads:
            state["models"].remove(model)
            return 202
        state["busy"] = True

    def load() -> None:
        time.sleep(OPTIONS["load_s"])
        with state_lock:
            state["models"].append(model)
            state["busy"] = False

    threading.Thread(target=load, daemon=True).start()
    return 202


def crash() -> None:
    """Ends the process. The port is closed first, so that no caller finds it open after the end
    of its connection, as it could on loopback for some microseconds."""
    server.socket.close()
    os._exit(1)


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments) -> None:
        pass

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        self.send_response(status)
        request_id = self.headers.get("X-Request-Id")
        if request_id:
            self.send_header("X-Request-Id", request_id)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def do_POST(self) -> None:
        body = self.read_body()
        if self.headers.get("X-Expect-Instance") not in (None, SERVER_ID):
            self.answer(421, X_Instance_Id=SERVER_ID)
        elif self.path == "/report":
            models = [{"name": name, "version": 1, "adapters": []}
                      for name in state["models"]]
            report = {"stage": "colocated", "models": models, "busy": state["busy"],
                      "seq": state["seq"], "born": BORN, "queued": 0,
                      "active": 0, "kv_used": 0, "kv_total": 90000, "handles": 0}
            self.answer(200, json.dumps(report).encode(), Content_Type="application/json")
        elif self.path == "/order":
            self.answer(carry_out(json.loads(body)), b"{}", Content_Type="application/json")
        elif self.path == "/health":
            self.answer(200, X_Instance_Id=SERVER_ID)
        else:
            self.run_request(body)

    do_GET = do_POST

    def run_request(self, body: bytes) -> None:
        request_id = self.headers.get("X-Request-Id")
        if not request_id:
            self.answer(400, X_Not_Executed="1")
            return
        parts = [part.partition(":")[0].strip()
                 for part in (self.headers.get("X-Prompt-Prefix") or "").split(",")]
        model = (self.headers.get("X-Model") or "").partition("/")[0]
        if model and model not in state["models"]:
            self.answer(421, X_Instance_Id=SERVER_ID)
            return
        record(id=request_id, path=self.path, resumed=self.headers.get("Last-Event-Id"))
        if self.path == OPTIONS.get("crash_path") or OPTIONS.get("crash_part") in parts[:-1]:
            crash()
        if OPTIONS.get("is_runner"):
            self.stream()
            return
        time.sleep(OPTIONS.get("work_s", 0.02))
        if fails():
            self.answer(503, b"x" * OPTIONS["failure_bytes"],
                        X_Server_Seal=f"seal-{request_id}")
            return
        self.answer(200, b"done " + request_id.encode(), X_Server_Seal=f"seal-{request_id}")

    def piece(self, bytes_: bytes) -> None:
        self.wfile.write(b"%x\r\n%s\r\n" % (len(bytes_), bytes_))
        self.wfile.flush()

    def stream(self) -> None:
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        self.send_response(200)
        for name, value in {"X-Request-Id": self.headers["X-Request-Id"],
                            SEAL: f"seal-{self.headers['X-Request-Id']}",
                            "Content-Type": "text/event-stream",
                            "Transfer-Encoding": "chunked"}.items():
            self.send_header(name, value)
        self.end_headers()
        for number in range(first, OPTIONS.get("events", 5) + 1):
            time.sleep(OPTIONS.get("event_gap_s", 0.02))
            self.piece(b"id: %d\ndata: token %d\n\n" % (number, number))
        self.wfile.write(b"0\r\n\r\n")
        self.wfile.flush()


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address) -> None:
        """Callers may close connections early."""


server = Server(("127.0.0.1", PORT), Handler)
server.serve_forever()
