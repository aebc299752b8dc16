"""Tests streams of several software versions at an instance that is out of step with the others.

The instance n2 is cut off from the hub n1, or from the hub and the store, or frozen, while runners
of another version appear, or runners return under their ids at another version. What n2 has read
before proves nothing about streams that began meanwhile: they go on at their version or, while that
cannot be known, nowhere.
"""

from __future__ import annotations

import signal
import sys
import threading
import time
import unittest
from pathlib import Path
from urllib.parse import urlsplit

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "soak"))
sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import HANG_LIMIT_S, Instance, wait_until  # noqa: E402
from fault_proxy import FaultProxy, ProxyLoop  # noqa: E402
from stream_version_case import (  # noqa: E402
    RETRIES, Attempt, CallerStream, StreamVersionCase)

# Streams that begin at the hub, about half of them at runners of the new version.
STREAMS = 12
# Longer than it takes the hub to learn of a runner; an instance that the hub does not answer for a
# second reads the store for itself.
CUT_S = 0.8
FREEZE_S = 2.0
LONG_CUT_S = 4.5
# Streams that two runners work on at once.
SLOTS_IN_USE = 6
# Time within which an instance that reaches the store can say where a stream goes on.
ANSWER_LIMIT_S = 2.0


class OutOfStepCase(StreamVersionCase):
    """n1 is the hub. The links of n2 to the hub and to the store lead through proxies."""

    versions = ("v1", "v1")

    def setUp(self) -> None:
        self.proxies = ProxyLoop()
        self.addCleanup(self.proxies.close)
        self.store_link: FaultProxy | None = None
        self.hub_links: dict[str, FaultProxy] = {}
        super().setUp()

    def create_instance(self, name: str) -> Instance:
        if name == "n1":
            hub = super().create_instance(name)
            wait_until(lambda: hub.state().get("hub", {}).get("this_instance"), "n1 is the hub")
            return hub
        instance = Instance(self.store, name, self.store_proxy, RETRIES)
        own_address = f"127.0.0.1:{instance.peer_port}"
        instance.store_endpoint.rewrite_hub_address = (
            lambda address: address if address == own_address else self.hub_proxy(address))
        # Started again, since its first reading of the hub's address may not have been rewritten.
        instance.stop()
        instance.start()
        return instance

    def store_proxy(self, address: str) -> str:
        self.store_link = FaultProxy(self.proxies, address)
        return self.store_link.address

    def hub_proxy(self, address: str) -> str:
        if address not in self.hub_links:
            link = FaultProxy(self.proxies, address)
            # An instance that lost the hub asks the others, of which the hub has told.
            self.assertEqual(len(address), len(link.address))
            link.rewrites[address.encode()] = link.address.encode()
            self.hub_links[address] = link
        return self.hub_links[address].address

    def cut(self, *links: FaultProxy) -> None:
        for link in links:
            link.silent_to_target = link.silent_to_caller = True

    def cut_hub(self) -> None:
        self.assertTrue(self.hub_links, "n2 has reached the hub through its proxy")
        self.cut(*self.hub_links.values())

    def cut_store(self) -> None:
        self.cut(self.store_link)

    def heal(self) -> None:
        for link in (self.store_link, *self.hub_links.values()):
            link.heal()

    def add_v2(self) -> None:
        """Adds runners of version v2, and waits until the hub knows them."""
        for name in ("r2", "r3"):
            self.add_runner(name, "v2")
        self.wait_until_serving(self.first)

    def return_as_v2(self) -> None:
        """Brings r0 back under its id at version v2, and waits until the hub knows it."""
        returned = self.runners[0]
        returned.return_as("v2")
        returned.record()
        wait_until(lambda: any(changed["server"] == "r0" and changed["born_ms"] == returned.born
                               for changed in self.first.events(1130)), "the hub knows r0's start")

    def begin_v2_streams(self, instance: Instance) -> list[CallerStream]:
        """Returns streams of version v2 that have begun at the instance."""
        streams = [stream for stream in self.begin_streams(instance, STREAMS)
                   if stream.version() == "v2"]
        self.assertGreater(len(streams), 2)
        return streams

    def close_all(self, streams: list[CallerStream]) -> None:
        for stream in streams:
            stream.close()

    def try_all(self, streams: list[CallerStream]) -> list[Attempt]:
        """Takes all streams up at n2 at once, with one request each."""
        attempts = [stream.begin_take_up(self.other) for stream in streams if not stream.whole()]
        return [attempt.wait() for attempt in attempts]

    def assert_whole_in_the_end(self, streams: list[CallerStream]) -> None:
        for stream in streams:
            if not stream.whole():
                stream.take_up(self.other)
        self.assert_whole(streams)

    def assert_refused_until_healed(self, streams: list[CallerStream]) -> None:
        """Checks that streams taken up at n2 are refused at once while it reaches neither hub nor
        store, also when their callers come back at once, and go on afterwards."""
        self.close_all(streams)
        self.cut_store()
        attempts = self.try_all(streams) + self.try_all(streams)
        self.assert_not_joined(streams)
        self.assert_refused_at_once(attempts)
        self.heal()
        self.assert_whole_in_the_end(streams)


