"""Tests an instance process whose servers send bytes that are no HTTP answer.

Nothing of such bytes may reach a caller. A request that may be repeated goes to another server; any
other one gets a failure that does not say whether it has run.
"""

from __future__ import annotations

import itertools
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import (  # noqa: E402
    CHUNKED, END, STREAM, chunk, event, head, with_length)
from entry_fleet import Instance, configuration, wait_until  # noqa: E402
from malformed_answers import (  # noqa: E402
    ALLOWED, FORGED_BODY, FORGED_VALUE, LOW_STATUSES, MALFORMED, STATUSES_THAT_ARE_NONE,
    sends_allowed, sends_answer_behind_status, sends_head_before_answer, sends_malformed)
from misbehaving_server import (  # noqa: E402
    Connection, MisbehavingServer, Request, good, own_body, sends, stream)
from platform_fleet import Store  # noqa: E402

BAD_GATEWAY = 502
ATTEMPT_ENDED_EVENT = 1101
RETRY_BUDGET = "bounds.budget_slack=1000\n"
# Limit for the detail of a log line: the reason, and 64 bytes that are written as \\xNN at most.
DETAIL_BYTES = 400
# A sound server answers at once; a connection that is closed is closed by then.
PROMPT_S = 1.0
# Malformed answers after which a test waits for the log. The lines of twice as many requests fit
# into the bytes that an instance holds for its log.
LOGGED_TOGETHER = 40
# Longer than what is held back until the whole answer has arrived.
LONG_BODY_BYTES = 256 * 1024
WHOLE_STREAM = b"".join(event(number) for number in range(1, 6))
BEGUN_STREAM = event(1) + event(2)
# A few of each part of the head, for tests that play each case several times.
SAMPLE = [*(f"status {code}" for code in STATUSES_THAT_ARE_NONE), "status '2000'",
          "version HTTP/2.0", "reason with 0x00", "name with 0x20", "name with 0x09",
          "name with 0x01", "no colon", "value with 0x00", "bare line feeds"]


class MalformedAnswerTest(unittest.TestCase):
    """Starts a store, plain servers, runners and one instance."""

    plain_count = 1
    runner_count = 1
    more_settings = ""

    def setUp(self) -> None:
        self.store = Store()
        self.store.put("op", "config", self.configuration())
        self.plain = [MisbehavingServer(self.store, f"p{number}", "plain")
                      for number in range(self.plain_count)]
        self.runners = [MisbehavingServer(self.store, f"r{number}", "llm", ["m1"])
                        for number in range(self.runner_count)]
        self.instance = Instance(self.store, "n1", more_settings=self.more_settings)
        self.instance.wait_until_serving(servers=self.plain_count + self.runner_count)
        self.requests = 0
        # Set when the instance has closed the connection of the last malformed answer.
        self.closed = threading.Event()
        # The requests whose last attempt got a malformed answer.
        self.malformed: list[str] = []

    def configuration(self) -> dict:
        return configuration(1, ["k1"], ("m1",))

    def tearDown(self) -> None:
        self.instance.close()
        for service in (*self.plain, *self.runners, self.store):
            service.close()

    def noting_close(self, way):
        """Returns the behaviour, which also records that its connection was closed."""
        def play(connection: Connection, request: Request) -> None:
            try:
                way(connection, request)
            finally:
                self.closed.set()
        return play

    def play(self, servers: list[MisbehavingServer], way) -> None:
        self.closed.clear()
        for server in servers:
            server.ran.clear()
            server.play(way if isinstance(way, str) else self.noting_close(way))

    def call(self, path: str, **options) -> tuple[int, bytes, dict[str, str]]:
        self.requests += 1
        return self.instance.request(path, id=f"q{self.requests}", **options)

    def details(self) -> dict[str, str]:
        """Returns the logged reason for the end of each request's last attempt."""
        return {line["request"]: line["detail"]
                for line in self.instance.events(ATTEMPT_ENDED_EVENT)}

    def assert_is_failure(self, answer: tuple[int, bytes, dict[str, str]]) -> None:
        """Checks that the caller has received a failure of the instance that promises nothing."""
        status, body, headers = answer
        self.assertEqual(status, BAD_GATEWAY)
        self.assertNotIn(FORGED_BODY, body)
        self.assertNotIn(FORGED_VALUE.decode(), str(headers))
        self.assertNotIn("X-Ab", headers)

    def note_malformed(self) -> None:
        """Records that the last request got a malformed answer. Waits now and then until the log
        is written, so that a fast machine does not fill the bytes that may wait for that."""
        self.malformed.append(f"q{self.requests}")
        if len(self.malformed) % LOGGED_TOGETHER == 0:
            self.assert_all_logged()

    def assert_all_logged(self) -> None:
        """Checks that one line for each malformed answer says why it is none. The log is written
        once a second, so this is checked for many of them together, and at the end of a test."""
        wait_until(lambda: set(self.malformed) <= set(self.details()), "the attempts are logged")
        for request, detail in self.details().items():
            if request in self.malformed:
                self.assertIn("malformed answer", detail)
                self.assertLess(len(detail), DETAIL_BYTES)
                self.assertTrue(detail.isascii() and detail.isprintable(), detail)

    def assert_fails(self, path: str, server: MisbehavingServer, way, **options) -> None:
        """Checks that a request which may run once only fails at once, and that the next one is
        served by a new connection."""
        self.play([server], way)
        began = time.monotonic()
        answer = self.call(path, **options)
        self.assertLess(time.monotonic() - began, PROMPT_S)
        self.assert_is_failure(answer)
        self.assertEqual(len(server.ran), 1)
        self.assertTrue(self.closed.wait(PROMPT_S), "the connection is closed")
        self.note_malformed()
        self.play([server], "stream" if "draft" in path else "good")
        self.assertEqual(self.call(path, **options)[0], 200)


