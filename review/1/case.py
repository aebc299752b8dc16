"""Bookings that ran, failed at their server with a long 503, and are answered 503."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common"))
from fleet import BROKEN, HELD, TROUBLE, Fleet, play  # noqa: E402

SERVERS = 7
# One of seven servers is within the share of 0.15. Two in each five of its requests fail (0.4).
FAILING = (1, 3)
FAILING_S = 5.0
TIME_BUDGET_MS = 3000
FAILURE_BYTES = int(sys.argv[1]) if len(sys.argv) > 1 else 100_000
TRAFFIC_S = 5.0
BOOKINGS_PER_S = 30
PROMISES_NOT_RUN = (408, 421, 429, 503)


def story(fleet: Fleet) -> tuple[int, str]:
    for number in range(SERVERS):
        grey = {"failing": FAILING, "failing_s": FAILING_S, "failure_bytes": FAILURE_BYTES}
        fleet.add_runner(f"d{number}", "dispatch", 6, work_s=0.06,
                         **(grey if TROUBLE and number == 0 else {}))
    fleet.start_instances(3)
    # The final statuses of each client attempt, by its id.
    statuses: dict[str, int | None] = {}

    def book(number: int) -> None:
        """A booking; the client repeats it once, at another machine, after a promise that it has
        not run and never will."""
        began = time.monotonic()
        for attempt in range(2):
            left_ms = TIME_BUDGET_MS - int(1000 * (time.monotonic() - began))
            request_id = f"booking-{number}-{attempt}"
            status, _, answer = fleet.call((number + attempt) % 3, "POST", f"/book/{number}",
                                           request_id, b"booking %d" % number, left_ms)
            statuses[request_id] = status
            if status not in PROMISES_NOT_RUN:
                return
            time.sleep(min(float(answer.get("Retry-After", 0)), left_ms / 3000))

    clients = []
    for number in range(int(TRAFFIC_S * BOOKINGS_PER_S)):
        clients.append(threading.Thread(target=book, args=(number,), daemon=True))
        clients[-1].start()
        time.sleep(1 / BOOKINGS_PER_S)
    for client in clients:
        client.join()
    ran = [arrival["id"] for arrival in fleet.arrivals()]
    refused = sorted(each for each in statuses
                     if statuses[each] in PROMISES_NOT_RUN and each in ran)
    bookings = [each.rsplit("-", 1)[0] for each in ran]
    doubled = sorted({each for each in bookings if bookings.count(each) > 1})
    served = sum(status == 200 for status in statuses.values())
    return (BROKEN if refused else HELD,
            f"{len(statuses)} requests, {served} served; answered 408, 421, 429 or 503 though "
            f"they have run: {len(refused)} {refused[:5]}; booked twice: {len(doubled)}")


play("1", story)
