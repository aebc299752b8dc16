"""Callers that keep their connections open as long as the instance lets them."""

from __future__ import annotations

import http.client
import random
import threading
import time
from dataclasses import dataclass, field

from entry_fleet import Instance

PATIENCE_S = 12
STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 6))


@dataclass
class Call:
    """One request and what its caller saw."""

    request_id: str
    kind: str
    key: str
    instance: str
    sent_at: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class Caller:
    """A thread that sends one request after the other until it is stopped."""

    def __init__(self, name: str, seed: int, instances: list[Instance], keys) -> None:
        """`keys` returns the keys that a caller may use now."""
        self.calls: list[Call] = []
        self._name = name
        self._random = random.Random(seed)
        self._instances = instances
        self._keys = keys
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        self._stop.set()
        self._thread.join(4 * PATIENCE_S)
        assert not self._thread.is_alive(), f"caller {self._name} hangs"

    def _run(self) -> None:
        while not self._stop.is_set():
            instance = self._random.choice(self._instances)
            connection = http.client.HTTPConnection("127.0.0.1", instance.front,
                                                    timeout=PATIENCE_S)
            try:
                for _ in range(self._random.randint(1, 40)):
                    if self._stop.is_set() or not self._call(connection, instance):
                        break
                    time.sleep(self._random.uniform(0.005, 0.04))
            finally:
                connection.close()
            time.sleep(0.01)

    def _call(self, connection: http.client.HTTPConnection, instance: Instance) -> bool:
        """Sends a request; returns whether its connection can carry another one."""
        kind = self._random.choice(["book", "book", "status", "draft", "draft", "open"])
        call = Call(f"{self._name}-{len(self.calls)}", kind, self._random.choice(self._keys()),
                    instance.name, time.monotonic())
        self.calls.append(call)
        headers = {"Host": "h.example", "X-Request-Id": call.request_id,
                   "X-Deadline-Ms": "6000", "Authorization": f"Token {call.key}"}
        if kind == "draft":
            headers["X-Model"] = self._random.choice(["m1", "m1", "m2", "m3"])
            headers["X-Token-Count"] = "300,20"
        try:
            connection.request("GET" if kind == "status" else "POST", f"/{kind}/a", b"x",
                               headers)
            answer = connection.getresponse()
            call.status = answer.status
            call.headers = {name.lower(): value for name, value in answer.getheaders()}
            while piece := answer.read1(65536):
                call.body += piece
            call.whole = True
            return call.headers.get("connection", "").lower() != "close"
        except (OSError, http.client.HTTPException):
            return False
