"""A fixture for a store that comes back from a copy which is some seconds old."""

from __future__ import annotations

import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import Instance, configuration, wait_until  # noqa: E402
from platform_fleet import BackendServer  # noqa: E402
from restorable_store import Copy, RestorableStore  # noqa: E402

# `bounds.revoke_ms` of the instances: a key that was taken away is not accepted later than this.
REVOKE_S = 5.0
AWAY_S = 0.6
# Rows that are written after the copy was taken, and after the store's return where its counter
# passes the old version.
LOST_WRITES = 30
# Longer than an open call for changes, whose answer tells the version.
KNOWN_AFTER_S = 1.2
MODELS = tuple(f"m{number}" for number in range(1, 7))
CALL_PAUSE_S = 0.05
INSTANCES = ("n1", "n2", "n3")


class RestoreCase(unittest.TestCase):
    """Three instances, of which the first is the hub, two plain servers and three runners."""

    names_era = True

    def setUp(self) -> None:
        self.store = RestorableStore()
        self.store.names_era = self.names_era
        self.addCleanup(self.store.close)
        self.store.put("op", "config", configuration(1, ["k1"], MODELS))
        self.plain = [self.add_server(f"p{number}", "plain", None) for number in range(2)]
        self.runners = [self.add_server(f"r{number}", "llm", ["m1"]) for number in range(3)]
        self.instances: dict[str, Instance] = {}
        self.stopped = threading.Event()
        self.addCleanup(self.stopped.set)
        for name in INSTANCES:
            self.start(name)
            if name == "n1":
                wait_until(lambda: self.lease().get("name") == "n1", "n1 is the hub")

    def add_server(self, name: str, service: str, models: list[str] | None) -> BackendServer:
        server = BackendServer(self.store, name, service, models)
        self.addCleanup(server.close)
        return server

    def start(self, name: str, serving: bool = True) -> Instance:
        instance = Instance(self.store, name)
        self.addCleanup(instance.close)
        self.instances[name] = instance
        if serving:
            instance.wait_until_serving(servers=5)
        return instance

    def lease(self) -> dict:
        return self.store.get("carawayturn", "hub") or {}

    def write_others(self) -> None:
        """Writes rows of another writer, which raise the store's version."""
        for number in range(LOST_WRITES):
            self.store.put("other", f"x{number}", {})

    def lose_writes(self) -> None:
        """Writes rows that the copy lacks, and waits until the hub knows their version."""
        self.write_others()
        time.sleep(KNOWN_AFTER_S)

    def drill(self, copy: Copy, away_s: float = AWAY_S, **options) -> None:
        self.store.leave()
        time.sleep(away_s)
        self.store.return_from(copy, **options)

    def status(self, name: str, key: str, request: str = "r1") -> int:
        return self.instances[name].request(
            "/status/a", id=request, headers={"Authorization": f"Token {key}"})[0]

    def assert_key_withdrawn(self, acked_at: float) -> None:
        """Every instance refuses k1 and accepts k2 as long as k1 may be accepted at most."""
        for name, instance in self.instances.items():
            left = acked_at + REVOKE_S - time.monotonic()
            wait_until(lambda: instance.state().get("config", {}).get("version") == 2
                       or self.status(name, "k1") == 401, f"{name} withdraws k1", max(left, 0.1))
            self.assertEqual(self.status(name, "k1"), 401)
            wait_until(lambda: self.status(name, "k2") == 200, f"{name} accepts k2", REVOKE_S)
