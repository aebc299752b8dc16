"""Tests what a caller gets if a server answers with an error and the next attempts fail too."""

from __future__ import annotations

import itertools
import sys
import unittest
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import Instance, configuration, wait_until  # noqa: E402
from platform_fleet import BackendServer, Store  # noqa: E402

ERROR = (500, b"failed")


class ServerFailureTest(unittest.TestCase):
    """Starts a store, two plain servers, two runners and one instance. Each request may run three
    times."""

    def setUp(self) -> None:
        self.store = Store()
        config = configuration(1, ["k1"])
        for entry in config["routes"]:
            entry["max_attempts"] = 3
        self.store.put("op", "config", config)
        self.plain = [BackendServer(self.store, f"p{number}", "plain") for number in range(2)]
        self.runners = [BackendServer(self.store, f"r{number}", "llm", ["m1"])
                        for number in range(2)]
        self.instance = Instance(self.store, "n1")
        self.instance.wait_until_serving(servers=4)

    def tearDown(self) -> None:
        self.instance.close()
        for service in (*self.plain, *self.runners, self.store):
            service.close()

    def answer_with(self, servers: list[BackendServer], first: str,
                    later: Callable[[BackendServer, object], None]) -> None:
        """Answers the first arrival in this mode; `later` answers the ones after it."""
        arrivals = itertools.count()
        for server in servers:
            def run(call, body, server=server, usual=server._run) -> None:
                if next(arrivals) > 0:
                    later(server, call)
                    return
                server.mode = first
                usual(call, body)
            server._run = run

    def status_answer(self) -> tuple[int, bytes]:
        status, body, _ = self.instance.request("/status/a")
        return status, body

    def test_error_before_refusals_is_the_answer(self) -> None:
        """Guards against a server's complete answer that is given up for attempts that yield
        none: the caller received 502 without the server's body."""
        def refuse(_: BackendServer, call) -> None:
            call.answer(503, b"", {"X-Request-Id": call.headers["X-Request-Id"],
                                   "X-Not-Executed": "1"})
        self.answer_with(self.plain, "error", refuse)
        self.assertEqual(self.status_answer(), ERROR)

    def test_error_before_broken_connections_is_the_answer(self) -> None:
        """Guards against a server's complete answer that is lost when the next servers close the
        connection."""
        self.answer_with(self.plain, "error", lambda _, call: call.drop())
        self.assertEqual(self.status_answer(), ERROR)

    def test_error_is_not_joined_to_the_head_of_a_later_run(self) -> None:
        """Guards against the body of one run behind the head of another one, which told the
        caller that its request had succeeded."""
        def break_off(_: BackendServer, call) -> None:
            for runner in self.runners:
                self.store.remove("servers", runner.name)
            wait_until(lambda: len(self.instance.state()["backend_servers"]) == 2,
                       "the runners are gone")
            call.send_response(200)
            for name, value in {"X-Request-Id": call.headers["X-Request-Id"],
                                "X-Server-Seal": "s", "Content-Type": "text/event-stream",
                                "Transfer-Encoding": "chunked"}.items():
                call.send_header(name, value)
            call.end_headers()
            call.drop()
        self.answer_with(self.runners, "error", break_off)
        status, body, _ = self.instance.request("/draft/a", headers={"X-Model": "m1"})
        self.assertEqual((status, body), ERROR)


if __name__ == "__main__":
    unittest.main()
