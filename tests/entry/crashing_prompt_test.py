"""Tests instance processes whose runners crash under one part of a prompt.

No two requests with that part are alike, and they arrive at any instance. Sound requests share
their organisations, their route and their other parts.
"""

from __future__ import annotations

import contextlib
import http.client
import itertools
import random
import sys
import threading
import time
import unittest
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from crashing_runner import (  # noqa: E402
    EARLY_POINTS, HARMFUL_PART, CrashingRunner, CrashPoint)
from entry_fleet import Instance, configuration, wait_until  # noqa: E402
from platform_fleet import Store  # noqa: E402

KEYS = ["k1", "k2"]
FIRST_PARTS = ("5a5a0001", "5a5a0002")
OTHER_PARTS = tuple(f"0ddb{number:04x}" for number in range(6))
HARMFUL_PER_S = 4.5
SOUND_PER_S = 16.0
CALM_S = 5.0
# The bounds of the users' rules: how many such requests may reach runners later than this after
# the fifth crash, and how often sound ones are served from twice that time on.
CRASHES = 5
CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
MIN_SERVED_RATIO = 0.5


@dataclass
class Traffic:
    """Sends requests at random times to random instances, each in a thread of its own."""

    instances: list[Instance]
    seed: int
    # Send time and whether a sound request was served.
    sound: list[tuple[float, bool]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self._numbers = itertools.count()
        self._threads: list[threading.Thread] = []

    def play(self, seconds: float, harmful_per_s: float = HARMFUL_PER_S) -> None:
        """Sends sound and harmful requests for this long and waits for their answers."""
        end = time.monotonic() + seconds
        rate = SOUND_PER_S + harmful_per_s
        while time.monotonic() < end:
            time.sleep(self.random.expovariate(rate))
            self.send(self.random.random() < harmful_per_s / rate)
        for thread in self._threads:
            thread.join()
        self._threads.clear()

    def send(self, harmful: bool) -> None:
        """Starts one request."""
        number = next(self._numbers)
        parts = [self.random.choice(FIRST_PARTS),
                 *self.random.sample(OTHER_PARTS, self.random.randint(0, 2))]
        if harmful:
            own = [f"{self.random.getrandbits(32):08x}"
                   for _ in range(self.random.randint(0, 2))]
            parts = [*parts, *own, HARMFUL_PART]
        parts.append(f"{self.random.getrandbits(32):08x}")
        thread = threading.Thread(
            target=self._request, daemon=True,
            args=(self.random.choice(self.instances), number, harmful, parts,
                  self.random.choice(KEYS)))
        self._threads.append(thread)
        thread.start()

    def _request(self, instance: Instance, number: int, harmful: bool, parts: list[str],
                 key: str) -> None:
        sent_at = time.monotonic()
        served = False
        with contextlib.suppress(OSError, http.client.HTTPException):
            status, _, _ = instance.request(
                f"/draft/{number}", id=f"c{self.seed}-{number}", body=b"%d" % number,
                headers={"X-Model": "m1", "Authorization": f"Token {key}",
                         "X-Deadline-Ms": "4000",
                         "X-Prompt-Prefix": ",".join(f"{part}:100" for part in parts)})
            served = status == 200
        if not harmful:
            self.sound.append((sent_at, served))

    def served_ratio(self, begin: float, end: float) -> float:
        served = [was_served for sent_at, was_served in self.sound if begin <= sent_at < end]
        return sum(served) / max(len(served), 1)


class CrashingPromptTest(unittest.TestCase):
    """Runs one store, runners that crash, and instances."""

    route_options: dict = {}

    def start_fleet(self, instances: int, runners: int, points: list[CrashPoint],
                    prefill_s: float = 0.0, framed: bool = True) -> None:
        self.store = Store()
        self.addCleanup(self.store.close)
        config = configuration(1, KEYS, ("m1",))
        draft = next(route for route in config["routes"] if route["name"] == "draft")
        draft.update(self.route_options)
        self.store.put("op", "config", config)
        self.runners = [CrashingRunner(self.store, f"r{number}", points, seed=1)
                        for number in range(runners)]
        for runner in self.runners:
            self.addCleanup(runner.close)
            runner.event_delay_s = 0.03
            runner.prefill_s = prefill_s
            runner.framed_streams = framed
        self.instances: list[Instance] = []
        for _ in range(instances):
            self.start_instance()

    def start_instance(self) -> Instance:
        instance = Instance(self.store, f"n{len(self.instances)}")
        self.addCleanup(instance.close)
        self.instances.append(instance)
        instance.wait_until_serving(servers=len(self.runners))
        return instance

    def crashes(self) -> list[float]:
        return sorted(at for runner in self.runners for at in runner.crashes)

    def late_arrivals(self) -> int:
        """Returns how many harmful requests reached runners later than CONTACT_S after the
        fifth crash."""
        crashes = self.crashes()
        if len(crashes) < CRASHES:
            return 0
        limit = crashes[CRASHES - 1] + CONTACT_S
        return sum(at > limit for runner in self.runners for at in runner.harmful_arrivals)

    def assert_contained(self, traffic: Traffic, calm: tuple[float, float], end: float) -> None:
        """Checks the users' bounds for harmful and for sound requests."""
        crashes = self.crashes()
        settled = crashes[min(len(crashes), CRASHES) - 1] + 2 * CONTACT_S
        before = traffic.served_ratio(*calm)
        after = traffic.served_ratio(settled, end)
        print(f"{len(crashes)} crashes, {self.late_arrivals()} late arrivals, "
              f"served {before:.2f} before and {after:.2f} after", flush=True)
        self.assertGreater(before, 0.9)
        self.assertLessEqual(self.late_arrivals(), MAX_LATE_ARRIVALS)
        self.assertGreaterEqual(after, MIN_SERVED_RATIO * before)

    def play(self, seconds: float, harmful_per_s: float = HARMFUL_PER_S) -> None:
        traffic = Traffic(self.instances, seed=1)
        begin = time.monotonic()
        traffic.play(CALM_S, harmful_per_s=0.0)
        calm_end = time.monotonic()
        traffic.play(seconds, harmful_per_s)
        self.assert_contained(traffic, (begin, calm_end), time.monotonic())

    def test_part_that_crashes_runners_at_many_instances_is_contained(self) -> None:
        """Guards against requests that keep crashing runners because no two of them are alike
        and some runners crash in the middle of an answer."""
        self.start_fleet(instances=4, runners=12, points=EARLY_POINTS)
        self.play(seconds=30)

    def test_part_that_crashes_runners_at_one_instance_is_contained(self) -> None:
        """Guards against the same without any other instance to share the counts with."""
        self.start_fleet(instances=1, runners=8, points=EARLY_POINTS)
        self.play(seconds=20)

    def set_route(self, **options) -> None:
        """Changes the route of the streams, before the fleet is started."""
        self.route_options = options

    def test_part_that_crashes_runners_long_after_the_head_is_contained(self) -> None:
        """Guards against a run that is no longer suspected because its head came over a second
        ago, although it has not written an event: the runner was reading the prompt."""
        self.set_route(resumable=False, max_attempts=1, target_latency_ms=4000, gap_target_ms=300)
        self.start_fleet(instances=3, runners=12, points=[CrashPoint.BEFORE_FIRST_EVENT],
                         prefill_s=1.5)
        self.play(seconds=30, harmful_per_s=0.8)

    def test_part_that_crashes_runners_at_the_end_of_an_unframed_answer_is_contained(self) -> None:
        """Guards against the end of a stream that ends with its connection taken for a success,
        although the runner has ended with it. The runner's port still opened at that moment."""
        self.set_route(resumable=False, max_attempts=1, target_latency_ms=4000, gap_target_ms=300)
        self.start_fleet(instances=3, runners=12, points=[CrashPoint.AFTER_WHOLE_EVENT],
                         framed=False)
        self.play(seconds=20, harmful_per_s=0.9)

    def test_unframed_answers_of_live_runners_clear_their_parts(self) -> None:
        """Guards against sound requests that are refused because the ends of their answers never
        count as successes."""
        self.set_route(resumable=False, max_attempts=1, target_latency_ms=4000, gap_target_ms=300)
        self.start_fleet(instances=2, runners=8, points=EARLY_POINTS, framed=False)
        traffic = Traffic(self.instances, seed=4)
        crashing = threading.Thread(target=self.crash_runners, args=(random.Random(4), 10.0))
        crashing.start()
        traffic.play(12.0, harmful_per_s=0.0)
        crashing.join()
        outcomes = {ended["outcome"] for instance in self.instances
                    for ended in instance.events(1100)}
        self.assertNotIn("request_crashes_servers", outcomes)

    def test_blocked_part_is_known_to_a_new_hub_and_to_later_instances(self) -> None:
        """Guards against harmful requests that reach runners again after the hub has ended, or
        at an instance that was not there when the runners crashed."""
        self.start_fleet(instances=2, runners=8, points=EARLY_POINTS)
        Traffic(self.instances, seed=2).play(6.0)
        self.assertTrue(all(instance.events(1137) for instance in self.instances))
        hub = wait_until(lambda: next((each for each in self.instances if is_hub(each)), None),
                         "an instance is the hub")
        hub.stop()
        remaining = next(each for each in self.instances if each is not hub)
        wait_until(lambda: is_hub(remaining), "the other instance is the hub")
        later = self.start_instance()
        wait_until(lambda: later.events(1137), "the later instance knows of the part", 5)
        for runner in self.runners:
            runner.harmful_arrivals.clear()
        Traffic([remaining, later], seed=3).play(4.0)
        self.assertEqual([runner.harmful_arrivals for runner in self.runners],
                         [[] for _ in self.runners])

    def test_runners_that_crash_for_other_reasons_block_nothing(self) -> None:
        """Guards against sound requests that are refused because they share a part that is in
        flight whenever a runner crashes, one alone or several at once."""
        self.start_fleet(instances=2, runners=8, points=EARLY_POINTS)
        traffic = Traffic(self.instances, seed=4)
        crashing = threading.Thread(target=self.crash_runners, args=(random.Random(4), 10.0))
        crashing.start()
        traffic.play(12.0, harmful_per_s=0.0)
        crashing.join()
        self.assertGreater(len(self.crashes()), 2 * CRASHES)
        outcomes = {ended["outcome"] for instance in self.instances
                    for ended in instance.events(1100)}
        self.assertNotIn("request_crashes_servers", outcomes)

    def crash_runners(self, choice: random.Random, seconds: float) -> None:
        """Crashes one runner after the other and now and then several at once."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            for runner in choice.sample(self.runners, choice.choice((1, 1, 4))):
                threading.Thread(target=runner.crash, daemon=True).start()
            time.sleep(choice.uniform(0.2, 1.0))


def is_hub(instance: Instance) -> bool:
    return instance.state().get("hub", {}).get("this_instance", False)


if __name__ == "__main__":
    unittest.main()
