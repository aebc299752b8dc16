"""A store with fault injection, for tests on loopback.

Each fault is a function in the table FAULTS. It gets the call and writes what a faulty store may
write: endless answers, wrong lengths, documents that take much memory when parsed, decreasing
versions or endless pages.
"""

from __future__ import annotations

import base64
import json
import socket
import time
from urllib.parse import parse_qs, urlsplit

from platform_fleet import Store

# An endless answer is stopped after this many bytes, so that a caller that never closes the
# connection shows up as an entry of `unbounded_faults` and not as a hanging test.
ENDLESS_LIMIT = 48 * 1024 * 1024
CHUNK = 64 * 1024
# Just below the limit of an instance for one answer, 4 MB.
LONG_TEXT = 4_000_000
HUGE_VERSION = 2**62
# Rows in a page of servers; a page then has about 0.3 MB.
PAGE_ROWS = 1000
MANY_SERVERS = 100_000
TRICKLE_PAUSE_S = 0.1
HOLD_S = 5

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


class Call:
    """One call of an instance, as passed to a fault."""

    def __init__(self, store: MisbehavingStore, handler, body: bytes) -> None:
        self.store = store
        self.handler = handler
        self.body = body
        # Head and body are written separately; without this option the body would wait for the
        # acknowledgement of the head.
        handler.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        parts = urlsplit(handler.path)
        self.path = parts.path
        self.query = {name: values[0] for name, values in
                      parse_qs(parts.query, keep_blank_values=True).items()}
        self.table = self.query.get("table", "carawayturn")
        self.sent = 0

    def send(self, data: bytes) -> None:
        """Writes raw bytes. The connection is closed after the call."""
        self.handler.close_connection = True
        self.handler.connection.sendall(data)
        self.sent += len(data)
        self.store.sent = max(self.store.sent, self.sent)

    def repeat(self, head: bytes, data: bytes) -> None:
        """Sends the same bytes repeatedly until the caller closes the connection."""
        self.send(head)
        while self.sent < ENDLESS_LIMIT:
            self.send(data)
        self.store.unbounded_faults.append(self.store.fault)

    def wait_for_close(self) -> None:
        """Waits until the caller closes the connection or sends nothing for HOLD_S."""
        self.handler.close_connection = True
        self.handler.connection.settimeout(HOLD_S)
        while self.handler.connection.recv(CHUNK):
            pass

    def answer(self, body: bytes) -> None:
        """Writes a complete answer with this body."""
        self.handler.answer(200, body)

    def answer_rows(self, rows: list[dict], **fields) -> None:
        self.answer(json.dumps({"rows": rows, **self.store.common(), **fields}).encode())


def row(table: str, key: str, value: bytes | str, version: int) -> dict:
    """Makes a row. Bytes are base64-encoded; a string is used as the value unchanged."""
    if isinstance(value, bytes):
        value = base64.b64encode(value).decode()
    return {"table": table, "part": "", "key": key, "value": value, "row_version": version}


def server_value(number: int) -> bytes:
    return json.dumps({"service": "plain", "address": f"127.0.0.1:{1 + number % 1000}",
                       "zone": "z", "slots": 1, "state": "draining", "seq": 1, "born": 1,
                       "models": []}).encode()


def _expected_key(call: Call) -> str:
    """Returns the key that the reader of the table looks for."""
    return {"op": "config", "servers": "s", "carawayturn": "hub"}[call.table]


def no_end_of_head(call: Call) -> None:
    call.repeat(OK + b"X-A: ", b"a" * CHUNK)


def no_end_of_header_lines(call: Call) -> None:
    call.repeat(OK, b"X-A: a\r\n" * 1024)


def no_end_of_informational(call: Call) -> None:
    call.repeat(b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1024)


def no_end_of_chunks(call: Call) -> None:
    call.repeat(CHUNKED, b"10000\r\n" + b" " * CHUNK + b"\r\n")


def no_end_of_chunk_extension(call: Call) -> None:
    call.repeat(CHUNKED + b"1;", b"a" * CHUNK)


