"""Runs a real instance before other instances that send wrong messages.

For each way: the process lives, callers are served with what is known, the memory that it holds
is bounded, and it works with the store as before once the way has ended.
"""

from __future__ import annotations

import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import (  # noqa: E402
    FREED_MEMORY_IS_HELD, Instance, configuration, wait_until)
from misbehaving_peer import (  # noqa: E402
    MESSAGE_LIMIT, MisbehavingHub, Peer, STATUS_ITEMS, STATUS_LISTS,
    UPDATE_ITEMS, UPDATE_LISTS, frame, items, number, pack, record, status, update)
from platform_fleet import BackendServer, Store  # noqa: E402

MEGABYTE = 1024 * 1024
# Messages that arrive, a message as decoded, with room for lists that grow, and what is kept for
# connections: an instance's default limit is 256 MB (node_settings).
MEMORY_GROWTH = 128 * MEGABYTE
# An instance closes a connection that has sent no whole message after 6 periods of 250 ms and 3 ms
# for each instance, 16 at first; the rest is for a busy machine.
SILENCE_LIMIT_S = 12
# Calls to the store in a second, by a wide margin.
CALLS_PER_S = 40


class PeerFixture(unittest.TestCase):
    """One store, one plain server and one instance, which is the hub."""

    def setUp(self) -> None:
        self.store = Store()
        self.version = 1
        self.store.put("op", "config", configuration(1, ["k1"]))
        self.server = BackendServer(self.store, "p0", "plain")
        self.instance = Instance(self.store, "n1")
        self.requests = 0
        self.instance.wait_until_serving(servers=1)
        wait_until(lambda: self.instance.state()["hub"]["this_instance"], "n1 is the hub")
        self.memory_before = self.instance.memory_peak()

    def tearDown(self) -> None:
        self.instance.close()
        for service in (self.server, self.store):
            service.close()

    def connect(self) -> Peer:
        """A connection to the instance's port for other instances."""
        peer = Peer(self.instance.peer_port)
        self.addCleanup(peer.close)
        return peer

    def assert_serves(self) -> None:
        self.requests += 1
        self.assertEqual(self.instance.request("/book/a", id=f"q{self.requests}")[0], 200)

    def assert_alive(self) -> None:
        self.assertIsNone(self.instance.process.poll(), "the process lives")
        self.assert_serves()
        if not FREED_MEMORY_IS_HELD:
            growth = self.instance.memory_peak() - self.memory_before
            self.assertLess(growth, MEMORY_GROWTH, f"{growth / MEGABYTE:.0f} MB")

    def assert_follows_the_store(self) -> None:
        self.version += 1
        self.store.put("op", "config", configuration(self.version, ["k1"]))
        wait_until(lambda: self.instance.state()["configuration"]["version"] == self.version,
                   "the new configuration is in force", 15)
        wait_until(self.instance.ready, "the instance is ready", 15)
        self.assert_serves()


