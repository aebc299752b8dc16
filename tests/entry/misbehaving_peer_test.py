"""Runs a real instance against other instances that send invalid messages.

For each message: the process keeps running, callers are served from the last known state, the
memory used is bounded, and the instance follows the store as before afterwards.
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
# Covers incoming messages, a decoded message including spare capacity of its lists, and the memory
# of connections. The default memory limit of an instance is 256 MB (node_settings).
MEMORY_GROWTH = 128 * MEGABYTE
# An instance closes a connection without a complete message after 6 periods. A period is 250 ms
# plus 3 ms for each instance, 16 at first. The rest of the limit allows for a busy machine.
SILENCE_LIMIT_S = 12
# Upper limit for the calls to the store per second, with a wide margin.
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
        """Opens a connection to the peer port of the instance."""
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
    """The instance is the hub, and the stand-in connects to it."""

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
        """Guards against bytes that end the process, exhaust its memory or keep a connection
        open."""
        sound = status()
        messages = {
            "zero length": frame(b""), "huge length": b"\xff\xff\xff\xff" + b"x" * 100_000,
            "length above the limit": (MESSAGE_LIMIT + 1).to_bytes(4, "little"),
            "incomplete length": b"\x10", "incomplete message": frame(sound)[:-3],
            "bytes after the message": frame(sound + b"x"),
            "message cut short": frame(sound[:-3]), "not an archive": frame(b"\xff" * 1000),
            "an update": frame(update(config_version=9, records=items(record("evil"), 1))),
            "a list longer than the message":
                frame(status(in_flight=number(2**40))),
            "HTTP": b"GET / HTTP/1.1\r\n\r\n"}
        for name, data in messages.items():
            with self.subTest(message=name):
                self.assert_closed(data)
        self.assertFalse(any(server["id"] == "evil"
                             for server in self.instance.state()["backend_servers"]))
        self.assert_follows_the_store()

    def test_byte_now_and_then_does_not_keep_a_connection(self) -> None:
        """Guards against a connection that is kept open by single bytes without a complete
        message."""
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
        """Guards against idle peer connections that use up memory or prevent callers from
        connecting."""
        peers = [self.connect() for _ in range(2000)]
        self.assert_alive()
        for peer in peers:
            self.assertTrue(peer.closed_within(SILENCE_LIMIT_S))
            peer.close()
        self.assert_follows_the_store()

    def test_lengths_without_their_bytes_take_no_memory(self) -> None:
        """Guards against allocating memory for bytes that never arrive."""
        peers = [self.connect() for _ in range(500)]
        for peer in peers:
            peer.send(MESSAGE_LIMIT.to_bytes(4, "little") + b"x")
        time.sleep(0.5)
        self.assert_alive()
        for peer in peers:
            peer.close()
        self.assert_follows_the_store()

    def test_many_unfinished_messages_take_bounded_memory(self) -> None:
        """Guards against many long messages that arrive together and are never completed."""
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
        """Guards against short items whose decoded size is many times their encoded size."""
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
        """Guards against answers that are queued without limit for a peer that does not read."""
        # No part of the directory matches the digest in the status, so each answer contains the
        # whole directory.
        every_part = items(number(1), 64)
        for i in range(200):
            self.store.put("servers", f"d{i}", {
                "service": "s" * 4000, "address": "127.0.0.1:9", "zone": "a", "slots": 1,
                "state": "draining", "seq": 1, "born": 1, "models": []})
        wait_until(lambda: len(self.instance.state()["backend_servers"]) == 201, "rows are read")
        self.memory_before = self.instance.memory_peak()
        peers = [self.connect() for _ in range(8)]
        for peer in peers:
            # Fewer messages than an instance queues for a peer (`max_queued`, 64).
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
        """Guards against counting the same status more than once."""
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
    """The lease names the stand-in as the hub, and the instance connects to it."""

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
        """Renews the lease for the stand-in until `renewing` is cleared."""
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
        """Lets the stand-in answer statuses with these bytes while it holds the lease, and checks
        the instance."""
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
        """Checks that the instance becomes the hub again once the lease is not renewed."""
        self.renewing = False
        self.fence += 1
        wait_until(lambda: self.instance.state()["hub"]["this_instance"],
                   "n1 is the hub again", 15)
        self.assert_follows_the_store()

    def test_bytes_that_are_no_update_change_nothing(self) -> None:
        """Guards against bytes of a hub that end, stall or exhaust the memory of an instance."""
        messages = {
            "nothing": b"", "zero length": frame(b""), "huge length": b"\xff" * 8,
            "length without bytes": MESSAGE_LIMIT.to_bytes(4, "little"),
            "a status": frame(status()), "HTTP": b"HTTP/1.1 200 OK\r\n\r\n",
            "torn": frame(update())[:-3], "not an archive": frame(b"\xff" * 100_000)}
        for name, data in messages.items():
            with self.subTest(message=name):
                self.answer_statuses_with(data, 0.6)
        self.assert_recovers()

    def test_update_with_millions_of_entries_takes_bounded_memory(self) -> None:
        """Guards against short items whose decoded size is many times their encoded size."""
        for name in UPDATE_LISTS:
            with self.subTest(list=name):
                item = UPDATE_ITEMS[name]
                count = (MESSAGE_LIMIT - 1000) // len(item)
                self.answer_statuses_with(frame(update(**{name: items(item, count)})), 0.6)
        self.assert_recovers()

    def test_configurations_that_are_none_change_nothing(self) -> None:
        """Guards against a packed configuration that is invalid or older, or unpacks to too many
        bytes."""
        messages = {
            "wrong length": pack(b"{}", 2**32 - 1),
            "large when unpacked": pack(b'{"version":9,"routes":[' + b"[]," * 2_600_000 + b"[]]}"),
            "not a configuration": pack(b"[" * 8_000_000),
            "not packed data": b"xxxxxxxxxxxxxxx"}
        for name, packed in messages.items():
            with self.subTest(message=name):
                self.answer_statuses_with(
                    frame(update(config_version=9, packed=packed, config_row=10**6)), 0.6)
        self.assert_recovers()

    def test_version_that_nobody_has_is_not_asked_for_without_pause(self) -> None:
        """Guards against an instance that reads the configuration in a loop without a pause,
        because the hub announced a version that the store does not have."""
        self.answer_statuses_with(frame(update(config_version=2**63)), 1.5)
        self.assert_recovers()

    def test_old_directory_revision_is_not_applied(self) -> None:
        """Guards against applying an update of another hub's directory or of an old revision."""
        self.answer_statuses_with(frame(update(hub=78, revision=1, records=items(record("evil"), 1),
                                               removed=items(b"\x02p0", 1))))
        self.assertEqual([server["id"] for server in self.instance.state()["backend_servers"]],
                         ["p0"])
        self.assert_recovers()


if __name__ == "__main__":
    unittest.main()
