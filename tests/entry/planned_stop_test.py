"""Stops real instances with SIGTERM while requests are in different stages.

The tests wait for conditions, with a limit that only ends a hanging test, so that they depend
little on the speed of the machine. A few also check elapsed times against the grace time or
half of it.
"""

from __future__ import annotations

import contextlib
import signal
import threading
import time
import unittest
from collections.abc import Callable

from planned_stop_case import (GRACE_S, HANG_LIMIT_S, INTAKE_CLOSED_AFTER_S, SERVICE_TIME_S,
                               BackendServer, Caller, PlannedStopCase, head, wait_until)


class PlannedStopTest(PlannedStopCase):
    """Stops an instance while requests are unread, partly read, running or absent."""

    def test_request_half_read_as_the_intake_closes_is_answered(self) -> None:
        """Guards against a shutdown that overlooks and cuts a request whose bytes are still
        arriving as the instance stops accepting connections (issue 19)."""
        self.plain.answer_delay_s = SERVICE_TIME_S
        request = head() + "x"
        caller = self.caller()
        caller.send(request[:60])
        self.terminate()
        self.wait_until_intake_closes()
        caller.send(request[60:])
        answer = caller.answer()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertTrue(answer.endswith(b"done by p0"), answer)
        self.assert_stopped_cleanly()

    def terminate_and_pause_past_intake_end(self) -> None:
        """Sends SIGTERM, then SIGSTOP, and waits past the time at which the process would have
        closed its intake. The test has to resume the process."""
        self.terminate()
        self.instance.process.send_signal(signal.SIGSTOP)
        time.sleep(INTAKE_CLOSED_AFTER_S)

    def test_request_unread_as_the_intake_closes_is_answered(self) -> None:
        """Guards against a close that resets a connection with an unread request: a new
        connection that has not been accepted, and an idle keep-alive connection."""
        keep_alive = self.caller()
        keep_alive.send(head(id="r1", length=1) + "x")
        wait_until(lambda: self.instance.events(1100), "the first request is answered")
        self.assertIn(b"done by p0", keep_alive.socket.recv(65536))
        self.terminate_and_pause_past_intake_end()
        fresh = self.caller()
        for number, caller in enumerate((keep_alive, fresh), start=2):
            caller.send(head(id=f"r{number}", length=1) + "x")
        self.instance.process.send_signal(signal.SIGCONT)
        for caller in (keep_alive, fresh):
            answer = caller.answer()
            self.assertRegex(answer, rb"^HTTP/1.1 (200|503) ")
            self.assertNotIn(b"(reset)", answer)
        self.assert_stopped_cleanly()

    def test_request_pipelined_behind_the_last_answer_does_not_lose_it(self) -> None:
        """Guards against an answer that is lost in a reset because bytes of the next request
        were unread when the connection closed."""
        self.plain.answer_delay_s = SERVICE_TIME_S
        caller = self.caller()
        caller.send(head(id="r1", length=1) + "x")
        wait_until(lambda: self.plain.ran, "the request runs")
        self.terminate()
        caller.send(head(id="r2", length=90000) + "y" * 90000)
        answer = caller.answer()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertTrue(answer.endswith(b"done by p0"), answer)
        self.assertEqual(len(self.plain.ran), 1)
        self.assert_stopped_cleanly()

    def test_repeated_signals_neither_restart_nor_end_a_shutdown(self) -> None:
        """Guards against a second SIGTERM or a SIGHUP that restarts the shutdown or ends it
        early."""
        self.plain.answer_delay_s = SERVICE_TIME_S
        self.terminate()
        caller = self.caller()
        caller.send(head(id="r1", length=1) + "x")
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGTERM):
            self.instance.process.send_signal(number)
        self.assertTrue(caller.answer().endswith(b"done by p0"))
        self.assert_stopped_cleanly()
        self.assertEqual(len(self.instance.events(1161)), 1)

    def test_store_that_does_not_answer_does_not_delay_the_closing_of_the_intake(self) -> None:
        """Guards against a shutdown that waits for the store and is therefore killed before it
        has closed its caller connections. The exit itself is bounded by HANG_LIMIT_S only."""
        self.store.delay_s = HANG_LIMIT_S
        self.terminate()
        self.wait_until_intake_closes()
        began = self.instance.events(1161)[0]["time_ms"]
        closed = self.instance.events(1166)[0]["time_ms"]
        self.assertLess(closed - began, 1000 * GRACE_S / 2)
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)
        self.store.delay_s = 0.0

    def test_requests_open_as_the_grace_time_ends_are_answered(self) -> None:
        """Guards against callers that get no answer when the grace time runs out, and against a
        503, which states that the request did not run, for a running request. The instance
        answers open requests shortly before the grace time ends."""
        self.plain.answer_delay_s = 2 * GRACE_S
        running = self.caller()
        running.send(head(id="run", length=1) + "x")
        wait_until(lambda: self.plain.ran, "the request runs")
        reading = self.caller()
        reading.send(head(id="half", length=2) + "x")
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

    def test_idle_instance_stops_well_before_the_grace_time_ends(self) -> None:
        """Guards against a shutdown that goes on waiting although no request is open."""
        idle = self.caller()
        self.terminate()
        self.assertEqual(idle.answer(), b"")
        self.assert_stopped_cleanly()
        began = self.instance.events(1161)[0]["time_ms"]
        ended = self.instance.events(1162)[0]["time_ms"]
        self.assertLess(ended - began, 1000 * GRACE_S / 2)


