"""A stand-in for a backend server that writes an earlier answer once more on a kept connection.

It refuses the first sends of each request. When the id of a refused request comes again, it runs
the request and, while it runs, writes a copy of the refusal.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass

from answer_bytes import END, STREAM, chunk, event, head, with_length
from misbehaving_server import Connection, MisbehavingServer, Request

# Length of a run, in seconds: the copy arrives long before the answer.
RUN_S = 0.15
# Path of a request that is never refused and that has no copy.
PLAIN_PATH_END = "/plain"


@dataclass
class Run:
    """A request that ran, and whether a copy of an earlier answer was written while it ran."""

    id: str
    path: str
    copied: bool


def refusal(request_id: str, status: int, sender: str) -> bytes:
    """Returns an answer that states that the request has not run."""
    return head(request_id, f"Content-Length: 0\r\nX-Not-Executed: 1\r\nX-Instance-Id: {sender}"
                "\r\n", status)


def same_connection(connection: Connection, first: Connection) -> bool:
    """Selects the copies on the connection that carried the first answer."""
    return connection is first


def kept_connection(connection: Connection, first: Connection) -> bool:
    """Selects the copies on each connection that has carried another request."""
    return connection.requests > 1


class RepeatingServer(MisbehavingServer):
    """Refuses the first `refusals` sends of each id and repeats the refusal where
    `writes_copy` says so."""

    def __init__(self, store, name: str, service: str, models: list[str] | None = None) -> None:
        self.status = 503
        self.refusals = 1
        self.writes_copy = same_connection
        # Whether a copy of a success is written as well when its id comes again.
        self.repeats_successes = False
        self.runs: list[Run] = []
        self.connections = 0
        self._sends: Counter[str] = Counter()
        # The connection and the bytes of the first answer to each id.
        self._first: dict[str, tuple[Connection, bytes]] = {}
        super().__init__(store, name, service, models)

    def _serve(self, stream_socket) -> None:
        self.connections += 1
        super()._serve(stream_socket)

    def _answer(self, connection: Connection, request: Request) -> None:
        if request.path.endswith(PLAIN_PATH_END):
            time.sleep(RUN_S)
        if request.path == "/report" or request.path.endswith(PLAIN_PATH_END):
            super()._answer(connection, request)
            return
        self._sends[request.id] += 1
        if self._sends[request.id] <= self.refusals:
            answer = refusal(request.id, self.status, self.name)
            self._first[request.id] = (connection, answer)
            connection.send(answer)
            return
        self._run(connection, request)

    def _run(self, connection: Connection, request: Request) -> None:
        first = self._first.get(request.id)
        copied = first is not None and self.writes_copy(connection, first[0])
        self.runs.append(Run(request.id, request.path, copied))
        if copied:
            connection.send(first[1])
        time.sleep(RUN_S)
        answer = with_length(request.id, b"run %d of " % len(self.runs) +
                             self.name.encode())
        if self.models:
            answer = head(request.id, STREAM) + b"".join(
                chunk(event(number)) for number in range(1, 6)) + END
        if self.repeats_successes and first is None:
            self._first[request.id] = (connection, answer)
        connection.send(answer)
