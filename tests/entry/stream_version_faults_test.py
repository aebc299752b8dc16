"""Tests streams of several software versions while servers' rows are odd, servers return under
their id with another version, or all instances restart, and counts what is written to the store.
"""

from __future__ import annotations

import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import Instance, wait_until  # noqa: E402
from stream_version_case import (  # noqa: E402
    ABSENT, KNOWN_AFTER_S, CallerStream, StreamVersionCase, VersionedRunner)

# Versions of a row that name none.
ODD_VERSIONS = {"absent": ABSENT, "number": 7, "null": None, "empty": "", "long": "v" * 10_000}
# Tables that instances do not write.
FOREIGN_TABLES = ("op", "servers")


class OddVersionTest(StreamVersionCase):
    """One of the servers has a row without a version that can be read."""

    versions = ("v1", "v1")

    def remove(self, runner: VersionedRunner) -> None:
        self.runners.remove(runner)
        runner.leave()
        self.wait_until_serving()

    def play_odd(self, check) -> None:
        """Calls `check` with the odd server, for each odd version."""
        for name, version in ODD_VERSIONS.items():
            with self.subTest(version=name):
                for runner in self.runners:
                    runner.released.clear()
                odd = self.add_runner(f"odd-{name}", version, "odd")
                self.wait_until_serving()
                try:
                    check(odd)
                finally:
                    self.remove(odd)

    def test_server_without_a_readable_version_serves_new_streams(self) -> None:
        """Guards against a server that gets no requests, or a directory that cannot be read, for
        the version in one row."""
        def check(odd: VersionedRunner) -> None:
            self.let_new_streams("goes on")
            for runner in self.runners:
                runner.event_pause_s = 0.05
            wait_until(lambda: self.assert_whole(self.play_streams(self.first)) or odd.runs,
                       "the server has run a stream", 20)

        self.play_odd(check)

    def test_stream_does_not_go_on_at_a_server_without_a_readable_version(self) -> None:
        """Guards against a version that cannot be read and counts as equal to any other."""
        def check(odd: VersionedRunner) -> None:
            streams = self.begin_streams(self.first)
            self.break_streams(streams)
            self.assert_not_joined(streams)
            self.assert_whole([stream for stream in streams if stream.version() == "v1"])

        self.play_odd(check)

    def test_stream_is_cut_if_only_a_server_without_a_readable_version_is_left(self) -> None:
        """Guards against the same when the servers of the right version fail."""
        def check(odd: VersionedRunner) -> None:
            streams = self.begin_streams(self.first)
            self.break_streams(streams)
            self.assert_not_joined(streams)
            self.assert_cut([stream for stream in streams if stream.version() == "v1"])

        self.let_resumed_streams("breaks off")
        self.play_odd(check)

    def test_stream_is_not_taken_up_at_a_server_without_a_readable_version(self) -> None:
        """Guards against a take-up at such a server, and one that it keeps from going on."""
        def check(odd: VersionedRunner) -> None:
            streams = self.begin_streams(self.first)
            time.sleep(KNOWN_AFTER_S)
            for stream in streams:
                stream.close()
            for number, stream in enumerate(streams):
                if stream.version() == "v1":
                    stream.take_up(self.instances[number % 2])
                else:
                    stream.try_take_up(self.instances[number % 2])
            self.assert_not_joined(streams)
            self.assert_whole([stream for stream in streams if stream.version() == "v1"])

        self.play_odd(check)


class AbsentVersionsTest(StreamVersionCase):
    """No server's row has a version."""

    versions = (ABSENT,) * 3

    def setUp(self) -> None:
        super().setUp()
        for runner in self.runners:
            runner.label = "any"

    def test_stream_that_breaks_off_goes_on(self) -> None:
        """Guards against cuts where servers state no version."""
        self.let_new_streams("breaks off")
        self.assert_whole(self.play_streams(self.first))

    def test_stream_is_taken_up_at_another_instance_and_after_a_restart_of_all(self) -> None:
        """Guards against refusals where servers state no version."""
        streams = self.begin_streams(self.first, 6)
        for stream in streams[:3]:
            stream.close()
            stream.take_up(self.other)
        self.restart_instances()
        for stream in streams[3:]:
            stream.attempts[0].wait()
            stream.take_up(self.other)
        self.assert_whole(streams)


