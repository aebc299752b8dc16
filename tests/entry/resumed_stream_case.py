"""A fixture for streams that break off and are resumed by backend servers that a test controls."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from answer_bytes import END, STREAM, chunk, event, head  # noqa: E402
from entry_fleet import Instance, configuration, wait_until  # noqa: E402
from misbehaving_server import (  # noqa: E402
    Connection, MisbehavingServer, Request, sends, stream)
from platform_fleet import Store  # noqa: E402

RUNNERS = 3
# Settings with which the retry budget covers every further run of a test.
RETRIES = "bounds.budget_slack=200\n"
WHOLE_STREAM = b"".join(event(number) for number in range(1, 6))
BEGUN_STREAM = event(1) + event(2)


def sends_events(*events: bytes):
    """Returns a way to answer: a complete chunked stream of these events."""
    return sends(STREAM, *map(chunk, events), END)


def breaks_off_after(*events: bytes):
    """Returns a way to answer: a stream of these events that breaks off."""
    return sends(STREAM, *map(chunk, events))


breaks_off = breaks_off_after(event(1), event(2))


class ResumedStreamCase(unittest.TestCase):
    """Runs one store, three runners and one instance. The runs of a stream, at whichever runner,
    follow the ways that a test selects, in their order; further runs repeat the last one."""

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"], ("m1",))
        draft = next(route for route in config["routes"] if route["name"] == "draft")
        draft["max_attempts"] = RUNNERS
        self.store.put("op", "config", config)
        self.runners = [MisbehavingServer(self.store, f"r{number}", "llm", ["m1"])
                        for number in range(RUNNERS)]
        self.instance = Instance(self.store, "n1", more_settings=RETRIES)
        self.instance.wait_until_serving(servers=RUNNERS)
        self.ways: list = []
        # The Last-Event-Id header of each run.
        self.resume_points: list[str | None] = []
        for runner in self.runners:
            runner.play(self.run_next_way)

    def tearDown(self) -> None:
        self.instance.close()
        for service in (*self.runners, self.store):
            service.close()

    def run_next_way(self, connection: Connection, request: Request) -> None:
        if request.path == "/order":
            connection.send(head(request.id, "Content-Length: 0\r\n", 409))
            return
        self.resume_points.append(request.headers.get("last-event-id"))
        way = self.ways.pop(0) if len(self.ways) > 1 else self.ways[0]
        way(connection, request)

    def stream(self, *ways) -> tuple[bytes, bool]:
        """Sends a request. Returns the received bytes of the stream and whether it ended as
        complete."""
        self.ways, self.resume_points = list(ways), []
        received, whole, self.headers = self.instance.stream("/draft/a", "m1")
        return received, whole

    def attempt_details(self) -> set[str]:
        return {ended["detail"] for ended in self.instance.events(1101)}

    def assert_not_continued_by(self, way, reason: str, comment: bytes = b"") -> None:
        """Checks that a run of this way adds no more than its comment to the caller's stream: the
        stream is cut if every run is like this, and continued by a later run that continues
        it."""
        self.assertEqual(self.stream(breaks_off, way), (BEGUN_STREAM + 2 * comment, False))
        detail = f"no continuation: {reason}"
        wait_until(lambda: detail in self.attempt_details(), f"{detail} is logged", 5)
        self.assertEqual(self.stream(breaks_off, way, stream),
                         (WHOLE_STREAM.replace(BEGUN_STREAM, BEGUN_STREAM + comment), True))
