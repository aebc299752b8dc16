"""Sends statuses to a real instance from a peer that changes its name with each status."""

from __future__ import annotations

import sys
import threading
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from misbehaving_peer import Peer, STATUS_ITEMS, frame, items, status  # noqa: E402
from misbehaving_peer_test import PeerFixture  # noqa: E402


class PeerNamesTest(PeerFixture):
    """The instance is the hub, and a stand-in for another instance connects to it."""

    def test_statuses_of_thousands_of_names_take_bounded_memory(self) -> None:
        """Guards against memory use that grows with each new instance name."""
        body = status(node="%08d", demand=items(STATUS_ITEMS["demand"], 1000))
        peer = Peer(self.instance.peer_port)
        reader = threading.Thread(target=peer.closed_within, args=(20,))
        reader.start()
        for i in range(4000):
            if not peer.send(frame(body.replace(b"\x04%08d", b"\x08" + b"%08d" % i))):
                break
        peer.close()
        reader.join()
        self.assert_alive()
        self.assert_follows_the_store()


if __name__ == "__main__":
    unittest.main()
