"""Tests instance processes whose backend servers have two software versions.

What two versions write does not fit together, and servers do not check it: a stream may go on only
at a server of the version that began it, within an answer and over a caller's attempts.
"""

from __future__ import annotations

import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import wait_until  # noqa: E402
from stream_version_case import (  # noqa: E402
    BEGUN_EVENTS, KNOWN_AFTER_S, LAST_EVENT, CallerStream, StreamVersionCase)

UNKNOWN = b"0123456789abcdef"


class BrokenStreamTest(StreamVersionCase):
    """Streams that break off within an answer."""

    def test_stream_that_breaks_off_goes_on_at_the_version_that_began_it(self) -> None:
        """Guards against a resumption at a server of another version."""
        streams = self.begin_streams(self.first)
        self.break_streams(streams)
        self.assert_whole(streams)

    def assert_v1_cut(self, streams: list[CallerStream]) -> None:
        self.assert_not_joined(streams)
        self.assert_cut([stream for stream in streams if stream.version() == "v1"])
        self.assert_whole([stream for stream in streams if stream.version() == "v2"])

    def test_stream_whose_versions_servers_fail_is_cut(self) -> None:
        """Guards against a resumption at another version after all servers of the right one
        failed, when only the other version's servers are left to try."""
        for way in ("breaks off", "refused"):
            with self.subTest(resumed_stream=way):
                for runner in self.runners_of("v1"):
                    runner.resumed_stream = way
                streams = self.begin_streams(self.first)
                self.break_streams(streams)
                self.assert_v1_cut(streams)

    def test_stream_whose_versions_servers_have_left_is_cut(self) -> None:
        """Guards against a resumption at another version when it is the only one in service."""
        streams = self.begin_streams(self.first)
        # A stream of the runner that leaves first may go on at the next one until that leaves too.
        for runner in self.runners_of("v1"):
            runner.resumed_stream = "refused"
        for runner in self.runners_of("v1"):
            runner.leave()
        self.break_streams(streams)
        self.assert_v1_cut(streams)


class BrokenStreamOfOneVersionTest(StreamVersionCase):
    """The same with one version only, and as many servers as a version has above."""

    versions = ("v1", "v1")

    def test_stream_of_the_only_version_that_breaks_off_goes_on(self) -> None:
        """Guards against cuts where the versions are the same."""
        streams = self.begin_streams(self.first)
        self.break_streams(streams)
        self.assert_whole(streams)


class SilentServerTest(StreamVersionCase):
    """Streams whose server sends nothing for a long time."""

    gap_target_ms = 100

    def test_stream_of_a_silent_server_moves_to_the_same_version(self) -> None:
        """Guards against a move to another version for a silence."""
        self.let_new_streams("holds")
        self.assert_whole(self.play_streams(self.first))

    def test_stream_of_a_silent_server_stays_without_another_of_its_version(self) -> None:
        """Guards against the same when the servers of the right version refuse the stream: it
        must stay at the silent server until that goes on."""
        for runner in self.runners:
            runner.resumed_stream = "refused" if runner.version == "v1" else "goes on"
        self.let_new_streams("holds")
        streams = [CallerStream(self.first) for _ in range(8)]
        # Several times as long as a server's silence, which is a second here.
        time.sleep(4.0)
        for runner in self.runners:
            runner.released.set()
        for stream in streams:
            stream.attempts[0].wait()
        self.assert_whole(streams)


class SilentServerOfOneVersionTest(SilentServerTest):
    """The same with one version only: guards against streams that stay where they may move."""

    versions = ("v1", "v1")


