"""Bytes that are no HTTP answer by RFC 9110 and RFC 9112, and unusual answers that are, by name.

Each entry of the tables is the start of an answer without the lines that every answer of a test
has: its status line and one line of its head. `build` adds the others.
"""

from __future__ import annotations

import string
from dataclasses import dataclass

from misbehaving_server import Connection, Request, good, own_body

# Body of a malformed answer; no caller may receive it.
FORGED_BODY = b"bytes of no answer"
# Value of the forged head's own field; no caller may receive it.
FORGED_VALUE = b"forged"

STATUS_LINE = b"HTTP/1.1 200 OK"
# Characters of a token (RFC 9110, section 5.6.2), of which the name of a field consists.
TOKEN_BYTES = b"!#$%&'*+-.^_`|~" + (string.digits + string.ascii_letters).encode()
# Bytes that may stand in a value or a reason: tab, space, visible and non-ASCII characters.
TEXT_BYTES = bytes([0x09, *range(0x20, 0x7F), *range(0x80, 0x100)])


@dataclass(frozen=True)
class Start:
    """The start of an answer: its status line, and one line of its head if not empty."""

    status_line: bytes = STATUS_LINE
    line: bytes = b""
    # What ends each line of the head.
    line_end: bytes = b"\r\n"


def status(code: str) -> Start:
    return Start(f"HTTP/1.1 {code} Said".encode())


def name_with(byte: int) -> Start:
    return Start(line=b"X-A" + bytes([byte]) + b"b: 1")


def value_with(byte: int) -> Start:
    return Start(line=b"X-Ab: 1" + bytes([byte]) + b"2")


def reason_with(byte: int) -> Start:
    return Start(STATUS_LINE + bytes([byte]) + b"2")


# Statuses of three digits that are none: they lie outside of 100 to 599 (RFC 9110, section 15).
STATUSES_THAT_ARE_NONE = ("000", "001", "042", "099", "600", "666", "999")
# The ones below 100, which could be taken for informational ones.
LOW_STATUSES = tuple(code for code in STATUSES_THAT_ARE_NONE if code < "100")

MALFORMED = {
    **{f"status {code}": status(code) for code in STATUSES_THAT_ARE_NONE},
    **{f"status {code!r}": status(code)
       for code in ("", "2", "20", "2000", "2x0", "-20", "+20", " 200", "0x1")},
    "switched protocols": status("101"),
    "no status": Start(b"HTTP/1.1"),
    "two blanks": Start(b"HTTP/1.1  200 OK"),
    **{f"version {version}": Start(version.encode() + b" 200 OK") for version in (
        "HTTP/0.9", "HTTP/2.0", "HTTP/3", "HTTP/1", "HTTP/1.", "HTTP/1.x", "HTTP/1.10", "http/1.1",
        "HTTPS/1.1", "ICY")},
    **{f"reason with {byte:#04x}": reason_with(byte) for byte in (0x00, 0x01, 0x0A, 0x0D, 0x7F)},
    **{f"name with {byte:#04x}": name_with(byte) for byte in (
        *range(0x21), *b'"(),/;<=>?@[\\]{}', 0x7F, 0x80, 0xA0, 0xFF)},
    "blank before the colon": Start(line=b"X-Ab : 1"),
    "tab before the colon": Start(line=b"X-Ab\t: 1"),
    "blank before the first name": Start(line=b" X-Ab: 1"),
    "blank in the name of the length": Start(line=b"Content-Length : 3"),
    "blank in the name of the framing": Start(line=b"Transfer-Encoding : chunked"),
    "control byte in the name of the framing": Start(line=b"Transfer-Encoding\x0b: chunked"),
    "empty name": Start(line=b": 1"),
    "no colon": Start(line=b"X-Ab"),
    **{f"value with {byte:#04x}": value_with(byte) for byte in (
        *(byte for byte in range(0x20) if byte != 0x09), 0x7F)},
    "bare line feeds": Start(line=b"X-Ab: 1", line_end=b"\n"),
    "bare carriage returns": Start(line=b"X-Ab: 1", line_end=b"\r"),
    "line feeds first": Start(line=b"X-Ab: 1", line_end=b"\n\r"),
    **{f"transfer coding {coding}": Start(line=b"Transfer-Encoding: " + coding.encode())
       for coding in ("gzip", "identity", "xchunked", "chunked", "gzip, chunked")},
}

# Unusual answers that RFC 9110 and RFC 9112 allow.
ALLOWED = {
    **{f"status {code}": status(code) for code in (
        "200", "203", "226", "299", "300", "399", "400", "418", "499", "500", "599")},
    "empty reason": Start(b"HTTP/1.1 200 "),
    "reason of all allowed bytes": Start(b"HTTP/1.1 200 " + TEXT_BYTES),
    "version 1.0": Start(b"HTTP/1.0 200 OK"),
    "name of all allowed bytes": Start(line=TOKEN_BYTES + b": 1"),
    "value of all allowed bytes": Start(line=b"X-Ab: 1" + TEXT_BYTES + b"2"),
    "empty value": Start(line=b"X-Ab:"),
    "no blank after the colon": Start(line=b"X-Ab:1"),
    "blanks around the value": Start(line=b"X-Ab: \t 1 \t "),
    "folded value": Start(line=b"X-Ab: 1\r\n 2\r\n\t3"),
    "unknown field twice": Start(line=b"X-Ab: 1\r\nX-Ab: 2"),
}


def build(start: Start, request_id: str, body: bytes) -> bytes:
    """Returns a whole answer to the request that begins like this."""
    lines = [start.status_line, *([start.line] if start.line else []),
             b"X-Request-Id: " + request_id.encode(), b"X-Server-Seal: " + FORGED_VALUE,
             b"Content-Length: %d" % len(body), b"", b""]
    return start.line_end.join(lines) + body


def sends_malformed(start: Start):
    """Returns a behaviour that sends a malformed answer and waits until it is hung up on."""
    def play(connection: Connection, request: Request) -> None:
        connection.send(build(start, request.id, FORGED_BODY))
        connection.wait_for_close()
    return play


def sends_allowed(start: Start):
    """Returns a behaviour that sends the request's own answer in this form, and keeps the
    connection."""
    def play(connection: Connection, request: Request) -> None:
        body = b"" if request.method == "HEAD" else own_body(request)
        connection.send(build(start, request.id, body))
    return play


def sends_head_before_answer(status_line: bytes):
    """Returns a behaviour that sends a head without a body in front of a sound answer, and keeps
    the connection."""
    def play(connection: Connection, request: Request) -> None:
        connection.send(status_line + b"\r\nX-Request-Id: " + request.id.encode() + b"\r\n\r\n")
        good(connection, request)
    return play


def sends_answer_behind_status(code: str):
    """Returns a behaviour that hides a sound answer behind a head with a status that is none, and
    waits until it is hung up on."""
    def play(connection: Connection, request: Request) -> None:
        sends_head_before_answer(f"HTTP/1.1 {code} Said".encode())(connection, request)
        connection.wait_for_close()
    return play
