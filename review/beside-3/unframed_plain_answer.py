"""A plain server crashes while it sends an answer that has neither a length nor chunks. The caller
gets the first half as a complete success.

No case of the review (see REPORT-3.md). Usage: python3 -B review/beside-3/unframed_plain_answer.py,
with TROUBLE=0 for the same without the crash. Writes record.txt into its folder.
"""

from __future__ import annotations

import sys
import threading
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))
from case import TROUBLE, CaseError, Fleet, ServerProcess, Store, run_case  # noqa: E402
from entry_fleet import configuration, wait_until  # noqa: E402

WHOLE_BODY = b"first half, second half"
# Pause between the halves of a body.
BODY_PAUSE_S = 1.0
REQUESTS = 28
# `srv_crash` takes a share of 0.15 down: one of seven.
SERVERS = 7


def send_request(record, instance, number: int, outcomes: dict) -> None:
    request = f"q{number}"
    path = "/status/a" if number % 2 else "/book/a"
    try:
        status, body, headers = instance.request(path, id=request)
    except OSError as failure:
        outcomes[request] = (0, b"", False)
        record.write(f"caller of {request}, {path}: {failure!r}")
        return
    outcomes[request] = (status, body, "X-Server-Seal" in headers)
    record.write(f"caller of {request}, {path}: {status}, {body!r}, {headers}")


def play(record) -> list[str]:
    store = Store()
    with Fleet(store) as fleet:
        store.put("op", "config", configuration(1, ["k1"]))
        servers = [ServerProcess(fleet, record, f"p{number}", "plain", 0, BODY_PAUSE_S)
                   for number in range(1, SERVERS + 1)]
        crashing = servers[0]
        instance = fleet.add_instance("front-1")
        instance.wait_until_serving(servers=SERVERS)
        outcomes: dict[str, tuple[int, bytes, bool]] = {}
        callers = [threading.Thread(target=send_request, daemon=True,
                                    args=(record, instance, number, outcomes))
                   for number in range(REQUESTS)]
        for caller in callers:
            caller.start()
        wait_until(lambda: sum(server.count("half") for server in servers) == REQUESTS,
                   "the first half of all answers", 10)
        if not crashing.count("half"):
            raise CaseError("no request runs at the server that crashes")
        if TROUBLE:
            crashing.crash()
            record.write("p1 has crashed")
        for caller in callers:
            caller.join(30)
        if len(outcomes) < REQUESTS:
            raise CaseError("a request did not end")
        return [f"{request} got {status} with a signature and the body {body!r} of {WHOLE_BODY!r}"
                for request, (status, body, signed) in sorted(outcomes.items())
                if status == 200 and body != WHOLE_BODY]


run_case(str(FOLDER), play)