class MessagesToTheHubTest(PeerFixture):
    """The instance is the hub; the stand-in connects to it."""

    def assert_closed(self, *sent: bytes) -> None:
        peer = Peer(self.instance.peer_port)
        try:
            for data in sent:
                if not peer.send(data):
                    break
            self.assertTrue(peer.closed_within(SILENCE_LIMIT_S))
        finally:
            peer.close()
        self.assert_alive()

    def test_bytes_that_are_no_status_end_the_connection(self) -> None:
        """Guards against bytes that end or fill the process, or keep a connection."""
        sound = status()
        messages = {
            "zero length": frame(b""), "huge length": b"\xff\xff\xff\xff" + b"x" * 100_000,
            "length above the limit": (MESSAGE_LIMIT + 1).to_bytes(4, "little"),
            "torn length": b"\x10", "torn message": frame(sound)[:-3],
            "bytes after the message": frame(sound + b"x"),
            "message cut short": frame(sound[:-3]), "no archive": frame(b"\xff" * 1000),
            "an update": frame(update(config_version=9, records=items(record("evil"), 1))),
            "a list that goes beyond the message":
                frame(status(in_flight=number(2**40))),
            "HTTP": b"GET / HTTP/1.1\r\n\r\n"}
        for name, data in messages.items():
            with self.subTest(message=name):
                self.assert_closed(data)
        self.assertFalse(any(server["id"] == "evil"
                             for server in self.instance.state()["backend_servers"]))
        self.assert_follows_the_store()

    def test_byte_now_and_then_does_not_keep_a_connection(self) -> None:
        """Guards against a connection that lives because something comes now and then."""
        peer = self.connect()
        end = time.monotonic() + SILENCE_LIMIT_S
        data = frame(status()) * 10
        sent = 0
        while peer.send(data[sent : sent + 1]) and time.monotonic() < end:
            sent += 1
            time.sleep(0.1)
        peer.close()
        self.assertLess(sent, len(frame(status())))
        self.assert_alive()

    def test_connections_that_say_nothing_do_not_stop_callers(self) -> None:
        """Guards against connections without a message that take memory or a caller's place."""
        peers = [self.connect() for _ in range(2000)]
        self.assert_alive()
        for peer in peers:
            self.assertTrue(peer.closed_within(SILENCE_LIMIT_S))
            peer.close()
        self.assert_follows_the_store()

    def test_lengths_without_their_bytes_take_no_memory(self) -> None:
        """Guards against memory that is sent for bytes that never come."""
        peers = [self.connect() for _ in range(500)]
        for peer in peers:
            peer.send(MESSAGE_LIMIT.to_bytes(4, "little") + b"x")
        time.sleep(0.5)
        self.assert_alive()
        for peer in peers:
            peer.close()
        self.assert_follows_the_store()

    def test_many_unfinished_messages_take_bounded_memory(self) -> None:
        """Guards against many long messages that arrive at once and do not end."""
        peers = [self.connect() for _ in range(80)]
        data = MESSAGE_LIMIT.to_bytes(4, "little") + b"x" * (MESSAGE_LIMIT - MEGABYTE)
        senders = [threading.Thread(target=peer.send, args=(data,)) for peer in peers]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        self.assert_alive()
        for peer in peers:
            peer.close()
        self.assert_follows_the_store()

    def test_status_with_millions_of_entries_takes_bounded_memory(self) -> None:
        """Guards against short items that take many times their bytes in memory."""
        for name in STATUS_LISTS:
            with self.subTest(list=name):
                item = STATUS_ITEMS[name]
                count = (MESSAGE_LIMIT - 1000) // len(item)
                peer = self.connect()
                peer.send(frame(status(node=f"x{name}", **{name: items(item, count)})))
                peer.closed_within(0.3)
                peer.close()
                self.assert_alive()
        self.assert_follows_the_store()

    def test_peer_that_reads_nothing_is_cut_off(self) -> None:
        """Guards against answers that pile up for a peer that does not take them."""
        # Each answer brings the whole directory, since no part is as the peer tells.
        every_part = items(number(1), 64)
        for i in range(200):
            self.store.put("servers", f"d{i}", {
                "service": "s" * 4000, "address": "127.0.0.1:9", "zone": "a", "slots": 1,
                "state": "draining", "seq": 1, "born": 1, "models": []})
        wait_until(lambda: len(self.instance.state()["backend_servers"]) == 201, "rows are read")
        self.memory_before = self.instance.memory_peak()
        peers = [self.connect() for _ in range(8)]
        for peer in peers:
            # Fewer messages than the most that wait for a peer.
            for i in range(60):
                if not peer.send(frame(status(node="x", sent_at_us=i + 1, digest=every_part))):
                    break
        time.sleep(3)
        self.assert_alive()
        for peer in peers:
            self.assertTrue(peer.closed_within(SILENCE_LIMIT_S))
            peer.close()
        self.assert_follows_the_store()

    def test_replayed_status_changes_nothing(self) -> None:
        """Guards against a message that counts again when it comes again."""
        peer = self.connect()
        data = frame(status(node="x1", sent_at_us=5, in_flight=items(
            b"\x02p0" + number(0) + number(1), 1)))
        for _ in range(50):
            self.assertTrue(peer.send(data))
            peer.stream.settimeout(5)
            peer.stream.recv(65536)

        def others() -> int:
            return self.instance.state()["backend_servers"][0]["other_requests"]

        wait_until(lambda: others() == 1, "the status counts")
        time.sleep(0.5)
        self.assertLessEqual(others(), 1)
        peer.close()
        self.assert_follows_the_store()


