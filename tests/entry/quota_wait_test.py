"""Tests requests that wait for their organisation's quota, with real processes on loopback."""

from __future__ import annotations

import itertools
import signal
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import Instance, configuration, wait_until  # noqa: E402
from platform_fleet import BackendServer, Store  # noqa: E402

# Units per second and burst of the organisation; a request costs one unit.
RATE, BURST = 2, 4
PATIENT_MS, HURRIED_MS = "10000", "400"


class QuotaWaitTest(unittest.TestCase):
    """Starts a store, one plain server and two instances. The organisation's quota is small, and
    the route's latency objective lets requests wait for it."""

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"], ("m1",))
        config["tenants"][0].update(rate_per_s=RATE, burst=BURST, unit="requests")
        for route in config["routes"]:
            route["target_latency_ms"] = 16000
        self.store.put("op", "config", config)
        self.server = BackendServer(self.store, "p0", "plain")
        self.instances = [Instance(self.store, f"n{number}") for number in range(2)]
        for instance in self.instances:
            instance.wait_until_serving(servers=1)
        wait_until(lambda: all(instance.state()["instances"] == 2 for instance in self.instances),
                   "the hub knows both instances")
        self.hub = next(instance for instance in self.instances
                        if instance.state()["hub"]["this_instance"])
        self.member = next(instance for instance in self.instances if instance is not self.hub)
        self.ids = itertools.count()
        self.threads: list[threading.Thread] = []

    def tearDown(self) -> None:
        for instance in self.instances:
            instance.close()
        for thread in self.threads:
            thread.join()
        for service in (self.server, self.store):
            service.close()

    def call(self, instance: Instance, deadline_ms: str) -> tuple[int, dict[str, str], float]:
        began = time.monotonic()
        status, _, headers = instance.request("/status/a", id=f"q{next(self.ids)}",
                                              headers={"X-Deadline-Ms": deadline_ms})
        return status, headers, time.monotonic() - began

    def use_up(self) -> None:
        """Sends hurried requests until one is refused."""
        wait_until(lambda: self.call(self.member, HURRIED_MS)[0] == 429, "the quota is used up")

    def refusal(self, instance: Instance) -> dict[str, str] | None:
        """Sends a hurried request. Returns the head of the answer if it is refused."""
        status, headers, _ = self.call(instance, HURRIED_MS)
        return headers if status == 429 else None

    def start_waiting(self, instance: Instance, count: int) -> list:
        """Starts patient requests and returns the list to which their answers are added."""
        answers: list = []

        def send() -> None:
            try:
                answers.append(self.call(instance, PATIENT_MS))
            except OSError:
                answers.append(None)

        threads = [threading.Thread(target=send) for _ in range(count)]
        self.threads += threads
        for thread in threads:
            thread.start()
        return answers

    def wait_until_waiting(self, count: int, answers: list) -> None:
        """Waits until all of `count` started requests wait or are answered, and one waits."""
        def all_asked() -> bool:
            lines = self.member.page("/metrics").splitlines()
            waiting = next((int(float(line.split()[1])) for line in lines
                            if line.startswith("carawayturn_quota_waiting ")), 0)
            return waiting > 0 and waiting + len(answers) == count

        wait_until(all_asked, "the requests wait")

    def test_request_with_time_waits_and_one_without_is_told_when_to_return(self) -> None:
        """Guards against a refusal of a request whose units accrue within its time, and against a
        Retry-After after which there are no units."""
        for instance in self.instances:
            with self.subTest(hub=instance is self.hub):
                # Units accrue between two requests, also while a slow process answers.
                headers = wait_until(lambda: self.refusal(instance), "the quota is used up")
                retry_after = float(headers["Retry-After"])
                self.assertGreater(retry_after, 0)
                self.assertLessEqual(retry_after, 1.25 / RATE + 0.01)
                time.sleep(retry_after)
                self.assertEqual(self.call(instance, HURRIED_MS)[0], 200)
                self.use_up()
                status, _, elapsed = self.call(instance, PATIENT_MS)
                self.assertEqual(status, 200)
                self.assertGreater(elapsed, 0.05)
        self.assertIn("carawayturn_quota_wait_seconds_count", self.member.page("/metrics"))
        wait_until(lambda: '"event":"quota_contended"' in self.hub.log_path.read_text(),
                   "the hub logs that requests wait")

    def test_waiting_requests_stay_within_the_rate(self) -> None:
        """Guards against waiting requests that get more than the rate together."""
        self.use_up()
        began, ran = time.monotonic(), len(self.server.ran)
        answers = [self.start_waiting(instance, 4) for instance in self.instances]
        wait_until(lambda: sum(map(len, answers)) == 8, "all are answered")
        served = len(self.server.ran) - ran
        self.assertLessEqual(served, RATE * (time.monotonic() - began) + 1)
        self.assertGreaterEqual(served, 6)

    def test_resumed_streams_are_paid_before_new_requests_that_wait(self) -> None:
        """Guards against streams that are lost half delivered because new requests, which arrived
        before, are paid first, and against a hub that is not told which requests resume one."""
        runner = BackendServer(self.store, "r0", "llm", ["m1"])
        self.addCleanup(runner.close)
        wait_until(lambda: self.member.stream("/draft/a", "m1", f"q{next(self.ids)}")[1],
                   "the runner serves")
        self.use_up()
        answers = self.start_waiting(self.member, 4)
        self.wait_until_waiting(4, answers)
        # For each resumed stream: what the caller got, and how many new requests had been
        # answered by then.
        resumed: list = []

        def resume() -> None:
            received, whole, _ = self.member.stream("/draft/a", "m1", f"q{next(self.ids)}",
                                                    {"Last-Event-Id": "3"})
            resumed.append((received, whole, len(answers)))

        threads = [threading.Thread(target=resume) for _ in range(3)]
        self.threads += threads
        for thread in threads:
            thread.start()
        wait_until(lambda: len(resumed) == 3 and len(answers) == 4, "all are answered")
        self.assertEqual([whole for _, whole, _ in resumed], [True] * 3, resumed)
        self.assertTrue(all(b"id: 4\n" in received and b"id: 3\n" not in received
                            for received, _, _ in resumed), resumed)
        self.assertLess(max(answered for _, _, answered in resumed), 4)
        ended = [end for end in self.member.events(1100) if end["resumes_stream"]]
        self.assertEqual([end["outcome"] for end in ended], ["streamed"] * 3)

    def test_waiting_requests_survive_the_loss_of_the_hub(self) -> None:
        """Guards against requests that wait for a lost hub until their callers give up."""
        self.use_up()
        answers = self.start_waiting(self.member, 6)
        self.wait_until_waiting(6, answers)
        self.hub.stop()
        wait_until(lambda: len(answers) == 6, "all are answered")
        self.assertTrue({status for status, _, _ in answers} <= {200, 429}, answers)
        self.assertIn(200, [status for status, _, _ in answers])

    def test_waiting_requests_of_an_instance_that_stops_are_refused_as_not_run(self) -> None:
        """Guards against a stop that waits for quota, or loses waiting requests."""
        self.use_up()
        ran = len(self.server.ran)
        answers = self.start_waiting(self.member, 5)
        self.wait_until_waiting(5, answers)
        self.member.process.send_signal(signal.SIGTERM)
        wait_until(lambda: len(answers) == 5, "all are answered")
        self.assertTrue({status for status, _, _ in answers} <= {200, 503}, answers)
        self.assertEqual(len(self.server.ran) - ran,
                         [status for status, _, _ in answers].count(200))

    def test_frozen_instance_starts_no_waiting_request_after_its_deadline(self) -> None:
        """Guards against units that were granted before a freeze and are spent after it, and
        against a request that starts when its caller no longer waits."""
        self.use_up()
        answers = self.start_waiting(self.member, 4)
        self.wait_until_waiting(4, answers)
        self.member.process.send_signal(signal.SIGSTOP)
        answered = len(answers)
        ran = len(self.server.ran)
        # Longer than the window of the quota and the deadline of the requests (8 s each).
        time.sleep(9)
        self.member.process.send_signal(signal.SIGCONT)
        wait_until(lambda: len(answers) == 4, "all are answered or closed")
        self.assertLessEqual(len(self.server.ran) - ran, RATE)
        # Only those that were granted before the freeze.
        self.assertLessEqual([answer[0] for answer in answers[answered:] if answer].count(200),
                             RATE)


if __name__ == "__main__":
    unittest.main()
