"""Runs real instances while the store comes back from a copy that is some seconds old.

A key that was taken away ends in time, and nothing is sent to a server that has said that it
leaves, whatever the copy has.
"""

from __future__ import annotations

import sys
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent / "standins"))
from entry_fleet import configuration, wait_until  # noqa: E402
from store_restore_case import (  # noqa: E402
    AWAY_S, CALL_PAUSE_S, INSTANCES, MODELS, RestoreCase)


class WithdrawnKeyTest(RestoreCase):
    """The operator takes the key k1 away as soon as the store is back."""

    def withdraw(self, **options) -> float:
        copy = self.store.copy()
        self.lose_writes()
        acked: list[float] = []

        def take_away() -> None:
            self.store.put("op", "config", configuration(2, ["k2"], MODELS))
            acked.append(time.monotonic())

        self.drill(copy, operator_first=take_away, **options)
        return acked[0]

    # Guards against a hub that goes on reading changes from its version before the drill, which the
    # store has given out again meanwhile, and never sees those below it.
    def test_key_ends_in_time_if_the_counter_has_passed_the_old_version(self) -> None:
        acked = self.withdraw()
        self.write_others()
        self.write_others()
        self.assert_key_withdrawn(acked)

    # Guards against the same with calls that are never answered in place of closed connections.
    def test_key_ends_in_time_if_open_calls_are_left_unanswered(self) -> None:
        self.store.silent = True
        acked = self.withdraw()
        self.write_others()
        self.write_others()
        self.assert_key_withdrawn(acked)

    # Guards against the same with a counter that is still below the old version.
    def test_key_ends_in_time_if_the_counter_is_below_the_old_version(self) -> None:
        self.assert_key_withdrawn(self.withdraw())

    # Guards against an answer of the former era that arrives after the store's return and confirms
    # the configuration that it knew.
    def test_key_ends_in_time_beside_a_late_answer_of_the_former_era(self) -> None:
        self.store.answers_late = True
        acked = self.withdraw()
        self.write_others()
        self.write_others()
        self.assert_key_withdrawn(acked)

    # Guards against a second drill that hides behind the first.
    def test_key_ends_in_time_with_two_drills_in_a_row(self) -> None:
        copy = self.store.copy()
        self.lose_writes()
        self.drill(copy)
        time.sleep(2.0 - AWAY_S)
        copy = self.store.copy()
        self.lose_writes()
        acked: list[float] = []

        def take_away() -> None:
            self.store.put("op", "config", configuration(2, ["k2"], MODELS))
            acked.append(time.monotonic())

        self.drill(copy, operator_first=take_away)
        self.write_others()
        self.write_others()
        self.assert_key_withdrawn(acked[0])

    # Guards against an instance that goes back to an older configuration of the copy, or counts it
    # as the newest one, while the operator has not written again. The fresh one knows no other.
    def test_withdrawn_key_stays_withdrawn_while_the_copy_still_has_it(self) -> None:
        copy = self.store.copy()
        self.store.put("op", "config", configuration(2, ["k2"], MODELS))
        for name in INSTANCES:
            wait_until(lambda: self.status(name, "k1") == 401, f"{name} withdraws k1")
        self.instances["n3"].stop()
        self.drill(copy, rewrite_s=2.0)
        self.instances["n3"].start()
        end = time.monotonic() + 3.5
        while time.monotonic() < end:
            for name in ("n1", "n2"):
                self.assertEqual(self.status(name, "k1"), 401)
            time.sleep(CALL_PAUSE_S)
        wait_until(lambda: self.status("n3", "k2") == 200, "n3 accepts k2")
        self.assertEqual(self.status("n3", "k1"), 401)


class NamelessEraTest(RestoreCase):
    """The store names no era: a drill shows only by versions that go back."""

    names_era = False

    # Guards against a change for stores without the header.
    def test_key_ends_in_time_if_the_counter_is_below_the_old_version(self) -> None:
        copy = self.store.copy()
        self.lose_writes()
        self.drill(copy)
        self.store.put("op", "config", configuration(2, ["k2"], MODELS))
        self.assert_key_withdrawn(time.monotonic())
        self.assertEqual(sum(len(instance.events(1124)) for instance in self.instances.values()), 0)


class MalformedEraTest(RestoreCase):
    """The header is missing, or is no number that can be an era."""

    # Guards against a crash, and against an instance that no longer believes the store.
    def test_instances_go_on_after_answers_without_a_readable_era(self) -> None:
        for text in ("", "x", "-1", "18446744073709551616", "1, 1", "0"):
            self.store.era_text = text
            time.sleep(1.2)
            self.store.era_text = None
            for name in INSTANCES:
                self.assertEqual(self.status(name, "k1"), 200, text)
            time.sleep(1.0)
        self.store.put("op", "config", configuration(2, ["k2"], MODELS))
        self.assert_key_withdrawn(time.monotonic())
        self.assertTrue(self.instances["n1"].events(1125))

    # Guards against an instance that is blind for good, because an era was wrong or is not named
    # any more.
    def test_configuration_is_read_again_if_the_store_stops_to_name_its_era(self) -> None:
        self.store.era_text = "18446744073709551615"
        wait_until(lambda: self.instances["n1"].events(1124), "n1 sees another era")
        self.store.era_text = None
        self.store.names_era = False
        self.store.put("op", "config", configuration(2, ["k2"], MODELS))
        for name in INSTANCES:
            wait_until(lambda: self.status(name, "k2") == 200, f"{name} accepts k2", 12)


class DirectoryTest(RestoreCase):
    """Rows of servers in the copy are older than what the instances know."""

    def requests_until(self, end: float) -> None:
        number = 0
        while time.monotonic() < end:
            number += 1
            for name in INSTANCES:
                self.assertEqual(self.status(name, "k1", f"{name}-{number}"), 200)
            time.sleep(CALL_PAUSE_S)

    # Guards against a server that has said that it leaves, and that the copy shows as ready.
    def test_leaving_server_gets_nothing_while_the_copy_shows_it_as_ready(self) -> None:
        copy = self.store.copy()
        leaving = self.plain[0]
        leaving.record("draining")
        for name in INSTANCES:
            wait_until(lambda: any(server["id"] == leaving.name and server["draining"]
                                   for server in self.instances[name].state()["backend_servers"]),
                       f"{name} knows that {leaving.name} leaves")
        self.drill(copy, rewrite_s=1.5)
        since = time.monotonic()
        self.requests_until(since + 2.5)
        self.assertEqual([at for at, _ in leaving.arrivals if at > since], [])

    # Guards against a server whose row is gone, and that the copy brings back.
    def test_removed_server_gets_nothing_while_the_copy_has_its_row(self) -> None:
        copy = self.store.copy()
        gone = self.plain[0]
        self.store.remove("servers", gone.name)
        for name in INSTANCES:
            self.instances[name].wait_until_serving(servers=4)
        self.drill(copy, rewrite_s=1.5)
        since = time.monotonic()
        self.requests_until(since + 2.5)
        self.assertEqual([at for at, _ in gone.arrivals if at > since], [])

    # Guards against a server that is dropped because it began after the copy was taken.
    def test_new_server_goes_on_while_the_copy_lacks_its_row(self) -> None:
        copy = self.store.copy()
        self.add_server("p9", "plain", None)
        for name in INSTANCES:
            self.instances[name].wait_until_serving(servers=6)
        self.drill(copy, rewrite_s=1.5)
        time.sleep(3.0)
        for name in INSTANCES:
            self.assertEqual([event["server"] for event in self.instances[name].events(1132)], [])


if __name__ == "__main__":
    unittest.main()
