"""Refunded quota adds up while servers pause, and is spent in one window. No case of the review.

All runners turn requests away with Retry-After for a while, and one tenant sends 4.2 times its rate
(7.5 times its usual, at quotas of 1.8 times the usual). Prints the largest number of tokens that were
sent and ran within a quota window, and the bound. Run from anywhere, after the build of the deploy
file: python3 -B quota_refunds.py [seconds of the pause, 18 by default; 0 for none].
"""

import random
import sys
import tempfile
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
from fleet import Fleet, Runner, configuration, own_part, route, stream_headers  # noqa: E402

RATE, TOKENS, WINDOW_S = 5000.0, 1631, 8.0
BOUND = (RATE * WINDOW_S + RATE) * 1.1 + 11000
PER_S = 4.2 * RATE / TOKENS


class PausingRunner(Runner):
    """Refuses requests with Retry-After while `pausing` is set; records those that it runs."""

    pausing = False

    def _run(self, call, body):
        request_id = call.headers["X-Request-Id"]
        if PausingRunner.pausing:
            call.answer(503, b"", {"X-Request-Id": request_id, "X-Not-Executed": "1",
                                   "Retry-After": "2"})
            return
        super()._run(call, body)


def main() -> None:
    pause_s = float(sys.argv[1]) if len(sys.argv) > 1 else 18.0
    chooser = random.Random(1)
    fleet = Fleet(Path(tempfile.mkdtemp()))
    routes = [route("draft", "streaming", "llm", resumable=True, max_attempts=2,
                    timeout_ms=15000, target_latency_ms=1000, gap_target_ms=300)]
    config = configuration(["k1"], routes)
    config["tenants"][0].update(rate_per_s=RATE, burst=RATE)
    fleet.store.put("op", "config", config)
    fleet.runners = [PausingRunner(fleet.store, fleet.record, f"r{number}", events=10,
                                   pace_s=0.05, prefill_s=0.05) for number in range(4)]
    fleet.start_instances(3, len(fleet.runners))
    sent: dict[str, float] = {}

    def play(seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            time.sleep(chooser.expovariate(PER_S))
            request_id = f"q{len(sent):05d}"
            sent[request_id] = time.monotonic()
            fleet.send(chooser.choice(fleet.instances), "/draft/a", request_id,
                       stream_headers(["5a5a0001", own_part(chooser)], 15000))

    play(5)
    PausingRunner.pausing = pause_s > 0
    play(pause_s)
    PausingRunner.pausing = False
    play(12)
    fleet.join()
    runs = [(sent[request_id], at) for runner in fleet.runners
            for at, request_id, _ in runner.reached]
    most = max(sum(first <= sent_at and at <= first + WINDOW_S for sent_at, at in runs)
               for first, _ in runs)
    print(f"{most * TOKENS} tokens in a window; {BOUND:.0f} are allowed", flush=True)


main()
