"""The store comes back from a copy, and the operator takes a key away as soon as it is back. The
hub goes on reading changes from its version before the drill and never sees this one."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from case import TROUBLE, DrillStore, Fleet, hub_of, run_case  # noqa: E402
from entry_fleet import configuration  # noqa: E402

# As on the site: 18 runners and 4 plain servers.
RUNNERS = 18
PLAIN_SERVERS = 4
CALM_S = 6.0
AWAY_S = 1.0
# Age of the copy when the store is back.
COPY_AGE_S = 2.5
REVOKE_S = 5.0
# Requests with the key that was taken away are sent until this long after the ack.
WATCH_S = 12.0
REQUEST_PAUSE_S = 0.5


def play(record) -> list[str]:
    store = DrillStore()
    store.silent = True
    with Fleet(store) as fleet:
        store.put("op", "config", configuration(1, ["k1"]))
        for number in range(RUNNERS):
            fleet.add_server(f"r{number}", "llm", ["m1"])
        for number in range(PLAIN_SERVERS):
            fleet.add_server(f"p{number}", "plain", None)
        fleet.send_heartbeats()
        for number in (1, 2, 3):
            fleet.add_instance(f"front-{number}")
        for instance in fleet.instances:
            instance.wait_until_serving(servers=RUNNERS + PLAIN_SERVERS)
        time.sleep(CALM_S)
        acked: list[float] = []

        def take_key_away() -> None:
            store.put("op", "config", configuration(2, ["k2"]))
            acked.append(time.monotonic())

        record.write(f"hub {hub_of(store)}, newest version {store.version}")
        if TROUBLE:
            store.leave()
            record.write("the store is away")
            time.sleep(AWAY_S)
            store.return_from_copy_of(time.monotonic() - COPY_AGE_S, take_key_away)
            record.write(f"the store is back from a copy {COPY_AGE_S:g} s old, era {store.era}, "
                         f"newest version {store.version}")
        else:
            time.sleep(AWAY_S)
            take_key_away()
        record.write("configuration 2, without the key k1 and with k2, is acknowledged")
        sent: dict[str, float] = {}
        turn = 0
        while time.monotonic() < acked[0] + WATCH_S:
            for instance in fleet.instances:
                for key in ("k1", "k2"):
                    request = f"{key}-{instance.name}-{turn}"
                    sent[request] = time.monotonic() - acked[0]
                    status, body, _ = instance.request(
                        "/book/a", id=request, headers={"Authorization": f"Token {key}"})
                    record.write(f"{request}, sent {sent[request]:.3f} s after the ack: {status} "
                                 f"{body!r}")
            turn += 1
            time.sleep(REQUEST_PAUSE_S)
        fleet.record_runs(record)
        broken = []
        for server in fleet.servers:
            for run in server.ran:
                request = run["headers"]["X-Request-Id"]
                if request.startswith("k1-") and sent[request] > REVOKE_S:
                    broken.append(f"{request} ran at {server.name}, sent {sent[request]:.1f} s "
                                  "after the ack of the configuration that took its key away")
        return sorted(broken)


run_case(str(FOLDER), play)
