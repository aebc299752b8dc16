"""The promises that the soak checks, from the records of callers and backend servers.

Each check returns one line per violation; an empty list means that the promise was kept.
"""

from __future__ import annotations

import re
from collections import Counter, defaultdict

from answer_bytes import COMMENT
from callers import (
    DEADLINE_MARGIN_S, DEADLINE_S, EXPECTED_STREAM, LAST_EVENT, Call, events_of)

REVOKE_S = 5.0
DRAIN_S = 2.0
CONTACT_TIMEOUT_S = 3.0
QUOTA_WINDOW_S = 8.0
QUOTA_OVERRUN = 1.1
QUOTA_SLACK = 11000
NOT_RUN_STATUSES = {408, 421, 429, 503}
# Equals `bounds.grace_s` in the settings of the instances.
GRACE_S = 8.0
# Requests sent later than this after SIGTERM must not be cut at the end of the grace time.
SERVED_AFTER_SIGTERM_S = 3.0
# Requests that are in flight when a server announces a pause may still reach it.
PAUSE_PROPAGATION_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2
# The version of a server's software in an event.
VERSION = re.compile(rb" v\d*$", re.MULTILINE)
EVENT_SIZE = len(EXPECTED_STREAM) // LAST_EVENT
# Time after which an instance that started, or got its connections back, knows the store, and
# after which a server in the store is known to instances.
CONTACT_S = 1.0
# Shares of fewer streams than this are not compared.
MIN_TAKE_UPS = 12
# Kinds of fault that neither end or stall a connection nor stop or suspend a process.
NON_DISRUPTIVE_KINDS = {"rotate_key", "leave", "leave_by_word", "reload", "server_pauses",
                        "server_refuses", "server_slow"}
# Kinds of fault that end or suspend a process; the target is an instance name or a process id.
PROCESS_FAULT_KINDS = {"kill", "terminate", "pause"}


def at_most_once(calls: list[Call], runs: list[dict]) -> list[str]:
    """A booking runs at most once, and never if its answer says that it did not run."""
    times = Counter(run["id"] for run in runs)
    found = []
    for call in calls:
        if call.kind != "book":
            continue
        if times[call.request_id] > 1:
            found.append(f"TWICE {call.request_id} ran {times[call.request_id]} times")
        if call.status in NOT_RUN_STATUSES and times[call.request_id]:
            found.append(f"REFUSED {call.request_id} answered {call.status} and ran")
    return found


def answer_sources(calls: list[Call], runs: list[dict]) -> list[str]:
    """A successful answer is complete, signed, and from a server that ran the same request."""
    servers = defaultdict(set)
    for run in runs:
        servers[run["id"]].add(run["server"].encode())
    found = []
    for call in calls:
        if call.status == 0:
            continue
        if call.headers.get("x-request-id", call.request_id) != call.request_id:
            found.append(f"MIXED {call.request_id} got the answer of another request")
        if call.status != 200:
            continue
        if call.headers.get("x-server-seal") != "s":
            found.append(f"MIXED {call.request_id} got a success without signature")
        if call.kind == "draft":
            body = VERSION.sub(b"", call.body.replace(COMMENT, b""))
            expected = EXPECTED_STREAM[call.last_event_id * EVENT_SIZE:]
            if not (body == expected if call.whole else expected.startswith(body)):
                found.append(f"ORDER {call.request_id} whole={call.whole} {call.body!r}")
        elif call.whole and call.body.removeprefix(b"done by ") not in servers[call.request_id]:
            found.append(f"MIXED {call.request_id} got {call.body!r}")
    return found


def unrequested_runs(calls: list[Call], runs: list[dict]) -> list[str]:
    """Servers run only requests that callers sent, and never receive a caller's key."""
    known = {call.request_id for call in calls}
    found = [f"UNASKED {run['id']} ran" for run in runs if run["id"] not in known]
    found += [f"UNASKED key passed on with {run['id']}" for run in runs
              if "Authorization" in run["headers"]]
    return found


def withdrawn_keys(calls: list[Call], runs: list[dict],
                   withdrawn: dict[str, float]) -> list[str]:
    """No server runs a request sent more than `revoke_ms` after its key was withdrawn."""
    ran = {run["id"] for run in runs}
    return [f"REVOKE {call.request_id} with {call.key} sent "
            f"{call.sent_at - withdrawn[call.key]:.2f} s after the withdrawal"
            for call in calls
            if call.kind != "open" and call.key in withdrawn and call.request_id in ran
            and call.sent_at > withdrawn[call.key] + REVOKE_S]


