"""Tests that the soak's checks report violations and accept permitted behaviour."""

from __future__ import annotations

import sys
import unittest
from pathlib import Path
from types import SimpleNamespace

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE), str(HERE.parent.parent / "standins")]
from answer_bytes import COMMENT  # noqa: E402
import promises  # noqa: E402
from callers import EXPECTED_STREAM, Call  # noqa: E402
from release_load import ServingPeriod  # noqa: E402


def call(kind: str, status: int = 200, body: bytes = b"", **options) -> Call:
    fields = {"request_id": "r1", "kind": kind, "key": "k1", "instance": "n0", "sent_at": 0.0,
              "status": status, "headers": {"x-server-seal": "s"}, "body": body, "whole": True,
              "process": 7, "written": True, "ended_at": 1.0}
    return Call(**{**fields, **options})


def run(request_id: str = "r1", server: str = "s1", at: float = 0.0) -> dict:
    return {"id": request_id, "server": server, "at": at, "headers": {}}


def event(number: int, version: str) -> bytes:
    return b"id: %d\ndata: %d %s\n\n" % (number, number, version.encode())


def versioned(number: int, version: str, first: int, last: int, whole: bool = True) -> Call:
    """Returns a try of stream r1, with the events from the first to the last."""
    body = b"".join(event(each, version) for each in range(first, last + 1))
    more = {} if number == 1 else {"resumes": "r1", "last_event_id": first - 1}
    return call("draft", body=body, request_id=f"r{number}", whole=whole, sent_at=5.0,
                ended_at=5.1, **more)


