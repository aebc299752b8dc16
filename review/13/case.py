"""A hub is restarted as planned, and the store comes back from a copy older than its successor's
claim. The restarted process takes the lease of its former process for its own."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from case import (  # noqa: E402
    TROUBLE, CaseError, DrillStore, Fleet, describe, engine_headers, hub_of, run_case)
from entry_fleet import configuration, wait_until  # noqa: E402

MODELS = tuple(f"m{number}" for number in range(1, 9))
# Callers that each ask for one model after the other. Two models fit into a runner.
CALLERS = 6
CALL_PAUSE_S = 0.15
# The store is away for this long.
AWAY_S = 1.0
# The copy was taken this long before the SIGTERM, so that it is some seconds old.
COPY_BEFORE_STOP_S = 0.2
LATEST_TAKE_OVER_S = 8.0
# How long orders are watched after the restarted process serves.
WATCH_S = 8.0


class Orders:
    """All orders that reached the runners, in their order of arrival."""

    def __init__(self, record, runners) -> None:
        self._record = record
        self._lock = threading.Lock()
        self.arrived: list[tuple[float, str, dict]] = []
        for runner in runners:
            self._watch(runner)

    def _watch(self, runner) -> None:
        carry_out = runner._order

        def receive(call, order: dict) -> None:
            with self._lock:
                self.arrived.append((time.monotonic(), runner.name, order))
            self._record.write(f"{runner.name} gets the order {describe(order)}")
            carry_out(call, order)

        runner._order = receive

    def holders_with_one_fence(self) -> list[str]:
        """ONE: two holders with one fence number, in the orders to one runner."""
        holders: dict[tuple[str, int], list[str]] = {}
        for _, runner, order in self.arrived:
            names = holders.setdefault((runner, order["fencing_token"]), [])
            if order["holder"] not in names:
                names.append(order["holder"])
        return [f"{runner} got orders of {' and '.join(names)} with the fence number {fence}"
                for (runner, fence), names in sorted(holders.items()) if len(names) > 1]


def call_in_turn(record, fleet: Fleet, number: int) -> None:
    """Asks ready instances for streams of one model after the other."""
    for turn in range(10**6):
        instance = fleet.instances[(number + turn) % len(fleet.instances)]
        model = MODELS[(number * 3 + turn) % len(MODELS)]
        request = f"s{number}-{turn}"
        try:
            body, complete, _ = instance.stream("/draft/a", model, request,
                                                engine_headers(number))
            record.write(f"{request} for {model} at {instance.name}: {len(body)} bytes, "
                         f"{'200' if complete else 'no success'}")
        except OSError as failure:
            record.write(f"{request} for {model} at {instance.name}: {failure!r}")
        time.sleep(CALL_PAUSE_S)


def play(record) -> list[str]:
    store = DrillStore()
    with Fleet(store) as fleet:
        config = configuration(1, ["k1"], models=MODELS)
        store.put("op", "config", config)
        runners = [fleet.add_server(f"r{number}", "llm", ["m1"]) for number in (1, 2, 3)]
        orders = Orders(record, runners)
        fleet.send_heartbeats()
        for number in (1, 2, 3):
            fleet.add_instance(f"front-{number}")
        for instance in fleet.instances:
            instance.wait_until_serving(servers=3)
        former_name = wait_until(lambda: hub_of(store).get("name"), "a hub")
        former = next(each for each in fleet.instances if each.name == former_name)
        for number in range(CALLERS):
            threading.Thread(target=call_in_turn, args=(record, fleet, number),
                             daemon=True).start()
        wait_until(lambda: len(orders.arrived) > 5, "orders of the first hub", 20)
        time.sleep(2)
        copied_at = time.monotonic()
        time.sleep(COPY_BEFORE_STOP_S)
        record.write(f"{former_name}, the hub, gets SIGTERM; lease row {hub_of(store)}")
        former.process.terminate()
        successor = wait_until(
            lambda: hub_of(store).get("address") and hub_of(store)["name"] != former_name
            and hub_of(store)["name"], "another hub", LATEST_TAKE_OVER_S)
        record.write(f"{successor} holds the lease: {hub_of(store)}")
        before = len(orders.arrived)
        wait_until(lambda: any(order["holder"] == successor
                               for _, _, order in orders.arrived[before:]),
                   "an order of the next hub", 10)
        wait_until(lambda: former.process.poll() is not None, "the former hub ends", 10)
        record.write(f"{former_name} has ended with {former.process.returncode}")
        if TROUBLE:
            store.leave()
            record.write("the store is away")
        former.start()
        record.write(f"{former_name} is started again")
        if TROUBLE:
            time.sleep(AWAY_S)
            age = time.monotonic() - copied_at
            store.return_from_copy_of(copied_at)
            record.write(f"the store is back from a copy {age:.1f} s old, era {store.era}; "
                         f"lease row {hub_of(store)}")
            if hub_of(store).get("name") != former_name:
                raise CaseError("the copy does not name the former hub")
        wait_until(former.ready, "the restarted process is ready", 20)
        record.write(f"{former_name} is ready; lease row {hub_of(store)}")
        time.sleep(WATCH_S)
        record.write(f"lease row {hub_of(store)}")
        fleet.record_runs(record)
        return orders.holders_with_one_fence()


run_case(str(FOLDER), play)
