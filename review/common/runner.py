"""A stand-in of a runner or of a server of a plain service, as a process of its own.

Usage: runner.py ID PORT RECORD OPTIONS, where OPTIONS is a JSON object:
  models        names of the models that the runner holds; empty for a plain service
  events        number of events of a stream
  event_gap_s   seconds between two events
  work_s        seconds of work for a plain request
  crash_path    the process ends when it begins to run a request with this path
  crash_part    the process ends when it begins to answer a prompt with this part (not the last)
  failure_share share of the plain requests that fail after they have run, with status 503,
  failure_bytes without X-Not-Executed and with a body of this length
  cut_share     share of the streams that end in the middle of their third event

Each arrival of a request is appended to RECORD as a line of JSON before anything else happens.
"""

from __future__ import annotations

import json
import os
import random
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

SERVER_ID, PORT, RECORD = sys.argv[1], int(sys.argv[2]), sys.argv[3]
OPTIONS = json.loads(sys.argv[4])
BORN = int(sys.argv[5])
SEAL = "X-Server-Seal"
CUT_EVENT = 3
record_lock = threading.Lock()
record_file = os.open(RECORD, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
state = {"seq": 0, "active": 0, "random": random.Random(SERVER_ID)}


def record(**fields) -> None:
    line = json.dumps({"at": time.monotonic(), "server": SERVER_ID, **fields}) + "\n"
    os.write(record_file, line.encode())


def record_cut(request_id: str) -> None:
    record(id=request_id, cut=True)


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
                      for name in OPTIONS.get("models", [])]
            report = {"stage": "colocated", "models": models, "busy": False,
                      "seq": state["seq"], "born": BORN, "queued": 0,
                      "active": state["active"], "kv_used": 0, "kv_total": 90000, "handles": 0}
            self.answer(200, json.dumps(report).encode(), Content_Type="application/json")
        elif self.path == "/order":
            self.answer(409, b"{}", Content_Type="application/json")
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
        if model and model not in OPTIONS.get("models", []):
            self.answer(421, X_Instance_Id=SERVER_ID)
            return
        record(id=request_id, path=self.path, resumed=self.headers.get("Last-Event-Id"))
        if self.path == OPTIONS.get("crash_path") or OPTIONS.get("crash_part") in parts[:-1]:
            crash()
        if OPTIONS.get("models"):
            self.stream()
            return
        time.sleep(OPTIONS.get("work_s", 0.02))
        if "failure_bytes" in OPTIONS and state["random"].random() < OPTIONS["failure_share"]:
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
        cut = state["random"].random() < OPTIONS.get("cut_share", 0)
        for number in range(first, OPTIONS.get("events", 5) + 1):
            time.sleep(OPTIONS.get("event_gap_s", 0.02))
            if cut and number == CUT_EVENT:
                record_cut(self.headers["X-Request-Id"])
                self.piece(b"id: %d\ndata: tok" % number)
                break
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
