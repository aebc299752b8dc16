"""Tests what a caller gets for a server's failure, whatever the length and framing of its body.

The statuses 408, 429 and 503 promise a caller that its request has not run. A server that has run
the request and answers with one of them gives no such promise.
"""

from __future__ import annotations

import http.client
import itertools
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import CHUNKED, END, STREAM, chunk, event, head  # noqa: E402
from entry_fleet import Instance, configuration, wait_until  # noqa: E402
from misbehaving_server import (  # noqa: E402
    PIECE, Connection, MisbehavingServer, Request, good, sends, stream)
from platform_fleet import Store  # noqa: E402

PROMISES = (408, 429, 503)
# Below, at and beyond the length up to which an answer is buffered (64 KB).
LENGTHS = (0, 1000, 65_536, 65_537, 100_000, 1_100_000)
ROUTES = {"book": {}, "status": {}, "draft": {"X-Model": "m1"}}
# The caller of an answer whose body does not end must not wait for the route's timeout (8 s).
PROMPT_S = 4.0
# Settings with which the retry budget covers every further run of a test.
RETRIES = "bounds.budget_slack=200\n"
SERVERS = 2
REQUESTS = 40


def failure(status: int, length: int, framing: str, more: str = ""):
    """Returns a way to answer: a complete failure with a body of this length."""
    body = b"f" * length
    lines, pieces = {
        "length": (f"Content-Length: {length}\r\n", body),
        "chunked": (CHUNKED, (chunk(body) if body else b"") + END),
        "unframed": ("Connection: close\r\n", body)}[framing]
    return sends(more + lines, pieces, status=status)


# What frames the body of a failure without end, the bytes that it begins with, and those that
# follow without end.
ENDLESS = {
    "chunked": (CHUNKED, b"", chunk(b"f" * PIECE)),
    "unframed": ("", b"", b"f" * PIECE),
    "length": (f"Content-Length: {10 ** 15}\r\n", b"", b"f" * PIECE),
    "extension": (CHUNKED, b"5;x=", b"f" * PIECE),
    "trailers": (CHUNKED, chunk(b"f") + b"0\r\n", b"X-Trailer: f\r\n" * 1000),
    "head": ("X-Long: ", b"", b"f" * PIECE),
}


def endless_failure(status: int, framing: str):
    """Returns a way to answer: a failure whose body or head does not end."""
    lines, begin, rest = ENDLESS[framing]

    def play(connection: Connection, request: Request) -> None:
        answer = head(request.id, lines, status)
        connection.send((answer[:-4] if framing == "head" else answer) + begin)
        connection.repeat(rest)
    return play


def stalled_failure(connection: Connection, request: Request) -> None:
    """Begins the body of a failure and sends nothing more."""
    connection.send(head(request.id, "Content-Length: 1000\r\n", 503) + b"f")
    connection.wait_for_close()