class TakenUpStreamTest(StreamVersionCase):
    """Streams that callers take up again with a new request."""

    def close_all(self, streams: list[CallerStream]) -> None:
        for stream in streams:
            stream.close()

    def test_stream_taken_up_at_the_same_instance_goes_on_at_its_version(self) -> None:
        """Guards against a take-up that goes to any server."""
        streams = self.begin_streams(self.first)
        self.close_all(streams)
        for stream in streams:
            stream.try_take_up(self.first)
        self.assert_whole(streams)

    def test_stream_taken_up_at_another_instance_goes_on_at_its_version(self) -> None:
        """Guards against a version that only the instance knows that passed the stream on."""
        streams = self.begin_streams(self.first)
        time.sleep(KNOWN_AFTER_S)
        self.close_all(streams)
        for stream in streams:
            stream.take_up(self.other)
        self.assert_whole(streams)

    def test_stream_taken_up_at_once_at_another_instance_goes_on_in_the_end(self) -> None:
        """Guards against a take-up that arrives before the version is known there and goes to any
        server: it may be refused at first."""
        streams = []
        self.let_new_streams("holds")
        for _ in range(8):
            stream = CallerStream(self.first)
            wait_until(stream.events, "the stream begins")
            stream.close()
            stream.take_up(self.other)
            streams.append(stream)
        self.assert_not_joined(streams)

    def test_stream_of_a_killed_instance_goes_on_at_its_version(self) -> None:
        """Guards against a version that is lost with the instance that passed the stream on."""
        for killed, left in ((self.first, self.other), (self.other, self.first)):
            with self.subTest(killed=killed.name):
                streams = self.begin_streams(killed)
                time.sleep(KNOWN_AFTER_S)
                killed.stop()
                for stream in streams:
                    stream.attempts[0].wait()
                    stream.take_up(left)
                killed.start()
                self.wait_until_serving()
                self.assert_whole(streams)

    def test_stream_taken_up_after_a_kill_of_all_instances_goes_on_at_its_version(self) -> None:
        """Guards against a version that the instances know from each other only."""
        streams = self.begin_streams(self.first, 4) + self.begin_streams(self.other, 4)
        time.sleep(KNOWN_AFTER_S)
        self.restart_instances()
        for number, stream in enumerate(streams):
            stream.attempts[0].wait()
            stream.take_up(self.instances[number % 2])
        self.assert_whole(streams)

    def test_stream_taken_up_twice_goes_on_at_its_version(self) -> None:
        """Guards against a version that is known for the first attempt's answer alone: the
        second take-up names the same attempt, and its events came from another answer."""
        streams = self.begin_streams(self.first)
        time.sleep(KNOWN_AFTER_S)
        self.close_all(streams)
        self.let_resumed_streams("holds")
        for stream in streams:
            taken_up = stream.begin_take_up(self.first)
            wait_until(lambda: taken_up.events or taken_up.ended.is_set(), "the stream goes on")
            stream.close()
        self.let_resumed_streams("goes on")
        for number, stream in enumerate(streams):
            stream.take_up(self.instances[number % 2])
        self.assert_whole(streams)


class TakenUpStreamOfOneVersionTest(TakenUpStreamTest):
    """The same with one version only: guards against refusals where no version can be mistaken."""

    versions = ("v1", "v1")


class DepartedVersionTest(StreamVersionCase):
    """The servers of the version that began a stream have left."""

    def assert_refused_and_new_served(self, streams: list[CallerStream]) -> None:
        departed = [stream for stream in streams if stream.version() == "v1"]
        self.assert_refused_at_once([stream.try_take_up_as(instance, [stream.id.encode()])
                                     for stream in departed for instance in self.instances])
        others = [stream for stream in streams if stream.version() == "v2"]
        for stream in others:
            stream.take_up(self.first)
        self.assert_whole(others)
        self.let_new_streams("goes on")
        self.assert_whole(self.play_streams(self.first))

    def begin_streams_at_both(self) -> list[CallerStream]:
        streams = self.begin_streams(self.first, 4) + self.begin_streams(self.other, 4)
        time.sleep(KNOWN_AFTER_S)
        return streams

    def test_stream_whose_version_left_is_refused(self) -> None:
        """Guards against a take-up at the version that is left, and against one that waits."""
        streams = self.begin_streams_at_both()
        for stream in streams:
            stream.close()
        for runner in self.runners_of("v1"):
            runner.leave()
        self.wait_until_serving()
        self.assert_refused_and_new_served(streams)

    def test_stream_whose_version_left_before_a_restart_is_refused(self) -> None:
        """Guards against instances that take the only version that they have seen for the one
        that began the stream."""
        streams = self.begin_streams_at_both()
        for stream in streams:
            stream.close()
        for runner in self.runners_of("v1"):
            runner.leave()
        self.wait_until_serving()
        self.restart_instances()
        self.assert_refused_and_new_served(streams)

    def test_stream_whose_version_left_during_a_restart_is_refused(self) -> None:
        """Guards against the same when no instance saw the servers leave."""
        streams = self.begin_streams_at_both()
        self.kill_instances()
        for runner in self.runners_of("v1"):
            runner.leave()
        self.start_instances()
        self.assert_refused_and_new_served(streams)


