"""A backend server as a process of its own, so that it can be killed as one.

Usage: server_process.py NAME EVENTS PAUSE_S FRAMING MODELS ON_DISK. Prints its port and its start
time. MODELS are the models that it holds at the start, separated by commas, and ON_DISK those that
are on its disk; orders to load and unload models are carried out. A request with X-Model gets a
stream of EVENTS events, with PAUSE_S seconds between them, from the one after Last-Event-Id on; any
other request gets a plain body in two halves with PAUSE_S seconds between them. With FRAMING
`unframed`, answers have neither a length nor chunks and end with their connection; with `chunked`,
they have chunks. From SIGUSR1 on, the server says in all its answers that it leaves. Writes a line
to standard output for each request that it runs, each event and each order.
"""

from __future__ import annotations

import json
import signal
import socket
import sys
import threading
import time

PIECE = 65536
# `load_time_s` and `disk_s` of the site's models.
LOAD_S = 6.0
DISK_LOAD_S = 1.7


def read_request(stream: socket.socket) -> tuple[str, dict[str, str], bytes] | None:
    data = b""
    while b"\r\n\r\n" not in data:
        piece = stream.recv(PIECE)
        if not piece:
            return None
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip()
               for name, _, value in (line.partition(":") for line in lines[1:])}
    while len(body) < int(headers.get("content-length") or 0):
        piece = stream.recv(PIECE)
        if not piece:
            return None
        body += piece
    return lines[0].split(" ")[1], headers, body


def log(*words: object) -> None:
    """Writes one line in one call, as several threads write."""
    sys.stdout.write(" ".join(map(str, words)) + "\n")
    sys.stdout.flush()


def framed(status: str, body: bytes, more: str = "") -> bytes:
    return (f"HTTP/1.1 {status}\r\n{more}Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n").encode() + body


class Server:
    def __init__(self, name: str, events: int, pause_s: float, framing: str,
                 models: str, on_disk: str) -> None:
        self.name, self.events, self.pause_s = name, events, pause_s
        self.models = [model for model in models.split(",") if model]
        self.on_disk = [model for model in on_disk.split(",") if model]
        self.orders, self.busy, self.lock = 0, False, threading.Lock()
        self.chunked = framing == "chunked"
        self.leaving = False
        self.born = int(time.time() * 1000)

    def own_headers(self, request_id: str) -> str:
        """Returns the header lines that all answers begin with."""
        leaving = "Server-Leaving: 1\r\n" if self.leaving else ""
        echoed = f"X-Request-Id: {request_id}\r\n" if request_id else ""
        return f"X-Instance-Id: {self.name}\r\n{echoed}{leaving}"

    def announce_leaving(self, *_: object) -> None:
        self.leaving = True

    def serve(self, stream: socket.socket) -> None:
        with stream:
            try:
                request = read_request(stream)
                if request:
                    self.answer(stream, *request)
            except OSError:
                pass

    def answer(self, stream: socket.socket, path: str, headers: dict[str, str],
               body: bytes) -> None:
        request_id = headers.get("x-request-id", "")
        own = self.own_headers(request_id)
        if headers.get("x-expect-instance", self.name) != self.name:
            stream.sendall(framed("421 Misdirected", b"", own))
        elif path == "/report":
            models = [{"name": model, "version": 1, "adapters": []} for model in self.models]
            report = {"models": models, "busy": self.busy, "seq": self.orders, "born": self.born,
                      "resident": {"in_memory": [], "on_disk": self.on_disk}}
            stream.sendall(framed("200 OK", json.dumps(report).encode(), own))
        elif path == "/order":
            accepted = self.accept_order(json.loads(body))
            stream.sendall(framed("202 Accepted" if accepted else "409 Conflict", b"{}", own))
        elif headers.get("x-model") and headers["x-model"] not in self.models:
            stream.sendall(framed("421 Misdirected", b"", own))
        else:
            self.run(stream, request_id, headers)

    def accept_order(self, order: dict) -> bool:
        with self.lock:
            if self.busy or order.get("expected", self.orders) != self.orders:
                return False
            self.orders += 1
            log("order", order["op_type"], order["model"])
            if order["op_type"] == "model_unload":
                self.models = [model for model in self.models if model != order["model"]]
                log("models", ",".join(self.models))
            else:
                self.busy = True
                load_s = DISK_LOAD_S if order["model"] in self.on_disk else LOAD_S
                threading.Timer(load_s, self.loaded, [order["model"]]).start()
            return True

    def loaded(self, model: str) -> None:
        with self.lock:
            self.models.append(model)
            self.busy = False
            log("models", ",".join(self.models))

    def run(self, stream: socket.socket, request_id: str, headers: dict[str, str]) -> None:
        log("run", request_id)
        is_stream = "x-model" in headers
        kind = "text/event-stream" if is_stream else "text/plain"
        stream.sendall(f"HTTP/1.1 200 OK\r\n{self.own_headers(request_id)}X-Server-Seal: s\r\n"
                       f"Content-Type: {kind}\r\nConnection: close\r\n"
                       f"{'Transfer-Encoding: chunked' if self.chunked else 'X-Framing: none'}"
                       "\r\n\r\n".encode())
        if not is_stream:
            self.send(stream, b"first half, ")
            log("half", request_id)
            time.sleep(self.pause_s)
            self.send(stream, b"second half")
            self.end(stream)
            return
        for number in range(int(headers.get("last-event-id") or 0) + 1, self.events + 1):
            time.sleep(self.pause_s)
            self.send(stream, b"id: %d\ndata: %d\n\n" % (number, number))
            log("event", request_id, number)
        self.end(stream)

    def send(self, stream: socket.socket, data: bytes) -> None:
        stream.sendall(b"%x\r\n%s\r\n" % (len(data), data) if self.chunked else data)

    def end(self, stream: socket.socket) -> None:
        if self.chunked:
            stream.sendall(b"0\r\n\r\n")


def main() -> None:
    server = Server(sys.argv[1], int(sys.argv[2]), float(sys.argv[3]), sys.argv[4],
                    sys.argv[5], sys.argv[6])
    signal.signal(signal.SIGUSR1, server.announce_leaving)
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        log(listener.getsockname()[1], server.born)
        while True:
            stream, _ = listener.accept()
            threading.Thread(target=server.serve, args=(stream,), daemon=True).start()


main()