class ReturnedServerTest(StreamVersionCase):
    """The server r0 comes back under its id with version v2. Its streams may go on at r1."""

    versions = ("v1", "v1", "v2")

    def return_with_row(self) -> None:
        """Brings r0 back with its row, and waits until the instances know it."""
        returned = self.runners[0]
        returned.return_as("v2")
        returned.record()
        for instance in self.instances:
            wait_until(lambda: any(changed["server"] == "r0" and changed["born_ms"] == returned.born
                                   for changed in instance.events(1130)),
                       f"{instance.name} knows the server's start")

    def return_before_row(self) -> None:
        """Brings r0 back with a row that is written a second later, as a heartbeat does. Only the
        server's own answers show its new start until then."""
        self.runners[0].return_as("v2")
        timer = threading.Timer(1.0, self.runners[0].record)
        timer.start()
        self.addCleanup(timer.join)

    def begin_and_leave(self) -> list[CallerStream]:
        streams = self.begin_streams(self.first)
        time.sleep(KNOWN_AFTER_S)
        for stream in streams:
            stream.close()
        return streams

    def take_up_all(self, streams: list[CallerStream]) -> None:
        for number, stream in enumerate(streams):
            stream.attempts[0].wait()
            stream.take_up(self.instances[number % 2])

    def test_stream_is_not_taken_up_at_its_returned_server(self) -> None:
        """Guards against a version that is kept for a server's id over its restart."""
        streams = self.begin_and_leave()
        self.return_with_row()
        self.take_up_all(streams)
        self.assert_whole(streams)

    def test_stream_is_not_taken_up_at_its_returned_server_before_its_row(self) -> None:
        """Guards against a take-up at the server whose row in the directory is the former one."""
        streams = self.begin_and_leave()
        self.return_before_row()
        self.take_up_all(streams)
        self.assert_whole(streams)

    def test_stream_is_not_taken_up_at_a_server_that_returned_during_a_restart(self) -> None:
        """Guards against a stream's version that is looked up by its server's id after a restart
        of all instances."""
        streams = self.begin_and_leave()
        self.kill_instances()
        self.runners[0].return_as("v2")
        self.runners[0].record()
        self.start_instances()
        self.take_up_all(streams)
        self.assert_whole(streams)

    def assert_not_resumed_at_the_returned(self, bring_back) -> None:
        streams = self.begin_streams(self.first)
        self.runners[1].resumed_stream = "refused"
        held = [stream for stream in streams
                if stream.id in {run[0] for run in self.runners[0].runs}]
        bring_back()
        self.runners[1].released.set()
        self.runners[2].released.set()
        for stream in streams:
            stream.attempts[0].wait()
        self.assert_not_joined(streams)
        self.assert_cut(held)
        self.assert_whole([stream for stream in streams if stream not in held])

    def test_stream_is_not_resumed_at_its_returned_server(self) -> None:
        """Guards against the same within an answer, which breaks off when the server restarts."""
        self.assert_not_resumed_at_the_returned(self.return_with_row)

    def test_stream_is_not_resumed_at_its_returned_server_before_its_row(self) -> None:
        """Guards against the same while the directory has the server's former row."""
        self.assert_not_resumed_at_the_returned(self.return_before_row)

    def test_stream_that_began_at_the_returned_server_before_its_row_is_not_joined(self) -> None:
        """Guards against a stream of the new version that counts as one of the former, since the
        directory has the server's former row when the stream begins."""
        self.assert_whole(self.play_streams(self.first))
        returned, _, same = self.runners
        returned.new_stream = "breaks off"
        same.resumed_stream = "refused"
        self.return_before_row()
        streams = []
        wait_until(lambda: streams.extend(self.play_streams(self.first, 4)) or
                   any(run[2] == "v2" for run in returned.runs),
                   "a stream begins at the returned server")
        self.assert_not_joined(streams)


