"""Tests of log-steps, which counts log events per time interval."""

from __future__ import annotations

import io
import json
import tempfile
import unittest
from pathlib import Path

from carawayturn_logs.steps import LogReader, count_outcome_by_field, count_steps, main


def line(time_ms: int, number: int, event: str, instance: str = "n1", **fields) -> str:
    return json.dumps({"time_ms": time_ms, "number": number, "event": event,
                       "instance": instance, **fields})


def ended(time_ms: int, outcome: str, instance: str = "n1") -> str:
    return line(time_ms, 1100, "request_ended", instance, outcome=outcome)


class LogStepsTest(unittest.TestCase):
    """Uses log lines of two instances from around the loss of the hub."""

    def setUp(self) -> None:
        self.lines = [ended(1000, "answered"), ended(1500, "streamed"),
                      line(2100, 1143, "hub_lost"), line(2200, 1143, "hub_lost", "n2"),
                      ended(2300, "over_rate_alone", "n2"),
                      ended(2400, "over_rate_alone", "n2"), ended(4100, "answered")]

    def read(self) -> list:
        return list(LogReader().read(self.lines))

    def test_outcomes_and_state_changes_are_counted_in_the_same_step(self) -> None:
        """Guards against counting an outcome in a different step from its cause."""
        steps = count_steps(self.read(), 2000)
        self.assertEqual(list(steps), [0, 2000, 4000])
        self.assertEqual(steps[0].served, 2)
        self.assertEqual(steps[2000].outcomes, {"over_rate_alone": 2})
        self.assertEqual(steps[2000].state_changes, {"1143 hub_lost": 2})
        self.assertEqual(steps[2000].instances, {"n1", "n2"})

    def test_outcome_is_counted_by_the_field_asked_for(self) -> None:
        self.assertEqual(count_outcome_by_field(self.read(), "over_rate_alone", "instance"),
                         {"n2": 2})

    def test_unreadable_lines_are_counted_and_prefixes_ignored(self) -> None:
        """Guards against a truncated line ending the reading of a log."""
        reader = LogReader()
        read = list(reader.read(["no object", '{"time_ms":1}', "{torn",
                                 " 1.5 n1 " + ended(1, "answered")]))
        self.assertEqual(len(read), 1)
        self.assertEqual(reader.unreadable, 3)

    def test_steps_of_files_are_printed_and_a_missing_file_is_an_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "log"
            log.write_text("\n".join(self.lines), encoding="utf-8")
            out = io.StringIO()
            self.assertEqual(main([str(log), "--from", "2000", "--to", "3999"], out), 0)
            self.assertIn("not served: 2 over_rate_alone", out.getvalue())
            self.assertEqual(out.getvalue().count(" s  served"), 1)
            self.assertEqual(main([str(log) + "-missing"], out), 1)


if __name__ == "__main__":
    unittest.main()
