"""A fixture for streams of a service whose runners have different software versions.

Each runner writes its version into the data of its events, so that a stream that goes on at
another version shows in what the caller received.
"""

from __future__ import annotations

import http.client
import itertools
import select
import socket
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import END, STREAM, chunk, head  # noqa: E402
from entry_fleet import HANG_LIMIT_S, Instance, configuration, wait_until  # noqa: E402
from misbehaving_server import Closed, Connection, MisbehavingServer, Request  # noqa: E402
from platform_fleet import Store  # noqa: E402

# Settings with which the retry budget covers every further run of a test. Each instance has an
# equal part of it, counts 16 instances at first, and begins with half of its part.
RETRIES = "bounds.budget_slack=5000\n"
# Number of a stream's last event, and of the last one that a runner sends before it does to a new
# stream what the test selected.
LAST_EVENT = 5
BEGUN_EVENTS = 2
# A refusal that takes longer means that the request waited. An idle instance refuses within some
# ms; the bound leaves room for a busy machine, and the requests may wait for 30 s.
REFUSAL_LIMIT_S = 2.0
# How long a caller takes a stream up again after refusals, as an instance that has just started
# may lack what it needs.
TAKE_UP_LIMIT_S = 8.0
# Time after a stream's event within which instances must be able to take the stream up after a
# crash of all of them, with a margin for a busy machine.
KNOWN_AFTER_S = 1.0
# Stands for a row without a version.
ABSENT = object()

request_numbers = itertools.count(1)


class VersionedRunner(MisbehavingServer):
    """A runner whose events carry its version."""

    recorded = False

    def __init__(self, store: Store, name: str, version: object, label: str = "") -> None:
        """`label` stands for the version in events, if the version itself cannot."""
        self.slots = 16
        # What a new stream does after BEGUN_EVENTS events: "goes on", "breaks off", or "holds"
        # until `released` is set.
        self.new_stream = "goes on"
        # What a stream that is resumed or taken up does: "goes on", "breaks off" before its head,
        # "breaks off late" there when `released` is set, "refused", or "holds" after one event
        # until `released` is set.
        self.resumed_stream = "goes on"
        self.released = threading.Event()
        self.event_pause_s = 0.0
        # Request id, number of the first event and label of each run.
        self.runs: list[tuple[str, int, str]] = []
        self._open_sockets: set[socket.socket] = set()
        super().__init__(store, name, "llm", ["m1"])
        self.version = version
        self.label = label or str(version)
        self.play(self.run_stream)
        self.recorded = True
        self.record()

    def record(self) -> None:
        """Writes the row, except from the base class's constructor, which knows no version."""
        if not self.recorded:
            return
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": "a", "slots": self.slots,
            "state": "ready", "seq": 1, "born": self.born,
            **({} if self.version is ABSENT else {"version": self.version}),
            "models": [{"name": name, "version": 1, "adapters": []} for name in self.models]})

    def return_as(self, version: str) -> None:
        """Ends all connections and serves under the same id with a new start time and another
        version. The row stays as it is until record() is called."""
        self.version, self.label = version, version
        self.born += 1000
        self.crash()

    def crash(self) -> None:
        """Ends all connections, as the end of the process does."""
        for stream_socket in list(self._open_sockets):
            try:
                stream_socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def leave(self) -> None:
        """Removes the row, ends all connections and accepts no more."""
        self.store.remove("servers", self.name)
        self.close()
        self.crash()

    def close(self) -> None:
        # Ends accept(), which a close of the descriptor alone does not.
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        super().close()

    def _serve(self, stream_socket: socket.socket) -> None:
        self._open_sockets.add(stream_socket)
        super()._serve(stream_socket)
        self._open_sockets.discard(stream_socket)

    def run_stream(self, connection: Connection, request: Request) -> None:
        if request.path == "/order":
            connection.send(head(request.id, "Content-Length: 0\r\n", 409))
            return
        label = self.label
        first = int(request.headers.get("last-event-id") or 0) + 1
        resumed = first > 1
        if resumed and self.resumed_stream == "refused":
            connection.send(head(request.id, "Content-Length: 0\r\nX-Not-Executed: 1\r\n", 503))
            return
        self.runs.append((request.id, first, label))
        if resumed and self.resumed_stream == "breaks off late":
            self.released.wait(HANG_LIMIT_S)
            connection.reset()
        if resumed and self.resumed_stream == "breaks off":
            connection.reset()
        connection.send(head(request.id, STREAM))
        for number in range(first, LAST_EVENT + 1):
            if not resumed and number == BEGUN_EVENTS + 1:
                self._interrupt(connection, lambda: self.new_stream)
            elif resumed and number == first + 1:
                self._interrupt(connection, lambda: self.resumed_stream)
            time.sleep(self.event_pause_s)
            connection.send(chunk(f"id: {number}\ndata: {number} {label}\n\n".encode()))
        connection.send(END)

    def _interrupt(self, connection: Connection, selected) -> None:
        while selected() == "holds" and not self.released.wait(0.05):
            readable, _, _ = select.select([connection.stream], [], [], 0)
            if readable:
                connection.wait_for_close()
        if selected() == "breaks off":
            connection.finish()


