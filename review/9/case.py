"""The part that crashes runners stands behind more than 256 parts of its prompt."""

import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
from fleet import (Fleet, Runner, configuration, judge_containment, own_part, route,  # noqa: E402
                   run_case, stream_headers)

FIRST_PART = "5a5a0001"
HARMFUL_PART = "bad0bad0"
# Conversations, and the parts of each. Requests of one conversation share them.
CONVERSATIONS, EARLIER_PARTS = 40, 300
CALM_S, PLAY_S = 5.0, 40.0
SOUND_PER_S = 5.0
# Time between two requests with the harmful part.
HARMFUL_GAP_S = (1.0, 2.0)


def main() -> int:
    chooser = random.Random(48)
    fleet = Fleet(FOLDER)
    # A stream that may not be resumed runs once, so no request is sent again.
    routes = [route("draft", "streaming", "llm", timeout_ms=20000, target_latency_ms=4000,
                    gap_target_ms=300)]
    fleet.store.put("op", "config", configuration(["k1"], routes))
    fleet.runners = [Runner(fleet.store, fleet.record, f"r{number}", harmful_part=HARMFUL_PART,
                            events=20, pace_s=0.1, prefill_s=0.05) for number in range(12)]
    fleet.start_instances(3, len(fleet.runners))
    conversations = [[own_part(chooser) for _ in range(EARLIER_PARTS)]
                     for _ in range(CONVERSATIONS)]
    began = time.monotonic()
    calm_end, end = began + CALM_S, began + CALM_S + PLAY_S
    next_harmful = calm_end
    number = 0
    while time.monotonic() < end:
        time.sleep(chooser.expovariate(SOUND_PER_S))
        number += 1
        harmful = time.monotonic() >= next_harmful
        if harmful:
            next_harmful += chooser.uniform(*HARMFUL_GAP_S)
        parts = [FIRST_PART, *chooser.choice(conversations),
                 *([HARMFUL_PART] if harmful else []), own_part(chooser)]
        fleet.send(chooser.choice(fleet.instances), f"/draft/{number}", f"c{number:04d}",
                   stream_headers(parts, 20000, part_tokens=12, prompt_tokens=4500),
                   "harmful" if harmful else "sound")
    fleet.join()
    return judge_containment(fleet)


run_case(main)
