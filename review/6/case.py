"""Sound prompts share a first part with prompts that crash runners."""

import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
from fleet import (BROKEN, CONTACT_S, HELD, Fleet, Runner, configuration, own_part,  # noqa: E402
                   route, run_case, stream_headers)

FORMER_FIRST_PART = "5a5a0001"
NEW_FIRST_PART = "5a5a0002"
HARMFUL_PART = "bad0bad0"
CALM_S, PLAY_S = 10.0, 40.0
SOUND_PER_S, HARMFUL_PER_S = 2.5, 1.0
LOAD_S = 2.0


def main() -> int:
    chooser = random.Random(48)
    fleet = Fleet(FOLDER)
    routes = [route("draft", "streaming", "llm", resumable=True, max_attempts=2,
                    timeout_ms=15000, target_latency_ms=1000, gap_target_ms=300)]
    fleet.store.put("op", "config", configuration(["k1"], routes, ("m1", "m2"), LOAD_S))
    # As the pages say, a busy model is on many runners and another one on one runner.
    fleet.runners = [Runner(fleet.store, fleet.record, f"r{number}", harmful_part=HARMFUL_PART,
                            models=["m1", "m2"] if number == 0 else ["m1"], load_s=LOAD_S,
                            events=30, pace_s=0.1, prefill_s=0.1) for number in range(6)]
    fleet.start_instances(3, len(fleet.runners))
    began = time.monotonic()
    calm_end, end = began + CALM_S, began + CALM_S + PLAY_S
    number = 0
    while time.monotonic() < end:
        calm = time.monotonic() < calm_end
        rate = SOUND_PER_S + (0 if calm else HARMFUL_PER_S)
        time.sleep(chooser.expovariate(rate))
        number += 1
        harmful = not calm and chooser.random() < HARMFUL_PER_S / rate
        first = FORMER_FIRST_PART if calm else NEW_FIRST_PART
        parts = [first, *([HARMFUL_PART] if harmful else []), own_part(chooser)]
        label = "harmful" if harmful else "calm" if calm else "sound"
        fleet.send(chooser.choice(fleet.instances), f"/draft/{number}", f"c{number:04d}",
                   stream_headers(parts, 15000, model="m2"), label)
    fleet.join()
    crashes = fleet.crashes()
    begun = {request_id for runner in fleet.runners for _, request_id, _ in runner.reached}
    before = [each for each in fleet.answers if each.label == "calm"]
    settled = (crashes[min(len(crashes), 5) - 1] if crashes else calm_end) + 2 * CONTACT_S
    during = [each for each in fleet.answers
              if each.label == "sound" and settled <= each.sent_at < end]

    def share(answers) -> float:
        return sum(each.request_id in begun for each in answers) / max(len(answers), 1)

    refused = [each.status for each in during if each.request_id not in begun]
    fleet.record.result(
        f"{len(crashes)} crashes; sound requests that began at a runner at the first attempt: "
        f"{share(before):.2f} of {len(before)} before, {share(during):.2f} of {len(during)} later "
        f"than 2 x contact_ms after the crashes; statuses of the others: "
        f"{ {status: refused.count(status) for status in set(refused)} }")
    if len(before) < 20 or len(during) < 20:
        raise RuntimeError("fewer than 20 requests")
    return BROKEN if share(during) < share(before) / 2 else HELD


run_case(main)
