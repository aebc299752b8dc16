"""Tests that no timer of an instance process ends an answer that its backend server goes on with.

Each test lets one side be slow in a way that is no fault: a server that is silent or reads late, a
caller that reads late, or an instance that does not run for a while.
"""

from __future__ import annotations

import re
import signal
import socket
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import HANG_LIMIT_S, Instance, configuration, wait_until  # noqa: E402
from planned_stop_case import Caller, PlannedStopCase, head  # noqa: E402
from platform_fleet import BackendServer, Store  # noqa: E402

# Longer than the instance's limit for one write to a caller (write_timeout).
LONG_SILENCE_S = 11.0
# Read by the instance in several pieces.
LONG_EVENT_BYTES = 20_000
WHOLE_STREAM = [1, 2, 3, 4, 5]
# The instance's limit for a write to a caller that takes nothing (write_timeout), in seconds.
WRITE_LIMIT_S = 10.0
# Time for the instance to notice and log that the limit has passed, in seconds.
NOTICE_S = 4.0
# Maximum TCP segment of a network with Ethernet frames. Loopback has segments of 64 KB, which
# make the kernel buffer megabytes of an answer for a caller that reads nothing.
ETHERNET_SEGMENT_BYTES = 1448
# Longer than the kernel's buffers of such a connection, so that a write of it blocks.
BLOCKING_EVENT_BYTES = 240_000
# Longer than the receive buffer of a slow caller, and shorter than both buffers.
BUFFERED_EVENT_BYTES = 20_000


def event_ids(answer: bytes) -> list[int]:
    """Returns the ids of the events; 0 is appended if the answer does not end."""
    ids = [int(number) for number in re.findall(rb"^id: (\d+)", answer, re.MULTILINE)]
    return ids if answer.endswith(b"0\r\n\r\n") else [*ids, 0]


def last_request(path: str) -> str:
    """Returns a request after whose answer the connection ends."""
    return head(path, id="s").replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n") + "x"


class AnswerDeadlinesCase(PlannedStopCase):
    """Starts a store, a runner, a plain server and one instance."""

    more_settings = ""
    resumable = False

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"])
        for route in config["routes"]:
            route["timeout_ms"] = 35_000
        config["routes"][2].update(resumable=self.resumable, gap_target_ms=100)
        config["limits"]["max_body_bytes"] = 20_000_000
        self.store.put("op", "config", config)
        self.plain = BackendServer(self.store, "p0", "plain")
        self.runner = BackendServer(self.store, "r0", "llm", ["m1"])
        self.instance = Instance(self.store, "n1", more_settings=self.more_settings)
        self.instance.wait_until_serving(servers=2)

    def start_stream(self, receive_buffer: int = 0) -> Caller:
        caller = self.caller(receive_buffer)
        caller.send(last_request("/draft/a"))
        wait_until(lambda: self.runner.ran, "the stream runs")
        return caller

    def signal(self, number: int) -> None:
        self.instance.process.send_signal(number)


class LongSilenceTest(AnswerDeadlinesCase):
    """No other run may continue the stream, and its time is 35 s."""

    def test_stream_is_not_cut_for_a_silence_after_a_write(self) -> None:
        """Guards against the time limit of one write that stays set after the write."""
        self.runner.silences_s = {3: LONG_SILENCE_S}
        self.assertEqual(event_ids(self.start_stream().answer()), WHOLE_STREAM)

    def test_stream_is_not_cut_for_a_silence_after_a_write_in_a_stop(self) -> None:
        """Guards against the same during a planned stop of the instance."""
        self.runner.silences_s = {3: LONG_SILENCE_S}
        caller = self.start_stream()
        text = self.instance.settings.read_text(encoding="utf-8")
        self.instance.settings.write_text(text.replace("grace_s=8", "grace_s=30"),
                                          encoding="utf-8")
        self.signal(signal.SIGTERM)
        self.assertEqual(event_ids(caller.answer()), WHOLE_STREAM)
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)

    def test_long_answer_is_not_cut_for_a_silence_after_a_write(self) -> None:
        """Guards against the same for an answer that is forwarded as it arrives."""
        body = b"q" * 200_000

        def answer(call, headers) -> None:
            call.send_response(200)
            for name, value in {**headers, "X-Server-Seal": "s",
                                "Content-Length": str(len(body))}.items():
                call.send_header(name, value)
            call.end_headers()
            call.wfile.write(body[:150_000])
            time.sleep(LONG_SILENCE_S)
            call.wfile.write(body[150_000:])

        self.plain._run = lambda call, _: answer(
            call, {"X-Request-Id": call.headers["X-Request-Id"]})
        caller = self.caller()
        caller.send(last_request("/book/a"))
        self.assertTrue(caller.answer().endswith(body))


