"""Tests an instance process whose server contradicts itself about the request that it answers."""

from __future__ import annotations

import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import CHUNKED, END, STREAM, chunk, event, head  # noqa: E402
from entry_fleet import Instance, configuration  # noqa: E402
from misbehaving_server import Connection, MisbehavingServer, Request, good, own_body  # noqa: E402
from platform_fleet import Store  # noqa: E402

REFUSAL = "Content-Length: 0\r\nX-Not-Executed: 1\r\n"
# How long a request still runs after the server has written something else.
RUN_S = 0.1


def refusal_with_two_ids(connection: Connection, request: Request) -> None:
    """Writes a refusal that names this request and another one, and then the answer."""
    connection.send(head(request.id, REFUSAL + "X-Request-Id: someone-else\r\n", 503))
    time.sleep(RUN_S)
    good(connection, request)


def refusal_with_one_id_twice(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, REFUSAL + f"X-Request-Id: {request.id}\r\n", 503))
    time.sleep(RUN_S)
    good(connection, request)


def refusal_in_informational_answer(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, "X-Not-Executed: 1\r\n", 103))
    time.sleep(RUN_S)
    good(connection, request)


def refusal_without_id(connection: Connection, request: Request) -> None:
    connection.send(f"HTTP/1.1 503 Said\r\n{REFUSAL}\r\n".encode())
    time.sleep(RUN_S)
    good(connection, request)


def success_that_denies_the_run(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, REFUSAL))


def stream_that_denies_the_run(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, STREAM + "X-Not-Executed: 1\r\n") + chunk(event(1)) + END)


def refusal_in_chunked_answer(connection: Connection, request: Request) -> None:
    """Writes a refusal where the next chunk of an answer is due."""
    connection.send(head(request.id, CHUNKED) + chunk(own_body(request)) +
                    head(request.id, REFUSAL, 503))
    connection.wait_for_close()


def refusal_in_stream(connection: Connection, request: Request) -> None:
    """Writes a refusal where the first event of a stream is due."""
    connection.send(head(request.id, STREAM) + head(request.id, REFUSAL, 503))
    connection.wait_for_close()


def refusal_after_event(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, STREAM) + chunk(event(1)) +
                    head(request.id, REFUSAL, 503))
    connection.wait_for_close()


class ContradictoryAnswerTest(unittest.TestCase):
    """Starts a store, a plain server, a runner and one instance. No stream may be resumed."""

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"])
        for route in config["routes"]:
            route.update(resumable=False, max_attempts=1)
        self.store.put("op", "config", config)
        self.plain = MisbehavingServer(self.store, "p1", "plain")
        self.runner = MisbehavingServer(self.store, "r1", "llm", ["m1"])
        self.instance = Instance(self.store, "n1")
        self.instance.wait_until_serving(servers=2)

    def tearDown(self) -> None:
        self.instance.close()
        for service in (self.plain, self.runner, self.store):
            service.close()

    def check_own_answer(self, way) -> None:
        self.plain.play(way)
        status, body, _ = self.instance.request("/book/a")
        self.assertEqual((status, body), (200, b"answer of /book/a"))
        self.assertEqual(len(self.plain.ran), 1)

    def check_failure(self, way) -> None:
        """Checks that the caller is not told that its request has not run."""
        self.plain.play(way)
        status, _, _ = self.instance.request("/book/a")
        self.assertEqual(status, 502)
        self.assertEqual(len(self.plain.ran), 1)

    def check_stream_failure(self, way) -> None:
        self.runner.play(way)
        status, _, _ = self.instance.request("/draft/a", headers={"X-Model": "m1"})
        self.assertEqual(status, 502)
        self.assertEqual(len(self.runner.ran), 1)

    def test_refusal_that_names_two_requests_is_not_taken_for_this_one(self) -> None:
        """Guards against a request that runs and is refused: the first id counted alone."""
        self.check_own_answer(refusal_with_two_ids)

    def test_refusal_that_names_its_request_twice_is_not_taken_for_an_answer(self) -> None:
        """Guards against an answer of an earlier request that was joined with this one's."""
        self.check_own_answer(refusal_with_one_id_twice)

    def test_refusal_in_informational_answer_is_not_taken_for_an_answer(self) -> None:
        """Guards against an informational answer that is taken for the final one."""
        self.check_own_answer(refusal_in_informational_answer)

    def test_refusal_without_id_is_not_taken_for_an_answer(self) -> None:
        """Guards against a refusal that belongs to no request."""
        self.check_own_answer(refusal_without_id)

    def test_success_that_denies_the_run_is_a_failure(self) -> None:
        """Guards against a request that runs again, or is refused, after it has run."""
        self.check_failure(success_that_denies_the_run)

    def test_stream_that_denies_the_run_is_a_failure(self) -> None:
        """Guards against the same on a streaming route."""
        self.check_stream_failure(stream_that_denies_the_run)

    def test_refusal_in_the_body_of_a_success_is_a_failure(self) -> None:
        """Guards against a refusal that is believed after the head of a success."""
        self.check_failure(refusal_in_chunked_answer)

    def test_refusal_in_a_stream_is_a_failure(self) -> None:
        """Guards against the same in a stream without an event."""
        self.check_stream_failure(refusal_in_stream)

    def test_refusal_after_an_event_cuts_the_stream(self) -> None:
        """Guards against a refusal's bytes in a stream that looks complete."""
        self.runner.play(refusal_after_event)
        answer = self.instance.raw_answer("/draft/a", "s1", "m1")
        self.assertIn(event(1), answer)
        self.assertNotIn(b"X-Not-Executed", answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))
        self.assertEqual(len(self.runner.ran), 1)


if __name__ == "__main__":
    unittest.main()
