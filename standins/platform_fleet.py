"""Stand-ins for the platform's store, runners and plain services, for tests on loopback.

The store holds versioned rows and serves reads, change feeds and conditional writes; it can
refuse calls, drop answers or discard its history. A backend server answers requests with their
id and a signature, carries out orders to load models, and records the requests that it ran.
"""

from __future__ import annotations

import base64
import contextlib
import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from answer_bytes import END, chunk
from misbehaving_server import WAYS, Closed, Connection, Request

# Interval at which a service checks whether it is to stop, in seconds.
STOP_POLL_S = 0.05
# Number of rows in one answer of the store.
MAX_ROWS = 500
# Number of slots in a server's row.
ROW_SLOTS = 4
# Number of models of the tests' configuration that fit into a runner's memory.
MAX_LOADED_MODELS = 2


class _Handler(BaseHTTPRequestHandler):
    """Passes each request to the owner of the server; writes no log."""

    protocol_version = "HTTP/1.1"

    def _body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def do_GET(self) -> None:
        self.server.owner.handle(self, self._body())

    do_POST = do_GET

    def log_message(self, *arguments) -> None:
        pass

    def answer(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def answer_json(self, status: int, value: object) -> None:
        self.answer(status, json.dumps(value).encode(), {"Content-Type": "application/json"})

    def drop(self) -> None:
        """Closes the connection without an answer."""
        self.close_connection = True
        self.connection.shutdown(2)


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def __init__(self, *arguments) -> None:
        self._open_sockets: set[socket.socket] = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address) -> None:
        self._open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request) -> None:
        self._open_sockets.discard(request)
        super().shutdown_request(request)

    def end_connections(self) -> None:
        """Ends all open connections, as the end of a process does."""
        for connection in list(self._open_sockets):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def handle_error(self, request, client_address) -> None:
        """Ignores errors of a connection: tests make peers close connections early."""