class StallTest(AnswerDeadlinesCase):
    """Another run may continue the stream, but the retry budget allows none."""

    more_settings = "bounds.budget_slack=0\nbounds.retry_budget_ratio=0\n"
    resumable = True

    def stream_long_events(self, count: int, delay_s: float) -> None:
        """Makes the runner send `count` long events, one each `delay_s`."""
        def stream(call, headers) -> None:
            call.send_response(200)
            for name, value in {**headers, "X-Server-Seal": "s",
                                "Transfer-Encoding": "chunked"}.items():
                call.send_header(name, value)
            call.end_headers()
            for number in range(1, count + 1):
                time.sleep(delay_s)
                event = b"id: %d\ndata: %s\n\n" % (number, b"z" * LONG_EVENT_BYTES)
                call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            call.wfile.write(b"0\r\n\r\n")

        self.runner._stream = stream

    def test_slow_caller_does_not_make_its_runner_count_as_stalled(self) -> None:
        """Guards against a stall limit that runs while an event is written to the caller."""
        self.stream_long_events(count=600, delay_s=0.0)
        caller = self.start_stream(receive_buffer=4096)
        time.sleep(3.0)
        self.assertEqual(event_ids(caller.answer()), list(range(1, 601)))

    def test_pause_of_the_instance_does_not_make_its_runner_count_as_stalled(self) -> None:
        """Guards against a limit that ends an exchange after a pause of the process, before
        what arrived during the pause has been read."""
        self.stream_long_events(count=5, delay_s=0.6)
        caller = self.start_stream()
        self.assertTrue(received := caller.socket.recv(65536))
        self.signal(signal.SIGSTOP)
        time.sleep(1.6)
        self.signal(signal.SIGCONT)
        self.assertEqual(event_ids(received + caller.answer()), WHOLE_STREAM)


class SlowCallerTest(AnswerDeadlinesCase):
    """The runner sends one event, which the instance passes on in one write. No other run may
    continue the stream."""

    def send_event(self, data_bytes: int, silence_s: float = 0.0) -> None:
        """Makes the runner send one event and then nothing for a while before the end."""
        event = b"id: 1\ndata: %s\n\n" % (b"z" * data_bytes)

        def stream(call, headers) -> None:
            call.send_response(200)
            for name, value in {**headers, "X-Server-Seal": "s",
                                "Transfer-Encoding": "chunked"}.items():
                call.send_header(name, value)
            call.end_headers()
            call.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(silence_s)
            call.wfile.write(b"0\r\n\r\n")

        self.runner._stream = stream

    def start_slow_stream(self) -> Caller:
        caller = self.caller(receive_buffer=4096, segment_bytes=ETHERNET_SEGMENT_BYTES)
        caller.send(last_request("/draft/a"))
        wait_until(lambda: self.runner.ran, "the stream runs")
        return caller

    def given_up_after(self, start: float) -> float:
        """Waits until the instance has given the caller up, and returns the time since `start`."""
        (ended,) = wait_until(lambda: self.instance.events(1100), "the request ends")
        self.assertIn(ended["outcome"], ("caller_timed_out", "caller_gone"))
        return time.monotonic() - start

    def test_event_taken_slowly_without_a_pause_is_not_cut(self) -> None:
        """Guards against a limit for the whole write of an event, which ends the answer of a
        caller that takes bytes all the time."""
        self.send_event(BLOCKING_EVENT_BYTES)
        caller = self.start_slow_stream()
        start = time.monotonic()
        answer = b""
        while time.monotonic() - start < 2 * WRITE_LIMIT_S:
            answer += caller.socket.recv(1000)
            time.sleep(0.2)
        self.assertEqual(event_ids(answer + caller.answer()), [1])

    def test_caller_that_takes_nothing_is_given_up_after_the_limit(self) -> None:
        """Guards against a write without a limit, which keeps its server's place."""
        self.send_event(BLOCKING_EVENT_BYTES)
        start = time.monotonic()
        self.start_slow_stream()
        self.assertTrue(WRITE_LIMIT_S - 1 < self.given_up_after(start) < WRITE_LIMIT_S + NOTICE_S)

    def test_caller_that_leaves_bytes_in_the_buffers_is_given_up_after_the_limit(self) -> None:
        """Guards against a limit that ends with the write, although the caller has not taken
        the bytes from the kernel's buffer."""
        self.send_event(BUFFERED_EVENT_BYTES, silence_s=3 * WRITE_LIMIT_S)
        start = time.monotonic()
        self.start_slow_stream()
        self.assertTrue(WRITE_LIMIT_S - 1 < self.given_up_after(start) < WRITE_LIMIT_S + NOTICE_S)

    def test_caller_that_stops_taking_bytes_is_given_up_after_the_limit(self) -> None:
        """Guards against a limit that is renewed although the caller takes no more bytes."""
        self.send_event(BLOCKING_EVENT_BYTES)
        caller = self.start_slow_stream()
        for _ in range(20):
            caller.socket.recv(1000)
            time.sleep(0.2)
        start = time.monotonic()
        self.assertTrue(WRITE_LIMIT_S - 1 < self.given_up_after(start) < WRITE_LIMIT_S + NOTICE_S)