class LongFailureTest(unittest.TestCase):
    """Starts a store, two plain servers, two runners and one instance. The runs of a request, at
    whichever server, follow the ways that a test selects; further runs repeat the last one."""

    def setUp(self) -> None:
        self.store = Store()
        self.config = configuration(1, ["k1"], ("m1",))
        self.store.put("op", "config", self.config)
        self.servers = [MisbehavingServer(self.store, f"p{number}", "plain")
                        for number in range(SERVERS)]
        self.servers += [MisbehavingServer(self.store, f"r{number}", "llm", ["m1"])
                         for number in range(SERVERS)]
        self.instance = Instance(self.store, "n1", more_settings=RETRIES)
        self.instance.wait_until_serving(servers=2 * SERVERS)
        self.ids = itertools.count()
        self.ways: list = []
        self.runs = 0

    def tearDown(self) -> None:
        self.instance.close()
        for service in (*self.servers, self.store):
            service.close()

    def run_next_way(self, connection: Connection, request: Request) -> None:
        if request.path == "/order":
            connection.send(head(request.id, "Content-Length: 0\r\n", 409))
            return
        self.runs += 1
        way = self.ways.pop(0) if len(self.ways) > 1 else self.ways[0]
        way(connection, request)

    def call(self, name: str, *ways) -> tuple[int, bytes, dict[str, str]]:
        """Sends one request on this route; its runs follow the ways."""
        self.ways, self.runs = list(ways), 0
        for server in self.servers:
            server.play(self.run_next_way)
        return self.instance.request(f"/{name}/a", id=f"id{next(self.ids)}",
                                     headers=ROUTES[name])

    def assert_promises_nothing(self, name: str, *ways) -> None:
        status, body, headers = self.call(name, *ways)
        self.assertGreater(self.runs, 0)
        self.assertEqual(status, 502, body[:80])
        self.assertNotIn("X-Server-Seal", headers)

    def test_promise_of_a_server_that_ran_the_request_is_not_passed_on(self) -> None:
        """Guards against a 503 that is forwarded because its body exceeds the buffer: the caller
        takes it for the promise that its request has not run, and the booking runs twice."""
        for status, length, framing, name in itertools.product(
                PROMISES, LENGTHS, ("length", "chunked", "unframed"), ROUTES):
            with self.subTest(status=status, length=length, framing=framing, route=name):
                self.assert_promises_nothing(name, failure(status, length, framing))

    def test_promise_on_a_repeat_is_not_passed_on(self) -> None:
        """Guards against the same after a run whose answer was lost."""
        for name in ("status", "draft"):
            with self.subTest(route=name):
                self.assert_promises_nothing(name, lambda connection, _: connection.reset(),
                                             failure(503, 100_000, "length"))
                self.assertGreater(self.runs, 1)

    def test_encoded_promise_is_not_passed_on(self) -> None:
        """Guards against a body's encoding that decides whether the status is looked at."""
        self.assert_promises_nothing(
            "book", failure(503, 100_000, "length", "Content-Encoding: gzip\r\n"))

    def test_promise_without_end_of_body_is_answered_at_once(self) -> None:
        """Guards against a caller that waits for a body, or a process that keeps one, of which
        it gets nothing."""
        ways = {**{f"{status} {framing}": endless_failure(status, framing)
                   for status in PROMISES for framing in ENDLESS},
                "stalled": stalled_failure}
        for title, way in ways.items():
            with self.subTest(way=title):
                began = time.monotonic()
                self.assert_promises_nothing("book", way)
                self.assertLess(time.monotonic() - began, PROMPT_S)
                self.assertEqual([server.unbounded for server in self.servers],
                                 [[]] * len(self.servers))

    def test_long_promise_of_one_server_is_replaced_by_the_answer_of_the_next(self) -> None:
        """Guards against a request that may be repeated and isn't, because the first server's
        failure is long."""
        status, body, _ = self.call("status", failure(503, 100_000, "chunked"), good)
        self.assertEqual((status, body), (200, b"answer of /status/a"))
        self.assertEqual(self.runs, 2)

    def test_stream_is_not_continued_by_a_long_promise(self) -> None:
        """Guards against the bytes of a failure in a stream that has begun."""
        begun = sends(STREAM, chunk(event(1)))
        self.ways = [begun, failure(503, 100_000, "length"), stream]
        for server in self.servers:
            server.play(self.run_next_way)
        received, complete, _ = self.instance.stream("/draft/a", "m1")
        self.assertFalse(complete)
        self.assertEqual(received, event(1))

    def test_long_error_of_one_server_is_replaced_by_the_answer_of_the_next(self) -> None:
        """Guards against a request that may be repeated and isn't, because the first server's
        error exceeds the buffer and is forwarded as it arrives."""
        for way in (failure(500, 100_000, "length"), failure(500, 100_000, "unframed"),
                    endless_failure(500, "chunked")):
            with self.subTest(way=way):
                status, body, _ = self.call("status", way, good)
                self.assertEqual((status, body), (200, b"answer of /status/a"))
                self.assertEqual(self.runs, 2)

    def test_long_error_without_another_run_is_passed_on(self) -> None:
        """Guards against a server's answer that is replaced by one that tells less: no further
        run is allowed, or no other server is there."""
        def check(name: str) -> None:
            status, body, headers = self.call(name, failure(500, 100_000, "length"))
            self.assertEqual((status, len(body), self.runs), (500, 100_000, 1))
            self.assertEqual(headers["X-Server-Seal"], "s")
        check("book")
        self.remove_servers(self.servers[1])
        check("status")

    def test_error_without_end_is_cut_at_a_bound(self) -> None:
        """Guards against an error's bytes that are kept or forwarded without end, or an error
        that looks complete."""
        for framing in ENDLESS:
            with self.subTest(framing=framing):
                try:
                    status, _, _ = self.call("book", endless_failure(500, framing))
                    self.assertEqual(status, 502)
                except (OSError, http.client.HTTPException):
                    pass
                self.assertEqual([server.unbounded for server in self.servers],
                                 [[]] * len(self.servers))
                self.assertIsNone(self.instance.process.poll())

    def test_server_with_long_errors_is_avoided(self) -> None:
        """Guards against long errors that count as successes: a server that fails fast then
        receives most requests."""
        failing, sound = self.servers[:SERVERS]
        body = b"f" * 100_000
        failing.play(lambda connection, request: connection.send(
            head(request.id, f"Content-Length: {len(body)}\r\n", 500) + body))
        sound.play("good")
        for _ in range(REQUESTS):
            self.instance.request("/book/a", id=f"id{next(self.ids)}")
        self.assertLess(len(failing.ran), REQUESTS / 4)

    def remove_servers(self, *servers: MisbehavingServer) -> None:
        known = len(self.instance.state()["backend_servers"]) - len(servers)
        for server in servers:
            server.close()
            self.store.remove("servers", server.name)
        wait_until(lambda: len(self.instance.state()["backend_servers"]) == known,
                   "the servers are gone")

    def test_short_promise_leaves_the_connection_usable(self) -> None:
        """Guards against a new connection for each request to a server that is overloaded."""
        connections = set()

        def refuse(connection: Connection, request: Request) -> None:
            connections.add(connection)
            connection.send(head(request.id, "Content-Length: 1000\r\n", 503))
            time.sleep(0.01)
            connection.send(b"f" * 1000)
        for _ in range(6):
            self.assert_promises_nothing("book", refuse)
        self.assertLessEqual(len(connections), SERVERS)


if __name__ == "__main__":
    unittest.main()