class OneServerTest(MalformedAnswerTest):
    """A request runs once: no other server can take it over, and no route allows a second run."""

    def configuration(self) -> dict:
        config = super().configuration()
        for route in config["routes"]:
            route.update(resumable=False, max_attempts=1)
        return config

    def test_request_that_may_not_be_repeated_fails(self) -> None:
        """Guards against bytes that are no answer and reach the caller as one."""
        for name, start in MALFORMED.items():
            with self.subTest(answer=name):
                self.assert_fails("/book/a", self.plain[0], sends_malformed(start))
        self.assert_all_logged()

    def test_answer_behind_a_status_that_is_none_is_not_passed_on(self) -> None:
        """Guards against a status below 100 that is skipped as if it were informational."""
        for code in (*LOW_STATUSES, "101"):
            with self.subTest(status=code):
                self.assert_fails("/book/a", self.plain[0], sends_answer_behind_status(code))
        self.assert_all_logged()

    def test_head_request_fails(self) -> None:
        """Guards against a check that depends on the body, which this answer does not have."""
        for name in SAMPLE:
            with self.subTest(answer=name):
                self.assert_fails("/book/a", self.plain[0], sends_malformed(MALFORMED[name]),
                                  method="HEAD", body=None)
        self.assert_all_logged()

    def test_stream_fails(self) -> None:
        """Guards against the same on a streaming route."""
        for name in SAMPLE:
            with self.subTest(answer=name):
                self.assert_fails("/draft/a", self.runners[0], sends_malformed(MALFORMED[name]),
                                  headers={"X-Model": "m1"})
        self.assert_all_logged()

    def test_refusal_with_a_status_that_is_none_promises_nothing(self) -> None:
        """Guards against a header that is believed although its head is no answer's."""
        for code in STATUSES_THAT_ARE_NONE:
            with self.subTest(status=code):
                refusal = "Content-Length: 0\r\nX-Not-Executed: 1\r\n"

                def refuse(connection: Connection, request: Request, code=code) -> None:
                    connection.send(head(request.id, refusal).replace(b" 200 ",
                                                                      f" {code} ".encode()))
                    connection.wait_for_close()
                self.assert_fails("/book/a", self.plain[0], refuse)
        self.assert_all_logged()

    def test_malformed_trailer_fails_the_answer(self) -> None:
        """Guards against a body that is passed on although its end is malformed."""
        for line in (b"X Ab: 1", b"X-A\x01b: 1", b"X-Ab", b"X-Ab: \x00"):
            with self.subTest(line=line):
                def play(connection: Connection, request: Request, line=line) -> None:
                    connection.send(head(request.id, CHUNKED) + chunk(own_body(request)) +
                                    b"0\r\n" + line + b"\r\n\r\n")
                    connection.wait_for_close()
                self.assert_fails("/book/a", self.plain[0], play)
        self.assert_all_logged()

    def test_answer_that_has_begun_is_broken_off_at_bytes_that_are_none(self) -> None:
        """Guards against a stream or a long body that ends as if it were whole."""
        begun = {"/draft/a": (STREAM, chunk(WHOLE_STREAM)),
                 "/book/a": (CHUNKED, chunk(b"x" * LONG_BODY_BYTES))}
        # A chunk size whose line does not end is an answer that was cut.
        cut = b"0\n\n"
        for path, end in itertools.product(
                begun, (b"0\r\nX Ab: 1\r\n\r\n", b"0\r\nX-A\x01b: 1\r\n\r\n",
                        b"-1\r\nx\r\n", cut)):
            with self.subTest(path=path, end=end):
                framing, body = begun[path]
                self.play([*self.plain, *self.runners], sends(framing, body, end))
                self.requests += 1
                request_id = f"q{self.requests}"
                if end != cut:
                    self.malformed.append(request_id)
                received, complete, _ = self.instance.stream(path, "m1", request_id)
                self.assertFalse(complete)
                self.assertIn(received[:1], body)
                self.assertTrue(self.closed.wait(PROMPT_S), "the connection is closed")
        self.assert_all_logged()

    def test_body_in_a_coding_that_the_caller_would_not_see_fails(self) -> None:
        """Guards against a coded body that is passed on without its Transfer-Encoding."""
        chunks = chunk(FORGED_BODY) + END
        for lines, body in (("Transfer-Encoding: gzip\r\n", FORGED_BODY),
                            ("Transfer-Encoding: gzip, chunked\r\n", chunks),
                            ("Transfer-Encoding: chunked, gzip\r\n", chunks),
                            ("Transfer-Encoding: chunked, chunked\r\n", chunks),
                            ("Transfer-Encoding: gzip\r\n" + CHUNKED, chunks)):
            with self.subTest(lines=lines):
                self.assert_fails("/book/a", self.plain[0], sends(lines, body))
        with self.subTest(version="1.0"):
            def play(connection: Connection, request: Request) -> None:
                answer = head(request.id, CHUNKED) + chunks
                connection.send(answer.replace(b"HTTP/1.1", b"HTTP/1.0"))
                connection.finish()
            self.assert_fails("/book/a", self.plain[0], play)
        self.assert_all_logged()

    def test_unusual_answer_is_passed_on(self) -> None:
        """Guards against a check that rejects what the protocol allows."""
        for name, start in ALLOWED.items():
            with self.subTest(answer=name):
                self.play(self.plain, sends_allowed(start))
                status, body, headers = self.call("/book/a")
                self.assertEqual((status, body),
                                 (int(start.status_line[9:12]), b"answer of /book/a"))
                field = start.line.partition(b":")[0].decode()
                if field:
                    self.assertIn(field, headers)

    def test_informational_answers_are_skipped(self) -> None:
        """Guards against a check that rejects unknown informational statuses."""
        for code in ("100", "102", "103", "150", "199"):
            with self.subTest(status=code):
                way = sends_head_before_answer(f"HTTP/1.1 {code} Said".encode())
                self.play(self.plain, way)
                self.assertEqual(self.call("/book/a")[:2], (200, b"answer of /book/a"))