class ArrivedVersionTest(OutOfStepCase):
    """Runners of v2 appear while n2 is out of step. Streams that begin there through the hub are
    taken up at n2."""

    def test_stream_is_not_joined_at_an_instance_without_hub_and_store(self) -> None:
        """Guards against the version that was the only one when n2 read the servers last."""
        self.cut_hub()
        self.add_v2()
        streams = self.begin_v2_streams(self.first)
        self.assert_refused_until_healed(streams)

    def test_stream_goes_on_at_its_version_at_an_instance_without_hub(self) -> None:
        """Guards against the same, and against refusals while the store can be read."""
        self.cut_hub()
        self.add_v2()
        streams = self.begin_v2_streams(self.first)
        self.close_all(streams)
        attempts = self.try_all(streams)
        self.assert_not_joined(streams)
        self.assertEqual({attempt.status for attempt in attempts}, {200}, streams)
        self.assert_whole(streams)

    def test_stream_is_not_joined_by_what_a_frozen_instance_knew(self) -> None:
        """Guards against messages of the hub that arrived before the freeze, or in it, and are
        read after it."""
        self.other.process.send_signal(signal.SIGSTOP)
        try:
            self.add_v2()
            streams = self.begin_v2_streams(self.first)
            self.close_all(streams)
            time.sleep(FREEZE_S)
            attempts = [stream.begin_take_up(self.other) for stream in streams]
        finally:
            self.other.process.send_signal(signal.SIGCONT)
        for attempt in attempts:
            attempt.wait()
        self.try_all(streams)
        self.assert_not_joined(streams)
        self.assert_whole_in_the_end(streams)

    def test_stream_is_not_joined_at_an_instance_that_wakes_without_hub_and_store(self) -> None:
        """Guards against an age of the last reading that leaves the freeze out."""
        self.other.process.send_signal(signal.SIGSTOP)
        try:
            self.add_v2()
            streams = self.begin_v2_streams(self.first)
            self.close_all(streams)
            self.cut_hub()
            self.cut_store()
        finally:
            self.other.process.send_signal(signal.SIGCONT)
        self.try_all(streams)
        self.try_all(streams)
        self.assert_not_joined(streams)
        self.heal()
        self.assert_whole_in_the_end(streams)

    def test_stream_of_a_version_that_left_again_is_not_joined(self) -> None:
        """Guards against a reading of the servers alone, in which a version that served for a
        moment is missing."""
        self.cut_hub()
        self.cut_store()
        self.add_v2()
        streams = self.begin_v2_streams(self.first)
        time.sleep(CUT_S)
        for runner in self.runners_of("v2"):
            runner.leave()
        for stream in streams:
            stream.attempts[0].wait()
        self.heal()
        self.try_all(streams)
        self.try_all(streams)
        self.assert_not_joined(streams)


class LongCutTest(OutOfStepCase):
    """n2 is cut off for several seconds. Its streams are refused while it reaches nothing that
    tells their version, and go on when it does."""

    def test_stream_goes_on_at_its_version_at_an_instance_long_without_hub(self) -> None:
        """Guards against an instance that reads the store for itself by then, and whose readings
        are older than the request."""
        self.cut_hub()
        time.sleep(LONG_CUT_S)
        self.add_v2()
        streams = self.begin_v2_streams(self.first)
        self.close_all(streams)
        attempts = self.try_all(streams)
        self.assertEqual({attempt.status for attempt in attempts}, {200}, streams)
        self.assert_whole(streams)

    def test_stream_is_not_joined_at_an_instance_long_without_hub_and_store(self) -> None:
        """Guards against a version that counts as known for as long as nothing else is heard."""
        self.cut_hub()
        self.cut_store()
        time.sleep(LONG_CUT_S)
        self.add_v2()
        streams = self.begin_v2_streams(self.first)
        self.assert_refused_until_healed(streams)


