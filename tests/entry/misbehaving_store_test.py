"""Runs a real instance against a store with fault injection.

For each fault: the process keeps running, callers are served from the last known state, the bytes
read and the memory used are bounded, and the instance follows the store again once the fault ends.
"""

from __future__ import annotations

import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import (  # noqa: E402
    FREED_MEMORY_IS_HELD, Instance, configuration, wait_until)
from misbehaving_store import HUGE_VERSION, MisbehavingStore, FAULTS  # noqa: E402
from platform_fleet import BackendServer  # noqa: E402

# Limit for one answer, and what socket buffers accept beyond the bytes that are read.
ANSWER_LIMIT = 4 * 1024 * 1024
SOCKET_BUFFERS = 8 * 1024 * 1024
# Limit for one parsed document in memory.
DOCUMENT_LIMIT = 16 * 1024 * 1024
# Three readers (configuration, servers, lease) each hold an answer, whose string may have a
# capacity of twice its size, and a parsed document. In addition, each server and its records take
# 2.1 KB (docs/CAPACITY.md).
MOST_SERVERS = 16 * 1024
MEMORY_GROWTH = 3 * (2 * ANSWER_LIMIT + DOCUMENT_LIMIT) + MOST_SERVERS * 2100
# The part of it for a list of the most servers that the directory holds, in pages of 0.3 MB.
LIST_MEMORY_GROWTH = MOST_SERVERS * 2100 + 2 * ANSWER_LIMIT
LONG_FAULT_S = 3
# Calls that a fault answers before it ends, and the minimum and maximum time that it lasts.
CALLS_PER_FAULT = 3
FAULT_MIN_S = 0.7
FAULT_MAX_S = 1.2
# Faults that list servers which the store does not have.
FAULTS_WITH_INVENTED_SERVERS = {
    "pages_without_end", "pages_in_a_circle", "feed_pages_with_rows_without_end", "many_servers"}
# Number of the log event for a configuration that cannot be decoded.
CONFIGURATION_UNREADABLE_EVENT = 1111
# Numbers of the log events for bytes that are no answer, and for a store that does not answer.
CALL_ANSWER_MALFORMED_EVENT = 1105
STORE_LOST_EVENT = 1120
# Upper limit for the calls of an instance per second, with a wide margin: each of its three readers
# pauses or long-polls, and the longest list of servers takes 22 pages of the stand-in.
CALLS_PER_S = 100