class ArrivingVersionTest(StreamVersionCase):
    """Servers of a second version arrive while streams of the first and only one are in
    progress, for which nothing had to be recorded when they began."""

    versions = ("v1", "v1")

    def add_v2(self) -> None:
        for name in ("r2", "r3"):
            self.add_runner(name, "v2")

    def begin_before_v2(self) -> list[CallerStream]:
        streams = self.begin_streams(self.first, 4) + self.begin_streams(self.other, 4)
        self.add_v2()
        self.wait_until_serving()
        return streams

    def take_up_all(self, streams: list[CallerStream]) -> None:
        for number, stream in enumerate(streams):
            stream.close()
            stream.take_up(self.instances[number % 4 // 2])

    def test_stream_that_breaks_off_after_another_version_arrived_goes_on(self) -> None:
        """Guards against a stream without a version, which goes on anywhere or nowhere."""
        streams = self.begin_before_v2()
        self.break_streams(streams)
        self.assert_whole(streams)

    def test_stream_taken_up_after_another_version_arrived_goes_on_at_its_version(self) -> None:
        """Guards against the same for a take-up, at the same and at the other instance."""
        streams = self.begin_before_v2()
        time.sleep(KNOWN_AFTER_S)
        self.take_up_all(streams)
        self.assert_whole(streams)

    def test_stream_goes_on_after_another_version_arrived_and_a_restart_of_all(self) -> None:
        """Guards against versions that are recorded only for streams that begin while two
        versions are in service."""
        streams = self.begin_before_v2()
        time.sleep(KNOWN_AFTER_S)
        self.restart_instances()
        self.take_up_all(streams)
        self.assert_whole(streams)

    def test_stream_is_not_joined_if_another_version_arrived_during_a_restart_of_all(self) -> None:
        """Guards against the same when no instance was there to record the streams. They may be
        refused, since nothing tells one of them from an unknown stream."""
        streams = self.begin_streams(self.first, 4) + self.begin_streams(self.other, 4)
        time.sleep(KNOWN_AFTER_S)
        self.kill_instances()
        self.add_v2()
        self.start_instances()
        attempts = [stream.try_take_up(instance) for stream in streams
                    for instance in self.instances if not stream.whole()]
        self.assert_not_joined(streams)
        self.assertLessEqual({attempt.status for attempt in attempts}, {200, 503})


class RestartOfAllTest(StreamVersionCase):
    """All instances are killed while streams are in progress."""

    stream_count = 30

    def test_most_streams_in_progress_go_on_after_a_restart_of_all(self) -> None:
        """Guards against joined streams, and against versions that are recorded too late or for
        a part of the streams only."""
        for runner in self.runners:
            runner.event_pause_s = 0.8
        streams = []
        for number in range(self.stream_count):
            streams.append(CallerStream(self.instances[number % 2]))
            time.sleep(0.08)
        time.sleep(0.8)
        killed_at = time.monotonic()
        self.kill_instances()
        for runner in self.runners:
            runner.event_pause_s = 0.0
        self.start_instances()
        for stream in streams:
            stream.attempts[0].wait()
        broken = [stream for stream in streams
                  if stream.events() and not stream.attempts[0].complete]
        self.take_up_together(broken)
        self.assert_not_joined(broken)
        known = [stream for stream in broken if stream.events()[0][2] <= killed_at - 0.5]
        self.assertGreaterEqual(len(known), self.stream_count // 3)
        lost = [stream for stream in known if not stream.whole()]
        self.assertLessEqual(len(lost), 0.2 * len(known), lost)

    def take_up_together(self, streams: list[CallerStream]) -> None:
        callers = [threading.Thread(target=stream.take_up, args=(self.instances[number % 2],))
                   for number, stream in enumerate(streams)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()


class RestartOfAllOfOneVersionTest(RestartOfAllTest):
    """The same with one version only."""

    versions = ("v1", "v1")


def write_times(instances: list[Instance]) -> list[float]:
    """Returns when the instances' calls arrived at the store that are no reads."""
    # The endpoint records an answer once more with each later one on the same connection.
    return sorted(at for instance in instances
                  for at, path in {answer[:2] for answer in list(instance.store_endpoint.answers)}
                  if not path.startswith(("/rows-get", "/rows-feed")))


class StoreWritesTest(StreamVersionCase):
    """Counts what instances write to the store for streams."""

    stream_count = 60
    # The lease of the hub is renewed 1.25 times a second.
    renewals_per_s = 1.25

    def own_rows(self) -> int:
        return sum(table not in FOREIGN_TABLES for table, _ in list(self.store.rows))

    def play_all(self) -> None:
        """Plays short streams, ten at a time, at both instances."""
        for _ in range(self.stream_count // 10):
            streams = [CallerStream(self.instances[number % 2]) for number in range(10)]
            for stream in streams:
                stream.attempts[0].wait()
            self.assert_whole(streams)

    def test_short_streams_leave_few_rows_and_take_few_writes(self) -> None:
        """Guards against rows that are never removed, and against a write for each event."""
        self.play_all()
        time.sleep(KNOWN_AFTER_S)
        self.assertLessEqual(self.own_rows(), 300)
        times = write_times(self.instances)
        most = max(sum(at <= other < at + 1 for other in times) for at in times)
        self.assertLess(most, 50)


class StoreWritesOfOneVersionTest(StoreWritesTest):
    """The same with one version only."""

    versions = ("v1", "v1")

    def test_streams_of_the_only_version_write_nothing(self) -> None:
        """Guards against a price for what nothing needs: the writes must be those of an instance
        without streams."""
        # The version itself has a row, which the hub writes once.
        rows = wait_until(lambda: self.own_rows() > 1 and self.own_rows(), "the rows are written")
        began, before = time.monotonic(), len(write_times(self.instances))
        while time.monotonic() < began + 4.0:
            self.assert_whole(self.play_streams(self.first, 4))
            self.assert_whole(self.play_streams(self.other, 4))
            time.sleep(0.1)
        elapsed = time.monotonic() - began
        self.assertLessEqual(len(write_times(self.instances)) - before,
                             2 * self.renewals_per_s * elapsed)
        self.assertEqual(self.own_rows(), rows)


if __name__ == "__main__":
    unittest.main()
