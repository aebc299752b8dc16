"""Runs real instances while the store comes back from a copy that is some seconds old.

Streams that began before go on at other instances when theirs has died.
"""

from __future__ import annotations

import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import wait_until  # noqa: E402
from restorable_store import RestorableStore  # noqa: E402
from store_restore_case import AWAY_S  # noqa: E402
from stream_version_case import StreamVersionCase  # noqa: E402


class StreamTest(StreamVersionCase):
    """Streams of two versions begin at n2, after the copy was taken."""

    streams = 16

    def create_store(self) -> RestorableStore:
        return RestorableStore()

    def begin(self) -> list:
        for runner in self.runners:
            runner.new_stream = "holds"
        return self.begin_streams(self.other, self.streams)

    def written(self) -> int:
        return sum(table == "carawayturn_streams" for table, _ in list(self.store.rows))

    def assert_streams_go_on_elsewhere(self, streams: list) -> None:
        """Kills n2 and takes its streams up at n1."""
        self.other.stop()
        for stream in streams:
            wait_until(stream.attempts[-1].ended.is_set, "the stream breaks off")
            stream.take_up(self.first)
        self.assertEqual([stream for stream in streams if not stream.whole()], [])

    # Guards against records of streams that are written once, although the store has lost them.
    def test_streams_from_before_a_drill_are_taken_up_after_their_instance_died(self) -> None:
        copy = self.store.copy()
        streams = self.begin()
        wait_until(lambda: self.written() >= self.streams, "all records are written")
        self.store.leave()
        time.sleep(AWAY_S)
        self.store.return_from(copy)
        time.sleep(2.0)
        self.assert_streams_go_on_elsewhere(streams)

    # Guards against a second drill that takes away the records that were written after the first.
    def test_streams_are_taken_up_after_two_drills(self) -> None:
        copy = self.store.copy()
        streams = self.begin()
        wait_until(lambda: self.written() >= self.streams, "all records are written")
        for _ in range(2):
            self.store.leave()
            time.sleep(AWAY_S)
            self.store.return_from(copy)
            time.sleep(2.0 - AWAY_S)
        time.sleep(1.0)
        self.assert_streams_go_on_elsewhere(streams)

    # Guards against records that wait for the next try while the store is back.
    def test_streams_that_begin_while_the_store_is_away_are_written_at_its_return(self) -> None:
        copy = self.store.copy()
        self.store.leave()
        streams = self.begin()
        time.sleep(4.0)
        self.store.return_from(copy)
        time.sleep(2.0)
        self.assert_streams_go_on_elsewhere(streams)


if __name__ == "__main__":
    unittest.main()
