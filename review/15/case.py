"""The store loses the records of streams in a drill. When an instance dies some seconds later, no
other one takes its streams up again, although the instances could have written them anew."""

from __future__ import annotations

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from case import (  # noqa: E402
    TROUBLE, CaseError, DrillStore, Fleet, ServerProcess, run_case)
from entry_fleet import configuration, wait_until  # noqa: E402
from take_up import DEADLINE_MS, Caller, compare_shares  # noqa: E402

EVENTS = 60
EVENT_PAUSE_S = 0.25
STREAMS = 24
VERSIONS = ("v1", "v1", "v2", "v2")
CALM_S = 4.0
# Time from the begin of the streams until the store is away, and for how long it is.
BEGUN_S = 1.5
AWAY_S = 1.0
# Age of the copy when the store is back. It is older than the streams.
COPY_AGE_S = 3.5
# `contact_ms` is 3,000: by then all machines are in touch again.
IN_TOUCH_S = 4.0


def play(record) -> list[str]:
    store = DrillStore()
    with Fleet(store) as fleet:
        config = configuration(1, ["k1"], models=("m1",))
        for route in config["routes"]:
            if route["name"] == "draft":
                route.update(timeout_ms=DEADLINE_MS, gap_target_ms=300)
        store.put("op", "config", config)
        runners = [ServerProcess(fleet, record, f"r{number}", "llm", EVENTS, EVENT_PAUSE_S,
                                 "chunked", version)
                   for number, version in enumerate(VERSIONS, 1)]
        for number in (1, 2, 3):
            fleet.add_instance(f"front-{number}")
        for instance in fleet.instances:
            instance.wait_until_serving(servers=len(runners))
        # The hub goes on, so that its loss plays no part.
        hub = wait_until(lambda: (store.get("carawayturn", "hub") or {}).get("name"), "a hub")
        dying = next(each for each in fleet.instances if each.name != hub)
        others = [each for each in fleet.instances if each is not dying]
        time.sleep(CALM_S)
        callers = [Caller(record, f"s{number}", dying, others[number % 2], EVENTS)
                   for number in range(STREAMS)]
        for caller in callers:
            caller.start()
        wait_until(lambda: all(caller.last_id > 0 for caller in callers), "all streams", 10)
        time.sleep(BEGUN_S)
        if TROUBLE:
            store.leave()
            record.write("the store is away")
            time.sleep(AWAY_S)
            store.return_from_copy_of(time.monotonic() - COPY_AGE_S)
            record.write(f"the store is back from a copy {COPY_AGE_S:g} s old, era {store.era}")
        else:
            time.sleep(AWAY_S)
        time.sleep(IN_TOUCH_S)
        dying.process.kill()
        record.write(f"{dying.name} is killed")
        new = [Caller(record, f"new{number}", others[number % 2], None, EVENTS)
               for number in range(STREAMS)]
        for caller in new:
            caller.start()
        for caller in callers + new:
            caller.join(60)
        if sum(caller.status_of_take_up is not None for caller in callers) < 12:
            raise CaseError("fewer than 12 streams were taken up")
        return compare_shares(record, callers, new)


run_case(str(FOLDER), play)
