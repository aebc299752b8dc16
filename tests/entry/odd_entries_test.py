"""Runs two real instances against tables and documents with entries of another writer.

For each odd entry: the processes keep running, no task fails, both instances follow a new server and
a new configuration, none of the sound servers is lost, and the calls to the store are paced.
"""

from __future__ import annotations

import base64
import json
import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import Instance, configuration, wait_until  # noqa: E402
from paged_store import PAGE_ROWS, PagedStore  # noqa: E402
from platform_fleet import BackendServer  # noqa: E402

FOLLOW_LIMIT_S = 15
TASK_FAILED_EVENT = 1180
PEER_MESSAGE_UNREADABLE_EVENT = 1141
# Upper limit for the calls of an instance per second, with a wide margin.
CALLS_PER_S = 40
# Upper limit for the writes of an instance per second: a holder renews every 0.8 s.
WRITES_PER_S = 4
# Longer than the lease (2.4 s), the time after it and the delay before a claim.
CLAIM_LIMIT_S = 12

# Keys that another writer may choose. A page that ends with one of them continues from it.
ODD_KEYS = {
    "blanks": "a9 b  c ", "ampersand": "a9&table=op&from=z", "percent": "a9%41%zz%",
    "plus and fragment": "a9+b#c?d", "line end": "a9\r\nX-A: b\r\n\r\nGET / HTTP/1.1\r\n",
    "controls": "a9\x00\x01\x7f", "slashes": "a9/../..//b", "quotes": "a9\"\\'<>{}",
    "other scripts": "a9\u00e9\u4e2d\U0001f600", "half a character": "a9\ud83d",
    "200 bytes": "a9" + "& %\r\n/" * 33}


class OddEntriesTest(unittest.TestCase):
    """One store, one plain server, one runner and two instances, of which one is the hub."""

    def setUp(self) -> None:
        self.store = PagedStore()
        self.version = 1
        self.requests = 0
        self.store.put("op", "config", configuration(1, ["k1"]))
        self.server = BackendServer(self.store, "p0", "plain")
        self.runner = BackendServer(self.store, "r0", "llm", models=[])
        self.instances = [Instance(self.store, name) for name in ("n1", "n2")]
        self.started_at = time.monotonic()
        for instance in self.instances:
            instance.wait_until_serving(servers=2)
        self.wait_for_hub()

    def tearDown(self) -> None:
        for instance in self.instances:
            instance.close()
        for service in (self.server, self.runner, self.store):
            service.close()

    def hubs(self) -> list[Instance]:
        """Returns the instances that hold the lease with time left."""
        found = []
        for instance in self.instances:
            hub = instance.state().get("hub", {})
            if hub.get("this_instance") and hub["lease_remaining_ms"] > 0:
                found.append(instance)
        return found

    def wait_for_hub(self) -> None:
        wait_until(lambda: len(self.hubs()) == 1, "one instance is the hub", CLAIM_LIMIT_S)

    def assert_unharmed(self) -> None:
        for instance in self.instances:
            self.assertIsNone(instance.process.poll(), f"{instance.name} lives")
            self.assertEqual(instance.events(TASK_FAILED_EVENT), [])
            calls = len(instance.store_endpoint.calls)
            elapsed_s = time.monotonic() - self.started_at
            self.assertLess(calls, CALLS_PER_S * (elapsed_s + 1), f"{instance.name} is paced")

    def knows(self, instance: Instance, server: str) -> bool:
        return server in [known["id"] for known in instance.state().get("backend_servers", [])]

    def assert_follows(self) -> None:
        """Checks that both instances follow, serve, and still know the servers they had."""
        self.version += 1
        self.store.put("op", "config", configuration(self.version, ["k1"]))
        name = f"s{self.version}"
        new = BackendServer(self.store, name, "plain")
        for instance in self.instances:
            wait_until(lambda at=instance: self.knows(at, name),
                       f"{instance.name} knows a new server", FOLLOW_LIMIT_S)
            wait_until(lambda at=instance: at.state().get("configuration", {}).get("version") ==
                       self.version, f"{instance.name} has the new configuration", FOLLOW_LIMIT_S)
            wait_until(instance.ready, f"{instance.name} is ready", FOLLOW_LIMIT_S)
        self.store.remove("servers", name)
        for instance in self.instances:
            wait_until(lambda at=instance: not self.knows(at, name),
                       f"{instance.name} knows that it left", FOLLOW_LIMIT_S)
            for kept in ("p0", "r0"):
                self.assertTrue(self.knows(instance, kept), f"{instance.name} knows {kept}")
            self.requests += 1
            self.assertEqual(instance.request("/book/a", id=f"q{self.requests}")[0], 200)
        new.close()
        self.assert_unharmed()

    def assert_start_among_them(self) -> None:
        """Checks that an instance that starts now follows and serves."""
        late = Instance(self.store, f"late{self.version}")
        try:
            for kept in ("p0", "r0"):
                wait_until(lambda known=kept: self.knows(late, known),
                           f"a new instance knows {kept}", FOLLOW_LIMIT_S)
            wait_until(late.ready, "a new instance is ready", FOLLOW_LIMIT_S)
            self.requests += 1
            self.assertEqual(late.request("/book/a", id=f"q{self.requests}")[0], 200)
            self.assertEqual(late.events(TASK_FAILED_EVENT), [])
        finally:
            late.close()

    def assert_orders_are_sent(self) -> None:
        """Checks that the hub loads a model, with a fence that no order undercuts."""
        self.requests += 1
        status = self.instances[0].request("/draft/a", id=f"q{self.requests}",
                                           headers={"X-Model": "m1"})[0]
        self.assertEqual(status, 200)
        fences = [order["fencing_token"] for order in self.runner.orders]
        self.assertTrue(fences)
        self.assertEqual(fences, sorted(fences))