def no_end_of_trailers(call: Call) -> None:
    call.repeat(CHUNKED + b"0\r\n", b"X-A: a\r\n" * 1024)


def no_end_of_length(call: Call) -> None:
    call.repeat(OK + b"Content-Length: 1000000000000\r\n\r\n", b" " * CHUNK)


def no_end_of_unframed(call: Call) -> None:
    call.repeat(OK + b"\r\n", b" " * CHUNK)


def no_answer(call: Call) -> None:
    call.wait_for_close()


def trickled_body(call: Call) -> None:
    call.send(OK + b"Content-Length: 1000\r\n\r\n")
    for _ in range(int(HOLD_S / TRICKLE_PAUSE_S)):
        call.send(b" ")
        time.sleep(TRICKLE_PAUSE_S)


def length_too_great(call: Call) -> None:
    call.send(OK + b'Content-Length: 1000\r\n\r\n{"rows":[],"row_version":9}')
    call.wait_for_close()


def length_too_small(call: Call) -> None:
    call.send(OK + b'Content-Length: 9\r\n\r\n{"rows":[],"row_version":9}')


def no_http(call: Call) -> None:
    call.send(bytes(range(256)) * 64)


def status_that_is_none(call: Call) -> None:
    call.send(b"HTTP/1.1 000 Said\r\nContent-Length: 2\r\n\r\n{}")
    call.wait_for_close()


def answer_behind_status_that_is_none(call: Call) -> None:
    """Sends a sound answer to the call behind a head that is none."""
    call.send(b"HTTP/1.1 000 Said\r\n\r\n")
    Store.handle(call.store, call.handler, call.body)


def blank_in_name(call: Call) -> None:
    call.send(OK + b'X Ab: 1\r\nContent-Length: 27\r\n\r\n{"rows":[],"row_version":9}')
    call.wait_for_close()


def no_json(call: Call) -> None:
    call.answer(b'{"rows":[{"key"')


def other_types(call: Call) -> None:
    call.answer(b'{"rows":[1,null,[],{"key":7,"value":{},"row_version":"x","tombstone":1}],'
                b'"row_version":-1,"truncated":"yes"}')


