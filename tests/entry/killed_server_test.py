"""Tests an instance process whose backend servers are killed while they send a stream.

The system closes the connections of a process that ends. For an answer without a length and
without chunks, that looks like its end, and it often comes between two events, because servers
write whole events.
"""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import STREAM, chunk, head  # noqa: E402
from misbehaving_server import Connection, Request, sends, stream  # noqa: E402
from resumed_stream_case import BEGUN_STREAM, WHOLE_STREAM, ResumedStreamCase  # noqa: E402

# A stream without a length and without chunks, which ends with its connection.
UNFRAMED = "Content-Type: text/event-stream\r\n"


def killed_after(framing: str, body: bytes):
    """Returns a way to answer: this part of a body, after which the server's process ends."""
    def play(connection: Connection, request: Request) -> None:
        connection.send(head(request.id, framing) + body)
        connection.server.refuse_connections()
        connection.finish()
    return play


class KilledServerTest(ResumedStreamCase):
    """Plays servers that end between two events of a stream."""

    def test_stream_of_a_killed_server_is_resumed(self) -> None:
        """Guards against a stream that looks complete because its server was killed."""
        for name, way in {"chunks": killed_after(STREAM, chunk(BEGUN_STREAM)),
                          "unframed": killed_after(UNFRAMED, BEGUN_STREAM)}.items():
            with self.subTest(framing=name):
                self.assertEqual(self.stream(way, stream), (WHOLE_STREAM, True))
                self.assertEqual(self.resume_points, [None, "2"])

    def test_unframed_stream_of_a_server_that_goes_on_is_complete(self) -> None:
        """Guards against a second run of each stream that ends with its connection."""
        self.assertEqual(self.stream(sends(UNFRAMED, WHOLE_STREAM), stream),
                         (WHOLE_STREAM, True))
        self.assertEqual(self.resume_points, [None])


if __name__ == "__main__":
    unittest.main()
