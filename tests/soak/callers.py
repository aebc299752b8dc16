"""Callers that reuse keep-alive connections until the instance closes them."""

from __future__ import annotations

import http.client
import itertools
import random
import re
import threading
import time
from collections.abc import Iterable
from dataclasses import dataclass, field

from entry_fleet import Instance

CALLER_TIMEOUT_S = 12
# The time that each request allows for its answer.
DEADLINE_S = 6.0
# An instance ends its work on a request this long before the deadline (`answer_margin`).
DEADLINE_MARGIN_S = 0.02
# Caller styles: maximum pause within a request and maximum pause between requests, in seconds.
STYLES = {"brisk": (0.0, 0.04), "halves": (1.2, 0.04), "idle": (0.0, 5.0), "streams": (0.0, 0.2)}
KINDS = ("book", "book", "status", "draft", "draft", "open")
# Pause of a caller that waits when it is refused before it opens its next connection.
CONNECT_PAUSE_S = 0.1
MAX_REQUESTS_ON_A_CONNECTION = 40
# A caller whose stream broke off takes it up again up to this many times, after a random pause.
MAX_TAKE_UPS = 3
TAKE_UP_PAUSE_S = (0.05, 1.5)
LAST_EVENT = 5
# Probability that the connection of such a caller breaks off after a piece of a stream.
BREAK_SHARE = 0.05
# A whole event: its number, and the version of the server's software if it is stated.
EVENT = re.compile(rb"id: (\d+)\ndata: \d+(?: (\w+))?\n\n")
EXPECTED_STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))


def events_of(body: bytes) -> list[tuple[int, str]]:
    """Returns the number and the server's version of each whole event."""
    return [(int(number), version.decode()) for number, version in EVENT.findall(body)]


@dataclass
class Call:
    """One request and the result that its caller received."""

    request_id: str
    kind: str
    key: str
    instance: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    # Process id of the instance at the other end of the connection.
    process: int = 0
    # Whether the whole request was written to the socket.
    written: bool = False
    ended_at: float = 0.0
    # The exception that ended the connection early, as text.
    failure: str = ""
    model: str = ""
    # For a call that takes a stream up again: the id of the call that brought the first event, and
    # the last event that the caller has.
    resumes: str = ""
    last_event_id: int = 0
    # Whether the caller closed its connection in the middle of the stream.
    broken_off: bool = False


class Connection(http.client.HTTPConnection):
    """A connection that records the process it reached and can pause within a request."""

    def __init__(self, instance: Instance) -> None:
        super().__init__("127.0.0.1", instance.front_port, timeout=CALLER_TIMEOUT_S)
        self._instance = instance
        self.process = 0
        self.pause_s = 0.0

    def connect(self) -> None:
        super().connect()
        # A new process can listen on the port only after the previous one has ended, so an open
        # connection belongs to the current process.
        self.process = self._instance.process.pid

    def send(self, data: bytes) -> None:
        if self.pause_s:
            half = len(data) // 2
            super().send(data[:half])
            time.sleep(self.pause_s)
            data = data[half:]
        super().send(data)