class LateBodyTest(PlannedStopCase):
    """The last byte of a request arrives later after SIGTERM than a new request may."""

    resumable = False
    # Later than 3 s after SIGTERM, up to which a client counts on a request being finished.
    last_byte_after_s = 3.2

    def answer_to_late_body(self, path: str, deadline_ms: int) -> bytes:
        """Sends a request but for its last byte before SIGTERM, and that byte late."""
        request = head(path, id="late").replace("X-Deadline-Ms: 60000",
                                                f"X-Deadline-Ms: {deadline_ms}")
        caller = self.caller()
        caller.send(request)
        self.terminate()
        began = time.monotonic()
        time.sleep(max(0.0, began + self.last_byte_after_s - time.monotonic()))
        caller.send("x")
        return caller.answer()

    def test_stream_that_may_outlast_the_grace_time_is_refused(self) -> None:
        """Guards against a stream whose request ends late after SIGTERM, is passed on because
        its first byte came early, and is cut as the grace time ends."""
        self.runner.silences_s = {2: 2.0 * GRACE_S}
        answer = self.answer_to_late_body("/draft/a", 60_000)
        self.assertRegex(answer, rb"^HTTP/1.1 503 ")
        self.assertIn(b'"draining"', answer)
        self.assertEqual(self.runner.ran, [])
        self.assert_stopped_cleanly()

    def test_stream_that_ends_within_the_grace_time_is_served(self) -> None:
        """Guards against a refusal of what can still be served."""
        answer = self.answer_to_late_body("/draft/a", 2000)
        self.assertEqual(answer.count(b"data:"), 5, answer)
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)
        self.assert_stopped_cleanly()

    def test_plain_request_is_answered(self) -> None:
        """Guards against a refusal where the caller would get an answer in any case: a plain
        request that is still open as the grace time ends gets 502."""
        self.plain.answer_delay_s = SERVICE_TIME_S
        answer = self.answer_to_late_body("/book/a", 60_000)
        self.assertTrue(answer.endswith(b"done by p0"), answer)
        self.assert_stopped_cleanly()


