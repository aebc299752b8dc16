"""Tests an instance process whose backend servers answer an upload that they have not read.

The kernel reports the reset of a connection once, and either the write of the upload or the read of
the answer gets the report. An answer whose end is the end of its connection must not look complete
because the write got it. An answer that ends in order before the upload was read is complete.
"""

from __future__ import annotations

import http.client
import itertools
import random
import socket
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import CHUNKED, END, chunk, event, head  # noqa: E402
from entry_fleet import HANG_LIMIT_S, Instance, configuration, route, wait_until  # noqa: E402
from misbehaving_server import PIECE, Closed, Connection, MisbehavingServer, Request  # noqa: E402
from platform_fleet import Store  # noqa: E402

SERVERS = 2
# Small, so that most of an upload is unsent while its server answers.
RECEIVE_BUFFER = 8 * 1024
# Uploads that are longer than all buffers between an instance and a server, one that the instance
# writes before it reads the answer, and a tiny one.
LONG_UPLOAD = b"u" * (4 << 20)
UPLOADS = (LONG_UPLOAD, b"u" * (12 << 10), b"u")
# Bodies that an instance reads as a whole before it passes them on, and that it relays as they
# arrive.
SHORT_BODY = b"short;" * 8
LONG_BODY = b"long;" * (40 << 10)
# Settings with room for the uploads, and a retry budget that covers every further run.
SETTINGS = "limits.memory_mb=1024\nbounds.budget_slack=5000\n"
# Time for the bytes before an end to arrive, and for the instance to fill the server's buffers.
END_DELAY_S = 0.05
CALLER_VERSIONS = (11, 10)
FRAMINGS = ("connection", "chunks", "length")
DEADLINE_MS = "8000"
# Resets at random moments, up to this time after the head of the answer.
MOMENTS = 100
MAX_PAUSE_S = 0.004
# A request whose first server has not answered within the delay may be hedged, every fifth one.
HEDGE_DELAY_S = 0.2
HEDGE_ROUNDS = 6
PROMPT_CALLS = 4
# An answer that is complete must not wait for its upload, which takes until the deadline.
PROMPT_S = 4.0


class EarlyServer(MisbehavingServer):
    """Answers after the head of a request, with little room for the unread upload."""

    def __init__(self, *arguments) -> None:
        super().__init__(*arguments)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)

    def answers_before_body(self) -> bool:
        return True


def reset(connection: Connection) -> None:
    time.sleep(END_DELAY_S)
    connection.reset()


def close_with_unread_input(connection: Connection) -> None:
    """Closes the connection, which the kernel turns into a reset if there is unread input."""
    time.sleep(END_DELAY_S)
    connection.finish()


def end_and_read_on(connection: Connection) -> None:
    """Ends the answer in order and reads the rest of the upload."""
    try:
        connection.stream.shutdown(socket.SHUT_WR)
    except OSError as failure:
        raise Closed from failure
    connection.wait_for_close()


def end_and_read_nothing(connection: Connection) -> None:
    """Ends the answer in order and leaves the upload unread until the caller closes."""
    connection.stream.shutdown(socket.SHUT_WR)
    end = time.monotonic() + PROMPT_S + END_DELAY_S
    while time.monotonic() < end:
        time.sleep(END_DELAY_S)
    raise Closed


def end_and_close(connection: Connection) -> None:
    """Ends the answer in order, and closes the connection with unread input later."""
    connection.stream.shutdown(socket.SHUT_WR)
    time.sleep(END_DELAY_S)
    connection.finish()


RESETS = (reset, close_with_unread_input)
ORDERLY_ENDS = (end_and_read_on, end_and_read_nothing, end_and_close)


def framed(framing: str, body: bytes) -> tuple[str, bytes]:
    """Returns the header lines and the bytes of a body without its end, if the framing has one."""
    if framing == "chunks":
        return CHUNKED, chunk(body)
    if framing == "length":
        return f"Content-Length: {len(body) + 1}\r\n", body
    return "", body


