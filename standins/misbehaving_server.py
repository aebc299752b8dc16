"""A stand-in for a backend server with selectable behaviour, for tests on loopback.

It works on raw sockets. Each behaviour (a "way") is a function in the table WAYS. It gets the
connection and the request and writes what a faulty server may write: answers to other requests,
duplicate answers, answers that end early or never, and bytes that are not HTTP.
"""

from __future__ import annotations

import json
import socket
import struct
import threading
import time
from dataclasses import dataclass

from answer_bytes import CHUNKED, COMMENT, END, STREAM, chunk, event, head, with_length

# An endless answer stops after this many bytes, so that a caller that never closes the connection
# is recorded in `unbounded` instead of making the test hang.
ENDLESS_LIMIT = 48 * 1024 * 1024
PIECE = 64 * 1024
# Small send buffer, so that the number of bytes sent is close to the number that the caller has
# read.
SEND_BUFFER = 64 * 1024
# Pause between two bytes of a behaviour that sends single bytes, in seconds.
TRICKLE_PAUSE_S = 0.1


@dataclass
class Request:
    """A request that the server has read."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    # Body of the answer; if empty, the body is derived from the path.
    answer: bytes = b""

    @property
    def id(self) -> str:
        return self.headers.get("x-request-id", "")


class Closed(Exception):
    """The caller has closed the connection, or the selected behaviour closes it."""


class Connection:
    """One accepted connection. Adds the bytes of each completed send to the server's `sent`."""

    def __init__(self, server: MisbehavingServer, stream: socket.socket) -> None:
        self.server = server
        self.stream = stream
        self.pending = b""
        self.requests = 0

    def send(self, data: bytes) -> None:
        try:
            self.stream.sendall(data)
        except OSError as failure:
            raise Closed from failure
        self.server.count(len(data))

    def finish(self) -> None:
        """Closes the connection normally."""
        raise Closed

    def reset(self) -> None:
        """Closes the connection with a reset."""
        self.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        raise Closed

    def wait_for_close(self) -> None:
        """Sends nothing until the caller closes the connection."""
        try:
            while self.stream.recv(PIECE):
                pass
        except OSError:
            pass
        raise Closed

    def repeat(self, data: bytes) -> None:
        """Sends the same bytes until the caller closes the connection or ENDLESS_LIMIT bytes
        are sent. The latter is recorded in `unbounded`."""
        sent = 0
        while sent < ENDLESS_LIMIT:
            self.send(data)
            sent += len(data)
        self.server.unbounded.append(self.server.way)
        raise Closed

    def trickle(self, data: bytes) -> None:
        """Sends single bytes with pauses until the caller closes the connection."""
        while True:
            for index in range(len(data)):
                self.send(data[index : index + 1])
                time.sleep(TRICKLE_PAUSE_S)

    def read_request(self) -> Request:
        head = self._read_until(b"\r\n\r\n").decode("latin-1")
        lines = head.split("\r\n")
        method, path, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                headers[name.strip().lower()] = value.strip()
        request = Request(method, path, headers, b"")
        if not self.server.answers_before_body():
            request.body = self.read_body(request)
        self.requests += 1
        return request

    def read_body(self, request: Request) -> bytes:
        length = int(request.headers.get("content-length") or 0)
        while len(self.pending) < length:
            self._read_more()
        body, self.pending = self.pending[:length], self.pending[length:]
        return body

    def _read_until(self, end: bytes) -> bytes:
        while end not in self.pending:
            self._read_more()
        found, self.pending = self.pending.split(end, 1)
        return found

    def _read_more(self) -> None:
        try:
            piece = self.stream.recv(PIECE)
        except OSError as failure:
            raise Closed from failure
        if not piece:
            raise Closed
        self.pending += piece


def own_body(request: Request) -> bytes:
    """Returns the body that only the answer to this request has."""
    return request.answer or b"answer of " + request.path.encode()


def good(connection: Connection, request: Request) -> None:
    connection.send(with_length(request.id, own_body(request)))


def no_end_of_head(connection: Connection, request: Request) -> None:
    connection.send(b"HTTP/1.1 200 OK\r\nX-Long: ")
    connection.repeat(b"a" * PIECE)


def no_end_of_header_lines(connection: Connection, request: Request) -> None:
    connection.send(b"HTTP/1.1 200 OK\r\n")
    connection.repeat(b"X-Line: a\r\n" * 1000)


