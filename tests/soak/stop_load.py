"""The load of seeds that stop instances again and again: silent runners and starved processes."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from platform_fleet import BackendServer

# Seeds that play a stop load; PROFILES[seed % len(PROFILES)] is the profile of a seed.
SEEDS = range(5000, 7000)
SCHEDULE_S = 20.0
SILENCE_S = (0.3, 3.0)
MAX_SILENT_SHARE = 0.4
EVENT_PAUSE_S = (0.0, 0.2)
# Fixed part of the retry budget of one instance in a deployment with 95 instances and
# budget_slack 230.
BUDGET_SLACK_PER_INSTANCE = 230 / 95
# Faults of servers that end no answer in progress.
SERVER_KINDS = ("server_refuses", "leave", "leave_by_word", "server_pauses")


@dataclass(frozen=True)
class Profile:
    """What happens beside the planned stops."""

    silent: bool = False
    starved: bool = False
    server_kinds: tuple[str, ...] = ()


PROFILES = (Profile(silent=True), Profile(silent=True, starved=True),
            Profile(silent=True, server_kinds=SERVER_KINDS),
            Profile(starved=True, server_kinds=SERVER_KINDS))


def settings(instances: int) -> str:
    """Returns the settings that give each of the fleet's instances the retry budget that it has
    in a large deployment."""
    return f"bounds.budget_slack={BUDGET_SLACK_PER_INSTANCE * instances:.2f}\n"


def profile_of(seed: int) -> Profile | None:
    return PROFILES[seed % len(PROFILES)] if seed in SEEDS else None


class UnevenRunner(BackendServer):
    """A runner that pauses between events and is silent in the middle of some streams."""

    def __init__(self, *arguments, seed: int, silent: bool) -> None:
        self._seed = seed
        share = random.Random(seed).uniform(0.1, MAX_SILENT_SHARE)
        self._silent_share = share if silent else 0.0
        # When this runner's last run of each request ended, whether whole or not.
        self.run_ends: dict[str, float] = {}
        super().__init__(*arguments)

    def silences_of(self, request_id: str, first: int) -> dict[int, float]:
        choice = random.Random(f"{self._seed} {request_id} {first}")
        silences = {number: choice.uniform(*EVENT_PAUSE_S) for number in range(1, 6)}
        if first == 1 and choice.random() < self._silent_share:
            silences[choice.randint(2, 5)] += choice.uniform(*SILENCE_S)
        return silences

    def _stream(self, call, headers: dict[str, str]) -> None:
        try:
            super()._stream(call, headers)
        finally:
            self.run_ends[call.headers.get("X-Request-Id")] = time.monotonic()


def last_run_ends(servers: list[BackendServer]) -> dict[str, float]:
    """Returns when the last run of each stream ended at any uneven runner."""
    ends: dict[str, float] = {}
    for server in servers:
        if isinstance(server, UnevenRunner):
            for request_id, end in server.run_ends.items():
                ends[request_id] = max(end, ends.get(request_id, end))
    return ends