class LateReader:
    """A server of a plain service that reads the body of a request `delay_s` after its head."""

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        connection, _ = self.listener.accept()
        connection.settimeout(HANG_LIMIT_S)
        stream = connection.makefile("rb")
        fields = {}
        for line in iter(stream.readline, b"\r\n"):
            name, _, value = line.partition(b":")
            fields[name.lower()] = value.strip()
        time.sleep(self.delay_s)
        length = int(fields[b"content-length"])
        body = stream.read(length)
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\n%s"
            % (fields[b"x-request-id"], b"ok" if len(body) == length else b"no"))

    def close(self) -> None:
        self.listener.close()


class LateReaderTest(AnswerDeadlinesCase):
    """The only plain server reads long bodies late."""

    def test_server_that_reads_a_long_body_late_is_waited_for(self) -> None:
        """Guards against the limit for unacknowledged bytes, which also ends a connection whose
        peer acknowledges but does not read."""
        self.store.remove("servers", "p0")
        server = LateReader(6.0)
        self.addCleanup(server.close)
        self.store.put("servers", "p1", {
            "service": "plain", "address": server.address, "zone": "a", "slots": 4,
            "state": "ready", "seq": 1, "born": 1, "models": []})
        wait_until(lambda: [entry for entry in self.instance.state()["backend_servers"]
                            if "p1" in str(entry)], "the instance knows the server")
        status, body, _ = self.instance.request("/book/a", body=b"b" * 12_000_000,
                                                headers={"X-Deadline-Ms": "30000"})
        self.assertEqual((status, body), (200, b"ok"))


class AbandonedLateReader(LateReader):
    """Delays only the first request that reaches any of the servers with the same `delays_s`, and
    records how much of each body arrived."""

    def __init__(self, delays_s: list[float], body_lengths: list[int]) -> None:
        self.delays_s = delays_s
        self.body_lengths = body_lengths
        super().__init__(0.0)

    def _serve(self) -> None:
        connection, _ = self.listener.accept()
        connection.settimeout(HANG_LIMIT_S)
        with connection, connection.makefile("rb") as stream:
            fields = dict(line.lower().split(b":", 1)
                          for line in iter(stream.readline, b"\r\n") if b":" in line)
            time.sleep(self.delays_s.pop() if self.delays_s else 0.0)
            length = int(fields[b"content-length"])
            body = stream.read(length)
            self.body_lengths.append(len(body))
            if len(body) < length:
                return
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nX-Request-Id:%s\r\nContent-Length: 2"
                b"\r\n\r\nok" % fields[b"x-request-id"].rstrip())


class AbandonedUploadTest(AnswerDeadlinesCase):
    """A server that does not read a long body is left for another one."""

    def test_server_that_was_left_does_not_receive_the_rest_of_a_long_body(self) -> None:
        """Guards against a write of the body that keeps the connection to a server open after
        the request has been sent to another one: both then run it."""
        self.store.remove("servers", "p0")
        delays_s, body_lengths = [6.0], []
        for name in ("p1", "p2"):
            server = AbandonedLateReader(delays_s, body_lengths)
            self.addCleanup(server.close)
            self.store.put("servers", name, {
                "service": "plain", "address": server.address, "zone": "a", "slots": 4,
                "state": "ready", "seq": 1, "born": 1, "models": []})
        wait_until(lambda: all(name in str(self.instance.state()["backend_servers"])
                               for name in ("p1", "p2")), "the instance knows the servers")
        length = 12_000_000
        status, body, _ = self.instance.request("/status/a", body=b"b" * length,
                                                headers={"X-Deadline-Ms": "7000"})
        self.assertEqual((status, body), (200, b"ok"))
        wait_until(lambda: len(body_lengths) == 2, "both servers have read")
        self.assertEqual(body_lengths[0], length)
        self.assertLess(body_lengths[1], length)


if __name__ == "__main__":
    unittest.main()
