"""A store that may come back from a copy which is some seconds old, as the platform's does.

What has been written since the copy was taken is gone then. Versions go back and are given out
again, and the header Store-Era in all answers rises by one. A feed from a version that the store
does not have gets 410. The operators and the servers write their rows again, with new versions;
the rows of the system's own tables stay lost.
"""

from __future__ import annotations

import contextlib
import threading
import time

from platform_fleet import Store

# Tables whose rows nobody but the instances writes.
OWN_TABLES = ("carawayturn", "carawayturn_streams", "carawayturn_versions")
# Seconds from the store's return until it sends a late answer of the former era.
LATE_S = 0.3


class Copy:
    """The contents of a store at a moment."""

    def __init__(self, store: RestorableStore) -> None:
        self.rows = dict(store.rows)
        self.history = list(store.history)
        self.version = store.version


class RestorableStore(Store):
    """Store that leaves and returns from a copy."""

    def __init__(self) -> None:
        self.era = 1
        # Whether answers name the era; the header's value in place of the era, if any.
        self.names_era = True
        self.era_text: str | None = None
        self.away = False
        # Whether calls to the store that is away get no answer, in place of a closed connection.
        self.silent = False
        # Whether calls that were open when the store left get their answer after its return.
        self.answers_late = False
        # Arrival time, path and body of each call.
        self.calls: list[tuple[float, str, bytes]] = []
        super().__init__()

    def copy(self) -> Copy:
        with self.lock:
            return Copy(self)

    def leave(self) -> None:
        self.away = True

    def return_from(self, copy: Copy, *, operator_first=None, rewrite_s: float = 0.0) -> None:
        """Ends the absence. `operator_first` is called before anything is written again, which
        happens after `rewrite_s` seconds."""
        with self.lock:
            present = dict(self.rows)
            self.rows, self.history = dict(copy.rows), list(copy.history)
            self.version = copy.version
            self.era += 1
            if operator_first:
                operator_first()
            self.away = False
            self.lock.notify_all()
        if rewrite_s:
            writer = threading.Timer(rewrite_s, self._write_again, (copy, present))
            writer.daemon = True
            writer.start()
        else:
            self._write_again(copy, present)

    def _write_again(self, copy: Copy, present: dict) -> None:
        with self.lock:
            for (table, key), row in present.items():
                lost = copy.rows.get((table, key)) != row
                if table not in OWN_TABLES and lost and (
                        self.rows.get((table, key)) == copy.rows.get((table, key))):
                    self._write(table, key, row["value"], row["part"])
            for table, key in set(copy.rows) - set(present):
                if table not in OWN_TABLES:
                    self._remove(table, key)
            self.lock.notify_all()

    def handle(self, call, body: bytes, rewrite_answer=lambda value: value) -> None:
        self.calls.append((time.monotonic(), call.path, body))
        if self.away:
            self._give_no_answer(call)
            return
        send_answer, era, version = call.answer, self.era, self.version

        def answer(status: int, content: bytes, headers: dict[str, str] | None = None) -> None:
            if self.away or self.era != era:
                if self.answers_late and call.path.startswith("/rows-feed"):
                    self._answer_late(call, send_answer, era, version)
                else:
                    self._give_no_answer(call)
                return
            send_answer(status, content, {**(headers or {}), **self._era_header(self.era)})

        call.answer = answer
        super().handle(call, body, rewrite_answer)
        call.__dict__.pop("answer", None)

    def _era_header(self, era: int) -> dict[str, str]:
        if not self.names_era:
            return {}
        return {"Store-Era": str(era) if self.era_text is None else self.era_text}

    def _answer_late(self, call, send_answer, era: int, version: int) -> None:
        """Sends an answer of the former era: nothing has changed since the call arrived."""
        while self.era == era:
            time.sleep(0.02)
        time.sleep(LATE_S)
        call.close_connection = True
        with contextlib.suppress(OSError):
            send_answer(200, b'{"rows": [], "row_version": %d, "now_ms": 1}' % version,
                        self._era_header(era))

    def _give_no_answer(self, call) -> None:
        if not self.silent:
            call.drop()
            return
        call.close_connection = True
        with contextlib.suppress(OSError):
            while call.connection.recv(65536):
                pass

    def _feed(self, query: dict, body: bytes) -> tuple[int, dict]:
        with self.lock:
            if int(query["after"]) > self.version:
                return 410, {}
        return super()._feed(query, body)