class LoggedTakeUpTest(OutOfStepCase):
    """The log says what n2 knew of the versions, of which age, and what followed from it."""

    def taken_up(self, attempts: list[Attempt], number: int = 1145) -> list[dict]:
        """Returns the lines of these requests once there is one for each."""
        names = {attempt.id for attempt in attempts}

        def lines() -> list[dict]:
            return [line for line in self.other.events(number) if line["request"] in names]

        return wait_until(lambda: len(lines()) >= len(names) and lines(), "the lines are written")

    def assert_lines(self, attempts: list[Attempt], **expected: str) -> list[dict]:
        lines = self.taken_up(attempts)
        self.assertEqual([{name: line[name] for name in expected} for line in lines],
                         [expected] * len(attempts))
        return lines

    def leave_recorded_streams(self) -> list[CallerStream]:
        """Returns streams of v2 at the hub that their callers have left, and whose records it has
        written. n2 knows the runners of v2."""
        self.add_v2()
        self.wait_until_serving()
        streams = self.begin_v2_streams(self.first)
        time.sleep(CUT_S)
        self.close_all(streams)
        return streams

    def test_line_tells_the_only_version_and_a_reading_newer_than_the_request(self) -> None:
        """Guards against take-ups of which nobody can tell later why they were allowed."""
        streams = self.begin_streams(self.first, 2)
        self.close_all(streams)
        lines = self.assert_lines(self.try_all(streams), version_source="sole_version",
                                  stream_version="v1", versions_known="one", unknown_because="")
        for line in lines:
            self.assertLessEqual(line["versions_age_ms"], line["waited_ms"])

    def test_line_tells_that_the_versions_are_unread_and_since_when(self) -> None:
        """Guards against refusals that do not tell an outage from a lost record."""
        self.cut_hub()
        self.cut_store()
        self.add_v2()
        streams = self.begin_v2_streams(self.first)
        self.close_all(streams)
        time.sleep(CUT_S)
        lines = self.assert_lines(self.try_all(streams), version_source="unknown",
                                  stream_version="", versions_known="unread",
                                  unknown_because="versions_unread")
        for line in lines:
            self.assertGreaterEqual(line["versions_age_ms"], CUT_S * 1000)
        self.heal()

    def test_line_tells_the_record_of_a_stream(self) -> None:
        """Guards against a line that does not tell records from the versions in service."""
        streams = self.leave_recorded_streams()
        self.assert_lines(self.try_all(streams), version_source="store", stream_version="v2",
                          versions_known="several", unknown_because="")

    def test_line_tells_that_the_store_did_not_answer_for_the_record(self) -> None:
        """Guards against an outage of the store that looks like a record that is missing."""
        streams = self.leave_recorded_streams()
        self.cut_store()
        self.assert_lines(self.try_all(streams), version_source="unknown",
                          versions_known="several", unknown_because="record_unread")
        self.heal()

    def test_line_tells_that_the_store_has_no_record(self) -> None:
        """Guards against the same the other way round."""
        streams = self.leave_recorded_streams()
        attempts = [stream.try_take_up_as(self.other, [b"never-begun"]) for stream in streams]
        self.assert_lines(attempts, version_source="unknown", versions_known="several",
                          unknown_because="record_missing")


class ReturnedRunnerTest(OutOfStepCase):
    """The runner r0 comes back under its id at version v2 while n2 is out of step."""

    versions = ("v1", "v1", "v1")

    def test_stream_of_a_returned_runner_is_not_joined_without_hub_and_store(self) -> None:
        """Guards against streams of the hub at r0 that n2 takes for streams of v1."""
        self.cut_hub()
        self.return_as_v2()
        streams = self.begin_v2_streams(self.first)
        self.assert_refused_until_healed(streams)

    def test_own_stream_of_a_returned_runner_is_not_joined_within_its_answer(self) -> None:
        """Guards against streams that n2 itself begins at r0 as if r0 were of version v1, and that
        break off."""
        self.cut_hub()
        self.cut_store()
        self.return_as_v2()
        streams = self.begin_streams(self.other, STREAMS)
        self.break_streams(streams)
        self.assert_not_joined(streams)
        self.heal()

    def test_own_stream_of_a_returned_runner_is_not_joined_when_taken_up(self) -> None:
        """Guards against the same for streams that are taken up at n2, in the cut and after it."""
        self.cut_hub()
        self.cut_store()
        self.return_as_v2()
        streams = self.begin_streams(self.other, STREAMS)
        self.close_all(streams)
        self.try_all(streams)
        self.assert_not_joined(streams)
        self.heal()
        self.try_all(streams)
        self.try_all(streams)
        self.assert_not_joined(streams)

    def test_stream_is_not_joined_at_a_runner_that_returned_in_a_freeze(self) -> None:
        """Guards against r0 as a server of v1 to which a stream of v1 goes on."""
        streams = self.begin_streams(self.first, STREAMS)
        self.close_all(streams)
        self.other.process.send_signal(signal.SIGSTOP)
        try:
            self.return_as_v2()
            attempts = [stream.begin_take_up(self.other) for stream in streams]
        finally:
            self.other.process.send_signal(signal.SIGCONT)
        for attempt in attempts:
            attempt.wait()
        self.try_all(streams)
        self.assert_not_joined(streams)