class ServerListTest(OddEntriesTest):
    """Entries in the list of servers."""

    def fill_first_page(self, last_key: str) -> list[str]:
        """Adds rows so that the first page of servers ends with this key. Returns their keys."""
        keys = [f"a{i:04}" for i in range(PAGE_ROWS - 1)]
        keys = [key for key in keys if key < "a9"]
        for key in keys:
            self.store.put_bytes("servers", key, b"{}")
        self.store.put_bytes("servers", last_key, b"{}")
        return [*keys, last_key]

    def test_page_that_ends_with_an_odd_key_is_continued(self) -> None:
        """Guards against a key that changes the call for the next page: the list was never
        complete, or the servers after it were taken for gone."""
        for name, key in ODD_KEYS.items():
            with self.subTest(key=name):
                keys = self.fill_first_page(key)
                try:
                    self.store.forget_history()
                    self.assert_follows()
                    time.sleep(0.6)
                    self.assert_follows()
                    self.assert_start_among_them()
                finally:
                    self.store.delete("servers", keys)

    def test_page_that_leads_nowhere_removes_no_server(self) -> None:
        """Guards against taking a list that ended early for a complete one: the servers after it
        were removed."""
        self.fill_first_page("a9")
        self.store.repeats_first_page = True
        self.store.forget_history()
        time.sleep(4)
        self.assert_follows()

    def test_entries_of_another_part_are_ignored(self) -> None:
        """Guards against taking a row of another part, which the feed of changes contains, for the
        row with the same key: a server was removed, and another configuration put in force."""
        server = {"service": "plain", "address": "127.0.0.1:9", "zone": "a", "slots": 4,
                  "state": "ready", "seq": 1, "born": 1, "models": []}
        self.store.put_bytes("servers", "p0", json.dumps(server).encode(), "x")
        self.store.put_bytes("servers", "p9", json.dumps(server).encode(), "x")
        self.store.put_bytes("op", "config", json.dumps(configuration(99, ["other"])).encode(), "x")
        self.store.put_bytes("carawayturn", "hub", json.dumps(
            {"address": "127.0.0.1:9", "name": "x", "incarnation": 1, "fence": 9}).encode(), "x")
        self.store.remove_from_part("servers", "p0", "x")
        self.store.remove_from_part("op", "config", "x")
        time.sleep(4)
        self.assertFalse(self.knows(self.instances[0], "p9"))
        self.wait_for_hub()
        self.assert_follows()

    def test_rows_whose_fields_have_other_types(self) -> None:
        """Guards against rows with fields of another type that stop a reader or name a server."""
        value = self.store.rows[("servers", "p0")]["value"]
        odd: list = [None, 7, -1, 1.5, 1e300, 10**400, True, [], {}]
        rows = [{"table": "servers", "part": "", "key": "zz", "row_version": 1, "value": "",
                 field: other}
                for other in odd for field in ("key", "row_version", "value", "tombstone", "table")]
        rows += [{"key": other, "row_version": 1, "value": value} for other in odd]
        self.store.unchecked_rows = {"servers": rows, "op": rows, "carawayturn": rows}
        self.store.forget_history()
        self.assert_follows()
        self.store.put_bytes("servers", "a", b"")
        self.assert_follows()
        self.assert_start_among_them()
        for instance in self.instances:
            self.assertFalse(self.knows(instance, ""))

    def test_changes_that_are_too_long_for_one_answer(self) -> None:
        """Guards against asking again and again for changes that do not fit into one answer."""
        with self.store.lock:
            for i in range(100):
                self.store.put_bytes("servers", f"long{i}", b"[" * 60_000)
        self.assert_follows()
        self.assert_start_among_them()

    def test_id_that_adds_lines_to_a_head_names_no_server(self) -> None:
        """Guards against a key that becomes a header line of a request to the server."""
        value = json.dumps(self.store.get("servers", "p0")).encode()
        for key in ("p1\r\nX-Injected: 1", "p1 ", "", "p1\x00", "p1\u00e9"):
            self.store.put_bytes("servers", key, value)
        time.sleep(1.5)
        for instance in self.instances:
            known = [server["id"] for server in instance.state()["backend_servers"]]
            self.assertEqual(sorted(known), ["p0", "r0"])
        self.assert_follows()

    def test_fields_of_another_type_name_no_server(self) -> None:
        """Guards against requests to a server that an entry of another writer names."""
        sound = self.store.get("servers", "p0")
        for i, fields in enumerate(({"born": "x"}, {"born": 1.5}, {"born": 2**63}, {"models": 7},
                                    {"slots": "4"}, {"address": "127.0.0.1:65536"})):
            self.store.put("servers", f"p{i + 1}", {**sound, **fields})
        time.sleep(1.5)
        for instance in self.instances:
            known = [server["id"] for server in instance.state()["backend_servers"]]
            self.assertEqual(sorted(known), ["p0", "r0"])
        self.assert_follows()

    def test_odd_contents_pass_through_the_hub(self) -> None:
        """Guards against contents of a sound row that a member of the hub cannot read."""
        sound = {"service": "other", "address": "127.0.0.1:9", "zone": "a", "slots": 4,
                 "state": "ready", "seq": 1, "born": 1, "models": []}
        contents: list[dict] = [
            {"born": 2**63 - 1}, {"born": -2**63}, {"slots": 1e300}, {"seq": 10**400},
            {"service": "s" * 60_000}, {"zone": "\x00\r\n\u2028" * 1000}, {"service": "llm",
             "models": [{"name": "m\x00/@", "version": -1, "adapters": ["", "/", "@"]}]},
            {"models": [{"name": "a"}] * 2500}, {"models": [{"name": "", "adapters": [""] * 9000}]},
            {"resident": {"in_memory": ["x"] * 9000, "on_disk": [7, None, "y"]}}]
        for i, fields in enumerate(contents):
            self.store.put_bytes("servers", f"t{i}", json.dumps({**sound, **fields}).encode())
        for instance in self.instances:
            for i in range(len(contents)):
                wait_until(lambda at=instance, name=f"t{i}": self.knows(at, name),
                           f"{instance.name} knows t{i}", FOLLOW_LIMIT_S)
            self.assertEqual(instance.events(PEER_MESSAGE_UNREADABLE_EVENT), [])
        self.assert_follows()
        self.assert_start_among_them()
        self.assert_orders_are_sent()

    def test_odd_keys_all_together(self) -> None:
        """Guards against entries that are harmless alone only."""
        for key in ODD_KEYS.values():
            self.store.put_bytes("servers", key, b"{}")
        for i in range(3 * PAGE_ROWS):
            self.store.put_bytes("servers", f"a{i:04}" + "& %\r\n\ud83d", b'{"a":' * 20)
        self.assert_follows()
        self.store.forget_history()
        self.assert_follows()
        self.assert_start_among_them()


