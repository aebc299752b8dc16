"""Callers that take streams up again, for the scripts of this review."""

from __future__ import annotations

import http.client
import threading
import time

from case import engine_headers

# Time budget of a client for a stream with all its tries, in milliseconds.
DEADLINE_MS = 20000


class Caller(threading.Thread):
    """Takes a stream, and takes it up again at another instance if its channel breaks."""

    def __init__(self, record, name: str, instance, next_instance, events: int,
                 model: str = "m1") -> None:
        """`events` is the number of events of a whole stream; without `next_instance`, the stream
        is not taken up again."""
        super().__init__(daemon=True)
        self.events, self.model = events, model
        # Prompts of three callers share their first part.
        self.number = int("".join(letter for letter in name if letter.isdigit()))
        self.record, self.request = record, name
        self.instance, self.next_instance = instance, next_instance
        self.last_id = 0
        self.status_of_take_up: int | None = None
        self.went_on = False

    def run(self) -> None:
        self.began = time.monotonic()
        status, whole = self._take(self.instance, self.request, {})
        self.record.write(f"{self.request} at {self.instance.name}: {status}, last event "
                          f"{self.last_id}, {'complete' if whole else 'broken off'}")
        if whole or not self.last_id or self.next_instance is None:
            return
        before = self.last_id
        headers = {"Last-Event-Id": str(before), "Resumes": self.request}
        self.status_of_take_up, whole = self._take(self.next_instance, f"{self.request}-again",
                                                   headers)
        self.went_on = self.last_id > before
        self.record.write(
            f"{self.request}-again at {self.next_instance.name}, after event {before}: "
            f"{self.status_of_take_up}, last event {self.last_id}, "
            f"{'complete' if whole else 'broken off'}")

    def _take(self, instance, request: str, more: dict[str, str]) -> tuple[int, bool]:
        connection = http.client.HTTPConnection("127.0.0.1", instance.front_port, timeout=30)
        status = 0
        left_ms = DEADLINE_MS - int(1000 * (time.monotonic() - self.began))
        self.record.write(f"{request} sent to {instance.name}")
        try:
            connection.request("POST", "/draft/a", b"x", {
                "Host": "h.example", "X-Request-Id": request, "X-Model": self.model,
                "Authorization": "Token k1", **engine_headers(self.number),
                "X-Deadline-Ms": str(left_ms), **more})
            answer = connection.getresponse()
            status = answer.status
            while line := answer.readline():
                if status == 200 and line.startswith(b"id: "):
                    self.last_id = int(line[4:])
            return status, status == 200 and self.last_id == self.events
        except (OSError, http.client.HTTPException):
            return status, False
        finally:
            connection.close()


def compare_shares(record, callers: list[Caller], new: list[Caller]) -> list[str]:
    """LOST: the share of the streams taken up that go on is under half of the share of new
    streams that begin. Without 12 streams that were taken up, the rule says nothing."""
    taken_up = [caller for caller in callers if caller.status_of_take_up is not None]
    if len(taken_up) < 12:
        record.write(f"{len(taken_up)} streams were taken up")
        return []
    share = sum(caller.went_on for caller in taken_up) / len(taken_up)
    new_share = sum(caller.last_id > 0 for caller in new) / len(new)
    result = (f"{share:.2f} of {len(taken_up)} streams that were taken up went on, "
              f"{new_share:.2f} of {len(new)} new ones began")
    record.write(result)
    return [result] if share < new_share / 2 else []
