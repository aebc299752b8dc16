"""Tests an instance process whose servers write an earlier answer once more.

An answer is matched to its request by the request's id, so an id that is sent again on a
connection could be answered by the copy of an earlier answer.
"""

from __future__ import annotations

import sys
import threading
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import Instance, configuration, wait_until  # noqa: E402
from platform_fleet import Store  # noqa: E402
from repeating_server import (  # noqa: E402
    PLAIN_PATH_END, RepeatingServer, kept_connection, same_connection)

# Statuses with which a caller is told that its request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
REFUSAL_STATUSES = (503, 429, 421)
# Times that an instance sends one request at most.
MAX_SENDS = 4
MORE_BUDGET = "bounds.budget_slack=1000\nbounds.retry_budget_ratio=1\n"


class RepeatedAnswerTest(unittest.TestCase):
    """Starts a store, one or two servers of each service, and one instance."""

    server_count = 1

    def setUp(self) -> None:
        self.store = Store()
        self.store.put("op", "config", configuration(1, ["k1"]))
        self.servers = [
            server for number in range(self.server_count)
            for server in (RepeatingServer(self.store, f"p{number}", "plain"),
                           RepeatingServer(self.store, f"r{number}", "llm", ["m1"]))]
        self.instance = Instance(self.store, "n1", more_settings=MORE_BUDGET)
        self.instance.wait_until_serving(servers=len(self.servers))
        self.ids = 0

    def tearDown(self) -> None:
        self.instance.close()
        for service in (*self.servers, self.store):
            service.close()

    def call(self, route: str, request_id: str, path_end: str = "") -> tuple[int, bytes]:
        headers = {"X-Model": "m1"} if route == "draft" else {}
        status, body, _ = self.instance.request(f"/{route}/{request_id}{path_end}",
                                                id=request_id, headers=headers)
        return status, body

    def open_connections(self, route: str, count: int) -> None:
        """Makes the instance keep some idle connections to the servers of a route."""
        def call(number: int) -> None:
            self.ids += 1
            self.call(route, f"plain-{self.ids}-{number}", PLAIN_PATH_END)

        callers = [threading.Thread(target=call, args=(number,)) for number in range(count)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()

    def set(self, **options) -> None:
        for server in self.servers:
            for name, value in options.items():
                setattr(server, name, value)

    def check(self, route: str, request_id: str) -> tuple[int, bytes]:
        """Sends a request and checks what its caller is told against its runs."""
        before = self.runs(request_id)
        status, body = self.call(route, request_id)
        ran = self.runs(request_id) - before
        if status in NOT_RUN_STATUSES:
            self.assertEqual(ran, 0, f"answered {status} although it ran")
        if route == "book":
            self.assertLessEqual(ran, 1, "runs of a request that is not idempotent")
        return status, body

    def runs(self, request_id: str) -> int:
        return sum(run.id == request_id for server in self.servers for run in server.runs)

    def check_refusals(self, writes_copy, refusals: int, calls: int) -> None:
        """Refuses the first sends of an id, then lets it run while a copy is written."""
        for status in REFUSAL_STATUSES:
            for route in ("book", "status", "draft"):
                with self.subTest(status=status, route=route):
                    self.set(status=status, refusals=refusals, writes_copy=writes_copy)
                    self.ids += 1
                    request_id = f"id-{self.ids}"
                    answers = []
                    for _ in range(calls):
                        self.open_connections(route, 4)
                        answers.append(self.check(route, request_id))
                    # After a 421, the instance avoids the server for a while.
                    if status != 421:
                        self.assertEqual(answers[-1][0], 200, answers)


class OneServerTest(RepeatedAnswerTest):
    """The same server gets a refused request again."""

    def test_refusal_repeated_on_its_connection_for_the_next_attempt(self) -> None:
        """Guards against a request that runs and is refused, or runs twice, because the instance
        sends it again on the connection on which it was refused."""
        self.check_refusals(same_connection, refusals=1, calls=1)

    def test_refusal_repeated_on_its_connection_for_the_caller(self) -> None:
        """Guards against the same after the caller has sent a refused request again."""
        self.check_refusals(same_connection, refusals=MAX_SENDS // self.server_count, calls=2)

    def test_refusal_repeated_on_a_kept_connection_for_the_next_attempt(self) -> None:
        """Guards against a copy on another connection than that of the refusal."""
        self.check_refusals(kept_connection, refusals=1, calls=1)

    def test_refusal_repeated_on_a_kept_connection_for_the_caller(self) -> None:
        """Guards against the same after the caller has sent a refused request again."""
        self.check_refusals(kept_connection, refusals=MAX_SENDS // self.server_count, calls=2)

    def test_success_repeated_for_the_next_request_with_its_id(self) -> None:
        """Guards against an earlier answer that is taken for that of a running request, because
        a caller uses an id again."""
        self.set(refusals=0, repeats_successes=True)
        self.open_connections("book", 1)
        answers = [self.check("book", "used-twice") for _ in range(6)]
        self.assertEqual([status for status, _ in answers], [200] * 6)
        self.assertEqual(len({body for _, body in answers}), 6, answers)


class TwoServersTest(OneServerTest):
    """Another server may get a refused request."""

    server_count = 2


if __name__ == "__main__":
    unittest.main()