class _Service:
    """An HTTP server on a free loopback port."""

    def __init__(self) -> None:
        self.lock = threading.Condition()
        self._server = _Server(("127.0.0.1", 0), _Handler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        self._serve()

    def _serve(self) -> None:
        self._server.owner = self
        threading.Thread(target=self._server.serve_forever, args=(STOP_POLL_S,),
                         daemon=True).start()

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


class Store(_Service):
    """The platform's store: rows with versions, and the history for change feeds."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict] = {}
        self.history: list[dict] = []
        self.version = 0
        self.oldest = 0
        self.refuse = False
        self.lose_answers = False
        self.delay_s = 0.0
        super().__init__()

    def put(self, table: str, key: str, value: object) -> None:
        """Writes a row unconditionally, as the operator or a backend server does."""
        with self.lock:
            self._write(table, key, base64.b64encode(json.dumps(value).encode()).decode())
            self.lock.notify_all()

    def remove(self, table: str, key: str) -> None:
        with self.lock:
            self._remove(table, key)
            self.lock.notify_all()

    def _remove(self, table: str, key: str, part: str = "") -> None:
        self.version += 1
        self.rows.pop((table, key), None)
        self.history.append({"table": table, "part": part, "key": key,
                             "row_version": self.version, "tombstone": True})

    def forget_history(self) -> None:
        with self.lock:
            self.oldest = self.version
            self.history.clear()

    def get(self, table: str, key: str) -> dict | None:
        with self.lock:
            row = self.rows.get((table, key))
            return json.loads(base64.b64decode(row["value"])) if row else None

    def _write(self, table: str, key: str, value: str, part: str = "") -> None:
        self.version += 1
        row = {"table": table, "part": part, "key": key, "value": value,
               "row_version": self.version}
        self.rows[(table, key)] = row
        self.history.append(row)

    def handle(self, call: _Handler, body: bytes, rewrite_answer=lambda value: value) -> None:
        """Answers a call; `rewrite_answer` changes the answer before it is sent."""
        if self.refuse:
            call.answer_json(503, {})
            return
        time.sleep(self.delay_s)
        parts = urlsplit(call.path)
        query = {name: values[0] for name, values in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        status, value = {"/rows-get": self._get, "/rows-feed": self._feed,
                         "/rows-tx": self._transaction}[parts.path](query, body)
        if self.lose_answers:
            call.drop()
            return
        call.answer_json(status, rewrite_answer(value))

    def _version_and_time(self) -> dict:
        return {"row_version": self.version, "now_ms": int(time.monotonic() * 1000)}

    def _get(self, query: dict, _: bytes) -> tuple[int, dict]:
        with self.lock:
            rows = [row for (table, key), row in sorted(self.rows.items())
                    if table == query["table"] and row["part"] == query["part"]
                    and key >= query.get("from", "")
                    and ("to" not in query or key < query["to"])]
            limit = int(query.get("limit", MAX_ROWS))
            return 200, {"rows": rows[:limit], "truncated": len(rows) > limit,
                         **self._version_and_time()}

    def _feed(self, query: dict, _: bytes) -> tuple[int, dict]:
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.lock:
            while True:
                if after < self.oldest:
                    return 410, {}
                rows = [row for row in self.history
                        if row["table"] == query["table"] and row["row_version"] > after]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, {"rows": rows, **self._version_and_time()}
                self.lock.wait(left)

    def _transaction(self, _: dict, body: bytes) -> tuple[int, dict]:
        call = json.loads(body)
        with self.lock:
            for expected in call["expected"]:
                row = self.rows.get((expected["table"], expected["key"]))
                if (row["row_version"] if row else 0) != expected["row_version"]:
                    return 412, {"rows": [row] if row else [], **self._version_and_time()}
            for write in call["writes"]:
                self._write(write["table"], write["key"], write["value"], write["part"])
            for removed in call["remove"]:
                self._remove(removed["table"], removed["key"], removed["part"])
            self.lock.notify_all()
            return 200, self._version_and_time()


class StoreEndpoint(_Service):
    """An address of the store for one instance, so that its calls alone can be refused."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.refuse = False
        # Seconds before a call for the rows of a table is answered, by the table's name.
        self.delays_s: dict[str, float] = {}
        self.rewrite_hub_address = None
        self.calls: list[str] = []
        # Arrival time, path and answer status of each call.
        self.answers: list[tuple[float, str, int]] = []
        super().__init__()

    def handle(self, call: _Handler, body: bytes) -> None:
        self.calls.append(call.path)
        received_at = time.monotonic()
        path = call.path
        send_answer = call.answer

        def answer(status: int, *rest) -> None:
            self.answers.append((received_at, path, status))
            send_answer(status, *rest)

        call.answer = answer
        table = parse_qs(urlsplit(path).query).get("table", [""])[0]
        time.sleep(self.delays_s.get(table, 0))
        if self.refuse:
            call.answer_json(503, {})
        else:
            self.store.handle(call, body, self._rewrite_answer)

    def _rewrite_answer(self, value: dict) -> dict:
        """Replaces the hub's address in an answer by `rewrite_hub_address(address)`."""
        if self.rewrite_hub_address is None:
            return value
        rows = [self._rewrite_hub_row(row) for row in value.get("rows", [])]
        return {**value, "rows": rows} if rows else value

    def _rewrite_hub_row(self, row: dict) -> dict:
        if row.get("table") != "carawayturn" or "value" not in row:
            return row
        hub = json.loads(base64.b64decode(row["value"]))
        if not hub["address"]:
            return row
        hub["address"] = self.rewrite_hub_address(hub["address"])
        return {**row, "value": base64.b64encode(json.dumps(hub).encode()).decode()}


class BackendServer(_Service):
    """A backend server: a runner if `models` is given, otherwise a server of a plain service."""

    def __init__(self, store: Store, name: str, service: str,
                 models: list[str] | None = None, public_address=None, zone: str = "a") -> None:
        """`public_address` maps the server's address to the one in its store row."""
        super().__init__()
        self.public_address = public_address(self.address) if public_address else self.address
        self.store = store
        self.name = name
        self.service = service
        self.zone = zone
        # Version of the server's software in its row; a row without one has None.
        self.version: object = "v1"
        self.models = {model: [] for model in models or []}
        self.is_runner = models is not None
        self.order_count = 0
        self.orders: list[dict] = []
        # Seconds by which each of the next orders is delayed; the last element is used first.
        self.order_delays_s: list[float] = []
        self.memory_overcommits: list[list[str]] = []
        self.ran: list[dict] = []
        self.mode = "good"
        # Name of the function in misbehaving_server.WAYS that answers requests, if any, and the
        # state that these functions keep.
        self.way = ""
        self.copies: dict[Connection, bytes] = {}
        self.unbounded: list[str] = []
        # Seconds to wait before an answer, and before each event of a stream.
        self.answer_delay_s = 0.0
        self.event_delay_s = 0.0
        # The slots in which requests run, if they are limited. Other requests wait, and answers
        # report the load and a usual pace.
        self.slots: threading.Semaphore | None = None
        # Requests at the server, running and waiting, and their largest number so far.
        self.requests = 0
        self.most_requests = 0
        # Seconds between the two halves of the body of a plain answer.
        self.body_delay_s = 0.0
        # Seconds of silence before an event of a stream that is not resumed, by its number.
        self.silences_s: dict[int, float] = {}
        # Seconds to wait before the head of the answer to a resumed stream.
        self.resume_delay_s = 0.0
        # Whether streams are sent in chunks and with a Content-Type. Without, a stream ends with
        # its connection.
        self.framed_streams = True
        # Whether every answer carries the Server-Leaving header.
        self.leaving = False
        # Ids of the requests whose answers carried that header.
        self.leaving_request_ids: list[str] = []
        # Retry-After values with which the next requests are refused, one value for each request.
        self.pauses: list[str] = []
        # If not empty, the Retry-After value with which all requests are refused.
        self.pausing = ""
        # Time and Retry-After value of each refusal with a pause.
        self.sent_pauses: list[tuple[float, str]] = []
        # Ids of the requests that were refused with a pause, in the order of `sent_pauses`.
        self.paused_request_ids: list[str] = []
        # Time and path of each call that arrived: requests, report calls and orders.
        self.calls: list[tuple[float, str]] = []
        # Time and id of each request that arrived, whether it ran or not.
        self.arrivals: list[tuple[float, str]] = []
        self.born = int(time.time() * 1000)
        self.record()

    def restart(self) -> None:
        """Simulates a restart: the same id with a new start time, no models and no orders."""
        with self.lock:
            self.models = {}
            self.order_count = 0
            self.born = int(time.time() * 1000)
            self.leaving = False
            self.leaving_request_ids = []
            self.sent_pauses, self.paused_request_ids = [], []
        self.record()

    def record(self, state: str = "ready") -> None:
        """Writes the server's row to the store."""
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.public_address, "zone": self.zone,
            "slots": ROW_SLOTS,
            "state": state, "seq": 1, "born": self.born, "models": self._models(),
            **({} if self.version is None else {"version": self.version})})

    def _models(self) -> list[dict]:
        return [{"name": name, "version": 1, "adapters": adapters}
                for name, adapters in self.models.items()]

    def handle(self, call: _Handler, body: bytes) -> None:
        self.calls.append((time.monotonic(), call.path))
        if self.leaving:
            end_headers = call.end_headers

            def end_headers_with_leaving() -> None:
                call.send_header("Server-Leaving", "1")
                self.leaving_request_ids.append(call.headers.get("X-Request-Id"))
                end_headers()

            call.end_headers = end_headers_with_leaving
        self._answer(call, body)
        call.__dict__.pop("end_headers", None)

    def _answer(self, call: _Handler, body: bytes) -> None:
        if call.headers.get("X-Expect-Instance") not in (None, self.name):
            call.answer(421, b"", {"X-Instance-Id": self.name})
        elif call.path == "/report":
            call.answer_json(200, {"models": self._models(), "busy": False,
                                   "seq": self.order_count, "born": self.born})
        elif call.path == "/order":
            self._order(call, json.loads(body))
        else:
            self._run(call, body)

    def _order(self, call: _Handler, order: dict) -> None:
        if self.order_delays_s:
            time.sleep(self.order_delays_s.pop())
        with self.lock:
            self.orders.append(order)
            if order["expected"] != self.order_count:
                call.answer_json(409, {})
                return
            self.order_count += 1
            if "adapter" in order and order["op_type"] == "model_load":
                self.models[order["model"]].append(order["adapter"])
            elif "adapter" in order:
                self.models[order["model"]].remove(order["adapter"])
            elif order["op_type"] == "model_load":
                self.models[order["model"]] = []
                if len(self.models) > MAX_LOADED_MODELS:
                    self.memory_overcommits.append(sorted(self.models))
            else:
                self.models.pop(order["model"], None)
        call.answer_json(202, {})

    def _run(self, call: _Handler, body: bytes) -> None:
        request_id = call.headers.get("X-Request-Id")
        headers = {"X-Request-Id": request_id}
        self.arrivals.append((time.monotonic(), request_id))
        if self.pauses or self.pausing:
            pause = self.pauses.pop(0) if self.pauses else self.pausing
            with self.lock:
                self.sent_pauses.append((time.monotonic(), pause))
                self.paused_request_ids.append(request_id)
            call.answer(503, b"", {**headers, "X-Not-Executed": "1", "Retry-After": pause})
            return
        model = call.headers.get("X-Model")
        resumed = "Last-Event-Id" in call.headers
        if self.mode == "busy":
            # A 503 answer that does not say whether the request ran.
            call.answer(503, b"", {**headers, "X-Server-Seal": "s"})
            return
        if self.mode == "full" or (self.mode in ("break_shed", "shed_resumed") and resumed):
            call.answer(503, b"", {**headers, "X-Not-Executed": "1"})
            return
        if self.is_runner and model and model.split("/")[0] not in self.models:
            call.answer(421, b"", {**headers, "X-Instance-Id": self.name})
            return
        with self.lock:
            self.ran.append({"id": request_id, "path": call.path, "body": body,
                             "headers": dict(call.headers), "server": self.name,
                             "at": time.monotonic()})
        self._work(headers)
        if self.way:
            self._misbehave(call, body)
        elif self.mode == "reset":
            call.drop()
        elif self.mode == "error" or (self.mode == "break_fail" and resumed):
            call.answer(500, b"failed", {**headers, "X-Server-Seal": "s"})
        elif self.is_runner:
            self._stream(call, headers)
        else:
            self._plain_answer(call, headers)

    def _work(self, headers: dict[str, str]) -> None:
        """Waits for a slot if they are limited, and for the time that the answer takes."""
        if self.slots is None:
            time.sleep(self.answer_delay_s)
            return
        with self.lock:
            self.requests += 1
            self.most_requests = max(self.most_requests, self.requests)
        with self.slots:
            time.sleep(self.answer_delay_s)
        with self.lock:
            self.requests -= 1
            running = min(self.requests, ROW_SLOTS)
            headers["X-Server-Load"] = f"{running},{self.requests - running},{ROW_SLOTS},100"

    def _plain_answer(self, call: _Handler, headers: dict[str, str]) -> None:
        body = b"done by " + self.name.encode()
        headers = {**headers, "X-Server-Seal": "s"}
        if not self.body_delay_s:
            call.answer(200, body, headers)
            return
        call.send_response(200)
        for name, value in {**headers, "Content-Length": str(len(body))}.items():
            call.send_header(name, value)
        call.end_headers()
        call.wfile.write(body[:4])
        call.wfile.flush()
        time.sleep(self.body_delay_s)
        call.wfile.write(body[4:])

    def count(self, _: int) -> None:
        """Called with the number of bytes sent by a function of WAYS; ignored here."""

    def _misbehave(self, call: _Handler, body: bytes) -> None:
        connection = call.__dict__.setdefault("raw", Connection(self, call.connection))
        # The body has been read already; functions of WAYS that read it take it from here.
        connection.pending = body
        request = Request(call.command, call.path,
                          {name.lower(): value for name, value in call.headers.items()}, body,
                          b"done by " + self.name.encode())
        try:
            WAYS[self.way](connection, request)
        except Closed:
            call.close_connection = True

    def silences_of(self, _request_id: str, first: int) -> dict[int, float]:
        """Returns the seconds of silence before the events of a run, by the events' numbers."""
        return self.silences_s if first == 1 else {}

    def _stream(self, call: _Handler, headers: dict[str, str]) -> None:
        first = int(call.headers.get("Last-Event-Id") or 0) + 1
        silences = self.silences_of(headers["X-Request-Id"], first)
        time.sleep(self.resume_delay_s if first > 1 else 0.0)
        framing = {"Content-Type": "text/event-stream",
                   "Transfer-Encoding": "chunked"} if self.framed_streams else {}
        call.send_response(200)
        for name, value in {**headers, "X-Server-Seal": "s", **framing}.items():
            call.send_header(name, value)
        call.end_headers()
        self._send_events(call, first, silences)

    def _send_events(self, call: _Handler, first: int, silences: dict[int, float]) -> None:
        for number in range(first, 6):
            if self.mode.startswith("break") and number == 3:
                self._send_piece(call, b"id: 3\nda")
                call.wfile.flush()
                call.drop()
                return
            time.sleep(self.event_delay_s + silences.get(number, 0.0))
            self._send_piece(call, b"id: %d\ndata: %d\n\n" % (number, number))
        if self.framed_streams:
            call.wfile.write(END)
        else:
            call.close_connection = True

    def _send_piece(self, call: _Handler, piece: bytes) -> None:
        call.wfile.write(chunk(piece) if self.framed_streams else piece)
