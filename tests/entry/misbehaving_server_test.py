"""Tests an instance process with backend servers that answer in faulty ways.

For each way of the stand-in, checks what the caller receives, that the process keeps running,
that the bytes which it reads and stores are bounded, and that the next caller receives its own
answer.
"""

from __future__ import annotations

import http.client
import socket
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import CHUNKED, END, STREAM, chunk, event, head  # noqa: E402
from entry_fleet import (  # noqa: E402
    FREED_MEMORY_IS_HELD, HANG_LIMIT_S, Instance, configuration, wait_until)
from misbehaving_server import (  # noqa: E402
    FRAMINGS, WAYS, Closed, Connection, MisbehavingServer, Request, cut_answer, long_answer,
    own_body)
from platform_fleet import Store  # noqa: E402

ROUTE_TIMEOUT_MS = 2500
# Upper bound for the bytes that a server can write without the instance reading them: the
# size of the system's socket buffers.
SOCKET_BUFFERS = 3 * 1024 * 1024
# Limit for the growth of the process's memory while it reads one faulty answer.
MEMORY_GROWTH = 4 * 1024 * 1024

OWN, FAILED, BROKEN = "own answer", "a failure", "an answer that is visibly incomplete"

# What a caller receives if its only server answers a plain request in this way.
PLAIN_WAYS = {
    "good": OWN,
    "no_end_of_head": FAILED, "no_end_of_header_lines": FAILED,
    "many_informational_first": OWN, "slow_informational_first": OWN,
    "trickled_informational": FAILED,
    "no_end_of_informational": FAILED, "no_end_of_bytes": FAILED, "no_end_of_lines": FAILED,
    "no_end_of_length": FAILED, "no_end_of_length_number": FAILED,
    "no_end_of_unframed": BROKEN, "no_end_of_chunks": BROKEN,
    "no_end_of_chunk_extension": FAILED, "no_end_of_trailers": FAILED,
    "other_answer": FAILED, "long_other_answer": FAILED, "chunked_other_answer": FAILED,
    "other_answer_first": OWN, "chunked_other_answer_first": OWN,
    "no_end_of_other_answers": FAILED, "no_end_of_other_body": FAILED,
    "copy_at_once": OWN, "copy_late": OWN, "copy_on_next_use": OWN,
    "answer_before_body": OWN, "bytes_after_answer": OWN, "length_too_great": FAILED,
    "two_lengths": FAILED, "length_and_chunks": FAILED, "no_answer": FAILED,
    "no_bytes_then_end": FAILED, "no_bytes_then_reset": FAILED, "trickled_head": FAILED,
    "trickled_body": FAILED,
}

WHOLE_STREAM = b"".join(event(number) for number in range(1, 6))


def own_answer_then_close(connection: Connection, request: Request) -> None:
    body = own_body(request)
    connection.send(head(request.id, f"Connection: close\r\nContent-Length: {len(body)}\r\n") +
                    body)
    raise Closed


def whole_stream_then_close(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, "Connection: close\r\n" + STREAM) +
                    chunk(WHOLE_STREAM) + END)
    raise Closed


def plain_configuration() -> dict:
    config = configuration(1, ["k1"])
    for route in config["routes"]:
        route["timeout_ms"] = ROUTE_TIMEOUT_MS
        route["resumable"] = False
        route["max_attempts"] = 1
    return config


