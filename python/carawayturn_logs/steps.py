"""Counts request outcomes and state changes of instances per time interval.

Shows an operator which requests failed in a period and why: the outcomes of requests (event
1100) are printed next to the events that report a change in an instance's view of the store,
directory, hub, lease or configuration, or its start or stop.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from dataclasses import dataclass, field
from typing import Iterable, Iterator, TextIO

REQUEST_ENDED = 1100
# Events about the store, directory, hub, lease and configuration, and about start and stop.
STATE_CHANGE_EVENTS = frozenset({1110, 1111, 1112, 1120, 1121, 1123, 1142, 1143, 1144, 1150, 1151,
                           1152, 1153, 1154, 1160, 1163})
SERVED = frozenset({"answered", "streamed", "passed_on"})


@dataclass(frozen=True)
class LogLine:
    """One event that an instance logged."""

    time_ms: int
    number: int
    event: str
    instance: str
    fields: dict


@dataclass
class Step:
    """Counts for one time interval."""

    served: int = 0
    outcomes: Counter = field(default_factory=Counter)
    state_changes: Counter = field(default_factory=Counter)
    instances: set[str] = field(default_factory=set)

    def add(self, line: LogLine) -> None:
        if line.number == REQUEST_ENDED:
            outcome = str(line.fields.get("outcome", ""))
            if outcome in SERVED:
                self.served += 1
            else:
                self.outcomes[outcome] += 1
        elif line.number in STATE_CHANGE_EVENTS:
            self.state_changes[f"{line.number} {line.event}"] += 1
            self.instances.add(line.instance)


class LogReader:
    """Parses log lines, ignoring any prefix before the JSON object, and counts unreadable ones."""

    def __init__(self) -> None:
        self.unreadable = 0

    def read(self, source: Iterable[str]) -> Iterator[LogLine]:
        for text in source:
            line = self._parse(text)
            if line is None:
                self.unreadable += 1
            else:
                yield line

    @staticmethod
    def _parse(text: str) -> LogLine | None:
        try:
            fields = json.loads(text[text.index("{"):])
            return LogLine(int(fields["time_ms"]), int(fields["number"]),
                           str(fields["event"]), str(fields["instance"]), fields)
        except (ValueError, KeyError, TypeError):
            return None


def count_steps(lines: Iterable[LogLine], step_ms: int) -> dict[int, Step]:
    """Returns the steps keyed by their start time in milliseconds, in ascending order."""
    steps: dict[int, Step] = {}
    for line in lines:
        start = line.time_ms // step_ms * step_ms
        steps.setdefault(start, Step()).add(line)
    return dict(sorted(steps.items()))


def count_outcome_by_field(lines: Iterable[LogLine], outcome: str, by: str) -> Counter:
    """Counts the requests with this outcome by the value of the field `by`."""
    return Counter(str(line.fields.get(by, "")) for line in lines
                   if line.number == REQUEST_ENDED and line.fields.get("outcome") == outcome)


def format_counts(counts: Counter) -> str:
    return ", ".join(f"{count} {name}" for name, count in counts.most_common())


def print_steps(steps: dict[int, Step], out: TextIO) -> None:
    first = next(iter(steps), 0)
    for start, step in steps.items():
        out.write(f"{(start - first) / 1000:8.1f} s  served {step.served}")
        if step.outcomes:
            out.write(f"; not served: {format_counts(step.outcomes)}")
        out.write("\n")
        if step.state_changes:
            out.write(f"            {format_counts(step.state_changes)} "
                      f"({len(step.instances)} instances)\n")


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="log-steps", description="Prints request outcomes and state changes over time.")
    parser.add_argument("files", nargs="*", help="log files of instances; default: standard input")
    parser.add_argument("--step", type=float, default=2.0,
                        help="length of a time interval in seconds (default: 2)")
    parser.add_argument("--from", dest="first_ms", type=int, default=0,
                        help="ignore lines with a smaller time_ms")
    parser.add_argument("--to", dest="last_ms", type=int, default=sys.maxsize,
                        help="ignore lines with a greater time_ms")
    parser.add_argument("--outcome", help="instead count the requests with this outcome by a field")
    parser.add_argument("--by", default="instance",
                        help="field to count by with --outcome (default: instance)")
    options = parser.parse_args(arguments)
    if options.step < 0.001:
        parser.error("--step: must be 0.001 seconds or more")
    return options


def read_files(files: list[str], reader: LogReader) -> Iterator[LogLine]:
    if not files:
        yield from reader.read(sys.stdin)
    for name in files:
        with open(name, encoding="utf-8", errors="replace") as source:
            yield from reader.read(source)


def main(arguments: list[str], out: TextIO = sys.stdout) -> int:
    """Returns 0, or 1 if a file cannot be read or no line is in the period."""
    options = parse_arguments(arguments)
    reader = LogReader()
    try:
        lines = [line for line in read_files(options.files, reader)
                 if options.first_ms <= line.time_ms <= options.last_ms]
    except OSError as failure:
        print(f"log-steps: {failure.filename}: {failure.strerror}", file=sys.stderr)
        return 1
    if options.outcome:
        for value, count in count_outcome_by_field(lines, options.outcome,
                                                   options.by).most_common():
            out.write(f"{count:8} {value}\n")
    else:
        print_steps(count_steps(lines, int(options.step * 1000)), out)
    if reader.unreadable:
        print(f"log-steps: {reader.unreadable} lines could not be parsed", file=sys.stderr)
    return 0 if lines else 1
