"""The store loses the records of streams in a drill. When an instance dies some seconds later, no
other one takes its streams up again, although the instances could have written them anew."""

from __future__ import annotations

import http.client
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from case import (  # noqa: E402
    TROUBLE, CaseError, DrillStore, Fleet, ServerProcess, run_case)
from entry_fleet import configuration, wait_until  # noqa: E402

EVENTS = 60
EVENT_PAUSE_S = 0.25
STREAMS = 24
VERSIONS = ("v1", "v1", "v2", "v2")
CALM_S = 4.0
# Time from the begin of the streams until the store is away, and for how long it is.
BEGUN_S = 1.5
AWAY_S = 1.0
# Age of the copy when the store is back. It is older than the streams.
COPY_AGE_S = 3.5
# `contact_ms` is 3,000: by then all machines are in touch again.
IN_TOUCH_S = 4.0


class Caller(threading.Thread):
    """Takes a stream, and takes it up again at another instance if its channel breaks."""

    def __init__(self, record, name: str, instance, next_instance) -> None:
        super().__init__(daemon=True)
        self.record, self.request = record, name
        self.instance, self.next_instance = instance, next_instance
        self.last_id = 0
        self.status_of_take_up: int | None = None
        self.went_on = False

    def run(self) -> None:
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
        try:
            connection.request("POST", "/draft/a", b"x", {
                "Host": "h.example", "X-Request-Id": request, "X-Model": "m1",
                "X-Deadline-Ms": "25000", "Authorization": "Token k1", **more})
            answer = connection.getresponse()
            status = answer.status
            while line := answer.readline():
                if status == 200 and line.startswith(b"id: "):
                    self.last_id = int(line[4:])
            return status, status == 200 and self.last_id == EVENTS
        except (OSError, http.client.HTTPException):
            return status, False
        finally:
            connection.close()


def play(record) -> list[str]:
    store = DrillStore()
    with Fleet(store) as fleet:
        config = configuration(1, ["k1"], models=("m1",))
        for route in config["routes"]:
            if route["name"] == "draft":
                route.update(timeout_ms=25000, gap_target_ms=300)
        store.put("op", "config", config)
        runners = [ServerProcess(fleet, record, f"r{number}", "llm", EVENTS, EVENT_PAUSE_S,
                                 "chunked", version)
                   for number, version in enumerate(VERSIONS, 1)]
        for number in (1, 2, 3):
            fleet.add_instance(f"front-{number}")
        for instance in fleet.instances:
            instance.wait_until_serving(servers=len(runners))
        # The hub goes on, so that its loss plays no part.
        hub = wait_until(lambda: (store.get("carawayturn", "hub") or {}).get("name"), "a hub")
        dying = next(each for each in fleet.instances if each.name != hub)
        others = [each for each in fleet.instances if each is not dying]
        time.sleep(CALM_S)
        callers = [Caller(record, f"s{number}", dying, others[number % 2])
                   for number in range(STREAMS)]
        for caller in callers:
            caller.start()
        wait_until(lambda: all(caller.last_id > 0 for caller in callers), "all streams", 10)
        time.sleep(BEGUN_S)
        if TROUBLE:
            store.leave()
            record.write("the store is away")
            time.sleep(AWAY_S)
            store.return_from_copy_of(time.monotonic() - COPY_AGE_S)
            record.write(f"the store is back from a copy {COPY_AGE_S:g} s old, era {store.era}")
        else:
            time.sleep(AWAY_S)
        time.sleep(IN_TOUCH_S)
        dying.process.kill()
        record.write(f"{dying.name} is killed")
        new = [Caller(record, f"new{number}", others[number % 2], None)
               for number in range(STREAMS)]
        for caller in new:
            caller.start()
        for caller in callers + new:
            caller.join(60)
        taken_up = [caller for caller in callers if caller.status_of_take_up is not None]
        if len(taken_up) < 12:
            raise CaseError("fewer than 12 streams were taken up")
        share = sum(caller.went_on for caller in taken_up) / len(taken_up)
        new_share = sum(caller.last_id > 0 for caller in new) / len(new)
        record.write(f"{share:.2f} of {len(taken_up)} streams that were taken up went on, "
                     f"{new_share:.2f} of {len(new)} new ones began")
        if share >= new_share / 2:
            return []
        return [f"{share:.2f} of {len(taken_up)} streams that were taken up went on, "
                f"{new_share:.2f} of {len(new)} new ones began"]


run_case(str(FOLDER), play)
