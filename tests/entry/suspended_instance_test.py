"""Tests an instance process that is suspended while bytes arrive for it.

Deadlines must not close a connection whose bytes have arrived in time and were not read yet.
"""

from __future__ import annotations

import signal
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import HANG_LIMIT_S, Instance, configuration, wait_until  # noqa: E402
from platform_fleet import BackendServer, Store  # noqa: E402

# Longer than the instance waits for the next event of a stream, a second here.
SUSPENSION_S = 1.5
# Longer than a stream may take to begin, two seconds here, and shorter than the whole stream.
LONG_SUSPENSION_S = 2.1
# No request may be sent a second time, which would hide a connection that was closed too early.
NO_RETRY_BUDGET = "bounds.budget_slack=0\nbounds.retry_budget_ratio=0\n"


class SuspendedInstanceTest(unittest.TestCase):

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"])
        for route in config["routes"]:
            route["gap_target_ms"] = 100
            route["target_latency_ms"] = 250
        self.store.put("op", "config", config)
        self.plain = BackendServer(self.store, "p0", "plain")
        self.runner = BackendServer(self.store, "r0", "llm", ["m1"])
        self.other_runner = BackendServer(self.store, "r1", "llm", ["m1"])
        self.servers = (self.plain, self.runner, self.other_runner)
        self.instance = Instance(self.store, "n1", more_settings=NO_RETRY_BUDGET)
        self.instance.wait_until_serving(servers=len(self.servers))

    def tearDown(self) -> None:
        self.instance.close()
        for service in (*self.servers, self.store):
            service.close()

    def assert_whole(self, stream: bytes) -> None:
        self.assertEqual(stream.count(b"id: "), 5, stream)
        self.assertTrue(stream.endswith(b"0\r\n\r\n"), stream)

    def suspend(self, span: float) -> None:
        self.instance.process.send_signal(signal.SIGSTOP)
        time.sleep(span)
        self.instance.process.send_signal(signal.SIGCONT)

    def test_stream_whose_events_arrived_in_a_suspension_is_not_cut(self) -> None:
        """Guards against a suspension of the instance that is taken for a runner's silence."""
        self.runner.event_delay_s = self.other_runner.event_delay_s = 0.5
        received: list[bytes] = []
        caller = threading.Thread(
            target=lambda: received.append(self.instance.raw_answer("/draft/a", "s1", "m1")))
        caller.start()
        wait_until(lambda: self.runner.ran or self.other_runner.ran, "the stream runs")
        time.sleep(0.7)
        self.suspend(SUSPENSION_S)
        caller.join()
        self.assert_whole(received[0])

    def test_stream_that_began_in_a_suspension_is_not_cut(self) -> None:
        """Guards against a stream that begins after its time to begin and is cut at once."""
        self.runner.event_delay_s = self.other_runner.event_delay_s = 0.5
        suspension = threading.Timer(0.2, self.suspend, args=(LONG_SUSPENSION_S,))
        suspension.start()
        answer = self.instance.raw_answer("/draft/a", "s1", "m1")
        suspension.join()
        self.assert_whole(answer)

    def test_stream_is_not_cut_early_for_a_suspension_before_sigterm(self) -> None:
        """Guards against a grace time of which the suspension is taken off for begun streams."""
        self.runner.event_delay_s = self.other_runner.event_delay_s = 1.1
        process = self.instance.process
        process.send_signal(signal.SIGSTOP)
        time.sleep(SUSPENSION_S)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGCONT)
        time.sleep(1.0)
        # Ends 6.5 s after SIGTERM, of 8 s of grace time.
        self.assert_whole(self.instance.raw_answer("/draft/a", "s1", "m1"))
        self.assertEqual(process.wait(HANG_LIMIT_S), 0)


if __name__ == "__main__":
    unittest.main()