class ResetAnswerCase(unittest.TestCase):
    """Runs one store, servers of both services and one instance. By default, no request is sent
    twice."""

    # Fields of the streaming and of the idempotent route.
    stream_options: dict[str, int] = {}
    status_options: dict[str, int] = {}
    # Variables of the instance's environment.
    environment: dict[str, str] = {}

    def setUp(self) -> None:
        self.store = Store()
        self.addCleanup(self.store.close)
        config = configuration(1, ["k1"], ("m1",))
        config["routes"] = [route("book", "non_idempotent", "plain"),
                            route("status", "idempotent", "plain", **self.status_options),
                            route("draft", "streaming", "llm", resumable=True,
                                  **self.stream_options)]
        config["limits"]["max_body_bytes"] = 2 * len(LONG_UPLOAD)
        self.store.put("op", "config", config)
        self.servers = [EarlyServer(self.store, f"{service[0]}{number}", service, models)
                        for service, models in (("plain", None), ("llm", ["m1"]))
                        for number in range(SERVERS)]
        for server in self.servers:
            self.addCleanup(server.close)
        self.instance = Instance(self.store, "n1", more_settings=SETTINGS,
                                 environment=self.environment)
        self.addCleanup(self.instance.close)
        self.instance.wait_until_serving(servers=2 * SERVERS)

    def play(self, end, header_lines: str, body: bytes, status: int = 200) -> None:
        """Lets all servers answer with the body and end the connection in this way."""
        def way(connection: Connection, request: Request) -> None:
            if request.path == "/order":
                connection.send(head(request.id, "Content-Length: 0\r\n", 409))
                return
            connection.send(head(request.id, header_lines, status) + body)
            end(connection)
        for server in self.servers:
            server.play(way)

    def call(self, path: str, upload: bytes, version: int = 11) -> tuple[int, bytes, bool]:
        """Sends one request. Returns the status, the body, and whether the answer is complete;
        status 0 if the connection ended before an answer."""
        connection = http.client.HTTPConnection("127.0.0.1", self.instance.front_port,
                                                timeout=HANG_LIMIT_S)
        connection._http_vsn = version
        connection._http_vsn_str = f"HTTP/1.{version - 10}"
        received, status = b"", 0
        try:
            connection.request("POST", path, upload, {
                "Host": "h.example", "X-Request-Id": "r1", "X-Deadline-Ms": DEADLINE_MS,
                "X-Model": "m1", "Authorization": "Token k1"})
            answer = connection.getresponse()
            status = answer.status
            length = answer.length
            while piece := answer.read1(PIECE):
                received += piece
            return status, received, length in (None, len(received))
        except (ConnectionError, http.client.HTTPException):
            return status, received, False
        finally:
            connection.close()

    def assert_not_complete(self, path: str, upload: bytes, version: int) -> None:
        status, received, complete = self.call(path, upload, version)
        self.assertFalse(complete and status == 200, f"{len(received)} bytes look complete")


