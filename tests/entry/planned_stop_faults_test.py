"""Combines planned stops with other faults: pauses of the process, slow callers, servers
that end or hang, and changed settings. A review of the first fix of issue 19 found them.

The tests do not depend on the speed of the machine, except that a paused process is late by
the length of its pause.
"""

from __future__ import annotations

import os
import resource
import signal
import socket
import threading
import time
import unittest

from planned_stop_case import (GRACE_S, HANG_LIMIT_S, BackendServer, Caller, Instance,
                               PlannedStopCase, Store, configuration, head, wait_until)

STREAM_HEAD = {"X-Server-Seal": "s", "Content-Type": "text/event-stream",
               "Transfer-Encoding": "chunked"}
# A caller with a small buffer needs some seconds to read this answer.
LONG_ANSWER = b"q" * 60000
SMALL_BUFFER = 4096
# Time after SIGTERM at which an instance with GRACE_S cuts open requests and answers them.
CUT_S = GRACE_S - 0.6
END_S = GRACE_S - 0.2


def begin_stream(call, headers: dict[str, str]) -> None:
    call.send_response(200)
    for name, value in {**headers, **STREAM_HEAD}.items():
        call.send_header(name, value)
    call.end_headers()


def send_event(call, number: int, data: bytes = b"1") -> None:
    event = b"id: %d\ndata: %s\n\n" % (number, data)
    call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))