def lease_value(**fields: object) -> bytes:
    """Encodes a lease row; `fields` replace or add fields."""
    return json.dumps({"address": "127.0.0.1:9", "name": "x", "incarnation": 1, "fence": 50,
                       **fields}).encode()


ODD_LEASES = {
    "no JSON": b"{", "no object": b"[]", "empty": b"", "not text": bytes(range(256)),
    "deep": b'{"a":' * 10_000, "fence of 2^62": lease_value(fence=2**62),
    "fence of 2^63 - 1": lease_value(fence=2**63 - 1), "fence of 2^63": lease_value(fence=2**63),
    "fence of 2^64 - 1": lease_value(fence=2**64 - 1), "fence of 400 digits":
    lease_value(fence=10**399), "negative fence": lease_value(fence=-1), "fractional fence":
    lease_value(fence=1.5), "fence as text": lease_value(fence="7"),
    "negative incarnation": lease_value(incarnation=-1), "incarnation of 2^64 - 1":
    lease_value(incarnation=2**64 - 1), "incarnation of 2^64": lease_value(incarnation=2**64),
    "port out of range": lease_value(address="127.0.0.1:99999"), "address of 200 odd bytes":
    lease_value(address="& %\r\n\u0000:" * 25), "address as number": lease_value(address=7),
    "no holder": lease_value(address="")}