class WaitingRequestTest(OutOfStepCase):
    """Runners come back at version v2 while a runner that was v1 keeps requests that took a stream
    up waiting, and breaks them off."""

    def test_stream_that_waited_is_not_joined_by_what_was_known_when_it_came(self) -> None:
        """Guards against a reading that was recent when the request arrived, and is not when it
        is sent again."""
        streams = self.begin_streams(self.first, SLOTS_IN_USE)
        # Until a reading of the servers that began after the streams.
        time.sleep(CUT_S)
        self.close_all(streams)
        self.let_resumed_streams("breaks off late")
        attempts = [stream.begin_take_up(self.other) for stream in streams]
        wait_until(lambda: sum(first > 1 for runner in self.runners
                               for _, first, _ in runner.runs) == SLOTS_IN_USE, "all were sent")
        self.cut_hub()
        self.cut_store()
        time.sleep(CUT_S)
        self.let_resumed_streams("goes on")
        for runner in self.runners:
            runner.version = runner.label = "v2"
            runner.born += 1000
            runner.released.set()
        for attempt in attempts:
            attempt.wait()
        self.assert_not_joined(streams)
        kept_back = self.other.events(1146)
        self.assertEqual({line["reason"] for line in kept_back}, {"process_unconfirmed"})
        self.assertTrue(all(line["versions_age_ms"] > line["versions_needed_ms"]
                            for line in kept_back), kept_back)


class HandedOverStreamTest(OutOfStepCase):
    """A stream's server is silent, so that n2 asks another one to go on, which has come back at
    version v2 meanwhile."""

    gap_target_ms = 200

    def test_silent_stream_is_not_handed_over_to_a_returned_runner(self) -> None:
        """Guards against the version of the record of the server that is asked."""
        streams = self.begin_streams(self.other, STREAMS)
        self.cut_hub()
        self.cut_store()
        time.sleep(CUT_S)
        self.runners[0].return_as("v2")
        # Past the silence after which another server is asked.
        time.sleep(2 * CUT_S)
        self.let_new_streams("goes on")
        for stream in streams:
            stream.attempts[0].wait()
        self.heal()
        self.assert_not_joined(streams)


class OneVersionTest(OutOfStepCase):
    """One version serves alone, so that streams may go on at each of its runners."""

    def begin_and_leave(self, instance: Instance) -> list[CallerStream]:
        streams = self.begin_streams(instance, STREAMS)
        # Until a reading of the servers that began after the streams.
        time.sleep(CUT_S)
        self.close_all(streams)
        return streams

    def assert_taken_up_at_once(self, streams: list[CallerStream]) -> None:
        attempts = self.try_all(streams)
        self.assert_whole(streams)
        self.assertLess(max(attempt.elapsed for attempt in attempts), ANSWER_LIMIT_S)

    def test_stream_goes_on_at_an_instance_without_hub(self) -> None:
        """Guards against refusals for the lack of a reading that the store would give."""
        streams = self.begin_and_leave(self.first)
        self.cut_hub()
        self.assert_taken_up_at_once(streams)

    def test_stream_goes_on_after_the_hub_was_killed(self) -> None:
        """Guards against the same when there is no hub."""
        streams = self.begin_and_leave(self.first)
        self.first.process.kill()
        self.assert_taken_up_at_once(streams)

    def test_own_stream_is_taken_up_without_hub_and_store(self) -> None:
        """Guards against refusals of streams whose version n2 knows for itself."""
        streams = self.begin_and_leave(self.other)
        self.cut_hub()
        self.cut_store()
        self.assert_taken_up_at_once(streams)

    def test_own_stream_that_breaks_off_goes_on_without_hub_and_store(self) -> None:
        """Guards against the same within an answer."""
        streams = self.begin_streams(self.other, STREAMS)
        time.sleep(CUT_S)
        self.cut_hub()
        self.cut_store()
        self.break_streams(streams)
        self.assert_whole(streams)

    def test_streams_that_are_taken_up_together_share_their_readings(self) -> None:
        """Guards against calls to the store for each stream when all callers return at once."""
        streams = self.begin_and_leave(self.first)
        calls = self.other.store_endpoint.calls
        before = len(calls)
        self.assert_taken_up_at_once(streams)
        taken = [urlsplit(path) for path in calls[before:]]
        readings = [path for path in taken if "wait_ms=0" in path.query or path.path == "/rows-get"]
        self.assertLessEqual(len(readings), STREAMS, readings)


if __name__ == "__main__":
    unittest.main()