# Values of the Resumes headers of a take-up that do not name a stream.
UNREADABLE = {"missing": [], "empty": [b""], "long": [b"a" * 300],
              "odd bytes": [b"\xff\xe9\x80=;,\"{}"], "unknown": [UNKNOWN],
              "doubled": [UNKNOWN, UNKNOWN[::-1]]}


class UnknownStreamTest(StreamVersionCase):
    """Take-ups that name no known stream, while two versions are in service."""

    def test_take_up_of_an_unknown_stream_is_refused(self) -> None:
        """Guards against a guess of the version."""
        stream = self.begin_streams(self.first, 1)[0]
        stream.close()
        for name, resumes in UNREADABLE.items():
            with self.subTest(resumes=name):
                attempts = [stream.try_take_up_as(instance, resumes)
                            for instance in self.instances * 2]
                self.assert_refused_at_once(attempts)

    def test_take_up_that_names_two_known_streams_is_refused(self) -> None:
        """Guards against a choice between two versions."""
        streams = {stream.version(): stream for stream in self.begin_streams(self.first, 2)}
        time.sleep(KNOWN_AFTER_S)
        for stream in streams.values():
            stream.close()
        names = [streams[version].id.encode() for version in ("v1", "v2")]
        self.assert_refused_at_once([stream.try_take_up_as(instance, names)
                                     for stream in streams.values()
                                     for instance in self.instances])

    def test_unknown_stream_is_refused_after_a_restart_of_all(self) -> None:
        """Guards against a guess of an instance that has no stream's version."""
        stream = self.begin_streams(self.first, 1)[0]
        self.restart_instances()
        self.assert_refused_at_once([stream.try_take_up_as(instance, [UNKNOWN])
                                     for instance in self.instances * 2])

    def leave_v1(self) -> CallerStream:
        """Returns a stream that began at v1, whose servers have left since."""
        streams = self.begin_streams(self.first, 2)
        for stream in streams:
            stream.close()
        for runner in self.runners_of("v1"):
            runner.leave()
        self.wait_until_serving()
        return next(stream for stream in streams if stream.version() == "v1")

    def test_unknown_stream_is_refused_after_one_of_the_versions_has_left(self) -> None:
        """Guards against the only version in service that counts as that of any stream."""
        stream = self.leave_v1()
        self.assert_refused_at_once([stream.try_take_up_as(instance, [UNKNOWN])
                                     for instance in self.instances * 2])

    def test_unknown_stream_is_refused_after_a_version_has_left_and_a_restart_of_all(self) -> None:
        """Guards against the same of instances that have never seen the other version."""
        stream = self.leave_v1()
        self.restart_instances()
        self.assert_refused_at_once([stream.try_take_up_as(instance, [UNKNOWN])
                                     for instance in self.instances * 2])

    def test_new_stream_with_an_unreadable_header_is_served(self) -> None:
        """Guards against a refusal of a request that takes nothing up."""
        self.let_new_streams("goes on")
        for name, resumes in UNREADABLE.items():
            with self.subTest(resumes=name):
                stream = CallerStream(self.first, resumes)
                stream.attempts[0].wait()
                self.assert_whole([stream])


class UnknownStreamOfOneVersionTest(StreamVersionCase):
    """The same while only one version is and was in service."""

    versions = ("v1",) * 3

    def assert_all_go_on(self, stream: CallerStream) -> None:
        for name, resumes in UNREADABLE.items():
            for instance in self.instances:
                with self.subTest(resumes=name, instance=instance.name):
                    attempt = stream.try_take_up_as(instance, resumes)
                    self.assertEqual([event[0] for event in attempt.events],
                                     list(range(BEGUN_EVENTS + 1, LAST_EVENT + 1)))
                    self.assertTrue(attempt.complete)

    def test_take_up_of_an_unknown_stream_goes_on(self) -> None:
        """Guards against refusals where no version can be mistaken."""
        stream = self.begin_streams(self.first, 1)[0]
        stream.close()
        self.assert_all_go_on(stream)

    def test_take_up_of_an_unknown_stream_goes_on_after_a_restart_of_all(self) -> None:
        """Guards against refusals by instances that have not seen a stream begin."""
        stream = self.begin_streams(self.first, 1)[0]
        self.restart_instances()
        self.assert_all_go_on(stream)


if __name__ == "__main__":
    unittest.main()
