"""What requests came to and what instances came to believe, in steps of time.

An operator who asks what was lost between two moments, and why, sees both side by side:
outcomes of requests (event 1100), and the events in which an instance changed its mind.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from dataclasses import dataclass, field
from typing import Iterable, Iterator, TextIO

REQUEST_ENDED = 1100
# Store, directory, hub, lease, configuration, start and stop.
STATE_CHANGE_EVENTS = frozenset({1110, 1111, 1112, 1120, 1121, 1123, 1142, 1143, 1144, 1150, 1151,
                           1152, 1153, 1154, 1160, 1163})
SERVED = frozenset({"answered", "streamed", "passed_on"})


@dataclass(frozen=True)
class LogLine:
    """One event of one instance."""

    time_ms: int
    number: int
    event: str
    instance: str
    fields: dict


@dataclass
class Step:
    """What happened in one step of time."""

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
    """Reads log lines; what stands before the JSON object of a line is skipped."""

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
    """Returns the steps by the time at which they begin, in milliseconds."""
    steps: dict[int, Step] = {}
    for line in lines:
        start = line.time_ms // step_ms * step_ms
        steps.setdefault(start, Step()).add(line)
    return dict(sorted(steps.items()))


def count_outcome_by_field(lines: Iterable[LogLine], outcome: str, by: str) -> Counter:
    """Counts the requests with this outcome by one of their fields."""
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
        prog="log-steps", description="Outcomes of requests and changes of belief over time.")
    parser.add_argument("files", nargs="*", help="logs of instances; standard input if none")
    parser.add_argument("--step", type=float, default=2.0, help="seconds of a step (2)")
    parser.add_argument("--from", dest="first_ms", type=int, default=0,
                        help="first time_ms that counts")
    parser.add_argument("--to", dest="last_ms", type=int, default=sys.maxsize,
                        help="last time_ms that counts")
    parser.add_argument("--outcome", help="print the requests with this outcome by a field")
    parser.add_argument("--by", default="instance", help="the field for --outcome (instance)")
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
    """Returns 0, or 1 if no line could be read."""
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
        print(f"log-steps: {reader.unreadable} lines are no log lines", file=sys.stderr)
    return 0 if lines else 1