class Attempt:
    """One request of a caller, read by a thread of its own."""

    def __init__(self, instance: Instance, headers: list[tuple[str, bytes]]) -> None:
        self.id = f"q{next(request_numbers)}"
        self.instance = instance
        self.status = 0
        # Number, version and arrival time of each event.
        self.events: list[tuple[int, str, float]] = []
        self.complete = False
        self.ended = threading.Event()
        self.sent_at = time.monotonic()
        self.elapsed = 0.0
        self._headers = headers
        self._connection = http.client.HTTPConnection("127.0.0.1", instance.front_port,
                                                      timeout=HANG_LIMIT_S)
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        try:
            self._exchange()
        except (OSError, http.client.HTTPException):
            pass
        finally:
            self.elapsed = time.monotonic() - self.sent_at
            self.ended.set()
            self._connection.close()

    def _exchange(self) -> None:
        # A path and a body of its own, so that a server's failures with one stream do not make
        # the instance refuse others as requests that crash servers.
        self._connection.putrequest("POST", f"/draft/{self.id}", skip_host=True)
        for name, value in (("Host", b"h.example"), ("X-Request-Id", self.id.encode()),
                            ("X-Model", b"m1"), ("Authorization", b"Token k1"),
                            ("Content-Length", b"%d" % len(self.id)), *self._headers):
            self._connection.putheader(name, value)
        self._connection.endheaders(self.id.encode())
        answer = self._connection.getresponse()
        self.status = answer.status
        pending = b""
        while piece := answer.read1(65536):
            *events, pending = (pending + piece).split(b"\n\n")
            for event in events:
                number, version = event.split(b"data: ")[1].decode().split(" ", 1)
                self.events.append((int(number), version, time.monotonic()))
        self.complete = self.status == 200

    def close(self) -> None:
        """Closes the connection, as a caller does that gives up."""
        stream_socket = self._connection.sock
        if stream_socket is not None:
            try:
                stream_socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def wait(self) -> Attempt:
        wait_until(self.ended.is_set, f"request {self.id} ends")
        return self


class CallerStream:
    """A stream as its caller sees it, over all attempts."""

    def __init__(self, instance: Instance, resumes: list[bytes] | None = None) -> None:
        """`resumes` are the values of Resumes headers, which a new stream does not have."""
        self.attempts = [Attempt(instance, [("Resumes", name) for name in resumes or []])]

    @property
    def id(self) -> str:
        return self.attempts[0].id

    def events(self) -> list[tuple[int, str, float]]:
        return [event for attempt in self.attempts for event in attempt.events]

    def numbers(self) -> list[int]:
        return [number for number, _, _ in self.events()]

    def versions(self) -> set[str]:
        return {version for _, version, _ in self.events()}

    def version(self) -> str:
        """Returns the version that began the stream."""
        return self.events()[0][1]

    def begun(self) -> bool:
        return len(self.events()) >= BEGUN_EVENTS or self.attempts[-1].ended.is_set()

    def close(self) -> None:
        self.attempts[-1].close()
        self.attempts[-1].wait()

    def begin_take_up(self, instance: Instance) -> Attempt:
        self.attempts.append(self._take_up(instance, [self.id.encode()]))
        return self.attempts[-1]

    def try_take_up(self, instance: Instance) -> Attempt:
        """Takes the stream up with one request."""
        return self.begin_take_up(instance).wait()

    def try_take_up_as(self, instance: Instance, resumes: list[bytes]) -> Attempt:
        """Sends a request that takes this stream up with these values of the Resumes headers. It
        does not become part of the stream, whose next attempt goes on after the same event."""
        return self._take_up(instance, resumes).wait()

    def _take_up(self, instance: Instance, resumes: list[bytes]) -> Attempt:
        return Attempt(instance, [("Last-Event-Id", b"%d" % self.numbers()[-1]),
                                  *(("Resumes", name) for name in resumes)])

    def take_up(self, instance: Instance) -> Attempt:
        """Takes the stream up, and again after each failure."""
        end = time.monotonic() + TAKE_UP_LIMIT_S
        while True:
            attempt = self.try_take_up(instance)
            if attempt.complete or time.monotonic() > end:
                return attempt
            time.sleep(0.1)

    def whole(self) -> bool:
        return (self.numbers() == list(range(1, LAST_EVENT + 1)) and len(self.versions()) == 1
                and self.attempts[-1].complete)

    def __repr__(self) -> str:
        return f"{self.id}: " + ", ".join(
            f"{attempt.status} {[event[:2] for event in attempt.events]}"
            f"{'' if attempt.complete else ' cut'}" for attempt in self.attempts)


