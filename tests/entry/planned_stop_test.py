"""Stops real instances with SIGTERM while callers are at every step of a request.

Nothing here depends on how fast the machine is: conditions are waited for, with a limit
that only ends a hanging test.
"""

from __future__ import annotations

import signal
import socket
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import HANG_LIMIT_S, Instance, configuration, wait_until  # noqa: E402
from platform_fleet import BackendServer, Store  # noqa: E402

HEAD = ("POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Model: m1\r\n"
        "X-Deadline-Ms: 10000\r\nAuthorization: Token k1\r\nContent-Length: {length}\r\n\r\n")
# Longer than an instance lives on after the last request that it has seen.
SERVICE_TIME_S = 1.0


class Caller:
    """A connection on which bytes are sent and read as they are."""

    def __init__(self, instance: Instance) -> None:
        self.socket = socket.create_connection(("127.0.0.1", instance.front), HANG_LIMIT_S)

    def send(self, text: str) -> None:
        self.socket.sendall(text.encode())

    def answer(self) -> bytes:
        """Returns all bytes until the connection ends."""
        received = b""
        try:
            while piece := self.socket.recv(65536):
                received += piece
        except ConnectionError:
            received += b"(reset)"
        self.socket.close()
        return received


class PlannedStopTest(unittest.TestCase):
    """One store, a plain server, a runner and one instance for each test."""

    def setUp(self) -> None:
        self.store = Store()
        self.store.put("op", "config", configuration(1, ["k1"]))
        self.plain = BackendServer(self.store, "p0", "plain")
        self.runner = BackendServer(self.store, "r0", "llm", ["m1"])
        self.instance = Instance(self.store, "n1")
        self.instance.wait_until_serving(servers=2)

    def tearDown(self) -> None:
        self.instance.close()
        for service in (self.plain, self.runner, self.store):
            service.close()

    def terminate(self) -> None:
        self.instance.process.send_signal(signal.SIGTERM)
        wait_until(lambda: self.instance.events(1161), "the instance shuts down")

    def wait_until_intake_closes(self) -> None:
        wait_until(lambda: self.instance.events(1166), "no more connections are taken")

    def assert_ended_well(self) -> None:
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)
        (stopped,) = self.instance.events(1162)
        self.assertEqual(stopped["reason"], "finished")
        self.assertEqual((stopped["reading"], stopped["serving"]), (0, 0))

    def test_request_half_read_as_the_intake_closes_is_answered(self) -> None:
        """Guards against a request that runs and is cut because the shutdown did not see
        it: its bytes were still coming as the instance stopped to take connections (issue
        19, grown/nilerest-ops-grown, LOST)."""
        self.plain.hold = SERVICE_TIME_S
        head = HEAD.format(path="/book/a", id="r1", length=1)
        caller = Caller(self.instance)
        caller.send(head[:60])
        self.terminate()
        self.wait_until_intake_closes()
        caller.send(head[60:] + "x")
        answer = caller.answer()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertTrue(answer.endswith(b"done by p0"), answer)
        self.assert_ended_well()


if __name__ == "__main__":
    unittest.main()
