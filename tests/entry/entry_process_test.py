"""Runs real instances as processes against the stand-ins of the platform.

Nothing here depends on how fast the machine is: conditions are waited for, with a limit
that only ends a hanging test.
"""

from __future__ import annotations

import http.client
import signal
import socket
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import HANG_LIMIT_S, Instance, configuration, wait_until  # noqa: E402
from platform_fleet import BackendServer, Store  # noqa: E402


# `bounds.lease_ms` of the instances, and some time for their start.
ORDER_LEASE_S = 3.2
# Shortest pause of an instance between tries of an absent store.
MIN_RETRY_S = 0.25
# An entry that is missing this soon after the store's return may come back.
REMOVAL_GRACE_S = 2.3
# Tries to make an instance ask for a history that is gone.
MAX_HISTORY_ATTEMPTS = 6


class EntryProcessTest(unittest.TestCase):
    """One store, two plain servers, two runners and one instance for each test."""

    def setUp(self) -> None:
        self.store = Store()
        self.store.put("op", "config", configuration(1, ["k1"]))
        self.plain = [BackendServer(self.store, f"p{i}", "plain") for i in range(2)]
        self.runners = [BackendServer(self.store, f"r{i}", "llm", ["m1"]) for i in range(2)]
        self.instances = [Instance(self.store, "n1")]
        self.instance = self.instances[0]
        self.instance.wait_until_serving(servers=4)

    def tearDown(self) -> None:
        for instance in self.instances:
            instance.close()
        for service in [*self.plain, *self.runners, self.store]:
            service.close()

    def add_member(self, name: str, more_settings: str = "") -> Instance:
        """Adds an instance; returns once it relies on the hub."""
        member = Instance(self.store, name, more_settings=more_settings)
        self.instances.append(member)
        wait_until(lambda: member.state().get("hub", {}).get("answers"),
                   f"{name} found the hub")
        wait_until(lambda: not member.state()["store"]["read_by_this_instance"],
                   f"{name} relies on the hub")
        return member

    def executed_requests(self) -> list[dict]:
        return [run for server in self.plain + self.runners for run in server.ran]

    def test_request_with_key_is_served_and_key_is_not_passed_on(self) -> None:
        """Guards against a path that is broken, and a key at a backend server."""
        status, body, headers = self.instance.request("/book/a?b=c", body=b"visit")
        self.assertEqual(status, 200)
        self.assertTrue(body.startswith(b"done by p"))
        self.assertEqual(headers["X-Server-Seal"], "s")
        (run,) = self.executed_requests()
        self.assertEqual(run["path"], "/book/a?b=c")
        self.assertEqual(run["body"], b"visit")
        self.assertEqual(run["headers"]["X-Tenant"], "t1")
        self.assertNotIn("Authorization", run["headers"])

    def test_unknown_key_and_route_are_denied(self) -> None:
        """Guards against requests that run for nobody."""
        denied = self.instance.request("/book/a", headers={"Authorization": "Token no"})
        self.assertEqual(denied[0], 401)
        self.assertEqual(self.instance.request("/none/a")[0], 404)
        self.assertEqual(self.executed_requests(), [])

    def test_broken_at_most_once_request_is_not_repeated(self) -> None:
        """Guards against a booking that runs twice because its answer was lost."""
        for server in self.plain:
            server.mode = "reset"
        self.assertEqual(self.instance.request("/book/a")[0], 502)
        self.assertEqual(len(self.executed_requests()), 1)

    def test_idempotent_request_is_repeated_elsewhere(self) -> None:
        """Guards against a failure that another server could have answered."""
        self.plain[0].mode = "error"
        for number in range(6):
            status = self.instance.request("/status/a", id=f"s{number}", method="GET")[0]
            self.assertEqual(status, 200)

    def test_denied_request_is_refused_with_retry_after(self) -> None:
        """Guards against a refusal that promises too much or keeps the caller waiting."""
        for server in self.plain:
            server.mode = "full"
        status, _, headers = self.instance.request("/book/a")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0)
        self.assertEqual(self.executed_requests(), [])

    def test_missing_model_is_loaded_for_a_waiting_request(self) -> None:
        """Guards against a cold start that never ends."""
        status, body, _ = self.instance.request("/draft/a", headers={"X-Model": "m2"})
        self.assertEqual(status, 200)
        self.assertIn(b"id: 5", body)
        loads = [order for runner in self.runners for order in runner.orders
                 if order["op_type"] == "model_load" and order["model"] == "m2"]
        self.assertGreaterEqual(len(loads), 1)

    def test_broken_stream_continues_at_another_runner(self) -> None:
        """Guards against missing, doubled or torn events after a runner crashed."""
        self.runners[0].mode = "break"
        for number in range(4):
            _, body, _ = self.instance.request("/draft/a", id=f"d{number}",
                                               headers={"X-Model": "m1"})
            self.assertEqual(body, b"".join(b"id: %d\ndata: %d\n\n" % (n, n)
                                            for n in range(1, 6)))

    def assert_ends_after_two_events(self, mode: str, attempt_ends: list[str]) -> None:
        wait_until(lambda: self.instance.state()["hub"]["this_instance"],
                   "the whole retry budget is this instance's")
        for runner in self.runners:
            runner.mode = mode
        answer = self.instance.raw_answer("/draft/a", "r1", "m1")
        self.assertEqual([attempt["end"] for attempt in self.instance_attempts("r1")], attempt_ends)
        self.assertEqual(answer.count(b"HTTP/1.1"), 1)
        self.assertTrue(answer.endswith(b"data: 2\n\n\r\n"))

    def instance_attempts(self, request_id: str) -> list[dict]:
        def attempts():
            return [event for event in self.instance.events(1101)
                    if event["request"] == request_id]

        wait_until(lambda: [event for event in self.instance.events(1100)
                            if event["request"] == request_id], "the request is logged")
        return attempts()

    def test_stream_whose_continuation_is_denied_ends_without_another_answer(self) -> None:
        """Guards against a 502 of our own inside a stream: the runner that should have
        gone on shed the request (trouble-3, MIXED)."""
        # Runners that deny it are tried up to four times in all, as it did not run there.
        self.assert_ends_after_two_events("break_shed", ["broken_off"] + ["not_run"] * 3)

    def test_stream_whose_continuation_fails_ends_without_another_answer(self) -> None:
        """Guards against a failure that is taken for the rest of a stream."""
        self.assert_ends_after_two_events("break_fail", ["broken_off"] * 2)

    def test_withdrawn_key_stops_and_new_key_works(self) -> None:
        """Guards against an accepted configuration that is not put in force."""
        self.store.put("op", "config", configuration(2, ["k2"]))
        wait_until(lambda: self.instance.request("/book/a")[0] == 401, "k1 is refused")
        with_new = self.instance.request("/book/a", headers={"Authorization": "Token k2"})
        self.assertEqual(with_new[0], 200)

    def test_store_outage_stops_requests_with_keys_only(self) -> None:
        """Guards against a key that is honoured while its withdrawal cannot be seen."""
        self.store.refuse = True
        wait_until(lambda: self.instance.request("/book/a")[0] == 503,
                   "keyed requests are refused")
        self.assertEqual(self.instance.request("/open/a")[0], 200)
        self.assertFalse(self.instance.ready())
        self.store.refuse = False
        wait_until(lambda: self.instance.request("/book/a")[0] == 200, "served again")

    def test_leaving_server_gets_no_new_work(self) -> None:
        """Guards against requests at a server that is about to end."""
        self.plain[0].record("draining")
        wait_until(lambda: any(server["id"] == "p0" and server["draining"]
                               for server in self.instance.state()["backend_servers"]),
                   "the leaving is known")
        before = len(self.plain[0].ran)
        for number in range(10):
            self.assertEqual(self.instance.request("/book/a", id=f"b{number}")[0], 200)
        self.assertEqual(len(self.plain[0].ran), before)

    def test_servers_are_reread_when_the_store_lost_its_history(self) -> None:
        """Guards against a change that is lost with the store's history."""
        self.store.forget_history()
        self.store.remove("servers", "p0")
        self.store.forget_history()
        wait_until(lambda: all(server["id"] != "p0" for server in
                               self.instance.state()["backend_servers"]), "p0 is gone")

    def test_configuration_is_reread_at_once_when_the_store_lost_its_history(self) -> None:
        """Guards against an instance that waits as for an absent store after it learned that
        the history is gone: its hub was cut off, and a new version came 4 s late
        (further-grown/sbr-floor-grown, quiet-1, CONFIG)."""
        second = self.add_member("n2")
        door = second.store_endpoint

        def config_reads() -> list[tuple[float, int]]:
            """When n2 asked for the configuration, and the status that it got."""
            return [(at, status) for at, path, status in list(door.answers)
                    if "table=op" in path]

        def history_gone_index() -> int | None:
            return next((index for index, (_, status) in enumerate(config_reads())
                         if status == 410), None)

        # n2 asks for changes since what it read before, if it is not in between two questions
        # as the history goes.
        for _ in range(MAX_HISTORY_ATTEMPTS):
            self.instance.store_endpoint.refuse = True
            known = len(config_reads())
            wait_until(lambda: len(config_reads()) >= known + 3, "n2 reads by itself")
            self.instance.store_endpoint.refuse = False
            wait_until(lambda: not second.state()["store"]["read_by_this_instance"],
                       "n2 relies on a hub")
            time.sleep(1.0)
            self.store.put("op", "other", {})
            self.store.forget_history()
            if history_gone_index() is not None:
                break
        index = history_gone_index()
        self.assertIsNotNone(index, "the store told that the history is gone")
        wait_until(lambda: len(config_reads()) > index + 1, "n2 asks again")
        self.assertLess(config_reads()[index + 1][0] - config_reads()[index][0], MIN_RETRY_S)

    def test_server_removed_long_after_a_store_outage_is_removed_at_once(self) -> None:
        """Guards against an instance that takes a store for one that has just returned,
        because its own last question was in an outage long ago: it kept a server that had
        left as one whose entry the outage had lost (further/sbr-floor, store-refuses,
        DRAIN)."""
        second = self.add_member("n2")
        for door in (self.instance.store_endpoint, second.store_endpoint):
            door.refuse = True
        wait_until(lambda: not second.state()["store"]["answering"], "n2 misses the store")
        self.instance.store_endpoint.refuse = False
        wait_until(lambda: not second.state()["store"]["read_by_this_instance"],
                   "n2 relies on the hub")
        second.store_endpoint.refuse = False
        time.sleep(REMOVAL_GRACE_S)
        self.instance.store_endpoint.refuse = True
        self.store.remove("servers", "p0")

        def removals() -> list[int]:
            return [event["time_ms"] for event in second.events(1132)
                    if event["server"] == "p0"]

        wait_until(removals, "p0 is gone at n2")
        began = max(event["time_ms"] for event in second.events(1123) if event["active"])
        self.assertLess(removals()[0] - began, 1000 * REMOVAL_GRACE_S / 2)

    def test_foreign_rows_in_the_servers_table_are_ignored(self) -> None:
        """Guards against foreign rows that end the directory or are used."""
        self.store.put("servers", "x1", {"service": "plain"})
        self.store.put("servers", "x2", [1, 2])
        wait_until(lambda: len(self.instance.events(1131)) >= 2, "both rows are logged")
        self.assertEqual(self.instance.request("/book/a")[0], 200)
        self.assertEqual(len(self.instance.state()["backend_servers"]), 4)

    def test_open_request_is_answered_after_sigterm(self) -> None:
        """Guards against a graceful shutdown that cuts a request."""
        for server in self.plain:
            server.answer_delay_s = 0.5
        connection = http.client.HTTPConnection("127.0.0.1", self.instance.front_port,
                                                timeout=HANG_LIMIT_S)
        connection.request("POST", "/book/a", b"x",
                           {"Host": "h.example", "X-Request-Id": "r9",
                            "Authorization": "Token k1"})
        wait_until(lambda: self.executed_requests(), "the request runs")
        self.instance.process.send_signal(signal.SIGTERM)
        self.assertEqual(connection.getresponse().status, 200)
        self.assertEqual(self.instance.process.wait(HANG_LIMIT_S), 0)
        self.assertEqual(len(self.instance.events(1162)), 1)

    def test_second_instance_follows_and_takes_over_the_hub(self) -> None:
        """Guards against two hubs, and a fleet without one after the hub died."""
        second = Instance(self.store, "n2")
        self.instances.append(second)
        wait_until(second.ready, "the second instance is ready")
        wait_until(lambda: second.state()["hub"]["answers"], "it found the hub")
        self.assertFalse(second.state()["hub"]["this_instance"])
        first_fence = self.instance.state()["hub"]["fence"]
        self.assertEqual(second.request("/book/a")[0], 200)
        self.instance.stop()
        wait_until(lambda: second.state()["hub"]["this_instance"], "it is the hub")
        self.assertEqual(second.state()["hub"]["fence"], first_fence + 1)
        status, body, _ = second.request("/draft/a", headers={"X-Model": "m2"})
        self.assertEqual(status, 200)
        self.assertIn(b"id: 5", body)

    def test_successor_of_a_hub_that_claimed_again_raises_the_fence(self) -> None:
        """Guards against two holders under one fence: the second instance knew the row's
        version but not the fence of a hub that had claimed again (trouble-3, ONE)."""
        second = self.add_member("n2")
        self.instance.stop()
        self.instance.start()
        wait_until(lambda: self.store.get("carawayturn", "hub")["fence"] == 2,
                   "the restarted hub claimed again")
        wait_until(lambda: second.state()["hub"]["answers"], "n2 follows it")
        wait_until(lambda: second.state()["hub"]["fence"] == 2, "n2 knows the fence")
        self.instance.stop()
        wait_until(lambda: second.state()["hub"]["this_instance"], "n2 is the hub")
        self.assertEqual(self.store.get("carawayturn", "hub")["fence"], 3)

    def test_request_right_after_a_start_waits_for_the_first_reading(self) -> None:
        """Guards against refusals for want of a configuration that comes a moment later:
        111 requests after a restart of 142 instances."""
        store = Store()
        server = BackendServer(store, "p9", "plain")
        started = Instance(store, "n9")
        timer = threading.Timer(
            0.1, lambda: store.put("op", "config", configuration(1, ["k1"])))
        try:
            timer.start()
            status, body, _ = started.request("/open/a")
            self.assertEqual(status, 200, body)
        finally:
            timer.join()
            for service in (started, server, store):
                service.close()

    def test_members_learn_of_the_next_holder_by_one_long_poll(self) -> None:
        """Guards against instances that look for the next holder after a fixed time, or
        try to claim a lease that another one has claimed: of 142 instances, 106 wrote and
        39 read, half a second and more after the claim."""
        self.add_member("n2")
        low_cpu_members = [self.add_member(name, "limits.cpu_share=0.05\n")
                           for name in ("n3", "n4")]
        before = [len(member.store_endpoint.calls) for member in low_cpu_members]
        self.instance.stop()
        for member in low_cpu_members:
            wait_until(lambda: member.state()["hub"]["holder"] == "n2",
                       f"{member.name} relies on n2")
        for member, calls in zip(low_cpu_members, before):
            asked = [call for call in member.store_endpoint.calls[calls:]
                     if "table=carawayturn" in call
                     or "rows-tx" in call]
            self.assertTrue(all("rows-feed" in call for call in asked), asked)
            self.assertLessEqual(len(asked), 2, asked)

    def test_orders_of_successive_lease_holders_do_not_interleave(self) -> None:
        """Guards against orders of two holders in turn: a runner carries out an order late,
        after its holder gave the lease back on SIGTERM (grown/nilerest-ops-grown,
        trouble-2, ONE)."""
        second = self.add_member("n2")
        self.runners[1].record("draining")
        wait_until(lambda: any(server["id"] == "r1" and server["draining"]
                               for server in second.state()["backend_servers"]),
                   "only one runner takes orders")
        # An instance that has just started claims no lease for `bounds.lease_ms`.
        time.sleep(ORDER_LEASE_S)
        self.runners[0].order_delays_s = [1.5]
        threading.Thread(target=self.instance.request, args=("/draft/a",), daemon=True,
                         kwargs={"headers": {"X-Model": "m1/a1"}, "id": "late"}).start()
        wait_until(lambda: not self.runners[0].order_delays_s, "the order is on its way")
        self.instance.process.send_signal(signal.SIGTERM)
        wait_until(lambda: second.state()["hub"]["this_instance"], "n2 is the hub")
        second.request("/draft/a", headers={"X-Model": "m1/a2"}, id="next")
        wait_until(lambda: {"a1", "a2"} <= {order.get("adapter")
                                            for order in self.runners[0].orders},
                   "orders of both holders arrived")
        fences = [order["fencing_token"] for order in self.runners[0].orders]
        self.assertEqual(fences, sorted(fences))

    def test_instance_that_begins_to_read_lists_the_servers(self) -> None:
        """Guards against a feed that replays, a part at a time, every change since this
        instance read last, and shows servers that are long gone."""
        second = self.add_member("n2")
        second.store_endpoint.calls.clear()
        self.instance.stop()

        def servers_calls() -> list[str]:
            return [call for call in second.store_endpoint.calls if "table=servers" in call]

        wait_until(servers_calls, "n2 reads the servers itself")
        self.assertTrue(servers_calls()[0].startswith("/rows-get"), servers_calls()[0])

    def test_members_see_a_leaving_server_when_the_store_refuses_the_hub(self) -> None:
        """Guards against members that rely on a hub which cannot read (scale-2, DRAIN)."""
        second = self.add_member("n2")
        self.instance.store_endpoint.refuse = True
        self.plain[0].record("draining")
        wait_until(lambda: any(server["id"] == "p0" and server["draining"]
                               for server in second.state()["backend_servers"]),
                   "n2 sees the server leave")

    def test_member_finds_the_next_hub_when_the_store_refuses_hub_and_member(self) -> None:
        """Guards against a member that stays with a hub which lost its lease without
        knowing: both were turned away by the store (incident inc-e2ed)."""
        second, third = self.add_member("n2"), self.add_member("n3")
        for member in (second, third):
            wait_until(lambda m=member: m.state()["hub"]["peers_known"] == 2,
                       "the member knows both other instances")
        self.instance.store_endpoint.refuse = third.store_endpoint.refuse = True
        wait_until(lambda: second.state()["hub"]["this_instance"], "n2 is the hub")
        self.store.put("op", "config", configuration(2, ["k2"]))
        for member in (self.instance, third):
            wait_until(lambda m=member: m.request(
                "/book/a", headers={"Authorization": "Token k2"})[0] == 200,
                "the new configuration is in force and confirmed")
        self.assertFalse(self.instance.state()["hub"]["this_instance"])

    def test_hub_retries_an_unavailable_store_more_often_than_members(self) -> None:
        """Guards against a fleet that sends its calls to a store which refuses all of
        them: with 142 instances they were half of a day's calls."""
        second = self.add_member("n2")
        self.store.refuse = True
        second.store_endpoint.calls.clear()
        wait_until(lambda: len(second.store_endpoint.calls) >= 2, "n2 tries the store itself")
        second.store_endpoint.calls.clear()
        self.instance.store_endpoint.calls.clear()
        wait_until(lambda: len(self.instance.store_endpoint.calls) >= 32, "the hub tries the store")
        self.assertLess(len(second.store_endpoint.calls), 14, second.store_endpoint.calls)

    def test_reload_with_bad_settings_keeps_the_old_ones(self) -> None:
        """Guards against a broken settings file that ends a serving instance."""
        good = self.instance.settings.read_text(encoding="utf-8")
        self.instance.settings.write_text("node_name=n1\n", encoding="utf-8")
        self.instance.process.send_signal(signal.SIGHUP)
        wait_until(lambda: self.instance.events(1165), "the settings are rejected")
        self.assertEqual(self.instance.request("/book/a")[0], 200)
        self.instance.settings.write_text(good, encoding="utf-8")
        wait_until(lambda: self.instance.events(1164),
                   "the changed file is read without a signal")

    def send_raw(self, text: str) -> bytes:
        """Sends bytes as they are and returns all that comes until the connection ends."""
        with socket.create_connection(("127.0.0.1", self.instance.front_port),
                                      HANG_LIMIT_S) as caller:
            caller.sendall(text.encode("latin-1"))
            caller.shutdown(socket.SHUT_WR)
            received = b""
            while piece := caller.recv(65536):
                received += piece
            return received

    def test_request_with_ambiguous_length_is_denied(self) -> None:
        """Guards against a request that is smuggled inside another one: what follows an
        unknown transfer coding was read as the next request."""
        inner = ("POST /book/inner HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: inner\r\n"
                 "Authorization: Token k1\r\nContent-Length: 0\r\n\r\n")
        for coding, status in (("xchunked", b"501"), ("chunked, gzip", b"501"),
                               ("chunked\r\nContent-Length: 1", b"400")):
            answer = self.send_raw("POST /book/a HTTP/1.1\r\nHost: h.example\r\n"
                                   "X-Request-Id: outer\r\nAuthorization: Token k1\r\n"
                                   f"Transfer-Encoding: {coding}\r\n\r\n{inner}")
            self.assertTrue(answer.startswith(b"HTTP/1.1 " + status), (coding, answer))
            self.assertEqual(answer.count(b"HTTP/1.1"), 1)
        self.assertEqual(self.executed_requests(), [])

    def test_request_without_exactly_one_id_is_denied(self) -> None:
        """Guards against answers that cannot be told from those of other requests."""
        for ids in ("", "X-Request-Id: a\r\nX-Request-Id: b\r\n"):
            answer = self.send_raw("POST /book/a HTTP/1.1\r\nHost: h.example\r\n" + ids +
                                   "Authorization: Token k1\r\nContent-Length: 0\r\n\r\n")
            self.assertTrue(answer.startswith(b"HTTP/1.1 400"), answer)
        self.assertEqual(self.executed_requests(), [])

    def test_deadline_out_of_range_is_clamped(self) -> None:
        """Guards against a deadline that overflows: the request ran and got 504."""
        for deadline, status in (("99999999999999999999", 200), ("1e300", 200), ("x", 200),
                                 ("-1", 503), ("0", 503)):
            answer = self.instance.request("/book/a", headers={"X-Deadline-Ms": deadline})
            self.assertEqual(answer[0], status, deadline)
        self.assertEqual(len(self.executed_requests()), 3)

    def test_log_and_metrics_explain_a_failed_request(self) -> None:
        """Guards against a failed request that nobody can explain afterwards."""
        for server in self.plain:
            server.mode = "reset"
        self.instance.request("/book/a", id="why")
        attempt = wait_until(lambda: [event for event in self.instance.events(1101)
                                      if event["request"] == "why"], "the attempt is logged")
        self.assertEqual(attempt[0]["end"], "unknown")
        self.assertTrue(attempt[0]["detail"])
        end = wait_until(lambda: [event for event in self.instance.events(1100)
                                  if event["request"] == "why"], "the end is logged")
        self.assertEqual(end[0]["outcome"], "backend_failed")
        self.assertIn('refused_total{reason="backend_failed"} 1',
                      self.instance.page("/metrics"))


if __name__ == "__main__":
    unittest.main()
