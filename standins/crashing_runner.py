"""A runner that crashes when it begins to answer a prompt with one harmful part.

The whole runner goes: its port closes, all of its connections end, and it comes back after some
seconds under its id with a new start time and without models.
"""

from __future__ import annotations

import contextlib
import random
import threading
import time
from enum import Enum

from platform_fleet import BackendServer, Store, _Handler, _Server

HARMFUL_PART = "bad0bad0"
# Bounds of the time that a crashed runner is away, in seconds.
AWAY_S = (1.5, 2.5)


class CrashPoint(Enum):
    """Where in its answer a runner crashes."""

    BEFORE_HEAD = 1
    INSIDE_SECOND_EVENT = 2
    # After the head, when the prompt has been read and the first event is to be written.
    BEFORE_FIRST_EVENT = 3
    # A moment after a whole event, in a stream that ends with its connection. The connections end
    # before the port closes.
    AFTER_WHOLE_EVENT = 4


# Where a runner without a delay before the first event may crash, in any framing.
EARLY_POINTS = [CrashPoint.BEFORE_HEAD, CrashPoint.INSIDE_SECOND_EVENT]
# Seconds from a whole event to the crash after it.
AFTER_EVENT_S = 0.1


class CrashingRunner(BackendServer):
    """Crashes under requests with HARMFUL_PART; records crashes and the arrivals of these."""

    def __init__(self, store: Store, name: str, points: list[CrashPoint], seed: int) -> None:
        self._points = points
        self._random = random.Random(f"{seed}-{name}")
        self._crashing = threading.Lock()
        # Times of the crashes, and of the arrivals of requests with the harmful part.
        self.crashes: list[float] = []
        self.harmful_arrivals: list[float] = []
        self.closed = False
        # Seconds from the head of a stream to its first event.
        self.prefill_s = 0.0
        super().__init__(store, name, "llm", ["m1"])

    def silences_of(self, _request_id: str, first: int) -> dict[int, float]:
        return {first: self.prefill_s}

    def close(self) -> None:
        self.closed = True
        with contextlib.suppress(OSError):
            super().close()

    def _run(self, call: _Handler, body: bytes) -> None:
        parts = [part.partition(":")[0]
                 for part in call.headers.get("X-Prompt-Prefix", "").split(",")]
        if HARMFUL_PART not in parts[:-1]:
            super()._run(call, body)
            return
        self.harmful_arrivals.append(time.monotonic())
        if "m1" not in self.models:
            call.answer(421, b"", {"X-Request-Id": call.headers["X-Request-Id"],
                                   "X-Instance-Id": self.name})
            return
        point = self._random.choice(self._points)
        if point is not CrashPoint.BEFORE_HEAD:
            self._begin_answer(call, point)
        self.crash(connections_first=point is CrashPoint.AFTER_WHOLE_EVENT)
        call.close_connection = True

    def _begin_answer(self, call: _Handler, point: CrashPoint) -> None:
        framing = {"Transfer-Encoding": "chunked"} if self.framed_streams else {
            "Connection": "close"}
        call.send_response(200)
        for name, value in {"X-Request-Id": call.headers["X-Request-Id"], "X-Server-Seal": "s",
                            "Content-Type": "text/event-stream", **framing}.items():
            call.send_header(name, value)
        call.end_headers()
        time.sleep(self.prefill_s)
        if point is CrashPoint.BEFORE_FIRST_EVENT:
            return
        self._send_piece(call, b"id: 1\ndata: 1\n\n")
        if point is CrashPoint.INSIDE_SECOND_EVENT:
            self._send_piece(call, b"id: 2\nda")
        call.wfile.flush()
        if point is CrashPoint.AFTER_WHOLE_EVENT:
            time.sleep(AFTER_EVENT_S)

    def crash(self, connections_first: bool = False) -> None:
        """Ends the runner; it starts again after a while."""
        if not self._crashing.acquire(blocking=False):
            return
        self.crashes.append(time.monotonic())
        crashed = self._server
        if connections_first:
            crashed.end_connections()
        crashed.shutdown()
        crashed.server_close()
        crashed.end_connections()
        threading.Thread(target=self._start_again, args=(crashed.server_address,),
                         daemon=True).start()

    def _start_again(self, address: tuple[str, int]) -> None:
        time.sleep(self._random.uniform(*AWAY_S))
        while not self.closed:
            with contextlib.suppress(OSError):
                self._server = _Server(address, _Handler)
                break
            time.sleep(0.05)
        if self.closed:
            return
        self._serve()
        self.restart()
        self._crashing.release()