class Caller:
    """A thread that sends requests one after another until it is stopped."""

    models = ("m1", "m1", "m2", "m3")

    def __init__(self, name: str, seed: int, instances: list[Instance], keys,
                 style: str = "brisk", waits_when_refused: bool = False) -> None:
        """Starts the thread; `keys` returns the API keys to choose from for the next request.

        A caller with `waits_when_refused` waits as Retry-After says, and after a refused
        connection. Many callers that do not wait take the processor time of the stand-ins, which
        share their process."""
        self.calls: list[Call] = []
        self._name = name
        self._random = random.Random(seed)
        self._instances = instances
        self._keys = keys
        self._pause_within, self._pause_between = STYLES[style]
        # A caller of streams uses each connection until the instance closes it.
        self._only_streams = style == "streams"
        self._waits_when_refused = waits_when_refused
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._stop.set()
        self._thread.join(4 * CALLER_TIMEOUT_S)
        assert not self._thread.is_alive(), f"caller {self._name} hangs"

    def _run(self) -> None:
        while not self._stop.is_set():
            instance = self._random.choice(self._instances)
            connection = Connection(instance)
            try:
                if self._pause_between > 1:
                    # Keeps the connection idle before its first request.
                    connection.connect()
                    self._stop.wait(self._random.uniform(0.0, self._pause_between))
                for _ in self._request_numbers():
                    if self._stop.is_set() or not self._call(connection, instance):
                        break
                    self._stop.wait(self._random.uniform(0.005, self._pause_between))
                    self._wait_if_refused(self.calls[-1])
            except OSError:
                pass
            finally:
                connection.close()
            time.sleep(CONNECT_PAUSE_S if self._waits_when_refused else 0.01)

    def _wait_if_refused(self, call: Call) -> None:
        if self._waits_when_refused:
            self._stop.wait(float(call.headers.get("retry-after", 0)))

    def _request_numbers(self) -> Iterable[int]:
        if self._only_streams:
            return itertools.count()
        return range(self._random.randint(1, MAX_REQUESTS_ON_A_CONNECTION))

    def _call(self, connection: Connection, instance: Instance) -> bool:
        """Sends a request; returns whether the connection can be used for another one."""
        kind = "draft" if self._only_streams else self._random.choice(KINDS)
        call = Call(f"{self._name}-{len(self.calls)}", kind, self._random.choice(self._keys()),
                    instance.name, time.monotonic())
        self.calls.append(call)
        if kind == "draft":
            call.model = self._random.choice(self.models)
        if self._pause_within:
            connection.pause_s = self._random.choice([0.0, self._pause_within *
                                                      self._random.random()])
        return self._send(connection, call)

    def _send(self, connection: Connection, call: Call) -> bool:
        """Sends a call; returns whether the connection can be used for another one."""
        headers = {"Host": "h.example", "X-Request-Id": call.request_id,
                   "X-Deadline-Ms": str(round(1000 * DEADLINE_S)),
                   "Authorization": f"Token {call.key}"}
        if call.kind == "draft":
            headers |= {"X-Model": call.model, "X-Token-Count": "300,20"}
        if call.resumes:
            headers |= {"Last-Event-Id": str(call.last_event_id), "Resumes": call.resumes}
        try:
            connection.request("GET" if call.kind == "status" else "POST", f"/{call.kind}/a",
                               b"x", headers)
            call.written = True
            answer = connection.getresponse()
            call.status = answer.status
            call.headers = {name.lower(): value for name, value in answer.getheaders()}
            while piece := answer.read1(65536):
                call.body += piece
                if self._breaks_off(call):
                    call.broken_off = True
                    connection.close()
                    return False
            # http.client keeps a response open after its body was read with read1(), and the
            # next request on the connection would fail.
            answer.close()
            # read1() reports a body that ends before its Content-Length as a normal end, so the
            # length is compared here.
            call.whole = len(call.body) == int(call.headers.get("content-length",
                                                                len(call.body)))
            return call.headers.get("connection", "").lower() != "close"
        except (OSError, http.client.HTTPException) as failure:
            call.failure = repr(failure)
            return False
        finally:
            call.process = connection.process
            call.ended_at = time.monotonic()

    def _breaks_off(self, call: Call) -> bool:
        return False


class ResumingCaller(Caller):
    """A caller that takes a stream that broke off up again, at the same or another instance."""

    # Both models fit into the memory of one runner.
    models = ("m1", "m1", "m1", "m2")

    def _call(self, connection: Connection, instance: Instance) -> bool:
        is_usable = super()._call(connection, instance)
        first = call = self.calls[-1]
        events = events_of(first.body)
        for _ in range(MAX_TAKE_UPS):
            if call.whole and call.status == 200 or not events or self._stop.wait(
                    self._random.uniform(*TAKE_UP_PAUSE_S)):
                break
            call = self._take_up(first, events[-1][0])
            events += events_of(call.body)
            is_usable = False
        return is_usable

    def _breaks_off(self, call: Call) -> bool:
        """Whether the caller's connection breaks off after the events that have arrived."""
        return (call.kind == "draft" and len(events_of(call.body)) in range(1, LAST_EVENT)
                and self._random.random() < BREAK_SHARE)

    def _take_up(self, first: Call, last_event_id: int) -> Call:
        instance = self._random.choice(self._instances)
        call = Call(f"{self._name}-{len(self.calls)}", first.kind,
                    self._random.choice(self._keys()), instance.name, time.monotonic(),
                    model=first.model, resumes=first.request_id, last_event_id=last_event_id)
        self.calls.append(call)
        connection = Connection(instance)
        try:
            self._send(connection, call)
        finally:
            connection.close()
        return call