class UnfinishedListStore(PagedStore):
    """Answers the first page of servers, and no later one."""

    def _get(self, query: dict, body: bytes) -> tuple[int, dict]:
        if query["table"] != "servers":
            return super()._get(query, body)
        if query.get("from"):
            return 500, {}
        return super()._get({**query, "limit": "2"}, body)


class UnfinishedListTest(unittest.TestCase):
    """A list of servers that cannot be read to its end."""

    def test_hub_serves_with_the_servers_of_the_pages_that_it_read(self) -> None:
        """Guards against a hub that waits for the end of the list before it uses any server."""
        store = UnfinishedListStore()
        self.addCleanup(store.close)
        store.put("op", "config", configuration(1, ["k1"]))
        for number in range(3):
            self.addCleanup(BackendServer(store, f"p{number}", "plain").close)
        for number in range(3):
            instance = Instance(store, f"n{number}")
            self.addCleanup(instance.close)
            wait_until(lambda: instance.request("/status/a")[0] == 200,
                       f"{instance.name} serves", FOLLOW_LIMIT_S)


class OddReporter(BackendServer):
    """A runner that answers reports and orders with the same odd document."""

    def __init__(self, *arguments, **options) -> None:
        self.document = b""
        self.odd_answers = 0
        super().__init__(*arguments, **options)

    def handle(self, call, body: bytes) -> None:
        if call.path in ("/report", "/order"):
            self.odd_answers += 1
            call.answer(200 if call.path == "/report" else 202, self.document)
        else:
            super().handle(call, body)


def report(**fields: object) -> bytes:
    return json.dumps({"models": [], "busy": False, "seq": 0, "born": 1, **fields}).encode()