class PlannedStopFaultsTest(PlannedStopCase):
    """Combines a stop with one other fault."""

    def signal(self, number: int) -> None:
        self.instance.process.send_signal(number)

    def start_request_at_server(self, hold: float) -> Caller:
        """Returns a caller whose request runs at the plain server for `hold` seconds."""
        self.plain.answer_delay_s = hold
        caller = self.caller()
        caller.send(head(id="run") + "x")
        wait_until(lambda: self.plain.ran, "the request runs")
        return caller

    def pause_between(self, began: float, first: float, last: float) -> None:
        """Pauses the process from `first` to `last` seconds after `began`."""
        time.sleep(max(0.0, began + first - time.monotonic()))
        self.signal(signal.SIGSTOP)
        time.sleep(max(0.0, began + last - time.monotonic()))
        self.signal(signal.SIGCONT)

    def kill_after_grace(self, began: float, caller: Caller, grace: float) -> bytes:
        """Kills the process at the end of its grace time, as the platform would, and returns the
        caller's answer."""
        answers: list[bytes] = []
        reader = threading.Thread(target=lambda: answers.append(caller.answer()))
        reader.start()
        time.sleep(max(0.0, began + grace - time.monotonic()))
        self.instance.process.kill()
        reader.join()
        return answers[0]

    def assert_answered(self, answer: bytes) -> None:
        self.assertRegex(answer, rb"^HTTP/1.1 (200|503) ")
        self.assertNotIn(b"(reset)", answer)

    def test_pause_across_the_end_of_the_intake_waiting_callers_are_answered(self) -> None:
        """Guards against a process that ends without closing its intake: callers that waited
        to be accepted got a reset."""
        self.terminate()
        self.signal(signal.SIGSTOP)
        time.sleep(3.3)
        callers = [self.caller() for _ in range(3)]
        for number, caller in enumerate(callers[1:], start=1):
            caller.send(head(id=f"r{number}") + "x")
        self.signal(signal.SIGCONT)
        for caller in callers[1:]:
            self.assert_answered(caller.answer())

    def test_pause_across_the_cut_callers_are_told_all_the_same(self) -> None:
        """Guards against a process that ends without cutting its open requests first."""
        caller = self.start_request_at_server(2 * GRACE_S)
        began = time.monotonic()
        self.terminate()
        self.pause_between(began, CUT_S - 0.2, END_S + 0.05)
        self.assertTrue(caller.answer().startswith(b"HTTP/1.1 502"))

    def test_grace_time_counts_from_a_signal_sent_during_a_pause(self) -> None:
        """Guards against a grace time that is counted from the handling of the signal: the
        process was killed while it still expected some seconds."""
        caller = self.start_request_at_server(2 * GRACE_S)
        self.signal(signal.SIGSTOP)
        time.sleep(0.2)
        began = time.monotonic()
        self.signal(signal.SIGTERM)
        time.sleep(GRACE_S / 2)
        self.signal(signal.SIGCONT)
        answer = self.kill_after_grace(began, caller, GRACE_S)
        self.assertTrue(answer.startswith(b"HTTP/1.1 502"), answer)

    def test_settings_changed_right_before_the_signal_count(self) -> None:
        """Guards against a grace time that is no longer the one in the settings file."""
        caller = self.start_request_at_server(2 * GRACE_S)
        text = self.instance.settings.read_text(encoding="utf-8")
        self.instance.settings.write_text(text.replace("grace_s=8", "grace_s=4"),
                                          encoding="utf-8")
        began = time.monotonic()
        self.terminate()
        answer = self.kill_after_grace(began, caller, 4.0)
        self.assertTrue(answer.startswith(b"HTTP/1.1 502"), answer)

    def test_refusal_after_a_head_request_still_has_its_body(self) -> None:
        """Guards against a refusal that announces a body and has none because the previous
        request on the connection was a HEAD."""
        caller = self.caller()
        caller.send(head("/status/a", method="HEAD", length=0))
        caller.socket.recv(65536)
        caller.send(head(id="half", length=2) + "x")
        wait_until(lambda: self.instance.events(1100), "the first request is answered")
        self.terminate()
        answer = caller.answer()
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertTrue(answer.endswith(b'{"error":{"code":"draining"}}'), answer)

    def test_no_descriptors_as_the_intake_closes_waiting_caller_is_answered(self) -> None:
        """Guards against closing the port while waiting callers cannot be accepted for lack of
        file descriptors."""
        idle = [self.caller() for _ in range(30)]
        for caller in idle:
            caller.send(head("/open/a", id="i", length=0))
            caller.socket.recv(65536)
        process = self.instance.process.pid
        limit = max(map(int, os.listdir(f"/proc/{process}/fd"))) + 1
        resource.prlimit(process, resource.RLIMIT_NOFILE, (limit, limit))
        waiting = self.caller()
        waiting.send(head(id="w") + "x")
        time.sleep(0.2)
        self.terminate()
        self.assert_answered(waiting.answer())

    def test_caller_that_was_not_told_to_close_may_send_once_more(self) -> None:
        """Guards against a kept connection that is closed when its answer ends, although the
        head was sent before SIGTERM and did not announce the close."""
        def stream(call, headers) -> None:
            begin_stream(call, headers)
            for number in range(1, 9):
                send_event(call, number)
                time.sleep(0.5)
            call.wfile.write(b"0\r\n\r\n")

        self.runner._stream = stream
        caller = self.caller()
        caller.send(head("/draft/a", id="s") + "x")
        received = b""
        while b"id: 1" not in received:
            received += caller.socket.recv(65536)
        self.terminate()
        while not received.endswith(b"0\r\n\r\n"):
            received += caller.socket.recv(65536)
        time.sleep(0.1)
        caller.send(head(id="next") + "x")
        self.assert_answered(caller.answer())

    def test_caller_that_takes_its_answer_slowly_gets_all_of_it(self) -> None:
        """Guards against a reset one second after the answer was written, caused by unread
        bytes of the next request."""
        self.plain._run = lambda call, body: call.answer(
            200, LONG_ANSWER, {"X-Request-Id": call.headers["X-Request-Id"],
                               "X-Server-Seal": "s"})
        caller = self.caller(SMALL_BUFFER)
        self.terminate()
        began = time.monotonic()
        caller.send(head() + "x")
        taken = 0
        more = head(id="r2") + "x"
        while taken < len(LONG_ANSWER):
            time.sleep(0.04)
            piece = caller.socket.recv(1000)
            self.assertTrue(piece, f"the answer ended after {taken} bytes")
            taken += len(piece)
            if more and time.monotonic() - began > 1.4:
                caller.send(more)
                more = ""

    def test_http_1_0_caller_can_tell_a_cut_stream_from_a_complete_one(self) -> None:
        """Guards against a cut stream that looks complete to an HTTP/1.0 caller, for which the
        end of the connection is the end of the answer."""
        def stream(call, headers) -> None:
            begin_stream(call, headers)
            try:
                for number in range(1, 4000):
                    send_event(call, number, b"z" * 30000)
                call.wfile.write(b"0\r\n\r\n")
            except OSError:
                pass

        self.runner._stream = stream
        caller = self.caller(SMALL_BUFFER)
        self.terminate()
        caller.send(head("/draft/a", id="s", version="1.0") + "x")
        with self.assertRaises(ConnectionError):
            while self.instance.process.poll() is None:
                self.assertTrue(caller.socket.recv(2000))
                time.sleep(0.02)
            while caller.socket.recv(65536):
                pass

    def test_request_waiting_for_a_connection_at_the_cut_is_answered(self) -> None:
        """Guards against a caller that gets no answer because its request was waiting for a
        connection to a server when open requests were cut."""
        hanging = socket.socket()
        hanging.bind(("127.0.0.1", 0))
        hanging.listen(0)
        fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(hanging.getsockname())
            fillers.append(filler)
        # The requests fail at the working server shortly before the cut and move to the other.
        self.plain.mode = "reset"
        self.plain.answer_delay_s = CUT_S - 0.12
        self.terminate()
        callers = []
        for number in range(12):
            callers.append(self.caller())
            callers[-1].send(head("/status/a", id=f"c{number}") + "x")
            time.sleep(0.01)
        self.store.put("servers", "p1", {
            "service": "plain", "address": "127.0.0.1:%d" % hanging.getsockname()[1],
            "zone": "a", "slots": 4, "state": "ready", "seq": 1, "born": 1, "models": []})
        answers = [caller.answer() for caller in callers]
        self.assertEqual([answer[:10] for answer in answers], [b"HTTP/1.1 5"] * len(callers))
        for service in (hanging, *fillers):
            service.close()