def quotas(calls: list[Call], runs: list[dict], key: str, rate: float,
           burst: float) -> list[str]:
    """The units that one organisation uses stay within its quota in every time window."""
    units = {call.request_id: 320 if call.kind == "draft" else 1 for call in calls
             if call.key == key and call.kind != "open"}
    limit = (rate * QUOTA_WINDOW_S + burst) * QUOTA_OVERRUN + QUOTA_SLACK
    spent = sorted((run["at"], units[run["id"]]) for run in runs if run["id"] in units)
    found = []
    first = total = 0
    for at, cost in spent:
        total += cost
        while at - spent[first][0] > QUOTA_WINDOW_S:
            total -= spent[first][1]
            first += 1
        if total > limit:
            found.append(f"QUOTA {total} units in a window, {limit:.0f} allowed")
    return found[:1]


def orders(servers) -> list[str]:
    """Each fencing token belongs to one holder, and no runner loads more than its memory holds."""
    holders = defaultdict(set)
    found = []
    for server in servers:
        for order in server.orders:
            holders[order["fencing_token"]].add(order["holder"])
        found += [f"LIMIT {server.name} loaded {held}" for held in server.memory_overcommits]
    found += [f"ONE fence {fence} of {sorted(names)}" for fence, names in holders.items()
              if len(names) > 1]
    return found


def runs_at_departed_servers(calls: list[Call], runs: list[dict], left: dict[str, float],
                 is_undisturbed) -> list[str]:
    """Undisturbed instances send nothing to a server that left more than `drain_ms` ago."""
    sender = {call.request_id: call for call in calls}
    found = []
    for run in runs:
        call = sender.get(run["id"])
        since = left.get(run["server"])
        if call is None or since is None or run["at"] <= since + DRAIN_S + CONTACT_TIMEOUT_S:
            continue
        if call.sent_at > since + DRAIN_S and is_undisturbed(
                call.instance, run["at"] - CONTACT_TIMEOUT_S, run["at"]):
            found.append(f"DRAIN {run['id']} at {run['server']}, {run['at'] - since:.2f} s "
                         "after it left")
    return found


def fault_overlaps(faults, target: str, begin: float, end: float) -> bool:
    """Whether a disruptive fault of the target overlaps the time span. Connections silenced before
    the span stay silent, so `connections_silent` counts without an end."""
    return any(fault.target == target and fault.kind not in NON_DISRUPTIVE_KINDS
               and fault.begin <= end
               and (fault.end >= begin or fault.kind == "connections_silent")
               for fault in faults)


def undisturbed_stops(stops, faults) -> list:
    """Returns the stops during which no other fault ended or suspended the process."""
    ends = [fault for fault in faults if fault.kind in PROCESS_FAULT_KINDS]
    return [stop for stop in stops
            if not any(fault_overlaps(ends, target, stop.begin, stop.end)
                       for target in (stop.instance, str(stop.process)))]


def planned_stops(calls: list[Call], arrivals: list[dict], stops, faults,
                  timed: bool = True) -> list[str]:
    """A process that is stopped only by SIGTERM exits within `grace_s`, and each of its requests
    that reached a server gets a complete answer.

    A request that the process did not read may end with its connection; it has not run. A stream
    that has begun may end at its deadline."""
    servers = defaultdict(set)
    for arrival in arrivals:
        servers[arrival["id"]].add(arrival["server"])
    found = []
    for stop in undisturbed_stops(stops, faults):
        if stop.code != 0:
            found.append(f"STOP {stop.instance} {stop.process} ended with {stop.code}")
        if timed and stop.end - stop.begin > GRACE_S:
            found.append(f"STOP {stop.instance} {stop.process} ended after "
                         f"{stop.end - stop.begin:.2f} s")
        for call in calls:
            reached = servers[call.request_id]
            if (call.process != stop.process or call.ended_at < stop.begin or call.whole
                    or call.broken_off or not call.written or not (reached or call.status)
                    or is_stream_at_its_deadline(call)):
                continue
            if not any(fault_overlaps(faults, server, call.sent_at, call.ended_at)
                       for server in reached):
                found.append(f"LOST {call.request_id} {call.kind} written={call.written} "
                             f"status {call.status} {len(call.body)} bytes, ended "
                             f"{call.ended_at - stop.begin:.2f} s after SIGTERM")
    return found