ODD_REPORTS = {
    "no JSON": b"{", "deep": b'{"a":' * 100_000, "not text": bytes(range(256)),
    "long": b"[" * 5_000_000, "numbers of 400 digits": report(seq=10**400, born=10**400),
    "negative": report(seq=-2**63, born=-2**63), "greatest": report(seq=2**63 - 1, born=2**63 - 1),
    "other types": report(seq="0", busy=1, models={}, born=[]),
    "many models": report(models=[{"name": "a", "version": -1, "adapters": [""] * 9}] * 50_000),
    "odd names": report(models=[{"name": "m1/@\x00\r\n", "adapters": ["/", "@"]}],
                        pending=["", "/", "@", "m1/@@"], resident={"in_memory": [""]})}


class RunnerReportTest(OddEntriesTest):
    """Odd reports of one runner and odd answers to its orders."""

    def test_odd_report_leaves_the_other_runner_its_orders(self) -> None:
        """Guards against a report that ends the hub or stops the orders to all runners."""
        odd = OddReporter(self.store, "a0", "llm", models=[])
        self.addCleanup(odd.close)
        for name, document in ODD_REPORTS.items():
            with self.subTest(report=name):
                odd.document, odd.odd_answers = document, 0
                # A new start time makes the hub ask for a report.
                odd.restart()
                wait_until(lambda: odd.odd_answers, "the hub asks the runner", FOLLOW_LIMIT_S)
                time.sleep(0.5)
                self.assert_follows()
        self.assert_orders_are_sent()
        self.assert_start_among_them()


class OtherKeysTest(OddEntriesTest):
    """Many other keys in the tables of which carawayturn reads one row."""

    def test_row_after_the_first_page_is_found(self) -> None:
        """Guards against a configuration that is not found among other keys: an instance that
        started never became ready, and one that read the table again confirmed the old one."""
        for i in range(PAGE_ROWS + 100):
            for table in ("op", "carawayturn"):
                self.store.put_bytes(table, f"a{i:04}", b"{")
                self.store.put_bytes(table, f"z{i:04} & %\r\n\ud83d", b"{")
        self.assert_start_among_them()
        self.store.forget_history()
        self.assert_follows()
        self.wait_for_hub()


class LeaseRowTest(OddEntriesTest):
    """Entries in place of the lease row."""

    def writes(self) -> int:
        return sum(instance.store_endpoint.calls.count("/rows-tx") for instance in self.instances)

    def lease_history(self) -> list[str]:
        """Returns the last rows of the lease, for the message of a failure."""
        rows = [row for row in self.store.history if row["table"] == "carawayturn"]
        return [f"{row['row_version']} {base64.b64decode(row.get('value', ''))[:200]!r}"
                for row in rows[-6:]]

    def fence(self) -> int:
        return self.store.get("carawayturn", "hub")["fence"]

    def test_odd_lease_row_is_claimed_with_a_higher_fence(self) -> None:
        """Guards against a lease row that nobody can claim: without a hub no orders were sent, and
        each instance wrote to the store again and again."""
        for name, value in ODD_LEASES.items():
            with self.subTest(lease=name):
                before, writes, started = self.fence(), self.writes(), time.monotonic()
                self.store.put_bytes("carawayturn", "hub", value)
                odd = self.store.rows[("carawayturn", "hub")]
                wait_until(lambda row=odd: self.store.rows[("carawayturn", "hub")] != row,
                           "the lease is claimed", CLAIM_LIMIT_S)
                self.wait_for_hub()
                self.assertGreater(self.fence(), before, self.lease_history())
                self.assertLess(self.fence(), 2**62)
                elapsed_s = time.monotonic() - started
                self.assertLess(self.writes() - writes,
                                len(self.instances) * WRITES_PER_S * (elapsed_s + 1))
        self.assert_orders_are_sent()
        self.assert_follows()

    def test_start_with_an_odd_lease_row(self) -> None:
        """Guards against a fleet that starts with a row that nobody can claim."""
        for instance in self.instances:
            instance.stop()
        self.store.put_bytes("carawayturn", "hub", b"\xff" * 200)
        for instance in self.instances:
            instance.start()
        self.wait_for_hub()
        self.assert_orders_are_sent()
        self.assert_follows()


if __name__ == "__main__":
    unittest.main()