class MisbehavingServerTest(unittest.TestCase):
    """Runs one store, one plain server, one runner and one instance for all ways."""

    def setUp(self) -> None:
        self.store = Store()
        self.store.put("op", "config", plain_configuration())
        self.plain = MisbehavingServer(self.store, "p1", "plain")
        self.runner = MisbehavingServer(self.store, "r1", "llm", ["m1"])
        self.instance = Instance(self.store, "n1")
        self.paths = 0
        self.instance.wait_until_serving(servers=2)
        self.serve_one_request_of_each_kind()

    def tearDown(self) -> None:
        self.instance.close()
        for service in (self.plain, self.runner, self.store):
            service.close()

    def serve_one_request_of_each_kind(self) -> None:
        """Loads the code and fills the caches that the first requests of a process use, which
        are no growth caused by an answer. The servers close these connections, so that the
        test begins with new ones."""
        self.plain.play(own_answer_then_close)
        self.assertEqual(self.call("book")[0], OWN)
        self.runner.play(whole_stream_then_close)
        self.assertEqual(self.call("draft", **{"X-Model": "m1"}), ("answer 200", WHOLE_STREAM))
        self.plain.play("good")
        self.runner.play("good")
        self.plain.ran.clear()
        self.runner.ran.clear()

    def call(self, route: str, body: bytes = b"x", **headers: str) -> tuple[str, bytes]:
        """Sends a request with a unique path and id. Returns the kind of outcome and the body."""
        self.paths += 1
        path = f"/{route}/{self.paths}"
        connection = http.client.HTTPConnection("127.0.0.1", self.instance.front_port,
                                                timeout=HANG_LIMIT_S)
        try:
            connection.request("POST", path, body, {
                "Host": "h.example", "X-Request-Id": f"id-{self.paths}",
                "Authorization": "Token k1", **headers})
            answer = connection.getresponse()
            received = answer.read()
        except (OSError, http.client.HTTPException) as failure:
            return BROKEN, getattr(failure, "partial", b"")
        finally:
            connection.close()
        if answer.status >= 500:
            return FAILED, received
        if received == own_body(Request("POST", path, {}, b"")) and answer.status == 200:
            return OWN, received
        return f"answer {answer.status}", received

    def assert_next_caller_is_served(self, route: str, expected: bytes | None,
                                     **headers: str) -> None:
        """Waits until a caller is served again. Each caller until then must receive its own
        answer or a failure."""
        def served() -> bool:
            outcome, received = self.call(route, **headers)
            self.assertIn(outcome, (OWN, FAILED) if expected is None else
                          ("answer 200", FAILED), received[:200])
            if expected is not None and outcome == "answer 200":
                self.assertEqual(received, expected)
            return outcome in (OWN, "answer 200")

        wait_until(served, "the next caller receives its own answer")
        self.assertIsNone(self.instance.process.poll(), "the process is running")

    def assert_memory_is_bounded(self, before: int) -> None:
        growth = self.instance.memory_peak() - before
        if not FREED_MEMORY_IS_HELD:
            self.assertLess(growth, MEMORY_GROWTH)

    def restart_if_ended(self) -> None:
        """Restarts an instance that a previous way has ended, so that each way is tested on its
        own."""
        if self.instance.process.poll() is not None:
            self.instance.start()
            wait_until(self.instance.ready, "the instance is ready")

    def check_plain_way(self, way, expected: str) -> None:
        self.restart_if_ended()
        before = self.instance.memory_peak()
        self.plain.play(way)
        ran = len(self.plain.ran)
        outcome, received = self.call("book", b"x" * 40_000)
        self.assertEqual(outcome, expected, received[:200])
        self.assertEqual(len(self.plain.ran), ran + 1, "the request runs once")
        if expected != BROKEN:
            self.assertLess(self.plain.sent, SOCKET_BUFFERS)
        self.plain.play("good" if way != "copy_on_next_use" else way)
        for _ in range(3):
            self.assert_next_caller_is_served("book", None)
        self.assertEqual(self.plain.unbounded, [])
        self.assert_memory_is_bounded(before)

    def test_each_way_is_tested(self) -> None:
        """Guards against a way of the stand-in that no test uses."""
        streams = {name for name in WAYS if "stream" in name}
        self.assertEqual(set(WAYS) - streams, set(PLAIN_WAYS))

    def test_plain_request_ends_and_next_caller_receives_its_own_answer(self) -> None:
        """Guards against an answer that ends the process (an answer to another request did so
        because of a compiler bug), exhausts its memory, stalls it, or reaches another caller."""
        for way, expected in PLAIN_WAYS.items():
            with self.subTest(way=way):
                self.check_plain_way(way, expected)

    def test_answer_cut_at_each_boundary_is_never_a_success(self) -> None:
        """Guards against an incomplete answer that looks complete to the caller."""
        boundaries = {
            "in the head": lambda _: 20,
            "before the head's end": lambda answer: answer.index(b"\r\n\r\n") + 2,
            "after the head": lambda answer: answer.index(b"\r\n\r\n") + 4,
            "in the body": lambda answer: answer.index(b"\r\n\r\n") + 12,
            "before the last byte": lambda answer: len(answer) - 1}
        chunk_boundaries = {
            "in a chunk's size": lambda answer: answer.index(b"\r\n\r\n") + 5,
            "after a chunk": lambda answer: answer.index(b"\r\n0\r\n") + 2,
            "in the last chunk": lambda answer: answer.index(b"\r\n0\r\n") + 4}
        for framing in FRAMINGS:
            places = {**boundaries, **(chunk_boundaries if framing == "chunked" else {})}
            for place, keep in places.items():
                for reset in (False, True):
                    # The regular end of a body without a length is the end of the connection, so
                    # this cut cannot be detected.
                    if framing == "unframed" and not reset and place not in (
                            "in the head", "before the head's end"):
                        continue
                    with self.subTest(framing=framing, place=place, reset=reset):
                        self.plain.play(cut_answer(framing, keep, reset))
                        outcome, received = self.call("book")
                        self.assertIn(outcome, (FAILED, BROKEN), received)
                        self.plain.play("good")
                        self.assert_next_caller_is_served("book", None)

    def stream(self, way: str) -> tuple[str, bytes]:
        self.runner.play(way)
        return self.call("draft", **{"X-Model": "m1"})

    def assert_stream_ends(self, way: str, events: bytes) -> None:
        """Checks that the caller receives the complete events only, and an end that does not
        look complete."""
        before = self.instance.memory_peak()
        outcome, received = self.stream(way)
        self.assertIn(outcome, (BROKEN, FAILED), received[:200])
        if outcome == BROKEN:
            self.assertEqual(received, events)
        self.assertEqual(self.runner.unbounded, [])
        self.assertLess(self.runner.sent, SOCKET_BUFFERS)
        self.runner.play("stream")
        self.assert_next_caller_is_served("draft", WHOLE_STREAM, **{"X-Model": "m1"})
        self.assert_memory_is_bounded(before)

    def test_stream_without_end_of_event_is_cut_at_a_bound(self) -> None:
        """Guards against an unbounded incomplete event that is searched again with each piece.
        One such request used half of an instance's processor time until its timeout."""
        self.assert_stream_ends("stream_without_end_of_event", event(1))

    def test_stream_without_first_event_is_cut_at_a_bound(self) -> None:
        """Guards against an unbounded incomplete event before any event was sent to the
        caller."""
        self.assert_stream_ends("stream_without_first_event", b"")

    def test_stream_without_end_is_cut_at_a_bound(self) -> None:
        """Guards against a stream that takes all of an instance's processor time until its
        route's timeout, because whole events or comments arrive without end."""
        for way in ("stream_of_comments_without_end", "stream_of_events_without_end"):
            with self.subTest(way=way):
                before = self.instance.memory_peak()
                outcome, _ = self.stream(way)
                self.assertEqual(outcome, BROKEN)
                self.assertEqual(self.runner.unbounded, [])
                self.runner.play("stream")
                self.assert_next_caller_is_served("draft", WHOLE_STREAM, **{"X-Model": "m1"})
                self.assert_memory_is_bounded(before)

    def assert_stream_continues_on_another_server(self, way: str) -> None:
        """Checks that a second runner finishes the stream long before the route's timeout."""
        config = plain_configuration()
        draft = next(route for route in config["routes"] if route["name"] == "draft")
        draft.update(resumable=True, max_attempts=2, timeout_ms=60_000)
        config["version"] = 2
        self.store.put("op", "config", config)
        second = MisbehavingServer(self.store, "r2", "llm", ["m1"])
        second.play("stream")
        wait_until(lambda: len(self.instance.state().get("backend_servers", [])) == 3 and
                   self.instance.state()["configuration"]["version"] == 2,
                   "the second runner and the configuration are known")
        try:
            self.runner.play(way)
            wait_until(lambda: self.runner.ran or
                       self.call("draft", **{"X-Model": "m1"}) == ("answer 200", WHOLE_STREAM),
                       "the first runner had a stream")
            outcome, received = self.call("draft", **{"X-Model": "m1"})
            self.assertEqual((outcome, received), ("answer 200", WHOLE_STREAM))
        finally:
            second.close()

    def test_stream_of_bytes_without_an_event_continues_on_another_server(self) -> None:
        """Guards against a stalled stream that is kept open because single bytes still
        arrive."""
        self.assert_stream_continues_on_another_server("trickled_stream")

    def test_stream_cut_in_its_first_event_is_answered_by_the_next_server_alone(self) -> None:
        """Guards against bytes of a failed run in front of those of the next run. They were
        dropped only if the caller had already received an event (garbled stream on
        further-grown/sbr-floor-grown, seed 444174999976)."""
        self.assert_stream_continues_on_another_server("stream_cut_in_first_event")

    def test_slow_stream_that_cannot_continue_on_another_server_is_not_cut(self) -> None:
        """Guards against a valid stream that is cut because of a pause in it."""
        self.runner.play("slow_stream")
        self.assertEqual(self.call("draft", **{"X-Model": "m1"}),
                         ("answer 200", WHOLE_STREAM))

    def test_long_answer_is_forwarded_and_a_cut_is_visible(self) -> None:
        """Guards against long answers that are buffered completely, or that look complete
        although they are not."""
        body = b"a" * 3_000_000
        for framing in ("length", "chunked", "unframed"):
            head_line = {"length": f"Content-Length: {len(body)}\r\n",
                         "chunked": CHUNKED, "unframed": ""}[framing]
            bytes_of = chunk(body) + END if framing == "chunked" else body
            for cut in (False, True):
                with self.subTest(framing=framing, cut=cut):
                    self.plain.play(long_answer(head_line, bytes_of, cut))
                    before = self.instance.memory_peak()
                    outcome, received = self.call("book")
                    self.assert_memory_is_bounded(before)
                    if cut:
                        self.assertEqual(outcome, BROKEN)
                    else:
                        self.assertEqual((outcome, received), ("answer 200", body))

    def test_incomplete_answer_to_http_1_0_caller_ends_with_a_reset(self) -> None:
        """Guards against an incomplete answer that looks complete. Without chunks and a length,
        only the end of the connection marks the end of an answer."""
        self.plain.play(long_answer("", b"a" * 300_000, True))
        with socket.create_connection(("127.0.0.1", self.instance.front_port),
                                      HANG_LIMIT_S) as caller:
            caller.sendall(b"POST /book/old HTTP/1.0\r\nHost: h.example\r\nX-Request-Id: o\r\n"
                           b"Authorization: Token k1\r\nContent-Length: 0\r\n\r\n")
            with self.assertRaises(ConnectionResetError):
                while caller.recv(65536):
                    pass


if __name__ == "__main__":
    unittest.main()
