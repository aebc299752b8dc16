"""Runs real instances while the store comes back from a copy that is some seconds old.

Orders come from one holder of the lease at a time, and each holder has a fence of its own.
"""

from __future__ import annotations

import signal
import sys
import threading
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import wait_until  # noqa: E402
from store_restore_case import (  # noqa: E402
    AWAY_S, CALL_PAUSE_S, INSTANCES, MODELS, RestoreCase)

# Term of the lease, and the time after it within which a holder is proved in the new era.
LEASE_TERM_S = 2.4
PROOF_MARGIN_S = 1.0
# `bounds.lease_ms` of the instances: one that has started less than this ago does not claim.
START_WAIT_S = 3.0


class LeaseTest(RestoreCase):
    """Callers keep the hub busy with orders, whichever instance it is."""

    def setUp(self) -> None:
        super().setUp()
        self.watched = tuple(self.runners)
        for number in range(4):
            threading.Thread(target=self.call_in_turn, args=(number,), daemon=True).start()
        wait_until(lambda: len(self.orders()) > 3, "orders of the first hub", 20)

    def call_in_turn(self, number: int) -> None:
        """Asks for streams of one model after the other, so that models are loaded."""
        turn = 0
        while not self.stopped.is_set():
            turn += 1
            instance = self.instances[INSTANCES[(number + turn) % len(INSTANCES)]]
            try:
                instance.stream("/draft/a", MODELS[(3 * number + turn) % len(MODELS)],
                                f"s{number}-{turn}")
            except OSError:
                pass
            time.sleep(CALL_PAUSE_S)

    def orders(self) -> list[tuple[str, int]]:
        """Returns holder and fence of all orders."""
        return [(order["holder"], order["fencing_token"])
                for runner in self.watched for order in list(runner.orders)]

    def assert_one_holder(self) -> None:
        """No fence is that of two holders, and none is followed by a lower one."""
        for runner in self.watched:
            holders: dict[int, set[str]] = {}
            highest = 0
            for order in list(runner.orders):
                fence = order["fencing_token"]
                self.assertGreaterEqual(fence, highest, f"{runner.name}: {order}")
                highest = fence
                holders.setdefault(fence, set()).add(order["holder"])
            for fence, names in holders.items():
                self.assertEqual(len(names), 1, f"{runner.name}: fence {fence} of {names}")

    def wait_for_holder(self, *names: str, limit_s: float = 10) -> str:
        """Waits until one of these instances holds the lease in the store's era, and orders."""
        wait_until(lambda: self.lease().get("address") and self.lease()["name"] in names
                   and self.lease().get("era") == self.store.era, "a proved holder", limit_s)
        name, fence = self.lease()["name"], self.lease()["fence"]
        wait_until(lambda: (name, fence) in self.orders(), f"{name} orders", 10)
        return name

    def restart_hub_as_planned(self) -> str:
        """Sends SIGTERM to n1, waits for the next holder's orders and for n1's end."""
        self.instances["n1"].process.terminate()
        successor = self.wait_for_holder("n2", "n3")
        self.instances["n1"].process.wait(15)
        return successor

    # Guards against a restarted hub that takes the lease of its former process from the copy, beside
    # its successor and with the successor's fence.
    def test_restarted_hub_does_not_take_its_row_from_the_copy(self) -> None:
        copy = self.store.copy()
        successor = self.restart_hub_as_planned()
        self.store.leave()
        self.instances["n1"].start()
        time.sleep(AWAY_S)
        self.store.return_from(copy)
        self.assertEqual(self.wait_for_holder(*INSTANCES, limit_s=LEASE_TERM_S + PROOF_MARGIN_S),
                         successor)
        time.sleep(LEASE_TERM_S + PROOF_MARGIN_S)
        self.assertEqual(self.lease()["name"], successor)
        self.assert_one_holder()

    # Guards against a wait for a row of the present era, which a planned restart without a drill needs
    # not: the release is told and read with its era.
    def test_lease_is_handed_over_at_once_without_a_drill(self) -> None:
        for _ in range(2):
            time.sleep(START_WAIT_S)
            holder = self.lease()["name"]
            self.instances[holder].process.terminate()
            wait_until(lambda: not self.lease()["address"] or self.lease()["name"] != holder,
                       "the release, once all orders have settled", 10)
            wait_until(lambda: self.lease()["address"], "the next holder", LEASE_TERM_S / 2)
            self.instances[holder].process.wait(15)
            self.instances[holder].start()
            self.instances[holder].wait_until_serving(servers=5)
        self.assert_one_holder()

    # Guards against a fence that is given out again: the copy forgets the successor's, and nobody who
    # knows it is left.
    def test_restarted_hub_uses_a_higher_fence_if_its_successor_is_killed(self) -> None:
        copy = self.store.copy()
        successor = self.restart_hub_as_planned()
        self.store.leave()
        for name in ("n2", "n3"):
            self.instances[name].stop()
        self.instances["n1"].start()
        time.sleep(AWAY_S)
        self.store.return_from(copy)
        returned_at = time.monotonic()
        self.wait_for_holder("n1", limit_s=12)
        self.assertGreater(time.monotonic() - returned_at, LEASE_TERM_S)
        self.instances["n2"].start()
        self.instances["n3"].start()
        self.assertIn(successor, [holder for holder, _ in self.orders()])
        self.assert_one_holder()

    # Guards against a hub that gives up the lease, or its fence, because the copy has an older row.
    def test_hub_holds_its_lease_through_a_drill(self) -> None:
        copy = self.store.copy()
        fence = self.lease()["fence"]
        time.sleep(1.0)
        self.drill(copy)
        self.wait_for_holder("n1", limit_s=LEASE_TERM_S + PROOF_MARGIN_S)
        self.assertEqual(self.lease()["fence"], fence)
        self.assert_one_holder()

    # Guards against two drills, the second of which takes away what the first has left.
    def test_one_holder_orders_through_two_drills_in_a_row(self) -> None:
        copy = self.store.copy()
        self.restart_hub_as_planned()
        self.instances["n1"].start()
        self.drill(copy)
        time.sleep(2.0 - AWAY_S)
        self.drill(copy)
        self.wait_for_holder(*INSTANCES)
        time.sleep(LEASE_TERM_S + PROOF_MARGIN_S)
        self.assert_one_holder()

    # Guards against a frozen hub that orders after another one has claimed the lease in the new era.
    def test_frozen_hub_does_not_order_after_a_drill(self) -> None:
        copy = self.store.copy()
        self.instances["n1"].process.send_signal(signal.SIGSTOP)
        self.drill(copy)
        self.wait_for_holder("n2", "n3")
        self.instances["n1"].process.send_signal(signal.SIGCONT)
        time.sleep(LEASE_TERM_S + PROOF_MARGIN_S)
        self.assert_one_holder()

    # Guards against an instance that claims the lease of a killed hub with a fence that was used.
    def test_next_hub_orders_after_a_drill_in_which_the_hub_is_killed(self) -> None:
        copy = self.store.copy()
        self.store.leave()
        self.instances["n1"].stop()
        time.sleep(AWAY_S)
        self.store.return_from(copy)
        self.wait_for_holder("n2", "n3")
        self.instances["n1"].start()
        time.sleep(LEASE_TERM_S + PROOF_MARGIN_S)
        self.assert_one_holder()

    # Guards against a hub that the store turns away after a drill, and goes on as if it held the
    # lease.
    def test_hub_that_is_cut_off_does_not_order_beside_the_next_one(self) -> None:
        copy = self.store.copy()
        self.store.leave()
        self.instances["n1"].store_endpoint.refuse = True
        time.sleep(AWAY_S)
        self.store.return_from(copy)
        self.wait_for_holder("n2", "n3")
        self.instances["n1"].store_endpoint.refuse = False
        time.sleep(LEASE_TERM_S + PROOF_MARGIN_S)
        self.assert_one_holder()

    # Guards against a row that the copy lacks altogether, which is no proof that there was no holder.
    def test_hub_writes_a_row_that_the_copy_lacks(self) -> None:
        fence = self.lease()["fence"]
        self.store.remove("carawayturn", "hub")
        copy = self.store.copy()
        self.drill(copy)
        self.wait_for_holder("n1", limit_s=2 * LEASE_TERM_S + PROOF_MARGIN_S)
        self.assertGreaterEqual(self.lease()["fence"], fence)
        self.assert_one_holder()


if __name__ == "__main__":
    unittest.main()