class MisbehavingStoreTest(unittest.TestCase):
    """One store, one plain server and one instance, which is the hub."""

    def setUp(self) -> None:
        self.store = MisbehavingStore()
        self.version = 1
        self.store.put("op", "config", configuration(1, ["k1"]))
        self.server = BackendServer(self.store, "p0", "plain")
        self.instance = Instance(self.store, "n1")
        self.requests = 0
        self.instance.wait_until_serving(servers=1)
        wait_until(lambda: self.instance.state()["hub"]["this_instance"], "n1 is the hub")

    def tearDown(self) -> None:
        self.instance.close()
        for service in (self.server, self.store):
            service.close()

    def request_status(self) -> int:
        self.requests += 1
        return self.instance.request("/book/a", id=f"q{self.requests}")[0]

    def put_next_config(self) -> None:
        self.version += 1
        self.store.put("op", "config", configuration(self.version, ["k1"]))

    def knows_server(self, name: str) -> bool:
        return any(server["id"] == name
                   for server in self.instance.state().get("backend_servers", []))

    def config_version(self) -> int:
        return self.instance.state()["configuration"]["version"]

    def assert_recovers(self, invented_servers: bool = False) -> None:
        """Checks that the instance follows a new configuration and a new server."""
        self.store.set_fault("good")
        wait_until(self.store.is_healthy, "the last faulty answer is complete")
        self.put_next_config()
        name = f"new{self.version}"
        new = BackendServer(self.store, name, "plain")
        if invented_servers:
            # The invented servers are not in the store, and no change in the feed removes them.
            # Without its history the store makes the instance read the whole table.
            self.store.forget_history()
        try:
            wait_until(lambda: self.config_version() == self.version,
                       "the new configuration is in force", 15)
            wait_until(lambda: self.knows_server(name), "the new server is known", 15)
            wait_until(self.instance.ready, "the instance is ready", 15)
            self.assertEqual(self.request_status(), 200)
        finally:
            # The server keeps running until the test ends, because instances use it for a time
            # after its row is removed.
            self.store.remove("servers", name)
            self.addCleanup(new.close)

    def check_fault(self, fault: str) -> None:
        if self.instance.process.poll() is not None:
            self.instance.start()
            self.instance.wait_until_serving(servers=1)
        before = self.instance.memory_peak()
        started = time.monotonic()
        self.store.set_fault(fault)
        while (time.monotonic() < started + FAULT_MIN_S or
               self.store.faulty_answers < CALLS_PER_FAULT and
               time.monotonic() < started + FAULT_MAX_S):
            self.assertEqual(self.request_status(), 200)
            time.sleep(0.05)
        self.assertEqual(self.request_status(), 200)
        elapsed_s = time.monotonic() - started
        calls = self.store.faulty_answers
        self.assertIsNone(self.instance.process.poll(), "the process lives")
        self.assertLess(calls, CALLS_PER_FAULT + CALLS_PER_S * elapsed_s, "calls are paced")
        if "no_end" in fault:
            self.assertLess(self.store.sent, ANSWER_LIMIT + SOCKET_BUFFERS)
        self.assertEqual(self.store.unbounded_faults, [])
        if not FREED_MEMORY_IS_HELD:
            growth = self.instance.memory_peak() - before
            self.assertLess(growth, MEMORY_GROWTH, f"{growth / 2**20:.0f} MB")
        self.assert_recovers(fault in FAULTS_WITH_INVENTED_SERVERS)

    def test_each_way_ends_and_the_sound_store_is_followed(self) -> None:
        """Guards against an answer of the store that ends the process, exhausts its memory or
        stalls it."""
        for fault in FAULTS:
            with self.subTest(fault=fault):
                self.check_fault(fault)

    def assert_counts_as_lost(self, fault: str) -> None:
        """Checks that the store's answers count as none, and that the log says why."""
        self.store.set_fault(fault)
        wait_until(lambda: self.instance.events(STORE_LOST_EVENT), "the store counts as lost", 15)
        lines = wait_until(lambda: self.instance.events(CALL_ANSWER_MALFORMED_EVENT),
                           "the malformed answer is logged", 15)
        self.assertIn("malformed answer", lines[0]["detail"])
        self.assert_recovers()

    def test_answer_with_a_status_that_is_none_counts_as_lost(self) -> None:
        """Guards against a status that is believed though it is none."""
        self.assert_counts_as_lost("status_that_is_none")

    def test_answer_behind_a_status_that_is_none_counts_as_lost(self) -> None:
        """Guards against rows that are believed though they follow bytes that are no answer."""
        self.assert_counts_as_lost("answer_behind_status_that_is_none")

    def test_answer_with_a_blank_in_a_name_counts_as_lost(self) -> None:
        """Guards against rows that are believed though they stand in no answer."""
        self.assert_counts_as_lost("blank_in_name")

    def test_list_without_end_stops_at_the_room_for_servers(self) -> None:
        """Guards against reading and keeping an endless list of servers: the memory of an instance
        grew by 34 MB per second."""
        before = self.instance.memory_peak()
        self.store.set_fault("pages_without_end")
        time.sleep(LONG_FAULT_S)
        growth = self.instance.memory_peak() - before
        if not FREED_MEMORY_IS_HELD:
            self.assertLess(growth, LIST_MEMORY_GROWTH, f"{growth / 2**20:.0f} MB")
        self.assert_recovers(invented_servers=True)

    def test_lease_version_that_goes_back_does_not_end_orders(self) -> None:
        """Guards against a hub that can never renew its lease again, and so sends no orders,
        because it expects a version of the lease row that the store does not reach."""
        self.store.set_fault("versions_far_ahead")
        time.sleep(LONG_FAULT_S)
        self.store.set_fault("good")
        # Wait until the lease, which lasts 2.4 s, would have expired.
        time.sleep(LONG_FAULT_S)
        wait_until(lambda: self.instance.state()["hub"]["lease_remaining_ms"] > 0,
                   "the hub holds its lease", 15)
        self.assert_recovers()

    def test_configuration_that_does_not_decode_is_not_in_force(self) -> None:
        """Guards against an invalid configuration that ends the process or replaces the one in
        force."""
        values = {
            "not JSON": b"{", "not an object": b"[]", "no version": b"{}",
            "version of another type": b'{"version":"9"}', "negative version": b'{"version":-9}',
            "route without fields": b'{"version":9,"routes":[{}]}',
            "deep": b'{"version":9,"routes":' + b"[" * 100_000 + b"]" * 100_000 + b"}",
            "not text": bytes(range(256)), "long": b'{"version":9,"a":"' + b"x" * 2_900_000}
        for name, value in values.items():
            with self.subTest(value=name):
                logged = len(self.instance.events(CONFIGURATION_UNREADABLE_EVENT))
                self.store.write_bytes("op", "config", value)
                wait_until(lambda before=logged: len(
                    self.instance.events(CONFIGURATION_UNREADABLE_EVENT)) > before,
                    "it is logged")
                self.assertEqual(self.config_version(), self.version)
                self.assertEqual(self.request_status(), 200)
                self.assert_recovers()

    def test_older_configuration_is_not_in_force_and_not_passed_on(self) -> None:
        """Guards against an older configuration in a newer row, as after the store was restored
        to an earlier state: the hub kept the newer one in force but passed the older one on to an
        instance that started."""
        for _ in range(4):
            self.put_next_config()
        wait_until(lambda: self.config_version() == self.version, "the newest is in force")
        self.store.put("op", "config", configuration(2, ["k1"]))
        time.sleep(1.5)
        self.assertEqual(self.config_version(), self.version)
        second = Instance(self.store, "n2")
        try:
            wait_until(lambda: second.state().get("configuration", {}).get("version") ==
                       self.version, "the second instance has the newest", 15)
            time.sleep(1.0)
            self.assertEqual(second.state()["configuration"]["version"], self.version)
        finally:
            second.close()
        self.assert_recovers()

    def test_row_versions_that_go_back_do_not_hide_what_is_new(self) -> None:
        """Guards against an instance that waits for row versions that a store restored to an
        earlier state does not reach."""
        self.version += 1
        self.store.write_with_version("op", "config", configuration(self.version, ["k1"]),
                                      10**15)
        wait_until(lambda: self.config_version() == self.version, "it is in force")
        self.version += 1
        self.store.write_with_version("op", "config", configuration(self.version, ["k1"]), 5)
        wait_until(lambda: self.config_version() == self.version, "the next is in force", 15)
        self.assert_recovers()


if __name__ == "__main__":
    unittest.main()
