"""Tests an instance process whose servers all send bytes that it has to hold, at the same time.

Each answer keeps to its own limit. The test sets a low memory limit for the process, which the
answers must not exhaust together.
"""

from __future__ import annotations

import http.client
import socket
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import CHUNKED, STREAM, chunk, event, head  # noqa: E402
from entry_fleet import (  # noqa: E402
    FREED_MEMORY_IS_HELD, HANG_LIMIT_S, Instance, configuration, wait_until)
from misbehaving_server import (  # noqa: E402
    PIECE, Connection, MisbehavingServer, Request, long_answer, stream)
from platform_fleet import Store  # noqa: E402

MEMORY_MB = 16
# Callers of one test, and servers that serve them; each server takes several requests at once.
CALLERS = 120
SERVERS = 12
REPORTING_RUNNERS = 30
# Below the limit for one event (256 KB).
LONG_EVENT = 200_000
# Below the length up to which an answer is buffered (64 KB).
BODY = b"a" * 60_000
# Enough time for several reports of each runner.
REPORTING_S = 4.0
# Time without growth after which the memory of an instance counts as steady.
STEADY_S = 0.5


class EndlessReporter(MisbehavingServer):
    """A runner whose reports end only after the test has made them."""

    endless = False

    def _answer(self, connection: Connection, request: Request) -> None:
        if self.endless and request.path == "/report":
            connection.send(head(request.id, CHUNKED))
            connection.repeat(chunk(b"a" * PIECE))
        super()._answer(connection, request)


class AnswerMemoryTest(unittest.TestCase):
    """Starts a store and one instance with a low memory limit; each test adds servers."""

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"], ("m1",))
        for route in config["routes"]:
            route.update(resumable=False, max_attempts=1)
        self.store.put("op", "config", config)
        self.servers: list[MisbehavingServer] = []
        self.callers: list[socket.socket] = []
        self.instance = Instance(self.store, "n1",
                                 more_settings=f"limits.memory_mb={MEMORY_MB}\n")

    def tearDown(self) -> None:
        self.leave()
        self.instance.close()
        for service in (*self.servers, self.store):
            service.close()

    def add_servers(self, servers: list[MisbehavingServer]) -> None:
        self.servers += servers
        self.instance.wait_until_serving(servers=len(self.servers))

    def leave(self) -> None:
        """Closes the connections of the callers that call() opened."""
        while self.callers:
            self.callers.pop().close()

    def call(self, route: str, number: int) -> None:
        """Sends a request whose answer is not read."""
        caller = socket.create_connection(("127.0.0.1", self.instance.front_port), HANG_LIMIT_S)
        caller.sendall(f"POST /{route}/{number} HTTP/1.1\r\nHost: h.example\r\n"
                       f"X-Request-Id: held-{number}\r\nX-Model: m1\r\n"
                       "Authorization: Token k1\r\nContent-Length: 1\r\n\r\nx".encode())
        self.callers.append(caller)

    def assert_memory_limit_is_kept(self) -> None:
        self.assertIsNone(self.instance.process.poll(), "the process is running")
        if not FREED_MEMORY_IS_HELD:
            self.assertLess(self.instance.memory_peak(), MEMORY_MB * 1024 * 1024)

    def hold_streams(self, *whole_events: bytes) -> list[MisbehavingServer]:
        """Opens streams that hold a part of an event each, after these whole events. Returns the
        runners once the instance has read that part of each stream or closed its connection,
        which it does if it has no memory for it."""
        ended: list[str] = []

        def event_without_end(connection: Connection, request: Request) -> None:
            try:
                connection.send(head(request.id, STREAM) +
                                b"".join(map(chunk, whole_events)) + chunk(b"d" * LONG_EVENT))
            finally:
                ended.append(request.id)
            connection.wait_for_close()

        runners = [MisbehavingServer(self.store, f"r{number}", "llm", ["m1"])
                   for number in range(SERVERS)]
        for runner in runners:
            runner.play(event_without_end)
        self.add_servers(runners)
        for number in range(CALLERS):
            self.call("draft", number)
        wait_until(lambda: len(ended) == CALLERS, "the runners have sent their events")
        self.wait_until_memory_is_steady()
        return runners

    def wait_until_memory_is_steady(self) -> None:
        """Waits until the instance has read what lies in the system's buffers. Where freed memory
        is held, the memory grows with all that an instance does, and its peak is not checked."""
        if FREED_MEMORY_IS_HELD:
            time.sleep(STEADY_S)
            return
        peaks: list[int] = []

        def is_steady() -> bool:
            time.sleep(STEADY_S)
            peaks.append(self.instance.memory_peak())
            return len(peaks) > 1 and peaks[-1] == peaks[-2]

        wait_until(is_steady, "the memory is steady")

    def test_reports_of_many_runners_without_end_keep_the_memory_limit(self) -> None:
        """Guards against reports that are each held up to a limit of megabytes: 30 runners took
        120 MB of a process that has 160 to 180 MB."""
        runners = [EndlessReporter(self.store, f"r{number}", "llm", ["m1"])
                   for number in range(REPORTING_RUNNERS)]
        self.add_servers(runners)
        for runner in runners:
            runner.endless = True
        wait_until(lambda: all(runner.sent > PIECE for runner in runners),
                   "each runner was asked for a report")
        time.sleep(REPORTING_S)
        self.assert_memory_limit_is_kept()
        self.assertEqual([runner.unbounded for runner in runners], [[]] * len(runners))

    def test_events_without_end_in_many_streams_keep_the_memory_limit(self) -> None:
        """Guards against streams that each hold the part of an event within its limit, and
        together fill the memory of the process."""
        self.hold_streams(event(1))
        self.assert_memory_limit_is_kept()

    def test_first_events_without_end_in_many_streams_keep_the_memory_limit(self) -> None:
        """Guards against the same before the stream has reached its caller."""
        self.hold_streams()
        self.assert_memory_limit_is_kept()

    def test_sound_answers_are_served_while_others_hold_the_memory(self) -> None:
        """Guards against sound servers' answers that fail because faulty ones hold all memory:
        short events need none of it, and a long answer is forwarded as it arrives."""
        runners = self.hold_streams(event(1))
        for runner in runners:
            runner.play(stream)
        received, complete, _ = self.instance.stream("/draft/sound", "m1", "sound")
        self.assertEqual((received, complete),
                         (b"".join(event(number) for number in range(1, 6)), True))
        plain = MisbehavingServer(self.store, "p1", "plain")
        self.add_servers([plain])
        plain.play(long_answer(f"Content-Length: {len(BODY)}\r\n", BODY, cut=False))
        self.assertEqual(self.instance.request("/book/a")[:2], (200, BODY))

    def test_memory_is_available_again_after_the_callers_have_left(self) -> None:
        """Guards against memory that stays reserved: an answer that breaks off would reach its
        caller in part instead of becoming 502."""
        self.hold_streams(event(1))
        self.leave()
        plain = MisbehavingServer(self.store, "p1", "plain")
        self.add_servers([plain])
        plain.play(long_answer(f"Content-Length: {2 * len(BODY)}\r\n", 2 * BODY, cut=True))

        def is_buffered() -> bool:
            try:
                return self.instance.request("/book/a")[0] == 502
            except (OSError, http.client.HTTPException):
                return False

        wait_until(is_buffered, "a broken answer is buffered and replaced")


if __name__ == "__main__":
    unittest.main()