class ResetPlainAnswerTest(ResetAnswerCase):
    """Plain answers."""

    paths = ("/book/a", "/status/a")
    bodies = (SHORT_BODY, LONG_BODY)

    def test_part_of_an_answer_before_a_reset_is_not_complete(self) -> None:
        """Guards against a cut answer that reaches its caller as a complete one, because the
        write of the request took the report of the reset."""
        for path, upload, framing, body, end, version in itertools.product(
                self.paths, UPLOADS, FRAMINGS, self.bodies, RESETS, CALLER_VERSIONS):
            # A server that has read all its input ends the connection in order by a close.
            if end is close_with_unread_input and upload is not LONG_UPLOAD:
                continue
            with self.subTest(path=path, upload=len(upload), framing=framing, body=len(body),
                              end=end.__name__, version=version):
                self.play(end, *framed(framing, body))
                self.assert_not_complete(path, upload, version)

    def test_part_of_a_failure_before_a_reset_is_not_complete(self) -> None:
        """Guards against the same for an answer that is no success."""
        for status, body, version in itertools.product((404, 500), self.bodies, CALLER_VERSIONS):
            with self.subTest(status=status, body=len(body), version=version):
                self.play(reset, "", body, status)
                received_status, received, complete = self.call("/book/a", LONG_UPLOAD, version)
                self.assertFalse(complete and received_status == status, received[:40])

    def assert_arrives_whole(self, path: str, body: bytes, version: int) -> None:
        began = time.monotonic()
        self.assertEqual(self.call(path, LONG_UPLOAD, version), (200, body, True))
        self.assertLess(time.monotonic() - began, PROMPT_S)

    def test_answer_that_ends_in_order_before_its_upload_was_read_is_complete(self) -> None:
        """Guards against the refusal of sound answers whose servers did not need the upload."""
        for path, body, end, version in itertools.product(self.paths, self.bodies, ORDERLY_ENDS,
                                                          CALLER_VERSIONS):
            with self.subTest(path=path, body=len(body), end=end.__name__, version=version):
                self.play(end, "", body)
                self.assert_arrives_whole(path, body, version)

    def test_answer_with_an_end_of_its_own_before_its_upload_was_read_is_complete(self) -> None:
        """Guards against the same for answers that are complete before their connection ends,
        in order or not."""
        for framing, body, end, version in itertools.product(
                ("chunks", "length"), self.bodies, (*ORDERLY_ENDS, *RESETS), CALLER_VERSIONS):
            with self.subTest(framing=framing, body=len(body), end=end.__name__, version=version):
                if framing == "chunks":
                    self.play(end, CHUNKED, chunk(body) + END)
                else:
                    self.play(end, f"Content-Length: {len(body)}\r\n", body)
                self.assert_arrives_whole("/book/a", body, version)

    def test_part_of_an_answer_before_a_reset_at_any_moment_is_not_complete(self) -> None:
        """Guards against an order of the write's and the read's results in which neither shows
        the reset: the reset comes while parts of the answer are read and of the upload written,
        or after the end of the connection's input would have been read."""
        for seed in range(MOMENTS):
            generator = random.Random(seed)
            pause, parts = generator.uniform(0, MAX_PAUSE_S), generator.randrange(1, 4)

            def reset_soon(connection: Connection, pause=pause, parts=parts) -> None:
                for _ in range(parts):
                    time.sleep(pause / parts)
                    connection.send(SHORT_BODY)
                connection.reset()

            path, upload = generator.choice(self.paths), generator.choice(UPLOADS)
            with self.subTest(seed=seed, path=path, upload=len(upload), pause=pause, parts=parts):
                self.play(reset_soon, "", generator.choice(self.bodies))
                self.assert_not_complete(path, upload, generator.choice(CALLER_VERSIONS))

    def test_reset_in_an_answer_is_logged_as_such(self) -> None:
        """Guards against a log line that does not tell the reset from the end of the answer."""
        self.play(reset, "", SHORT_BODY)
        self.call("/book/a", LONG_UPLOAD)
        ended = wait_until(lambda: self.instance.events(1101), "the attempt is logged", 5)[-1]
        self.assertEqual({name: ended[name] for name in ("detail", "framing", "end")},
                         {"detail": "Connection reset by peer", "framing": "connection",
                          "end": "unknown"})


class ResetStreamTest(ResetAnswerCase):
    """Streams of events."""

    # Whole events, since a stream that ends inside one is never complete.
    bodies = (b"".join(map(event, range(1, 4))), b"".join(map(event, range(1, 8000))))

    def test_part_of_a_stream_before_a_reset_is_not_complete(self) -> None:
        """Guards against a cut stream that reaches its caller as a complete one."""
        for upload, framing, body, end, version in itertools.product(
                UPLOADS, FRAMINGS, self.bodies, RESETS, CALLER_VERSIONS):
            if end is close_with_unread_input and upload is not LONG_UPLOAD:
                continue
            with self.subTest(upload=len(upload), framing=framing, body=len(body),
                              end=end.__name__, version=version):
                self.play(end, *framed(framing, body))
                self.assert_not_complete("/draft/a", upload, version)

    def test_stream_that_ends_in_order_before_its_upload_was_read_is_complete(self) -> None:
        """Guards against cuts in sound streams whose servers did not need the upload."""
        for body, end, version in itertools.product(self.bodies, ORDERLY_ENDS, CALLER_VERSIONS):
            with self.subTest(body=len(body), end=end.__name__, version=version):
                self.play(end, "", body)
                self.assertEqual(self.call("/draft/a", LONG_UPLOAD, version), (200, body, True))

    def test_stream_with_chunks_that_ends_before_its_upload_was_read_is_complete(self) -> None:
        """Guards against the same for a stream whose end does not depend on its connection."""
        body = self.bodies[0]
        for end in (*ORDERLY_ENDS, *RESETS):
            with self.subTest(end=end.__name__):
                self.play(end, CHUNKED, chunk(body) + END)
                self.assertEqual(self.call("/draft/a", LONG_UPLOAD), (200, body, True))