class OtherServerTest(MalformedAnswerTest):
    """Another server can take a request over."""

    plain_count = 2
    runner_count = 2
    more_settings = RETRY_BUDGET

    def assert_other_server_answers(self, path: str, servers: list[MisbehavingServer], way,
                                    expected: bytes, **options) -> None:
        """Checks that every caller gets the sound server's answer, also those whose request
        reaches the other one first. The roles change with each check, because requests prefer
        the server that has not failed lately."""
        servers.reverse()
        self.play(servers, "stream" if "draft" in path else "good")
        self.play(servers[:1], way)

        def reached_first() -> bool:
            status, body, headers = self.call(path, **options)
            self.assertEqual((status, body), (200, expected))
            self.assertNotIn("X-Ab", headers)
            return bool(servers[0].ran)
        wait_until(reached_first, "a request reaches the server in trouble")
        self.assertTrue(self.closed.wait(PROMPT_S), "the connection is closed")

    def test_request_that_may_be_repeated_is_answered_by_the_other_server(self) -> None:
        """Guards against a request that fails though another server can answer it."""
        for name in SAMPLE:
            with self.subTest(answer=name):
                self.assert_other_server_answers("/status/a", self.plain,
                                                 sends_malformed(MALFORMED[name]),
                                                 b"answer of /status/a")

    def test_answer_behind_a_status_that_is_none_is_given_up(self) -> None:
        """Guards against the second answer on a connection that holds no first one."""
        for code in LOW_STATUSES:
            with self.subTest(status=code):
                self.assert_other_server_answers("/status/a", self.plain,
                                                 sends_answer_behind_status(code),
                                                 b"answer of /status/a")

    def test_stream_is_answered_by_the_other_server(self) -> None:
        """Guards against a stream that fails before its first event."""
        for name in SAMPLE:
            with self.subTest(answer=name):
                self.assert_other_server_answers("/draft/a", self.runners,
                                                 sends_malformed(MALFORMED[name]), WHOLE_STREAM,
                                                 headers={"X-Model": "m1"})


