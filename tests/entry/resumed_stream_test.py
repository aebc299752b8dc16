"""Tests an instance process whose backend servers break a stream off and resume it wrongly.

The first run of each stream sends two events and closes the connection. What a later run sends may
reach the caller only if it continues the stream.
"""

from __future__ import annotations

import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import END, STREAM, chunk, event, head  # noqa: E402
from entry_fleet import wait_until  # noqa: E402
from misbehaving_server import Connection, Request, sends, stream  # noqa: E402
from resumed_stream_case import (  # noqa: E402
    BEGUN_STREAM, WHOLE_STREAM, ResumedStreamCase, breaks_off, breaks_off_after, sends_events)

# Longer than the time after which another server is looked for: five times the gap objective.
SILENCE_S = 2.5
ERROR = b'{"error":{"code":"not_found"}}'
JSON = f"Content-Type: application/json\r\nContent-Length: {len(ERROR)}\r\n"
# A stream without a length and without chunks, which ends with its connection.
UNFRAMED = "Content-Type: text/event-stream\r\n"


class ResumedStreamTest(ResumedStreamCase):
    """Plays runs that continue a stream, and such that do not."""

    def test_stream_that_the_next_run_continues_is_whole(self) -> None:
        """Guards against the refusal of a correct continuation."""
        self.assertEqual(self.stream(breaks_off, stream), (WHOLE_STREAM, True))
        self.assertEqual(self.resume_points, [None, "2"])

    def test_stream_whose_end_alone_is_missing_is_ended_by_the_next_run(self) -> None:
        """Guards against the refusal of a continuation to which no event is left."""
        self.assertEqual(
            self.stream(breaks_off_after(*(event(number) for number in range(1, 6))), stream),
            (WHOLE_STREAM, True))

    def test_error_with_status_200_is_not_passed_on_into_the_stream(self) -> None:
        """Guards against an error's text at the end of a stream that looks complete."""
        self.assert_not_continued_by(sends(JSON, ERROR), "media_type")

    def test_error_with_status_206_is_not_passed_on_into_the_stream(self) -> None:
        """Guards against the same with another status of success."""
        self.assert_not_continued_by(sends(JSON, ERROR, status=206), "status")

    def test_answer_without_a_body_does_not_end_the_stream(self) -> None:
        """Guards against a cut stream that looks complete."""
        self.assert_not_continued_by(sends("", status=204), "status")

    def test_encoded_answer_is_not_passed_on_into_the_stream(self) -> None:
        """Guards against encoded bytes in a stream whose head names no encoding."""
        self.assert_not_continued_by(
            sends("Content-Encoding: gzip\r\n" + STREAM, chunk(event(3)), END),
            "content_coding")

    def test_failure_is_not_passed_on_into_the_stream(self) -> None:
        """Guards against an error's text in the middle of a stream."""
        for status in (302, 404, 500):
            with self.subTest(status=status):
                self.assert_not_continued_by(sends(JSON, ERROR, status=status), "status")

    def test_run_that_starts_over_adds_no_event_twice(self) -> None:
        """Guards against a server that ignores the resume point: events came twice."""
        self.assert_not_continued_by(
            sends_events(*(event(number) for number in range(1, 6))), "event_id_not_greater")

    def test_event_that_the_caller_has_is_not_sent_again(self) -> None:
        """Guards against a run that resumes one event too early."""
        self.assert_not_continued_by(
            sends_events(event(2), event(3), event(4), event(5)), "event_id_not_greater")

    def test_events_without_an_id_do_not_continue_a_stream_with_ids(self) -> None:
        """Guards against events of which nobody knows whether the caller has them."""
        self.assert_not_continued_by(sends_events(b"data: 3\n\n", event(4)),
                                     "event_id_missing")

    def test_error_in_an_event_stream_is_not_passed_on(self) -> None:
        """Guards against an error's text in an answer that names itself an event stream."""
        for text in (ERROR, ERROR + b"\n\n"):
            with self.subTest(text=text):
                self.assert_not_continued_by(sends_events(text), "event_id_missing")

    def test_event_id_that_is_no_number_does_not_continue_a_stream(self) -> None:
        """Guards against ids whose order is unknown."""
        self.assert_not_continued_by(sends_events(b"id: x\ndata: 3\n\n"),
                                     "event_id_not_numeric")

    def test_events_before_the_one_that_repeats_are_kept(self) -> None:
        """Guards against a run that starts over after it has resumed the stream."""
        joined = sends_events(event(3), event(1), event(2), event(3))
        self.assertEqual(self.stream(breaks_off, joined, stream), (WHOLE_STREAM, True))
        self.assertEqual(self.resume_points, [None, "2", "3"])

    def assert_not_resumed(self, *events: bytes) -> None:
        """Checks that a stream that breaks off after these events is cut, without another run."""
        self.assertEqual(self.stream(breaks_off_after(*events), stream),
                         (b"".join(events), False))
        self.assertEqual(self.resume_points, [None])
        wait_until(lambda: "stream_not_resumable" in {
            ended["not_repeated"] for ended in self.instance.events(1100)}, "it is logged", 5)

    def test_stream_of_events_without_an_id_is_not_resumed(self) -> None:
        """Guards against a second run from the beginning: events came twice."""
        self.assert_not_resumed(b"data: 1\n\n", b"data: 2\n\n")

    def test_stream_that_broke_off_after_an_event_without_an_id_is_not_resumed(self) -> None:
        """Guards against a run that repeats the events after the last id."""
        self.assert_not_resumed(event(1), event(2), b"data: more of 2\n\n")

    def test_stream_whose_ids_do_not_increase_is_not_resumed(self) -> None:
        """Guards against a resume point that does not tell which events the caller has."""
        for odd_id in (b"2", b"1", b"", b"x", b"3\0", b"3" * 300):
            with self.subTest(id=odd_id):
                self.assert_not_resumed(event(1), event(2), b"id: " + odd_id + b"\ndata: 3\n\n")

    def test_stream_is_resumed_after_the_next_event_with_an_id(self) -> None:
        """Guards against the loss of a stream that can be resumed."""
        begun = (b"data: 0\n\n", event(1), b": comment\n\n")
        self.assertEqual(self.stream(breaks_off_after(*begun), stream),
                         (b"".join(begun) + b"".join(map(event, range(2, 6))), True))
        self.assertEqual(self.resume_points, [None, "1"])

    def test_stream_without_a_resume_point_is_not_given_up_for_a_silence(self) -> None:
        """Guards against a stream that is cut for another run that cannot continue it."""
        def pauses(connection: Connection, request: Request) -> None:
            connection.send(head(request.id, STREAM) + chunk(b"data: 1\n\n"))
            time.sleep(SILENCE_S)
            connection.send(chunk(event(2)) + END)

        self.assertEqual(self.stream(pauses), (b"data: 1\n\n" + event(2), True))
        self.assertEqual(self.resume_points, [None])

    def test_complete_stream_without_ids_is_not_logged_as_one_that_is_not_resumable(self) -> None:
        """Guards against a log that gives a reason for a run that nobody needs."""
        self.assertEqual(self.stream(sends_events(b"data: 1\n\n")), (b"data: 1\n\n", True))
        ended = wait_until(lambda: self.instance.events(1100), "the end is logged", 5)
        self.assertEqual([line["not_repeated"] for line in ended], ["final_outcome"])

    def test_stream_whose_connection_ends_inside_an_event_is_resumed(self) -> None:
        """Guards against a part of an event at the end of a stream that looks complete."""
        cut = sends(UNFRAMED, BEGUN_STREAM, b"id: 3\nda")
        self.assertEqual(self.stream(cut, stream), (WHOLE_STREAM, True))
        self.assertEqual(self.resume_points, [None, "2"])
        self.assertEqual(self.stream(cut), (BEGUN_STREAM, False))

    def test_stream_whose_connection_ends_inside_its_first_event_is_sent_again(self) -> None:
        """Guards against the same before the caller has an event."""
        self.assertEqual(self.stream(sends(UNFRAMED, b"id: 1\nda"), stream),
                         (WHOLE_STREAM, True))

    def test_stream_that_ends_with_its_connection_after_an_event_is_complete(self) -> None:
        """Guards against the refusal of a complete stream, first or resumed."""
        whole = sends(UNFRAMED, WHOLE_STREAM + b": comment")
        self.assertEqual(self.stream(whole), (WHOLE_STREAM + b": comment", True))
        rest = sends(UNFRAMED, *map(event, range(3, 6)))
        self.assertEqual(self.stream(breaks_off, rest), (WHOLE_STREAM, True))

    def test_connection_that_ends_after_the_head_does_not_end_the_stream(self) -> None:
        """Guards against a cut stream that looks complete."""
        for comment in (b"", b": comment\n\n"):
            with self.subTest(comment=comment):
                self.assert_not_continued_by(sends(UNFRAMED, comment), "no_event", comment)

    def test_answer_that_is_no_event_stream_is_passed_on(self) -> None:
        """Guards against the refusal of a body without events because its last event has no
        end."""
        self.assertEqual(self.stream(sends("Content-Type: application/json\r\n", ERROR)),
                         (ERROR, True))

    def test_events_with_other_line_ends_are_passed_on_as_they_arrive(self) -> None:
        """Guards against events that are held back until the stream ends, and are lost if it
        breaks off."""
        for line_end in (b"\r", b"\r\n"):
            with self.subTest(line_end=line_end):
                begun = BEGUN_STREAM.replace(b"\n", line_end)
                self.assertEqual(self.stream(breaks_off_after(begun), stream),
                                 (WHOLE_STREAM.replace(BEGUN_STREAM, begun), True))
                self.assertEqual(self.resume_points, [None, "2"])

    def test_trailers_of_a_stream_do_not_reach_the_caller(self) -> None:
        """Guards against trailers that are taken for headers of the answer."""
        trailers = b"0\r\nX-Trailer: a\r\nContent-Type: text/plain\r\n\r\n"
        whole = [event(number) for number in range(1, 6)]
        for events, received in ((whole, WHOLE_STREAM), ([], WHOLE_STREAM),
                                 ([event(1), b"id: 2\ndata: 2\n"], WHOLE_STREAM)):
            with self.subTest(events=events):
                self.assertEqual(
                    self.stream(sends(STREAM, *map(chunk, events), trailers), stream),
                    (received, True))
                self.assertNotIn("X-Trailer", self.headers)
                self.assertEqual(self.headers.get_all("Content-Type"), ["text/event-stream"])


if __name__ == "__main__":
    unittest.main()