def deep_answer(call: Call) -> None:
    call.answer(b'{"rows":' + b"[" * (LONG_TEXT // 2) + b"]" * (LONG_TEXT // 2) + b"}")


def deep_value(call: Call) -> None:
    deep = b'{"a":' * 100_000 + b"1" + b"}" * 100_000
    call.answer_rows([row(call.table, _expected_key(call), deep, call.store.version + 1)])


def many_small_values(call: Call) -> None:
    call.answer(b'{"row_version":1,"rows":[' + b"0," * (LONG_TEXT // 2) + b"0]}")


def many_empty_rows(call: Call) -> None:
    call.answer(b'{"row_version":1,"rows":[' + b"{}," * (LONG_TEXT // 3) + b"{}]}")


def many_small_values_in_value(call: Call) -> None:
    value = b'{"version":1000,"routes":[' + b"[]," * 900_000 + b"[]]}"
    call.answer_rows([row(call.table, _expected_key(call), value, call.store.version + 1)])


def row_of_ten_megabytes(call: Call) -> None:
    call.answer_rows([row(call.table, _expected_key(call), b" " * 10_000_000,
                          call.store.version + 1)])


def value_with_torn_base64(call: Call) -> None:
    """Base64 texts of many lengths, most of them no multiple of four, to cover each size of small
    memory blocks."""
    call.answer_rows([row(call.table, f"torn{size}", "/" * size, call.store.version + 1)
                      for size in range(3, 4000)])


def versions_back(call: Call) -> None:
    call.answer_rows([], row_version=1)


def versions_far_ahead(call: Call) -> None:
    call.answer_rows([], row_version=HUGE_VERSION)


def pages_without_end(call: Call) -> None:
    if call.table != "servers" or call.path != "/rows-get":
        call.handler.answer_json(410, {})
        return
    first = int(call.query.get("from", "e0")[1:])
    call.answer_rows([row("servers", f"e{first + i:012}", server_value(i), 1)
                      for i in range(1, PAGE_ROWS + 1)], truncated=True)


def pages_in_a_circle(call: Call) -> None:
    if call.table != "servers" or call.path != "/rows-get":
        call.handler.answer_json(410, {})
        return
    key = "cb" if call.query.get("from") == "ca" else "ca"
    call.answer_rows([row("servers", key, server_value(1), 1)], truncated=True)


def feed_pages_without_end(call: Call) -> None:
    call.answer_rows([], truncated=call.path == "/rows-feed")


def feed_pages_with_rows_without_end(call: Call) -> None:
    call.store.pages += 1
    call.answer_rows([row(call.table, f"f{call.store.pages}", server_value(1),
                          call.store.version + call.store.pages)],
                     truncated=call.path == "/rows-feed",
                     row_version=call.store.version + call.store.pages)


def many_servers(call: Call) -> None:
    if call.table != "servers":
        call.handler.answer_json(503, {})
        return
    if call.path != "/rows-get":
        call.handler.answer_json(410, {})
        return
    first = int(call.query.get("from", "m000000")[1:])
    last = min(first + PAGE_ROWS, MANY_SERVERS)
    call.answer_rows([row("servers", f"m{i:06}", server_value(i), 1)
                      for i in range(first, last)] +
                     call.store.rows_of("servers"), truncated=last < MANY_SERVERS)


FAULTS = {fault.__name__: fault for fault in (
    no_end_of_head, no_end_of_header_lines, no_end_of_informational, no_end_of_chunks,
    no_end_of_chunk_extension, no_end_of_trailers, no_end_of_length, no_end_of_unframed,
    no_answer, trickled_body, length_too_great, length_too_small, no_http,
    status_that_is_none, answer_behind_status_that_is_none, blank_in_name, no_json,
    other_types, deep_answer, deep_value, many_small_values, many_empty_rows,
    many_small_values_in_value, row_of_ten_megabytes, value_with_torn_base64, versions_back,
    versions_far_ahead, pages_without_end, pages_in_a_circle, feed_pages_without_end,
    feed_pages_with_rows_without_end, many_servers)}


class MisbehavingStore(Store):
    """Works as a store until a fault is set; then that fault answers every call."""

    def __init__(self) -> None:
        self.fault = "good"
        # Number of calls that the current fault has answered, and of calls that a fault is
        # still answering.
        self.faulty_answers = 0
        self.faulty_calls_open = 0
        # Most bytes sent in one call.
        self.sent = 0
        self.pages = 0
        # Endless faults whose connection no instance closed before ENDLESS_LIMIT.
        self.unbounded_faults: list[str] = []
        super().__init__()

    def set_fault(self, fault: str) -> None:
        with self.lock:
            self.faulty_answers = self.sent = 0
            self.fault = fault

    def is_healthy(self) -> bool:
        """Whether no fault is set and no faulty answer is still being sent."""
        with self.lock:
            return self.fault == "good" and self.faulty_calls_open == 0

    def common(self) -> dict:
        return self._common()

    def rows_of(self, table: str) -> list[dict]:
        with self.lock:
            return [row for (kept, _), row in self.rows.items() if kept == table]

    def write_bytes(self, table: str, key: str, value: bytes) -> None:
        """Writes a row whose value need not be JSON."""
        with self.lock:
            self._write(table, key, base64.b64encode(value).decode())
            self.lock.notify_all()

    def write_with_version(self, table: str, key: str, value: object, version: int) -> None:
        """Writes a row with any version instead of the next one."""
        with self.lock:
            self.version = version - 1
            self._write(table, key, base64.b64encode(json.dumps(value).encode()).decode())
            self.lock.notify_all()

    def handle(self, call, body: bytes, seen=lambda value: value) -> None:
        with self.lock:
            fault = self.fault
            self.faulty_calls_open += fault != "good"
        if fault == "good":
            super().handle(call, body, seen)
            return
        try:
            FAULTS[fault](Call(self, call, body))
        except OSError:
            call.close_connection = True
        finally:
            with self.lock:
                self.faulty_calls_open -= 1
                self.faulty_answers += 1
