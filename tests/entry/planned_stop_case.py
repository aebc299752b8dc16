"""Shared by the tests of planned stops: raw callers, and a test case with one instance."""

from __future__ import annotations

import signal
import socket
import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import HANG_LIMIT_S, Instance, configuration, wait_until  # noqa: E402
from platform_fleet import BackendServer, Store  # noqa: E402

HEAD = ("{method} {path} HTTP/{version}\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Model: m1\r\n"
        "X-Deadline-Ms: 60000\r\nAuthorization: Token k1\r\nContent-Length: {length}\r\n\r\n")


def head(path: str = "/book/a", id: str = "r1", length: int = 1, method: str = "POST",
         version: str = "1.1") -> str:
    return HEAD.format(path=path, id=id, length=length, method=method, version=version)


# Time that the backend server takes for a request. It is longer than the time without traffic
# after which a stopping instance closes a connection (idle_close_delay), so that an instance
# that overlooks an open request stops before the answer.
SERVICE_TIME_S = 1.0
# Longer than an instance accepts connections after SIGTERM.
INTAKE_CLOSED_AFTER_S = 2.8
# The instance's setting `bounds.grace_s`.
GRACE_S = 8


class Caller:
    """A connection on which raw bytes are sent and received."""

    def __init__(self, instance: Instance, receive_buffer: int = 0,
                 segment_bytes: int = 0) -> None:
        """Connects to the instance. A small `receive_buffer`, in bytes, blocks the sender of a
        long answer until the caller reads it. `segment_bytes` limits the TCP segments, and with
        them how much the sender's kernel buffers."""
        self.socket = socket.socket()
        if segment_bytes:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, segment_bytes)
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(HANG_LIMIT_S)
        try:
            self.socket.connect(("127.0.0.1", instance.front_port))
        except OSError:
            self.socket.close()
            raise

    def send(self, text: str) -> None:
        self.socket.sendall(text.encode())

    def answer(self) -> bytes:
        """Returns all bytes until the connection ends; ends them with "(reset)" after a reset."""
        received = b""
        try:
            while piece := self.socket.recv(65536):
                received += piece
        except ConnectionError:
            received += b"(reset)"
        self.socket.close()
        return received


class PlannedStopCase(unittest.TestCase):
    """Starts one store, a backend server that is not a runner, a runner and one instance for
    each test.

    The tests name log events by number (src/state/entry/entry_event.hpp): 1100 request_ended,
    1161 instance_draining, 1162 instance_stopped, 1166 intake_closed, 1167 requests_cut.
    """

    # Overrides of the configuration's limits.
    limits: dict[str, int] = {}
    # Whether another run may continue a stream.
    resumable = True

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"])
        config["limits"].update(self.limits)
        for entry in config["routes"]:
            entry["timeout_ms"] = 1000 * HANG_LIMIT_S
            entry["resumable"] = entry["kind"] == "streaming" and self.resumable
        # The table "op" contains the operators' configuration.
        self.store.put("op", "config", config)
        self.plain = BackendServer(self.store, "p0", "plain")
        self.runner = BackendServer(self.store, "r0", "llm", ["m1"])
        self.instance = Instance(self.store, "n1")
        self.instance.wait_until_serving(servers=2)

    def tearDown(self) -> None:
        self.instance.close()
        for service in (self.plain, self.runner, self.store):
            service.close()

    def caller(self, receive_buffer: int = 0, segment_bytes: int = 0) -> Caller:
        caller = Caller(self.instance, receive_buffer, segment_bytes)
        self.addCleanup(caller.socket.close)
        return caller

    def terminate(self) -> None:
        self.instance.process.send_signal(signal.SIGTERM)
        wait_until(lambda: self.instance.events(1161), "the instance shuts down")

    def wait_until_intake_closes(self) -> None:
        wait_until(lambda: self.instance.events(1166), "the instance accepts no more connections")

    def assert_stopped_cleanly(self) -> None:
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)
        (stopped,) = self.instance.events(1162)
        self.assertEqual(stopped["reason"], "finished")
        self.assertEqual((stopped["reading"], stopped["serving"]), (0, 0))