def no_end_of_informational(connection: Connection, request: Request) -> None:
    connection.repeat(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100)


def many_informational_first(connection: Connection, request: Request) -> None:
    """Sends more informational answers than HTTP clients usually see, then the final one."""
    connection.send(b"HTTP/1.1 103 Early Hints\r\nLink: </a.css>; rel=preload\r\n\r\n" * 50)
    good(connection, request)


def slow_informational_first(connection: Connection, request: Request) -> None:
    """Says for a while that it goes on processing the request, and answers then."""
    for _ in range(10):
        connection.send(b"HTTP/1.1 102 Processing\r\n\r\n")
        time.sleep(TRICKLE_PAUSE_S)
    good(connection, request)


def trickled_informational(connection: Connection, request: Request) -> None:
    """Says without end that it goes on processing the request."""
    while True:
        connection.send(b"HTTP/1.1 102 Processing\r\n\r\n")
        time.sleep(TRICKLE_PAUSE_S)


def no_end_of_bytes(connection: Connection, request: Request) -> None:
    """Sends bytes that are not HTTP: the start of a TLS record, repeated."""
    connection.repeat(b"\x16\x03\x01" * 1000)


def no_end_of_lines(connection: Connection, request: Request) -> None:
    """Sends empty lines in place of a status line."""
    connection.repeat(b"\r\n" * 1000)


def no_end_of_length(connection: Connection, request: Request) -> None:
    """Sends a body whose announced length is very large."""
    connection.send(head(request.id, f"Content-Length: {10 ** 15}\r\n"))
    connection.repeat(b"a" * PIECE)


def no_end_of_length_number(connection: Connection, request: Request) -> None:
    """Announces a length that does not fit into 64 bits."""
    connection.send(head(request.id, "Content-Length: 99999999999999999999999\r\n"))
    connection.repeat(b"a" * PIECE)


def no_end_of_unframed(connection: Connection, request: Request) -> None:
    """Sends a body without a length and without chunks, which ends only when the connection is
    closed."""
    connection.send(head(request.id, ""))
    connection.repeat(b"a" * PIECE)


def no_end_of_chunks(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, CHUNKED))
    connection.repeat(chunk(b"a" * PIECE))


def no_end_of_chunk_extension(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, CHUNKED) + b"5;x=")
    connection.repeat(b"a" * PIECE)


def no_end_of_trailers(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, CHUNKED) + chunk(b"hello") + b"0\r\n")
    connection.repeat(b"X-Trailer: a\r\n" * 1000)


def other_answer(connection: Connection, request: Request) -> None:
    connection.send(with_length("someone-else", b"no"))
    connection.wait_for_close()


def long_other_answer(connection: Connection, request: Request) -> None:
    connection.send(with_length("someone-else", b"n" * 70_000))
    connection.wait_for_close()


def chunked_other_answer(connection: Connection, request: Request) -> None:
    connection.send(head("someone-else", CHUNKED) + chunk(b"n" * 5000) + END)
    connection.wait_for_close()


def other_answer_first(connection: Connection, request: Request) -> None:
    connection.send(with_length("someone-else", b"no"))
    good(connection, request)


def chunked_other_answer_first(connection: Connection, request: Request) -> None:
    connection.send(head("someone-else", CHUNKED) + chunk(b"n" * 5000) + END)
    good(connection, request)


def no_end_of_other_answers(connection: Connection, request: Request) -> None:
    connection.repeat(with_length("someone-else", b"no") * 100)


def no_end_of_other_body(connection: Connection, request: Request) -> None:
    connection.send(head("someone-else", CHUNKED))
    connection.repeat(chunk(b"n" * PIECE))


def copy_at_once(connection: Connection, request: Request) -> None:
    connection.send(with_length(request.id, own_body(request)) * 2)


def copy_late(connection: Connection, request: Request) -> None:
    good(connection, request)
    time.sleep(0.05)
    good(connection, request)


def copy_on_next_use(connection: Connection, request: Request) -> None:
    """Sends a duplicate of the answer before the answer to the connection's next request."""
    connection.send(connection.server.copies.pop(connection, b"") +
                    with_length(request.id, own_body(request)))
    connection.server.copies[connection] = with_length(request.id, b"a second copy")


def answer_before_body(connection: Connection, request: Request) -> None:
    good(connection, request)
    request.body = connection.read_body(request)