def streams_without_end(calls: list[Call], runs: list[dict], run_ends: dict[str, float], stops,
                        faults) -> list[str]:
    """A stream that has begun ends whole or at its deadline, whether its instance stops or not.

    `run_ends` is when the last run of each request ended. Excused are a runner that broke off, an
    instance that was killed, and the end of the grace time while the runner was still at work.
    A runner's silence and a suspended instance are no excuses."""
    servers = defaultdict(set)
    for run in runs:
        servers[run["id"]].add(run["server"])
    killed = [fault for fault in faults if fault.kind in ("kill", "terminate")]
    found = []
    for call in calls:
        if (call.kind != "draft" or call.status != 200 or call.whole
                or call.broken_off or is_stream_at_its_deadline(call)
                or fault_overlaps(killed, call.instance, call.sent_at, call.ended_at)
                or any(fault_overlaps(faults, server, call.sent_at, call.ended_at)
                       for server in servers[call.request_id])):
            continue
        (stop,) = [stop for stop in stops if stop.process == call.process][:1] or [None]
        if stop and may_cut_at_the_end(call, run_ends.get(call.request_id, 0.0), stop):
            continue
        when = f"{call.ended_at - stop.begin:.2f} s after SIGTERM" if stop else "without a stop"
        found.append(f"CUT {call.request_id} {len(call.body)} bytes, ended "
                     f"{call.ended_at - call.sent_at:.2f} s after it was sent, {when}")
    return found


def is_stream_at_its_deadline(call: Call) -> bool:
    return (call.kind == "draft" and call.status == 200
            and call.ended_at >= call.sent_at + DEADLINE_S - DEADLINE_MARGIN_S)


def may_cut_at_the_end(call: Call, run_end: float, stop) -> bool:
    """Whether a call may be cut because its runner was at work as the grace time ran out."""
    last_sixth = stop.begin + GRACE_S * 5 / 6
    return call.sent_at <= stop.begin + SERVED_AFTER_SIGTERM_S and (
        min(call.ended_at, run_end) >= last_sixth)


def leaving_servers(calls: list[Call], servers) -> list[str]:
    """A process sends no later request to a server whose answer said that it is leaving."""
    sender = {call.request_id: call for call in calls}
    places = defaultdict(set)
    for server in servers:
        for _, name in server.arrivals:
            places[name].add(server.name)
    found = []
    for server in servers:
        known: dict[int, float] = {}
        for call in (sender.get(name) for name in server.leaving_request_ids):
            # A successful answer to a request that reached only this server came from it, so the
            # process has seen the server's leaving header.
            if call and call.status == 200 and places[call.request_id] == {server.name}:
                known[call.process] = min(call.ended_at, known.get(call.process, float("inf")))
        for at, name in server.arrivals:
            call = sender.get(name)
            if call and call.sent_at > known.get(call.process, float("inf")):
                found.append(f"LEAVING {name} of {call.instance} reached {server.name} "
                             f"{at - known[call.process]:.2f} s after its word was passed on")
    return found


def paused_servers(calls: list[Call], servers, faults) -> list[str]:
    """A process sends at most a few requests to a server during the pause it asked for."""
    sender = {call.request_id: call for call in calls}
    pauses = [fault for fault in faults if fault.kind == "pause"]
    found = []
    for server in servers:
        told = defaultdict(list)
        for (at, text), name in zip(server.sent_pauses, server.paused_request_ids):
            if name in sender:
                told[sender[name].process].append((at, at + float(text)))
        for process, spans in told.items():
            came = [at for at, name in server.arrivals
                    if name in sender and sender[name].process == process]
            for begin, own_end in spans:
                # A later pause replaces an earlier one, even if it ends sooner.
                end = min([own_end, *(later for at, later in spans if begin < at < own_end)])
                early = [at for at in came if begin + PAUSE_PROPAGATION_S < at < end]
                if len(early) > MAX_REQUESTS_IN_PAUSE and not (
                        fault_overlaps(faults, server.name, begin, end) or
                        fault_overlaps(pauses, str(process), begin, end)):
                    found.append(f"PAUSED {len(early)} requests of process {process} at "
                                 f"{server.name} in {end - begin:.2f} s from {begin:.3f}")
                    break
    return found