class StreamVersionCase(unittest.TestCase):
    """Runs one store, the runners of `versions` and the instances n1 and n2."""

    versions: tuple[object, ...] = ("v1", "v1", "v2", "v2")
    # Five times this long without an event is a server's silence. Streams that a runner holds
    # stay with it, by default.
    gap_target_ms = 10_000

    def setUp(self) -> None:
        self.store = self.create_store()
        self.addCleanup(self.store.close)
        config = configuration(1, ["k1"], ("m1",))
        draft = next(route for route in config["routes"] if route["name"] == "draft")
        draft.update(max_attempts=3, timeout_ms=30_000, gap_target_ms=self.gap_target_ms)
        self.store.put("op", "config", config)
        self.runners: list[VersionedRunner] = []
        for number, version in enumerate(self.versions):
            self.add_runner(f"r{number}", version)
        self.instances: list[Instance] = []
        for name in ("n1", "n2"):
            instance = self.create_instance(name)
            self.addCleanup(instance.close)
            self.instances.append(instance)
        self.first, self.other = self.instances
        self.wait_until_serving()

    def create_store(self) -> Store:
        return Store()

    def create_instance(self, name: str) -> Instance:
        return Instance(self.store, name, more_settings=RETRIES)

    def wait_until_serving(self, *instances: Instance) -> None:
        """Waits until these instances, or all, know the runners in the store's rows."""
        for instance in instances or self.instances:
            rows = [key for table, key in list(self.store.rows) if table == "servers"]
            instance.wait_until_serving(servers=len(rows))

    def add_runner(self, name: str, version: object, label: str = "") -> VersionedRunner:
        runner = VersionedRunner(self.store, name, version, label)
        self.addCleanup(runner.close)
        self.addCleanup(runner.crash)
        self.runners.append(runner)
        return runner

    def runners_of(self, version: str) -> list[VersionedRunner]:
        return [runner for runner in self.runners if runner.version == version]

    def restart_instances(self) -> None:
        """Kills all instances and starts them again."""
        self.kill_instances()
        self.start_instances()

    def kill_instances(self) -> None:
        for instance in self.instances:
            instance.process.kill()
        for instance in self.instances:
            instance.stop()

    def start_instances(self) -> None:
        for instance in self.instances:
            instance.start()
        self.wait_until_serving()

    def let_new_streams(self, what: str) -> None:
        for runner in self.runners:
            runner.new_stream = what

    def let_resumed_streams(self, what: str) -> None:
        for runner in self.runners:
            runner.resumed_stream = what

    def begin_streams(self, instance: Instance, count: int = 8) -> list[CallerStream]:
        """Begins streams, at least one of them at each version, that their runners hold after
        their first events."""
        self.let_new_streams("holds")
        streams = [self.begin_stream(instance) for _ in range(count)]
        # Servers that failed in an earlier part of the test get no requests for a while.
        end = time.monotonic() + HANG_LIMIT_S
        for label in {runner.label for runner in self.runners}:
            while all(stream.version() != label for stream in streams):
                self.assertLess(time.monotonic(), end, f"no stream begins at {label}")
                stream = self.begin_stream(instance)
                if stream.version() == label:
                    streams.append(stream)
                else:
                    stream.close()
                    time.sleep(0.1)
        return streams

    def begin_stream(self, instance: Instance) -> CallerStream:
        stream = CallerStream(instance)
        wait_until(stream.begun, "the stream begins")
        self.assertEqual(stream.numbers(), list(range(1, BEGUN_EVENTS + 1)), stream)
        return stream

    def break_streams(self, streams: list[CallerStream]) -> None:
        """Makes the runners break off these streams, which they hold, and new ones. Waits for the
        ends of the callers' streams."""
        self.let_new_streams("breaks off")
        for stream in streams:
            stream.attempts[0].wait()

    def assert_cut(self, streams: list[CallerStream]) -> None:
        """Checks that these streams have the events before the break alone and are not ended."""
        self.assertEqual([(stream.numbers(), stream.attempts[0].complete) for stream in streams],
                         [(list(range(1, BEGUN_EVENTS + 1)), False)] * len(streams), streams)

    def play_streams(self, instance: Instance, count: int = 8) -> list[CallerStream]:
        """Begins streams and waits for their ends."""
        streams = [CallerStream(instance) for _ in range(count)]
        for stream in streams:
            stream.attempts[0].wait()
        return streams

    def joined(self, streams: list[CallerStream]) -> list[CallerStream]:
        return [stream for stream in streams if len(stream.versions()) > 1]

    def assert_not_joined(self, streams: list[CallerStream]) -> None:
        joined = self.joined(streams)
        self.assertEqual(joined, [], f"{len(joined)} of {len(streams)} streams hold events of two"
                                     " versions")

    def assert_whole(self, streams: list[CallerStream]) -> None:
        self.assert_not_joined(streams)
        self.assertEqual([stream for stream in streams if not stream.whole()], [])

    def assert_refused_at_once(self, attempts: list[Attempt]) -> None:
        """Checks that these attempts got 503 without an event, most of them at once."""
        self.assertEqual([(attempt.status, attempt.events) for attempt in attempts],
                         [(503, [])] * len(attempts))
        elapsed = sorted(attempt.elapsed for attempt in attempts)
        self.assertLess(elapsed[len(elapsed) // 2], REFUSAL_LIMIT_S, elapsed)
