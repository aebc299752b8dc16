"""Parts of HTTP answers as bytes, for servers that control each byte that they send."""

from __future__ import annotations

CHUNKED = "Transfer-Encoding: chunked\r\n"
STREAM = "Content-Type: text/event-stream\r\n" + CHUNKED
END = b"0\r\n\r\n"
# A comment line in place of an event, which the instance forwards unchanged.
COMMENT = b": still here\n\n"


def head(request_id: str, framing: str, status: int = 200) -> bytes:
    """Returns the head of an answer; `framing` holds the header lines that frame the body.

    The instance must forward X-Server-Seal. It closes an idle connection shortly before the
    timeout in Keep-Alive ends."""
    return (f"HTTP/1.1 {status} Said\r\nX-Request-Id: {request_id}\r\nX-Server-Seal: s\r\n"
            f"Keep-Alive: timeout=10\r\n{framing}\r\n").encode()


def with_length(request_id: str, body: bytes) -> bytes:
    return head(request_id, f"Content-Length: {len(body)}\r\n") + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    return b"id: %d\ndata: %d\n\n" % (number, number)