class SilentServerTest(MalformedAnswerTest):
    """The first server of a request is silent until another one has been asked to take the
    request over, and then sends something."""

    plain_count = 2
    more_settings = RETRY_BUDGET

    def configuration(self) -> dict:
        config = super().configuration()
        status = next(route for route in config["routes"] if route["name"] == "status")
        status["max_attempts"] = 2
        return config

    @staticmethod
    def answer_late(connection: Connection, request: Request) -> None:
        time.sleep(1.0)
        connection.send(with_length(request.id, b"the other's"))

    def call_with_silent_server(self, speak, answer_next=answer_late) -> bytes:
        """Returns the body of a request's answer. Another server is asked after half of the
        deadline; the silent one speaks before that one answers, if it answers late."""
        arrivals = itertools.count()

        def run(connection: Connection, request: Request) -> None:
            if next(arrivals) > 0:
                answer_next(connection, request)
                return
            time.sleep(2.4)
            speak(connection, request)
        self.play(self.plain, run)
        status, body, _ = self.call("/status/a", headers={"X-Deadline-Ms": "4000"})
        self.assertEqual(status, 200)
        self.assertEqual(next(arrivals), 2)
        return body

    def test_malformed_answer_does_not_end_the_other_server_s_run(self) -> None:
        """Guards against bytes that are no answer and count as progress of their server: the other
        server's run was closed, and the request failed."""
        for name in ("status 000", "status 999", "name with 0x20"):
            with self.subTest(answer=name):
                self.assertEqual(self.call_with_silent_server(sends_malformed(MALFORMED[name])),
                                 b"the other's")

    def test_answer_behind_a_status_that_is_none_does_not_end_the_other_server_s_run(self) -> None:
        """Guards against the same with a sound answer behind it."""
        self.assertEqual(
            self.call_with_silent_server(sends_answer_behind_status("000")),
            b"the other's")

    def test_malformed_answer_of_the_other_server_leaves_the_request_at_the_silent_one(
            self) -> None:
        """Guards against an exchange that is given up for bytes that are no answer."""
        for name in ("status 000", "status 999", "name with 0x20"):
            with self.subTest(answer=name):
                self.assertEqual(
                    self.call_with_silent_server(good, sends_malformed(MALFORMED[name])),
                    b"answer of /status/a")

    def test_sound_answer_of_the_silent_server_is_passed_on(self) -> None:
        """Guards against an answer that is lost because it was read before it was expected."""
        self.assertEqual(self.call_with_silent_server(good), b"answer of /status/a")

    def test_answer_after_an_informational_one_of_the_silent_server_is_passed_on(self) -> None:
        """Guards against a head that is read twice."""
        def speak(connection: Connection, request: Request) -> None:
            connection.send(b"HTTP/1.1 102 Processing\r\n\r\n")
            time.sleep(0.2)
            connection.send(head(request.id, "Content-Length: 5\r\n"))
            time.sleep(0.2)
            connection.send(b"whole")
        self.assertEqual(self.call_with_silent_server(speak), b"whole")


class ResumedStreamTest(MalformedAnswerTest):
    """A stream breaks off, and the run that continues it is malformed."""

    plain_count = 0
    runner_count = 3
    more_settings = RETRY_BUDGET

    def setUp(self) -> None:
        super().setUp()
        self.ways: list = []

    def configuration(self) -> dict:
        config = super().configuration()
        draft = next(route for route in config["routes"] if route["name"] == "draft")
        draft["max_attempts"] = self.runner_count
        return config

    def stream(self, *ways) -> tuple[bytes, bool]:
        """Returns what a caller gets whose runs follow these behaviours."""
        self.ways = list(ways)

        def run_next(connection: Connection, request: Request) -> None:
            if request.path == "/order":
                connection.send(head(request.id, "Content-Length: 0\r\n", 409))
                return
            (self.ways.pop(0) if len(self.ways) > 1 else self.ways[0])(connection, request)
        for runner in self.runners:
            runner.play(run_next)
        return self.instance.stream("/draft/a", "m1")[:2]

    def test_malformed_continuation_is_not_passed_on(self) -> None:
        """Guards against a malformed answer in the middle of a stream."""
        breaks_off = sends(STREAM, chunk(event(1)), chunk(event(2)))
        for name in SAMPLE:
            with self.subTest(answer=name):
                way = sends_malformed(MALFORMED[name])
                self.assertEqual(self.stream(breaks_off, way), (BEGUN_STREAM, False))
                self.assertEqual(self.stream(breaks_off, way, stream), (WHOLE_STREAM, True))

    def test_continuation_behind_a_status_that_is_none_is_not_passed_on(self) -> None:
        """Guards against a status below 100 that is skipped in a continuation."""
        breaks_off = sends(STREAM, chunk(event(1)), chunk(event(2)))

        def hidden(connection: Connection, request: Request) -> None:
            connection.send(b"HTTP/1.1 000 Said\r\n\r\n" + head(request.id, STREAM) +
                            chunk(event(3)) + END)
            connection.finish()
        self.assertEqual(self.stream(breaks_off, hidden), (BEGUN_STREAM, False))


if __name__ == "__main__":
    unittest.main()
