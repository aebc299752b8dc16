"""Runs real instances against servers that announce that they are leaving or want a pause.

The tests do not depend on the speed of the machine: they wait for conditions, with a limit
that only ends a hanging test.
"""

from __future__ import annotations

import signal
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import Instance, configuration, wait_until  # noqa: E402
from platform_fleet import BackendServer, Store  # noqa: E402

REQUESTS = 12
# More than the number of requests in a test.
MANY = 1000
PAUSE_S = 2.0
# Deadline that Instance.request sends with each request.
DEADLINE_S = 10.0
# Longer than the route's timeout, which is shorter than the callers' deadline.
LONG_PAUSE_S = 9
# Time that a reading of the list of servers takes where a test delays it.
READING_TIME_S = 0.7
# Number of the log event for a changed record of a server.
BACKEND_CHANGED = 1130


class ServerAvailabilityTest(unittest.TestCase):
    """Uses one store, two plain servers, two runners and two instances; the first is the hub."""

    def setUp(self) -> None:
        self.store = Store()
        self.store.put("op", "config", configuration(1, ["k1"]))
        self.plain = [BackendServer(self.store, f"p{i}", "plain") for i in range(2)]
        self.runners = [BackendServer(self.store, f"r{i}", "llm", ["m1"]) for i in range(2)]
        self.hub = Instance(self.store, "n1")
        self.hub.wait_until_serving(servers=4)
        self.member = Instance(self.store, "n2")
        self.member.wait_until_serving(servers=4)
        wait_until(lambda: self.member.state()["hub"]["answers"], "n2 found the hub")

    def tearDown(self) -> None:
        for instance in (self.hub, self.member):
            instance.close()
        for service in [*self.plain, *self.runners, self.store]:
            service.close()

    def book(self, instance: Instance, name: str) -> tuple[int, bytes, dict[str, str]]:
        return instance.request("/book/a", id=name)

    def book_until_reached(self, server: BackendServer) -> None:
        """Sends requests to the second instance until one of them has reached the server."""
        for number in range(REQUESTS):
            self.book(self.member, f"first{number}")
            if server.arrivals:
                return
        self.fail("the server got no request")

    def assert_gets_nothing(self, server: BackendServer, instance: Instance) -> None:
        before = len(server.arrivals)
        for number in range(REQUESTS):
            status = self.book(instance, f"next{number}")[0]
            self.assertEqual(status, 200)
        self.assertEqual(len(server.arrivals), before)

    @staticmethod
    def is_hub(instance: Instance) -> bool:
        return instance.state()["hub"]["this_instance"]

    def changes_of(self, instance: Instance, server: str) -> list[dict]:
        """Returns the logged changes of a server's record at the instance."""
        return [event for event in instance.events(BACKEND_CHANGED)
                if event["server"] == server]

    def models_of(self, instance: Instance, server: str) -> list[str]:
        return self.server_state(instance, server)["models"]

    def server_state(self, instance: Instance, name: str) -> dict:
        return next(server for server in instance.state()["backend_servers"]
                    if server["id"] == name)

    def test_leaving_server_gets_no_more_requests_from_any_instance(self) -> None:
        """Guards against requests for a server that is leaving while its entry shows it as
        ready. The instance that got the announcement stops at once, the others as soon as the
        hub has informed them."""
        self.plain[0].leaving = True
        self.book_until_reached(self.plain[0])
        self.assert_gets_nothing(self.plain[0], self.member)
        wait_until(lambda: self.server_state(self.hub, "p0")["draining"],
                   "the hub marks p0 as draining")
        wait_until(lambda: self.server_state(self.member, "p0")["draining"],
                   "n2 learns it from the hub")
        self.assert_gets_nothing(self.plain[0], self.hub)
        # A later entry in the store that shows the server as ready does not cancel that.
        self.plain[0].record()
        time.sleep(1.0)
        self.assert_gets_nothing(self.plain[0], self.hub)
        self.assert_gets_nothing(self.plain[0], self.member)

    def test_restarted_server_gets_requests_again(self) -> None:
        """Guards against an announcement that stays in effect after the server has restarted."""
        self.plain[0].leaving = True
        self.book_until_reached(self.plain[0])
        self.plain[0].leaving = False
        self.plain[0].restart()
        wait_until(lambda: self.server_state(self.member, "p0")["takes_requests"]
                   and not self.server_state(self.member, "p0")["draining"],
                   "n2 knows the new incarnation")
        self.plain[1].record("draining")
        wait_until(lambda: self.server_state(self.member, "p1")["draining"],
                   "n2 sees p1 as draining")
        self.assertEqual(self.book(self.member, "again")[1], b"done by p0")

    def test_runner_that_announces_leaving_to_the_hub_gets_nothing_from_members(self) -> None:
        """Guards against an announcement in the answer to an order or a report request that the
        hub does not pass on."""
        self.runners[0].leaving = True
        self.hub.request("/draft/a", headers={"X-Model": "m2"}, id="load")
        wait_until(lambda: self.server_state(self.member, "r0")["draining"],
                   "n2 learns it from the hub")
        self.assertEqual(self.runners[0].arrivals, [])

    def test_removed_server_stays_removed_when_a_former_hub_becomes_hub_again(self) -> None:
        """Guards against a new hub that starts from its own last reading of the store, and so
        selects a server again that another hub has removed since."""
        self.hub.process.send_signal(signal.SIGSTOP)
        wait_until(lambda: self.is_hub(self.member), "n2 is the hub")
        self.hub.process.send_signal(signal.SIGCONT)
        wait_until(lambda: not self.is_hub(self.hub) and self.hub.state()["hub"]["answers"],
                   "n1 follows n2")
        self.store.remove("servers", "p0")
        wait_until(lambda: len(self.hub.state()["backend_servers"]) == 3, "n1 has removed p0")
        known = len(self.changes_of(self.hub, "p0"))
        # The runner's report differs from what n1 read, which changes the directory of n1 as
        # hub before it has read the list of servers.
        self.runners[0].models["m2"] = []
        self.hub.store_endpoint.delays_s["servers"] = READING_TIME_S
        self.member.process.terminate()
        wait_until(lambda: self.is_hub(self.hub), "n1 is the hub again")
        wait_until(lambda: len(self.models_of(self.hub, "r0")) == 2, "n1 has r0's report")
        self.assertEqual(self.changes_of(self.hub, "p0")[known:], [])

    def test_paused_server_gets_nothing_until_the_end_of_its_pause(self) -> None:
        """Guards against requests for a server during its pause."""
        self.plain[0].pauses = [str(PAUSE_S)] * MANY
        self.book_until_reached(self.plain[0])
        paused_at = self.plain[0].sent_pauses[0][0]
        # The other server gets the higher load, so that only the pause keeps requests away.
        self.plain[1].answer_delay_s = 0.2

        def book_for_the_pause(name: str) -> None:
            while time.monotonic() < paused_at + 0.8 * PAUSE_S:
                self.book(self.member, f"{name}-{time.monotonic()}")

        callers = [threading.Thread(target=book_for_the_pause, args=(f"c{n}",))
                   for n in range(REQUESTS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        self.plain[0].pauses = []
        early = [name for at, name in self.plain[0].arrivals
                 if paused_at < at < paused_at + PAUSE_S]
        self.assertEqual(early, [])

        def served_again() -> bool:
            self.book(self.member, f"after{time.monotonic()}")
            return len(self.plain[0].arrivals) > 1

        wait_until(served_again, "the server gets requests after its pause")

    def test_all_servers_paused_beyond_the_deadline_caller_is_refused_at_once(self) -> None:
        """Guards against a caller that waits although no server is available before its
        deadline, and against a Retry-After that ends before the first pause does."""
        for server in self.plain:
            server.pauses = [str(LONG_PAUSE_S)]
        began = time.monotonic()
        status, _, headers = self.book(self.member, "r1")
        took = time.monotonic() - began
        self.assertEqual(status, 503)
        self.assertLess(took, DEADLINE_S / 2)
        paused_at = [at for server in self.plain for at, _ in server.sent_pauses]
        self.assertEqual(len(paused_at), 2)
        earliest_end = min(paused_at) + LONG_PAUSE_S
        self.assertGreaterEqual(began + took + float(headers["Retry-After"]),
                                earliest_end - 0.1)
        # The next request is refused without asking a server.
        self.assertEqual(self.book(self.member, "r2")[0], 503)
        self.assertEqual(sum(len(server.arrivals) for server in self.plain), 2)
        self.assertEqual([run for server in self.plain for run in server.ran], [])
        wait_until(lambda: [event["outcome"] for event in self.member.events(1100)]
                   == ["servers_paused"] * 2, "both refusals are logged")

    def test_all_servers_paused_for_a_moment_callers_wait_and_are_served(self) -> None:
        """Guards against refusals although the pauses end before the deadline, and against a
        burst of requests when they end."""
        for server in self.plain:
            server.pauses = ["1.5"] * MANY
            server.answer_delay_s = 0.1
        statuses: list[int] = []
        callers = [threading.Thread(target=lambda n=n: statuses.append(
            self.book(self.member, f"c{n}")[0])) for n in range(REQUESTS)]
        for caller in callers:
            caller.start()
        wait_until(lambda: all(server.sent_pauses for server in self.plain),
                   "both servers announced a pause")
        time.sleep(0.5)
        for server in self.plain:
            server.pauses = []
        for caller in callers:
            caller.join()
        self.assertEqual(statuses, [200] * REQUESTS)
        for server in self.plain:
            paused_at = server.sent_pauses[0][0]
            # Requests that were sent before the announcement arrived are allowed.
            early = [at for at, _ in server.arrivals if paused_at + 0.5 < at < paused_at + 1.5]
            self.assertEqual(early, [])

    def test_malformed_pause_headers_are_ignored(self) -> None:
        """Guards against a date, a negative number or junk that is parsed as a pause, and against
        a pause of years: the pause is limited to ten minutes."""
        for text in ("-5", "junk", "Fri, 04 Dec 2026 14:00:00 GMT", "1e9", ""):
            for server in self.plain:
                server.pauses = [text]
            self.book(self.member, f"w{text[:3]}")
            self.assertEqual(self.book(self.member, f"x{text[:3]}")[0], 200, text)
            for server in self.plain:
                server.pauses = []
        self.assertEqual(self.member.events(1134), [])
        malformed = [event["server"] for event in self.member.events(1135)]
        self.assertEqual(sorted(malformed), ["p0", "p1"])
        self.plain[0].pauses = ["999999999999"]
        while self.plain[0].pauses:
            self.book(self.member, f"y{time.monotonic()}")
        wait_until(lambda: self.member.events(1134), "the pause is logged")
        self.assertEqual(self.member.events(1134)[0]["pause_ms"], 600000)

    def test_503_without_a_not_run_promise_is_not_passed_on_as_one(self) -> None:
        """Guards against telling a caller that a request has not run when a server answered
        503 without stating that."""
        for server in self.plain:
            server.mode = "busy"
        status, _, headers = self.book(self.member, "r1")
        self.assertEqual(status, 502)
        self.assertNotIn("X-Server-Seal", headers)
        self.assertEqual(sum(len(server.arrivals) for server in self.plain), 1)


if __name__ == "__main__":
    unittest.main()
