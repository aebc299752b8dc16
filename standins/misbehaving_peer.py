"""Stand-ins for faulty instances on raw sockets, for tests on loopback.

A message is a length of four bytes in little-endian order, followed by the bytes of an archive
(src/protocol/entry/node_archive.hpp). `Peer` connects to an instance. `MisbehavingHub` is named in
the lease as the hub, and instances connect to it.
"""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time
import zlib

MESSAGE_LIMIT = 4 * 1024 * 1024
# The first byte of an archive: little-endian byte order.
ARCHIVE_HEAD = b"\x01"


def number(value: int) -> bytes:
    out = b""
    while value >= 0x80:
        out += bytes([value & 0x7F | 0x80])
        value >>= 7
    return out + bytes([value])


def signed(value: int) -> bytes:
    return number(value << 1 if value >= 0 else (-value << 1) - 1)


def text(value: str | bytes) -> bytes:
    value = value.encode() if isinstance(value, str) else value
    return number(len(value)) + value


def items(item: bytes, count: int) -> bytes:
    return number(count) + item * count


def frame(message: bytes) -> bytes:
    return struct.pack("<I", len(message)) + message


EMPTY = items(b"", 0)
STATUS_LISTS = ("digest", "in_flight", "demand", "asks", "crashes", "survived", "leaving",
                "cold", "cancelled")
# The shortest encoded item of each list of a status.
STATUS_ITEMS = {
    "digest": number(0), "in_flight": text("") + text("") + number(1),
    "demand": text("") + text("") + number(0) + number(0),
    "asks": number(0) + text("") + bytes(16) + number(0) + signed(0), "crashes": number(0) + text(""),
    "survived": number(0), "leaving": text("") + signed(0), "cold": number(0) * 2,
    "cancelled": number(0)}


def status(node: str = "x1", sent_at_us: int = 1, address: str = "127.0.0.1:9",
           **lists: bytes) -> bytes:
    """Encodes a status. `lists` are encoded lists by name."""
    def part(name: str) -> bytes:
        return lists.get(name, EMPTY)

    return (ARCHIVE_HEAD + text(node) + text(address) + number(1) + signed(sent_at_us) +
            number(1) + number(0) + number(0) + part("digest") + number(0) + number(1) +
            b"".join(part(name) for name in STATUS_LISTS[1:]))


def record(name: str, address: str = "127.0.0.1:9", service: str = "plain") -> bytes:
    return (text(name) + text(service) + text(address) + text("a") + number(4) + number(0) +
            signed(1) + EMPTY + EMPTY + EMPTY + number(0))


UPDATE_LISTS = ("records", "removed", "totals", "estimates", "retiring", "quota", "drained",
                "crashes", "survived", "peers", "cold")
UPDATE_ITEMS = {
    "records": text("") * 4 + number(0) * 2 + signed(0) + EMPTY * 3 + number(0),
    "removed": text(""),
    "totals": number(0) * 2, "estimates": text("") * 2 + signed(0), "retiring": text("") * 2,
    "quota": number(0) + bytes(8) + signed(0), "drained": text(""), "crashes": number(0) * 2,
    "survived": number(0), "peers": text(""), "cold": number(0) * 2 + signed(0)}


def pack(config: bytes, claimed: int | None = None) -> bytes:
    """Packs a configuration as instances pass it on. `claimed` is a wrong length to announce."""
    return struct.pack("<I", len(config) if claimed is None else claimed) + zlib.compress(config)


def update(config_version: int = 1, lease_version: int = 0, packed: bytes = b"",
           config_row: int = 0, hub: int = 77, revision: int = 1, in_step: bool = False,
           from_hub: bool = True, echo_us: int = 0, **lists: bytes) -> bytes:
    def part(name: str) -> bytes:
        return lists.get(name, EMPTY)

    return (ARCHIVE_HEAD + number(from_hub) + signed(echo_us) + signed(0) +
            number(config_version) + signed(0) + text("") + text("") + number(0) + number(0) +
            number(lease_version) + signed(0) + number(2) + text(packed) + number(config_row) +
            number(hub) + number(revision) + number(in_step) + number(0) + part("records") +
            part("removed") + number(1) + b"".join(part(name) for name in UPDATE_LISTS[2:]))


class Peer:
    """A connection to the peer port of an instance."""

    def __init__(self, port: int) -> None:
        self.stream = socket.create_connection(("127.0.0.1", port), 10)

    def send(self, data: bytes) -> bool:
        """Sends the bytes. Returns whether the instance accepted them."""
        try:
            self.stream.sendall(data)
            return True
        except OSError:
            return False

    def closed_within(self, limit_s: float) -> bool:
        """Discards received bytes. Returns whether the instance closes the connection in time."""
        end = time.monotonic() + limit_s
        try:
            while (left := end - time.monotonic()) > 0:
                self.stream.settimeout(left)
                if not self.stream.recv(65536):
                    return True
        except TimeoutError:
            return False
        except OSError:
            return True
        return False

    def close(self) -> None:
        self.stream.close()


class MisbehavingHub:
    """Listens at the address in the lease and sends the same bytes in answer to any message."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        # Sent after each chunk of a status that is read.
        self.answer = b""
        self.streams: set[socket.socket] = set()
        self.connections = 0
        self.open = True
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while self.open:
            try:
                stream, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._serve, args=(stream,), daemon=True).start()

    def _serve(self, stream: socket.socket) -> None:
        with stream:
            self.streams.add(stream)
            try:
                while self.open and stream.recv(65536):
                    stream.sendall(self.answer)
            except OSError:
                pass
            self.streams.discard(stream)

    def set_answer(self, answer: bytes) -> None:
        """Closes all connections and sends this answer on new ones."""
        self.answer = answer
        self.connections = 0
        for stream in list(self.streams):
            with contextlib.suppress(OSError):
                stream.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.open = False
        self.listener.close()
