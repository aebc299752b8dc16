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
# Longer than an instance takes connections after SIGTERM.
NOTICE_S = 2.8
# `bounds.grace_s` of the instance.
GRACE_S = 8


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

    def terminate_and_pause_past_notice(self) -> None:
        """Sends SIGTERM to a process that does not run again before it closes its intake."""
        self.terminate()
        self.instance.process.send_signal(signal.SIGSTOP)
        time.sleep(NOTICE_S)

    def test_request_unread_as_the_intake_closes_is_answered(self) -> None:
        """Guards against a close that resets a connection whose request has arrived and was
        not read: on a new connection that was not accepted, and on a kept one."""
        kept = Caller(self.instance)
        kept.send(HEAD.format(path="/book/a", id="r1", length=1) + "x")
        wait_until(lambda: self.instance.events(1100), "the first request is answered")
        self.assertIn(b"done by p0", kept.socket.recv(65536))
        self.terminate_and_pause_past_notice()
        fresh = Caller(self.instance)
        for number, caller in enumerate((kept, fresh), start=2):
            caller.send(HEAD.format(path="/book/a", id=f"r{number}", length=1) + "x")
        self.instance.process.send_signal(signal.SIGCONT)
        for caller in (kept, fresh):
            answer = caller.answer()
            self.assertRegex(answer, rb"^HTTP/1.1 (200|503) ")
            self.assertNotIn(b"(reset)", answer)
        self.assert_ended_well()

    def test_request_pipelined_behind_the_last_answer_does_not_lose_it(self) -> None:
        """Guards against an answer that is lost in a reset, because bytes of a next request
        were unread as its connection closed."""
        self.plain.hold = SERVICE_TIME_S
        caller = Caller(self.instance)
        caller.send(HEAD.format(path="/book/a", id="r1", length=1) + "x")
        wait_until(lambda: self.plain.ran, "the request runs")
        self.terminate()
        caller.send(HEAD.format(path="/book/a", id="r2", length=90000) + "y" * 90000)
        answer = caller.answer()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertTrue(answer.endswith(b"done by p0"), answer)
        self.assertEqual(len(self.plain.ran), 1)
        self.assert_ended_well()

    def test_signals_in_series_change_nothing_of_a_shutdown(self) -> None:
        """Guards against a second SIGTERM or a SIGHUP that begins the shutdown anew or ends
        it early."""
        self.plain.hold = SERVICE_TIME_S
        self.terminate()
        caller = Caller(self.instance)
        caller.send(HEAD.format(path="/book/a", id="r1", length=1) + "x")
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
            self.instance.process.send_signal(number)
        self.assertTrue(caller.answer().endswith(b"done by p0"))
        self.assert_ended_well()
        self.assertEqual(len(self.instance.events(1161)), 1)

    def test_store_that_does_not_answer_delays_no_step_of_a_shutdown(self) -> None:
        """Guards against a shutdown that waits for the store, and is killed with callers on
        connections that it has not closed."""
        self.store.delay_s = HANG_LIMIT_S
        self.terminate()
        self.wait_until_intake_closes()
        began = self.instance.events(1161)[0]["time_ms"]
        closed = self.instance.events(1166)[0]["time_ms"]
        self.assertLess(closed - began, 1000 * GRACE_S / 2)
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)
        self.store.delay_s = 0.0

    def test_requests_open_as_the_grace_time_ends_are_told_how_far_they_went(self) -> None:
        """Guards against callers that hear nothing when the grace time runs out, and against
        "not run" for a request that runs."""
        self.plain.hold = 2 * GRACE_S
        running = Caller(self.instance)
        running.send(HEAD.format(path="/book/a", id="run", length=1) + "x")
        wait_until(lambda: self.plain.ran, "the request runs")
        reading = Caller(self.instance)
        reading.send(HEAD.format(path="/book/a", id="half", length=2) + "x")
        began = time.monotonic()
        self.terminate()
        self.assertTrue(running.answer().startswith(b"HTTP/1.1 502"))
        refused = reading.answer()
        self.assertTrue(refused.startswith(b"HTTP/1.1 503"), refused)
        self.assertIn(b"Retry-After", refused)
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)
        self.assertLess(time.monotonic() - began, GRACE_S)
        (cut,) = self.instance.events(1167)
        self.assertEqual((cut["reading"], cut["serving"]), (1, 1))
        self.assertEqual([run["id"] for run in self.plain.ran], ["run"])

    def test_nothing_open_ends_as_soon_as_callers_have_gone_elsewhere(self) -> None:
        """Guards against a shutdown that waits for nothing."""
        idle = Caller(self.instance)
        self.terminate()
        self.assertEqual(idle.answer(), b"")
        self.assert_ended_well()
        began = self.instance.events(1161)[0]["time_ms"]
        ended = self.instance.events(1162)[0]["time_ms"]
        self.assertLess(ended - began, 1000 * GRACE_S / 2)


if __name__ == "__main__":
    unittest.main()
