"""TCP proxies on loopback that can delay, reset or stall their connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import threading

READ_BYTES = 65536
SILENCE_POLL_S = 0.02


class ProxyLoop:
    """Runs the event loop of all proxies on one thread."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def call(self, coroutine):
        """Runs a coroutine on the event loop and returns its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    def close(self) -> None:
        # asyncio logs the cancelled task of a connection as an error; this suppresses the log.
        self.loop.set_exception_handler(lambda *_: None)

        async def cancel_all() -> None:
            tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.call(cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10)


class FaultProxy:
    """Forwards connections from a free port to a target; attributes switch faults on.

    A silenced direction holds its bytes back until the fault ends, like a link that drops
    packets which TCP retransmits. Connections that are open when `silence_open_connections()`
    is called stay silent permanently, while new ones work.

    `rewrites` maps bytes of the target's answers to others of the same length, such as the
    address of a peer to that of a proxy. Bytes that arrive in two reads are not found.
    """

    def __init__(self, proxies: ProxyLoop, target: str) -> None:
        host, port = target.rsplit(":", 1)
        self._proxies = proxies
        self._target = (host, int(port))
        self._open: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        self._silenced_writers: set[asyncio.StreamWriter] = set()
        self.delay_s = 0.0
        self.silent_to_target = False
        self.silent_to_caller = False
        self.refuse = False
        self.rewrites: dict[bytes, bytes] = {}
        self._server = proxies.call(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def heal(self) -> None:
        self.delay_s = 0.0
        self.silent_to_target = self.silent_to_caller = self.refuse = False

    def reset_connections(self) -> None:
        self._proxies.loop.call_soon_threadsafe(self._reset_now)

    def silence_open_connections(self) -> None:
        def mark() -> None:
            for pair in self._open:
                self._silenced_writers.update(pair)

        self._proxies.loop.call_soon_threadsafe(mark)

    def _reset_now(self) -> None:
        for pair in list(self._open):
            for writer in pair:
                _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refuse:
            _reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            _reset(writer)
            return
        pair = (writer, target_writer)
        self._open.add(pair)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, lambda: self.silent_to_target, {}),
                self._forward(target_reader, writer, lambda: self.silent_to_caller,
                              self.rewrites))
        finally:
            self._open.discard(pair)
            self._silenced_writers.difference_update(pair)
            for each in pair:
                each.close()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter,
                       silent, rewrites: dict[bytes, bytes]) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while silent() or writer in self._silenced_writers:
                    await asyncio.sleep(SILENCE_POLL_S)
                for old, new in rewrites.items():
                    data = data.replace(old, new)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            _reset(writer)


def _reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    raw = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
