"""The load of seeds in which servers of several versions serve side by side while releases replace
some of them and all instances are killed at once."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from answer_bytes import END
from callers import LAST_EVENT
from stop_load import UnevenRunner

# Seeds from this one on play releases.
FIRST_SEED = 7000
CALLER_STYLES = ("streams",) * 14 + ("brisk",) * 4
SCHEDULE_S = 12.0
# Kinds of which a seed plays some beside releases and kills of all instances.
MORE_KINDS = ("connections_reset", "kill", "link_cut", "stop", "stop_series", "store_away",
              "store_away_for_one", "store_forgets", "store_loses_answers", "store_slow",
              "terminate")
MAX_MORE_KINDS = 4
# Share of the runs that end early at the runners of a seed in which some do.
MAX_EARLY_SHARE = 0.3


@dataclass(frozen=True)
class Profile:
    """How many versions are in service at once, which share of the runs ends early, the longest
    pause between kills of all instances, and what happens beside these and releases."""

    versions: int
    early_share: float
    max_kill_pause_s: float
    more_kinds: tuple[str, ...]


@dataclass
class ServingPeriod:
    """The time in which a runner's row states that it serves, and its version."""

    version: str
    begin: float
    end: float = float("inf")


def profile_of(seed: int) -> Profile | None:
    if seed < FIRST_SEED:
        return None
    choice = random.Random(f"release {seed}")
    more = choice.sample(MORE_KINDS, choice.randint(0, MAX_MORE_KINDS))
    early_share = choice.choice([0.0, choice.uniform(0.05, MAX_EARLY_SHARE)])
    return Profile(2 + seed % 2, early_share, choice.uniform(2.0, 6.0), tuple(more))


class VersionedRunner(UnevenRunner):
    """A runner that puts its version into each event; some of its runs end early."""

    def __init__(self, *arguments, seed: int, number: int, early_share: float,
                 ended_empty: set[str]) -> None:
        """`ended_empty` is shared by all runners. It holds the requests that were resumed by a run
        without an event: a second one would confirm to the instance that the stream has ended."""
        self.number = number
        self._early_share = early_share
        self._ended_empty = ended_empty
        self.serving_periods = [ServingPeriod(f"v{number}", time.monotonic())]
        # When runs ended early.
        self.early_ends: list[float] = []
        super().__init__(*arguments, seed=seed, silent=False)

    def record(self, state: str = "ready") -> None:
        self.version = f"v{self.number}"
        super().record(state)
        if state != "ready":
            self.end_serving()

    def end_serving(self) -> None:
        period = self.serving_periods[-1]
        period.end = min(period.end, time.monotonic())

    def restart(self) -> None:
        """Simulates a restart, with newer software if `number` has changed."""
        self.end_serving()
        super().restart()
        self.serving_periods.append(ServingPeriod(self.version, time.monotonic()))

    def _send_events(self, call, first: int, silences: dict[int, float]) -> None:
        version = self.version.encode()
        choice = random.Random(f"{self.name} {call.headers['X-Request-Id']} {first}")
        early = first <= LAST_EVENT and choice.random() < self._early_share
        last = choice.randint(first - 1, LAST_EVENT - 1) if early else LAST_EVENT
        for number in range(first, last + 1):
            time.sleep(silences.get(number, 0.0))
            self._send_piece(call, b"id: %d\ndata: %d %s\n\n" % (number, number, version))
        if early:
            self.early_ends.append(time.monotonic())
            self._end_early(call, choice, last + 1, may_be_empty=1 < first == last + 1)
        else:
            call.wfile.write(END)

    def _end_early(self, call, choice: random.Random, number: int, may_be_empty: bool) -> None:
        """Ends an answer inside an event or, if `may_be_empty`, before one: with its connection,
        or with its last chunk."""
        request_id = call.headers["X-Request-Id"]
        if may_be_empty and request_id not in self._ended_empty and choice.random() < 0.5:
            self._ended_empty.add(request_id)
        else:
            self._send_piece(call, b"id: %d\nda" % number)
        if choice.random() < 0.3:
            call.drop()
        else:
            call.wfile.write(END)