def bytes_after_answer(connection: Connection, request: Request) -> None:
    connection.send(with_length(request.id, own_body(request)) + b"more bytes\r\n\r\n")


def length_too_great(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, "Content-Length: 500\r\n") + own_body(request))
    connection.finish()


def two_lengths(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, "Content-Length: 3\r\nContent-Length: 9\r\n") + b"a" * 9)
    connection.wait_for_close()


def length_and_chunks(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, CHUNKED + "Content-Length: 3\r\n") + chunk(b"abc") + END)
    connection.wait_for_close()


def no_answer(connection: Connection, request: Request) -> None:
    connection.wait_for_close()


def no_bytes_then_end(connection: Connection, request: Request) -> None:
    connection.finish()


def no_bytes_then_reset(connection: Connection, request: Request) -> None:
    connection.reset()


def trickled_head(connection: Connection, request: Request) -> None:
    connection.trickle(b"HTTP/1.1 200 OK\r\nX-Long: " + b"a" * 10_000)


def trickled_body(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, "Content-Length: 100000\r\n"))
    connection.trickle(b"a")


def stream(connection: Connection, request: Request) -> None:
    first = int(request.headers.get("last-event-id") or 0) + 1
    connection.send(head(request.id, STREAM) +
                    b"".join(chunk(event(number)) for number in range(first, 6)) + END)


def stream_without_end_of_event(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, STREAM) + chunk(event(1)))
    connection.repeat(chunk(b"d" * PIECE))


def stream_without_first_event(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, STREAM))
    connection.repeat(chunk(b"d" * PIECE))


def stream_cut_in_first_event(connection: Connection, request: Request) -> None:
    """Closes the connection before the first event is complete."""
    connection.send(head(request.id, STREAM) + chunk(event(1)[:-1]))
    raise Closed


def trickled_stream(connection: Connection, request: Request) -> None:
    """Sends single bytes of an event that does not end."""
    connection.send(head(request.id, STREAM) + chunk(event(1)))
    while True:
        connection.send(chunk(b"d"))
        time.sleep(TRICKLE_PAUSE_S)


def commented_stream(connection: Connection, request: Request) -> None:
    """Sends comment lines instead of further events."""
    connection.send(head(request.id, STREAM) + chunk(event(1)))
    while True:
        connection.send(chunk(COMMENT))
        time.sleep(TRICKLE_PAUSE_S)


def stream_of_comments_without_end(connection: Connection, request: Request) -> None:
    """Sends comment lines without end, as fast as the caller reads them."""
    connection.send(head(request.id, STREAM) + chunk(event(1)))
    connection.repeat(chunk(COMMENT * 1000))


def stream_of_events_without_end(connection: Connection, request: Request) -> None:
    connection.send(head(request.id, STREAM) + chunk(event(1)))
    connection.repeat(chunk(b"data: x\n\n" * 1000))


def slow_stream(connection: Connection, request: Request) -> None:
    """Sends a valid stream with a pause longer than the limit for a stalled stream, which is 1.5 s:
    five times the default gap objective of a route (300 ms)."""
    connection.send(head(request.id, STREAM) + chunk(event(1)))
    time.sleep(1.6)
    connection.send(b"".join(chunk(event(number)) for number in range(2, 6)) + END)


# All behaviours for a plain request or a stream, by name.
WAYS = {function.__name__: function for function in (
    good, no_end_of_head, no_end_of_header_lines, no_end_of_informational,
    many_informational_first, slow_informational_first, trickled_informational, no_end_of_bytes,
    no_end_of_lines, no_end_of_length, no_end_of_length_number, no_end_of_unframed,
    no_end_of_chunks, no_end_of_chunk_extension, no_end_of_trailers, other_answer,
    long_other_answer, chunked_other_answer, other_answer_first, chunked_other_answer_first,
    no_end_of_other_answers, no_end_of_other_body, copy_at_once, copy_late, copy_on_next_use,
    answer_before_body, bytes_after_answer, length_too_great, two_lengths, length_and_chunks,
    no_answer, no_bytes_then_end, no_bytes_then_reset, trickled_head, trickled_body, stream,
    stream_without_end_of_event, stream_without_first_event, trickled_stream,
    stream_cut_in_first_event,
    commented_stream, stream_of_comments_without_end, stream_of_events_without_end,
    slow_stream)}