class MessagesOfTheHubTest(PeerFixture):
    """The lease names the stand-in; the instance connects to it."""

    def setUp(self) -> None:
        super().setUp()
        self.hub = MisbehavingHub()
        self.renewing = False
        self.fence = 1000

    def tearDown(self) -> None:
        self.renewing = False
        self.hub.close()
        super().tearDown()

    def hold_lease(self) -> None:
        """Renews the lease for the stand-in until the way ends."""
        self.renewing = True

        def renew() -> None:
            while self.renewing:
                self.store.put("carawayturn", "hub", {
                    "address": self.hub.address, "name": "evil", "incarnation": 77,
                    "fence": self.fence})
                time.sleep(0.3)

        threading.Thread(target=renew, daemon=True).start()
        wait_until(lambda: not self.instance.state()["hub"]["this_instance"],
                   "n1 is no longer the hub", 15)

    def answer_statuses_with(self, answer: bytes, seconds: float = 1.5) -> None:
        """Answers so for a time, while the lease names the stand-in."""
        self.hub.set_answer(answer)
        if not self.renewing:
            self.hold_lease()
        wait_until(lambda: self.hub.connections, "n1 asks the stand-in", 15)
        self.instance.store_endpoint.calls.clear()
        started = time.monotonic()
        while time.monotonic() < started + seconds:
            self.assert_serves()
            time.sleep(0.05)
        elapsed_s = time.monotonic() - started
        self.assertLess(len(self.instance.store_endpoint.calls), CALLS_PER_S * (elapsed_s + 1),
                        "calls are paced")
        self.assert_alive()

    def assert_recovers(self) -> None:
        """Nobody renews the lease; the instance becomes the hub again."""
        self.renewing = False
        self.fence += 1
        wait_until(lambda: self.instance.state()["hub"]["this_instance"],
                   "n1 is the hub again", 15)
        self.assert_follows_the_store()

    def test_bytes_that_are_no_update_change_nothing(self) -> None:
        """Guards against a hub whose bytes end, fill or stall the instances."""
        messages = {
            "nothing": b"", "zero length": frame(b""), "huge length": b"\xff" * 8,
            "length without bytes": MESSAGE_LIMIT.to_bytes(4, "little"),
            "a status": frame(status()), "HTTP": b"HTTP/1.1 200 OK\r\n\r\n",
            "torn": frame(update())[:-3], "no archive": frame(b"\xff" * 100_000)}
        for name, data in messages.items():
            with self.subTest(message=name):
                self.answer_statuses_with(data, 0.6)
        self.assert_recovers()

    def test_update_with_millions_of_entries_takes_bounded_memory(self) -> None:
        """Guards against short items that take many times their bytes in memory."""
        for name in UPDATE_LISTS:
            with self.subTest(list=name):
                item = UPDATE_ITEMS[name]
                count = (MESSAGE_LIMIT - 1000) // len(item)
                self.answer_statuses_with(frame(update(**{name: items(item, count)})), 0.6)
        self.assert_recovers()

    def test_configurations_that_are_none_change_nothing(self) -> None:
        """Guards against a packed configuration that unpacks to much, or to an older one."""
        messages = {
            "a length that lies": pack(b"{}", 2**32 - 1),
            "much in little": pack(b'{"version":9,"routes":[' + b"[]," * 2_600_000 + b"[]]}"),
            "no configuration": pack(b"[" * 8_000_000),
            "no packed text": b"xxxxxxxxxxxxxxx"}
        for name, packed in messages.items():
            with self.subTest(message=name):
                self.answer_statuses_with(
                    frame(update(config_version=9, packed=packed, config_row=10**6)), 0.6)
        self.assert_recovers()

    def test_version_that_nobody_has_is_not_asked_for_without_pause(self) -> None:
        """Guards against an instance that reads the configuration in a loop, because it heard
        of a version that the store does not have."""
        self.answer_statuses_with(frame(update(config_version=2**63)), 1.5)
        self.assert_recovers()

    def test_old_directory_revision_is_not_applied(self) -> None:
        """Guards against an update of another hub's directory, or one of the past."""
        self.answer_statuses_with(frame(update(hub=78, revision=1, records=items(record("evil"), 1),
                               removed=items(b"\x02p0", 1))))
        self.assertEqual([server["id"] for server in self.instance.state()["backend_servers"]],
                         ["p0"])
        self.assert_recovers()


if __name__ == "__main__":
    unittest.main()