class ShortGraceTimeTest(PlannedStopCase):
    """The grace time is shorter than the usual steps of a stop."""

    resumable = False

    def terminate_with_grace_time(self, grace_s: int) -> None:
        """The instance reads its settings again when it is told to stop."""
        text = self.instance.settings.read_text(encoding="utf-8")
        self.instance.settings.write_text(
            text.replace(f"grace_s={GRACE_S}", f"grace_s={grace_s}"), encoding="utf-8")
        self.terminate()

    def test_request_that_is_done_before_the_last_sixth_is_answered(self) -> None:
        """Guards against a request sent at once after SIGTERM that is refused or cut, because
        the time before the cut is fixed and takes up most of a short grace time."""
        self.plain.answer_delay_s = 0.4
        self.terminate_with_grace_time(1)
        caller = self.caller()
        caller.send(head() + "x")
        answer = caller.answer()
        self.assertTrue(answer.endswith(b"done by p0"), answer)
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)

    def test_stream_that_is_done_before_the_last_sixth_is_not_cut(self) -> None:
        """Guards against a cut of begun answers at a fixed time before the end of the grace
        time, which comes before its last sixth."""
        self.runner.silences_s = {3: 1.45}
        caller = self.caller()
        self.terminate_with_grace_time(2)
        caller.send(head("/draft/a", id="s") + "x")
        answer = caller.answer()
        self.assertEqual(answer.count(b"data:"), 5, answer)
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)


class LateRequestTest(PlannedStopCase):
    """Requests arrive one after the other until the grace time has ended."""

    # Service times of the two servers, in seconds.
    service_times_s = (0.5, 2.5)
    interval_s = 0.1

    def send_until_the_end(self, callers: Callable[[int], Caller]) -> dict[str, bytes]:
        """Sends a request that must not be repeated at each interval, on the caller with its
        number; returns the answers by the requests' ids."""
        answers: dict[str, bytes] = {}

        def exchange(number: int) -> None:
            with contextlib.suppress(OSError):
                caller = callers(number)
                caller.send(head(id=f"r{number}") + "x")
                answers[f"r{number}"] = caller.answer()

        self.terminate()
        began = time.monotonic()
        threads = []
        for number in range(round(GRACE_S / self.interval_s)):
            time.sleep(max(0.0, began + number * self.interval_s - time.monotonic()))
            threads.append(threading.Thread(target=exchange, args=(number,)))
            threads[-1].start()
        for thread in threads:
            thread.join(HANG_LIMIT_S)
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)
        return answers

    def check_answers(self, callers: Callable[[int], Caller]) -> None:
        """Checks that each request that a server ran has an answer, and that none of these says
        that it did not run."""
        self.plain.answer_delay_s = self.service_times_s[0]
        slow = BackendServer(self.store, "p1", "plain")
        self.addCleanup(slow.close)
        slow.answer_delay_s = self.service_times_s[1]
        self.instance.wait_until_serving(servers=3)
        answers = self.send_until_the_end(callers)
        ran = {run["id"] for server in (self.plain, slow) for run in server.ran}
        self.assertGreater(len(ran & answers.keys()), 10)
        for name in sorted(ran & answers.keys()):
            with self.subTest(request=name):
                self.assertRegex(answers[name], rb"(?s)^HTTP/1.1 (200|502) .*\r\n\r\n.")
        self.assertEqual({name for name in ran if name.startswith("r")} - answers.keys(), set())

    def test_request_on_a_new_connection_late_in_the_grace_time_is_not_lost(self) -> None:
        """Guards against a request that is taken after SIGTERM, passed on, and cut without an
        answer as the grace time ends."""
        self.check_answers(lambda _: self.caller())

    def test_request_on_a_kept_connection_late_in_the_grace_time_is_not_lost(self) -> None:
        """Guards against the same on connections that were open before SIGTERM."""
        kept = [self.caller() for _ in range(round(GRACE_S / self.interval_s))]
        self.check_answers(lambda number: kept[number])


if __name__ == "__main__":
    unittest.main()