class PauseBeforeSignalTest(PlannedStopCase):
    """The process does not run for a while before it is told to stop."""

    resumable = False

    def stream_until(self, seconds: float) -> Caller:
        """Returns a caller whose stream has begun and ends after this time."""
        def stream(call, headers) -> None:
            begin_stream(call, headers)
            for number in range(1, 11):
                send_event(call, number)
                time.sleep(seconds / 10)
            call.wfile.write(b"0\r\n\r\n")

        self.runner._stream = stream
        caller = self.caller()
        caller.send(head("/draft/a", id="s") + "x")
        self.received = b""
        while b"id: 1" not in self.received:
            self.received += caller.socket.recv(65536)
        return caller

    def terminate_after_pause(self, seconds: float) -> None:
        """Pauses the process for this time and sends SIGTERM at the end of the pause."""
        self.instance.process.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.instance.process.send_signal(signal.SIGTERM)
        self.instance.process.send_signal(signal.SIGCONT)

    def test_begun_stream_may_use_the_whole_grace_time(self) -> None:
        """Guards against a stream that is cut early because SIGTERM may have come at the
        begin of the pause."""
        caller = self.stream_until(9.0)
        self.terminate_after_pause(2.5)
        answer = self.received + caller.answer()
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer)
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)

    def test_new_callers_are_served_until_the_platform_knows(self) -> None:
        """Guards against a port that is closed as the pause ends, because the time for which
        new connections are served was counted from the pause's begin."""
        self.terminate_after_pause(3.0)
        time.sleep(1.0)
        caller = self.caller()
        caller.send(head() + "x")
        self.assertTrue(caller.answer().startswith(b"HTTP/1.1 200 "))


class PlannedStopUploadTest(PlannedStopCase):
    """Tests stops while callers send long bodies."""

    limits = {"max_body_bytes": 60_000_000, "idle_timeout_ms": 60_000}

    def test_body_unread_as_the_grace_time_ends_is_answered(self) -> None:
        """Guards against a cut that is lost because it happens between two reads of a body."""
        caller = self.caller()
        caller.send(head(id="up", length=5_000_000) + "x")
        wait_until(lambda: self.instance.state()["open_requests"] == 0, "nothing runs")
        began = time.monotonic()
        self.terminate()
        time.sleep(max(0.0, began + CUT_S - 0.3 - time.monotonic()))
        self.instance.process.send_signal(signal.SIGSTOP)
        caller.send("y" * 200_000)
        time.sleep(max(0.0, began + CUT_S + 0.1 - time.monotonic()))
        self.instance.process.send_signal(signal.SIGCONT)
        answer = caller.answer()
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)


class PlannedStopResumeTest(unittest.TestCase):
    """Uses two instances and two runners, one of which holds no model."""

    def test_stream_whose_runner_is_lost_during_a_stop_resumes_elsewhere(self) -> None:
        """Guards against a stopping instance that gives up a started stream which has to wait
        until its model is loaded at another runner."""
        store = Store()
        config = configuration(1, ["k1"])
        store.put("op", "config", config)
        first = BackendServer(store, "r0", "llm", ["m1"])
        second = BackendServer(store, "r1", "llm", [])
        hub = Instance(store, "n2")
        hub.wait_until_serving(servers=2)
        stopped = Instance(store, "n1")
        stopped.wait_until_serving(servers=2)
        wait_until(lambda: stopped.state()["hub"]["answers"], "n1 found the hub")

        def run(call, body) -> None:
            begin_stream(call, {"X-Request-Id": call.headers["X-Request-Id"]})
            for number in range(1, 4):
                send_event(call, number, b"%d" % number)
                time.sleep(0.2)
            store.remove("servers", "r0")
            second.order_delays_s = [0.5]
            time.sleep(0.45)
            call.drop()

        first._run = run
        try:
            caller = Caller(stopped)
            caller.send(head("/draft/a", id="s") + "x")
            received = caller.socket.recv(65536)
            stopped.process.send_signal(signal.SIGTERM)
            received += caller.answer()
            self.assertEqual(received.count(b"data:"), 5, received)
            self.assertTrue(received.endswith(b"0\r\n\r\n"), received)
            self.assertEqual(stopped.process.wait(HANG_LIMIT_S), 0)
        finally:
            for service in (stopped, hub, first, second, store):
                service.close()


if __name__ == "__main__":
    unittest.main()