# Builds a complete answer with `own_body` in each framing. `cut_answer` sends a part of one.
# An unframed answer has no length and no chunks, and ends when the connection is closed.
FRAMINGS = {
    "length": lambda request: with_length(request.id, own_body(request)),
    "chunked": lambda request: head(request.id, CHUNKED) + chunk(own_body(request)) + END,
    "unframed": lambda request: head(request.id, "") + own_body(request),
}


def cut_answer(framing: str, keep, reset: bool):
    """Returns a behaviour that sends the first `keep(whole)` bytes of an answer and closes the
    connection. `framing` is a key of FRAMINGS."""
    def play(connection: Connection, request: Request) -> None:
        whole = FRAMINGS[framing](request)
        connection.send(whole[: keep(whole)])
        if reset:
            # Lets the bytes arrive first, because a reset discards unread bytes.
            time.sleep(0.02)
            connection.reset()
        connection.finish()
    return play


def sends(framing_lines: str, *pieces: bytes, status: int = 200):
    """Returns a behaviour that sends a head with these lines and the pieces, and closes the
    connection normally."""
    def play(connection: Connection, request: Request) -> None:
        connection.send(head(request.id, framing_lines, status) + b"".join(pieces))
        connection.finish()
    return play


def long_answer(framing_lines: str, body: bytes, cut: bool):
    """Returns a behaviour that sends this body, or half of the body and then a reset. Closes the
    connection after the body if there are no framing lines."""
    def play(connection: Connection, request: Request) -> None:
        connection.send(head(request.id, framing_lines) +
                        body[: len(body) // (2 if cut else 1)])
        if cut:
            time.sleep(0.02)
            connection.reset()
        if not framing_lines:
            connection.finish()
    return play


class MisbehavingServer:
    """Answers each request with the selected behaviour."""

    def __init__(self, store, name: str, service: str, models: list[str] | None = None) -> None:
        self.store, self.name, self.service = store, name, service
        self.models = models or []
        # Version of the server's software and its start time, in the server's row and reports.
        self.version: object = "v1"
        self.born = 1
        self.way = "good"
        # The selected behaviour if it was passed as a function; used instead of `way`.
        self.own_way = None
        # The requests received, without those to /report and those answered with status 421.
        self.ran: list[Request] = []
        self.sent = 0
        self.copies: dict[Connection, bytes] = {}
        # Behaviours that sent ENDLESS_LIMIT bytes before the caller closed the connection.
        self.unbounded: list[str] = []
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        self.record()

    def record(self) -> None:
        """Writes the server's entry to the store."""
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": "a", "slots": 4,
            "state": "ready", "seq": 1, "born": self.born, "version": self.version,
            "models": [{"name": name, "version": 1, "adapters": []} for name in self.models]})

    def close(self) -> None:
        self._listener.close()

    def refuse_connections(self) -> None:
        """Stops listening, as when the process has ended. Open connections remain."""
        # Closing alone does not end the accept() that is in progress.
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def play(self, way) -> None:
        """Selects a behaviour by its name in WAYS or as a function. `way` is "cut" for every
        function."""
        self.sent = 0
        self.unbounded.clear()
        self.own_way = None if isinstance(way, str) else way
        self.way = way if isinstance(way, str) else "cut"

    def answers_before_body(self) -> bool:
        return self.way == "answer_before_body"

    def count(self, size: int) -> None:
        with self._lock:
            self.sent += size

    def _accept(self) -> None:
        while True:
            try:
                stream_socket, _ = self._listener.accept()
            except OSError:
                return
            stream_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
            threading.Thread(target=self._serve, args=(stream_socket,), daemon=True).start()

    def _serve(self, stream_socket: socket.socket) -> None:
        connection = Connection(self, stream_socket)
        with stream_socket:
            try:
                while True:
                    self._answer(connection, connection.read_request())
            except Closed:
                pass

    def _answer(self, connection: Connection, request: Request) -> None:
        if request.headers.get("x-expect-instance") not in (None, self.name):
            connection.send(head(request.id, "Content-Length: 0\r\n", 421))
        elif request.path == "/report":
            body = json.dumps({"models": [{"name": name, "version": 1, "adapters": []}
                                          for name in self.models],
                               "busy": False, "seq": 0, "born": self.born}).encode()
            connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"
                            % (len(body), body))
        else:
            self.ran.append(request)
            (self.own_way or WAYS[self.way])(connection, request)