def tries_of_streams(calls: list[Call]) -> dict[str, list[Call]]:
    """Returns the calls of each stream, by the id of its first call. A caller takes a stream up
    only after its earlier call has ended."""
    tries = defaultdict(list)
    for call in calls:
        if call.kind == "draft":
            tries[call.resumes or call.request_id].append(call)
    return tries


def joined_streams(calls: list[Call]) -> list[str]:
    """No stream holds events of two versions, in one answer or over its caller's tries: what two
    versions write does not fit together."""
    found = []
    for name, tries in tries_of_streams(calls).items():
        versions = [version for call in tries for _, version in events_of(call.body)]
        if len(set(versions)) > 1:
            found.append(f"JOINED {name} {'|'.join(versions)} in {len(tries)} tries, "
                         f"{len({v for _, v in events_of(tries[0].body)})} versions in the first")
    return found


def streams_without_last_event(calls: list[Call]) -> list[str]:
    """No stream that looks complete lacks its last event: its caller would not take it up."""
    return [f"SHORT {call.request_id} after event {call.last_event_id} {call.body!r}"
            for call in calls if call.kind == "draft" and call.status == 200 and call.whole
            and [call.last_event_id, *(n for n, _ in events_of(call.body))][-1] != LAST_EVENT]


def events_over_tries(calls: list[Call]) -> list[str]:
    """No event is missing, repeated or out of order over a caller's tries: a caller that takes a
    stream up joins what it gets to what it has."""
    found = []
    for name, tries in tries_of_streams(calls).items():
        numbers = [number for call in tries for number, _ in events_of(call.body)]
        if numbers != list(range(1, len(numbers) + 1)):
            found.append(f"EVENTS {name} {numbers} in {len(tries)} tries")
    return found


def is_in_touch(call: Call, faults, stops) -> bool:
    """Whether a call's instance ran and reached the store for CONTACT_S before the call and while
    it was open."""
    own = {call.instance, f"store-{call.instance}", f"peer-{call.instance}"}
    causes = [fault for fault in faults
              if fault.target in own or (fault.kind.startswith("store_") and not fault.target)]
    causes += [stop for stop in stops if stop.instance == call.instance]
    return not any(cause.begin <= call.ended_at and cause.end >= call.sent_at - CONTACT_S
                   for cause in causes)


def serving_runners(runners, faults, version: str, begin: float, end: float) -> int:
    """Returns how many runners of a version served undisturbed for the whole time span."""
    return sum(any(period.version == version and period.begin + CONTACT_S <= begin
                   and period.end >= end for period in runner.serving_periods)
               and not fault_overlaps(faults, runner.name, begin - CONTACT_S, end)
               for runner in runners)


def goes_on(call: Call) -> bool:
    """Whether a stream got an event, or the end of a stream of which the caller has all events."""
    return call.status == 200 and bool(
        events_of(call.body) or (call.whole and call.last_event_id == LAST_EVENT))


def shares_that_go_on(calls: list[Call], runners, faults, stops) -> tuple[list[bool], list[bool]]:
    """Returns whether the new streams began, and whether those went on that were taken up while
    two runners of their version served; both at instances in touch."""
    begun, taken_up = [], []
    for tries in tries_of_streams(calls).values():
        version = next((version for _, version in events_of(tries[0].body)), "")
        for call in tries:
            if not is_in_touch(call, faults, stops):
                continue
            if not call.resumes:
                begun.append(goes_on(call))
            elif serving_runners(runners, faults, version, call.sent_at, call.ended_at) >= 2:
                taken_up.append(goes_on(call))
    return begun, taken_up


def take_ups(begun: list[bool], taken_up: list[bool]) -> list[str]:
    """At least half as large a share of the streams that are taken up goes on as of new streams
    begins: instances that refuse every take-up would join no stream."""
    if len(taken_up) < MIN_TAKE_UPS or not begun:
        return []
    share, new_share = sum(taken_up) / len(taken_up), sum(begun) / len(begun)
    return [f"TAKE-UP {share:.2f} of {len(taken_up)} taken up went on, {new_share:.2f} of "
            f"{len(begun)} new streams began"] if share < new_share / 2 else []