class RepeatedRequestTest(ResetAnswerCase):
    """Requests of an idempotent route, which may be sent again. Servers reset the connection of
    their first answer while the upload is unread."""

    status_options = {"max_attempts": 2, "target_latency_ms": int(2000 * HEDGE_DELAY_S)}
    environment = {"CARAWAYTURN_HEDGE_SHARE": "0.2", "CARAWAYTURN_HEDGE_SPARE_SHARE": "1"}

    def setUp(self) -> None:
        super().setUp()
        self.runs: list[str] = []

    def play_in_turn(self, *ways) -> None:
        """Lets the first request to any server be answered in the first way, and so on; the last
        way serves all others."""
        numbers = itertools.count()
        def way(connection: Connection, request: Request) -> None:
            chosen = ways[min(next(numbers), len(ways) - 1)]
            self.runs.append(chosen.__name__)
            chosen(connection, request)
        for server in self.servers:
            server.play(way)

    def test_request_is_sent_again_after_a_reset(self) -> None:
        """Guards against a part of the first answer that counts as the whole one."""
        def broken(connection: Connection, request: Request) -> None:
            connection.send(head(request.id, "") + SHORT_BODY)
            reset(connection)

        def sound(connection: Connection, request: Request) -> None:
            connection.send(head(request.id, "") + SHORT_BODY * 2)
            end_and_read_on(connection)

        for upload, version in itertools.product(UPLOADS, CALLER_VERSIONS):
            with self.subTest(upload=len(upload), version=version):
                self.runs.clear()
                self.play_in_turn(broken, sound)
                self.assertEqual(self.call("/status/a", upload, version),
                                 (200, SHORT_BODY * 2, True))
                self.assertEqual(self.runs, ["broken", "sound"])

    def hedges(self) -> int:
        return sum(not line["denied"] for line in self.instance.events(1104))

    def test_part_of_a_hedged_answer_before_a_reset_is_not_complete(self) -> None:
        """Guards against the same for a server that was asked because the first one was slow."""
        whole = SHORT_BODY * 2

        def prompt(connection: Connection, request: Request) -> None:
            connection.send(head(request.id, "") + whole)
            end_and_read_on(connection)

        def slow(connection: Connection, request: Request) -> None:
            time.sleep(HEDGE_DELAY_S + 4 * END_DELAY_S)
            prompt(connection, request)

        def broken(connection: Connection, request: Request) -> None:
            connection.send(head(request.id, "") + SHORT_BODY)
            reset(connection)

        for _ in range(HEDGE_ROUNDS):
            # Prompt answers add to the share of requests that may be hedged.
            self.play_in_turn(prompt)
            for _ in range(PROMPT_CALLS):
                self.assertEqual(self.call("/status/a", b"u"), (200, whole, True))
            self.play_in_turn(slow, broken)
            status, received, complete = self.call("/status/a", LONG_UPLOAD)
            self.assertFalse(complete and status == 200 and received != whole, received)
        self.assertGreater(self.hedges(), 0)


class SilentStreamTest(ResetAnswerCase):
    """A server falls silent in a stream without a length and chunks. Its connection is reset while
    the instance asks the other server to go on."""

    stream_options = {"max_attempts": 2, "gap_target_ms": 100}

    def test_reset_while_another_server_is_asked_does_not_end_the_stream_as_complete(self) -> None:
        """Guards against a look for unread input that takes the report of the reset."""
        asked, reset_done = threading.Event(), threading.Event()

        def way(connection: Connection, request: Request) -> None:
            connection.read_body(request)
            if request.path == "/order":
                connection.send(head(request.id, "Content-Length: 0\r\n", 409))
            elif "last-event-id" in request.headers:
                asked.set()
                reset_done.wait(HANG_LIMIT_S)
                time.sleep(2 * END_DELAY_S)
                connection.send(head(request.id, "Content-Length: 0\r\nX-Not-Executed: 1\r\n", 503))
            else:
                connection.send(head(request.id, "") + event(1) + event(2))
                asked.wait(HANG_LIMIT_S)
                reset_done.set()
                connection.reset()

        for server in self.servers:
            server.play(way)
        status, received, complete = self.call("/draft/a", b"u")
        self.assertTrue(asked.is_set())
        self.assertEqual((status, received, complete), (200, event(1) + event(2), False))


if __name__ == "__main__":
    unittest.main()