class PromisesTest(unittest.TestCase):

    def test_booking_that_ran_twice_is_found(self) -> None:
        self.assertEqual(promises.at_most_once([call("book")], [run()]), [])
        self.assertIn("TWICE", promises.at_most_once([call("book")], [run(), run()])[0])

    def test_refused_booking_that_ran_is_found(self) -> None:
        self.assertIn("REFUSED", promises.at_most_once([call("book", 503)], [run()])[0])
        self.assertEqual(promises.at_most_once([call("book", 502)], [run()]), [])

    def test_answer_of_a_server_that_did_not_run_it_is_found(self) -> None:
        right = call("book", body=b"done by s1")
        self.assertEqual(promises.answer_sources([right], [run()]), [])
        self.assertIn("MIXED", promises.answer_sources([right], [run(server="s2")])[0])
        unsigned = call("book", body=b"done by s1", headers={})
        self.assertIn("MIXED", promises.answer_sources([unsigned], [run()])[0])

    def test_stream_with_a_missing_event_is_found(self) -> None:
        self.assertEqual(
            promises.answer_sources([call("draft", body=EXPECTED_STREAM)], [run()]), [])
        torn = call("draft", body=EXPECTED_STREAM[:20], whole=False)
        self.assertEqual(promises.answer_sources([torn], [run()]), [])
        missing = call("draft", body=EXPECTED_STREAM.replace(b"id: 3\ndata: 3\n\n", b""))
        self.assertIn("ORDER", promises.answer_sources([missing], [run()])[0])
        commented = call("draft", body=COMMENT + EXPECTED_STREAM)
        self.assertEqual(promises.answer_sources([commented], [run()]), [])

    def test_run_that_nobody_sent_is_found(self) -> None:
        self.assertIn("UNASKED", promises.unrequested_runs([], [run()])[0])

    def test_withdrawn_key_is_found_after_its_time(self) -> None:
        withdrawn = {"k1": 10.0}
        for sent_at, found in ((14.9, 0), (15.1, 1)):
            calls = [call("book", sent_at=sent_at)]
            self.assertEqual(len(promises.withdrawn_keys(calls, [run()], withdrawn)), found)

    def test_units_beyond_the_quota_are_found(self) -> None:
        calls = [call("draft", request_id=f"r{i}") for i in range(100)]
        runs = [run(f"r{i}", at=0.01 * i) for i in range(100)]
        self.assertEqual(promises.quotas(calls, runs, "k1", 3000, 3000), [])
        self.assertIn("QUOTA", promises.quotas(calls, runs, "k1", 1000, 1000)[0])

    def test_two_holders_of_a_fence_and_overloads_are_found(self) -> None:
        def server(*holders: str) -> SimpleNamespace:
            return SimpleNamespace(name="s1", memory_overcommits=[], orders=[
                {"holder": holder, "fencing_token": 3} for holder in holders])

        self.assertEqual(promises.orders([server("n0", "n0")]), [])
        self.assertIn("ONE", promises.orders([server("n0", "n1")])[0])

    def test_work_at_a_server_that_left_is_found_in_touch_only(self) -> None:
        calls, runs = [call("book", sent_at=8.0)], [run(at=8.1)]
        for is_undisturbed, found in ((True, 1), (False, 0)):
            self.assertEqual(len(promises.runs_at_departed_servers(calls, runs, {"s1": 1.0},
                                                       lambda *_, t=is_undisturbed: t)), found)

    def planned_stop_findings(self, calls: list[Call], code: int = 0, end: float = 3.0,
                              **fault) -> list[str]:
        """Returns the findings for a process that was stopped between 0 and `end`."""
        stop = SimpleNamespace(instance="n0", process=7, begin=0.0, end=end, code=code)
        faults = [SimpleNamespace(**{"begin": 0.5, "end": 0.9, **fault})] if fault else []
        return promises.planned_stops(calls, [run()], [stop], faults)

    def test_request_lost_in_a_planned_stop_is_found(self) -> None:
        lost = call("draft", status=0, whole=False)
        torn = call("draft", body=EXPECTED_STREAM[:20], whole=False)
        self.assertIn("LOST", self.planned_stop_findings([lost])[0])
        self.assertIn("LOST", self.planned_stop_findings([torn])[0])
        self.assertIn("LOST", self.planned_stop_findings([torn], kind="link_cut", target="s2")[0])
        for late in (call("draft", body=EXPECTED_STREAM[:20], whole=False, ended_at=5.97),
                     call("draft", status=0, whole=False, ended_at=5.99)):
            self.assertIn("LOST", self.planned_stop_findings([late])[0], late)
        for allowed in (call("draft"),
                        call("draft", body=EXPECTED_STREAM[:20], whole=False, ended_at=5.98),
                        call("draft", request_id="r2", status=0, whole=False),
                        call("book", status=0, whole=False, written=False),
                        call("draft", status=0, whole=False, process=8)):
            self.assertEqual(self.planned_stop_findings([allowed]), [], allowed)
        for kind, target in (("kill", "n0"), ("pause", "7"), ("link_cut", "s1")):
            self.assertEqual(self.planned_stop_findings([lost], kind=kind, target=target), [], kind)
        self.assertEqual(self.planned_stop_findings([lost], kind="connections_silent", target="s1",
                                      begin=-9.0, end=-9.0), [])

    def test_planned_stop_with_a_wrong_end_is_found(self) -> None:
        self.assertEqual(self.planned_stop_findings([]), [])
        self.assertIn("STOP", self.planned_stop_findings([], code=-15)[0])
        self.assertIn("STOP", self.planned_stop_findings([], end=8.1)[0])
        self.assertEqual(self.planned_stop_findings([], code=-9, kind="kill", target="n0"), [])

    def test_stream_that_ends_without_its_end_is_found(self) -> None:
        """Guards against a check that takes a runner's silence for a reason to end an answer."""
        def findings(run_end: float = 9.0, fault: dict | None = None, **fields) -> list[str]:
            stop = SimpleNamespace(process=7, begin=0.0)
            faults = [SimpleNamespace(**{"begin": 0.5, "end": 0.9, **fault})] if fault else []
            torn = call("draft", **{"body": EXPECTED_STREAM[:20], "whole": False, **fields})
            return promises.streams_without_end([torn], [run()], {"r1": run_end}, [stop], faults)

        for lost in ({}, {"process": 8}, {"ended_at": 5.97}, {"sent_at": 1.0, "ended_at": 6.6},
                     {"sent_at": 3.1, "ended_at": 7.0},
                     {"sent_at": 2.9, "ended_at": 7.0, "run_end": 6.6},
                     {"fault": {"kind": "server_refuses", "target": "s1"}},
                     {"fault": {"kind": "pause", "target": "7"}}):
            self.assertIn("CUT r1", findings(**lost)[0], lost)
        for allowed in ({"whole": True}, {"status": 502}, {"ended_at": 5.98},
                        {"sent_at": 2.9, "ended_at": 7.0},
                        {"fault": {"kind": "kill", "target": "n0"}},
                        {"fault": {"kind": "link_cut", "target": "s1"}}):
            self.assertEqual(findings(**allowed), [], allowed)

    def test_request_at_a_server_that_said_that_it_leaves_is_found(self) -> None:
        first = call("book", ended_at=1.0)
        server = SimpleNamespace(name="s1", leaving_request_ids=["r1"],
                                 arrivals=[(0.5, "r1"), (1.6, "r2")])
        other = SimpleNamespace(name="s2", leaving_request_ids=[], arrivals=[(0.6, "r1")])
        for fields, found in (({"sent_at": 1.5}, 1), ({"sent_at": 0.9}, 0),
                              ({"sent_at": 1.5, "process": 8}, 0)):
            calls = [first, call("book", request_id="r2", **fields)]
            self.assertEqual(len(promises.leaving_servers(calls, [server])), found, fields)
        later = call("book", request_id="r2", sent_at=1.5)
        # The request reached two servers, so it is unknown which one answered.
        self.assertEqual(promises.leaving_servers([first, later], [server, other]), [])
        refused = call("book", status=502)
        self.assertEqual(promises.leaving_servers([refused, later], [server]), [])

    def test_requests_at_a_server_that_turned_one_away_are_found(self) -> None:
        def paused_server_findings(*times: float, told=((0.0, "2"),), **fault) -> list[str]:
            server = SimpleNamespace(
                name="s1", sent_pauses=list(told), paused_request_ids=["r0"] * len(told),
                arrivals=[(at, f"r{number}") for number, at in enumerate(times)])
            faults = [SimpleNamespace(begin=0.4, end=0.6, **fault)] if fault else []
            calls = [call("book", request_id=f"r{number}") for number in range(9)]
            return promises.paused_servers(calls, [server], faults)

        self.assertEqual(paused_server_findings(0.0, 0.4, 0.5, 0.6, 0.7, 2.1), [])
        self.assertIn("PAUSED", paused_server_findings(0.0, 0.6, 0.7, 1.9)[0])
        self.assertEqual(paused_server_findings(
            0.0, 0.6, 0.7, 1.9, told=((0.0, "2"), (0.2, "0.6"))), [])
        self.assertIn("PAUSED", paused_server_findings(
            0.0, 0.6, 0.7, 0.8, told=((0.0, "2"), (0.5, "2")))[0])
        self.assertEqual(paused_server_findings(
            0.0, 0.6, 0.7, 1.9, kind="link_delayed", target="s1"), [])
        self.assertEqual(paused_server_findings(0.0, 0.6, 0.7, 1.9, kind="pause", target="7"), [])

    def test_stream_of_two_versions_is_found(self) -> None:
        """Guards against a check that looks only at single answers."""
        self.assertEqual(promises.joined_streams([versioned(1, "v1", 1, 2), versioned(
            2, "v1", 3, 4), call("draft", request_id="r3", body=event(1, "v2"))]), [])
        self.assertIn("JOINED", promises.joined_streams([call(
            "draft", body=event(1, "v1") + event(2, "v2"))])[0])
        self.assertIn("JOINED", promises.joined_streams([versioned(1, "v1", 1, 2),
                                                         versioned(2, "v2", 3, 4)])[0])

    def test_complete_stream_without_its_last_event_is_found(self) -> None:
        """Guards against a check that accepts an early end after a whole event."""
        for found, tried in ((0, versioned(1, "v1", 1, 5)), (0, versioned(2, "v1", 3, 5)),
                             (0, versioned(2, "v1", 6, 5)), (1, versioned(1, "v1", 1, 4)),
                             (1, versioned(2, "v1", 3, 2)), (0, versioned(1, "v1", 1, 4, False))):
            self.assertEqual(len(promises.streams_without_last_event([tried])), found, tried)

    def test_repeated_and_missing_events_over_tries_are_found(self) -> None:
        """Guards against a check that forgets the events of earlier tries."""
        for found, first in ((0, 3), (1, 2), (1, 4), (1, 1)):
            calls = [versioned(1, "v1", 1, 2, False), versioned(2, "v1", 3, 2, False),
                     versioned(3, "v1", first, 5)]
            self.assertEqual(len(promises.events_over_tries(calls)), found, first)

    def test_refused_take_ups_are_found(self) -> None:
        """Guards against a share over calls that do not count, or over too few of them."""
        def findings(taken_up: int, refused: int, new: int = 10, **options) -> list[str]:
            refusal = call("draft", 503, resumes="r1", last_event_id=2, sent_at=5.0, ended_at=5.1)
            runners = [SimpleNamespace(name=f"s{i}", serving_periods=[
                ServingPeriod("v1", 0.0)])
                       for i in range(options.get("runners", 2))]
            calls = ([versioned(1, "v1", 1, 2, False)] + [versioned(2, "v1", 3, 5)] * taken_up
                     + [refusal] * refused + [call("draft", 200 if i < new else 503,
                        request_id=f"new{i}", body=event(1, "v1")) for i in range(10)])
            return promises.take_ups(*promises.shares_that_go_on(
                calls, runners, options.get("faults", []), []))

        self.assertIn("TAKE-UP 0.00 of 12", findings(0, 12)[0])
        self.assertIn("TAKE-UP", findings(5, 7)[0])
        for accepted in (findings(6, 6), findings(0, 11), findings(5, 7, new=2),
                         findings(0, 12, runners=1)):
            self.assertEqual(accepted, [])
        for target in ("n0", "store-n0", "s1"):
            fault = SimpleNamespace(kind="link_cut", target=target, begin=4.9, end=4.9)
            self.assertEqual(findings(0, 12, faults=[fault]), [], target)


if __name__ == "__main__":
    unittest.main()
