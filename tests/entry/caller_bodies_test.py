"""Tests an instance process with callers whose request bodies are long, numerous, or refused
while they are still being sent."""

from __future__ import annotations

import http.client
import json
import socket
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import HANG_LIMIT_S, Instance, configuration, wait_until  # noqa: E402
from misbehaving_server import MisbehavingServer  # noqa: E402
from platform_fleet import Store  # noqa: E402

# Limit for the body of one request. Two such bodies fit into a quarter of the memory limit.
BODY_LIMIT = 1_000_000
MEMORY_MB = 8
LONG = 900_000


class Caller:
    """A connection that sends a request with its own id in pieces."""

    def __init__(self, instance: Instance, number: int, framing: str) -> None:
        self.socket = socket.create_connection(("127.0.0.1", instance.front_port), HANG_LIMIT_S)
        self.send(f"POST /book/{number} HTTP/1.1\r\nHost: h.example\r\n"
                  f"X-Request-Id: id-{number}\r\nAuthorization: Token k1\r\n"
                  f"{framing}\r\n\r\n".encode())

    def send(self, data: bytes) -> None:
        self.socket.sendall(data)

    def answer(self) -> tuple[int, bytes, http.client.HTTPMessage]:
        answer = http.client.HTTPResponse(self.socket)
        answer.begin()
        return answer.status, answer.read(), answer.headers

    def close(self) -> None:
        self.socket.close()


class CallerBodiesTest(unittest.TestCase):
    """Runs one store, one server and one instance with a low memory limit."""

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"])
        config["limits"]["max_body_bytes"] = BODY_LIMIT
        self.store.put("op", "config", config)
        self.server = MisbehavingServer(self.store, "p1", "plain")
        self.instance = Instance(self.store, "n1",
                                 more_settings=f"limits.memory_mb={MEMORY_MB}\n")
        self.callers: list[Caller] = []
        self.instance.wait_until_serving(servers=1)

    def tearDown(self) -> None:
        for caller in self.callers:
            caller.close()
        self.instance.close()
        self.server.close()
        self.store.close()

    def caller(self, framing: str) -> Caller:
        self.callers.append(Caller(self.instance, len(self.callers), framing))
        return self.callers[-1]

    def fill_body_budget(self) -> list[Caller]:
        """Opens two callers whose bodies use up most of the memory budget for bodies."""
        holders = [self.caller(f"Content-Length: {LONG}") for _ in range(2)]
        for holder in holders:
            holder.send(b"x" * (LONG // 2))
        wait_until(lambda: self.refused(self.caller(f"Content-Length: {LONG}")),
                   "the holders' bodies are counted")
        return holders

    def refused(self, caller: Caller) -> bool:
        caller.socket.settimeout(0.5)
        try:
            return caller.answer()[0] == 503
        except TimeoutError:
            caller.close()
            return False

    def assert_refused_for_bodies(self, caller: Caller) -> None:
        status, body, headers = caller.answer()
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["error"]["code"], "bodies_full")
        self.assertGreater(float(headers["Retry-After"]), 0)

    def test_all_bodies_together_stay_within_the_memory_budget(self) -> None:
        """Guards against exhausted memory although each caller keeps to its own limit."""
        holders = self.fill_body_budget()
        self.assert_refused_for_bodies(self.caller(f"Content-Length: {LONG}"))
        self.assertEqual(self.server.ran, [])
        for holder in holders:
            holder.send(b"x" * (LONG - LONG // 2))
            self.assertEqual(holder.answer()[0], 200)
        last = self.caller(f"Content-Length: {LONG}")
        last.send(b"x" * LONG)
        self.assertEqual(last.answer()[0], 200)

    def test_body_without_a_length_is_refused_when_the_budget_is_exhausted(self) -> None:
        """Guards against bodies that are not counted because the request states no length."""
        self.fill_body_budget()
        caller = self.caller("Transfer-Encoding: chunked")
        piece = b"x" * 60_000
        for _ in range(10):
            caller.send(b"%x\r\n%s\r\n" % (len(piece), piece))
        self.assert_refused_for_bodies(caller)

    def test_body_longer_than_the_whole_budget_is_too_large(self) -> None:
        """Guards against an answer that asks the caller to retry a body that can never fit."""
        config = configuration(2, ["k1"])
        config["limits"]["max_body_bytes"] = 10 * BODY_LIMIT
        self.store.put("op", "config", config)
        wait_until(lambda: self.instance.state()["configuration"]["version"] == 2,
                   "the longer limit is in force")
        self.assertEqual(self.caller(f"Content-Length: {5 * BODY_LIMIT}").answer()[0], 413)

    def test_closed_connections_release_their_bytes(self) -> None:
        """Guards against bytes that stay reserved after a caller closes its connection."""
        for holder in self.fill_body_budget():
            holder.close()

        def served() -> bool:
            caller = self.caller(f"Content-Length: {LONG}")
            caller.send(b"x" * LONG)
            return caller.answer()[0] == 200

        wait_until(served, "the bytes are released")

    def test_caller_that_keeps_sending_receives_the_refusal(self) -> None:
        """Guards against a refusal that is lost: closing a connection with unread body bytes
        resets it, and the reset can discard the answer."""
        self.fill_body_budget()
        for framing, length, status in (
                (f"Content-Length: {LONG}", LONG, 503),
                (f"Content-Length: {30 * BODY_LIMIT}", 30 * BODY_LIMIT, 413)):
            with self.subTest(status=status):
                caller = self.caller(framing)
                caller.send(b"x" * length)
                self.assertEqual(caller.answer()[0], status)


if __name__ == "__main__":
    unittest.main()
