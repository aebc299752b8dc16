"""Sends the demo's requests to the fleet, in phases."""

import collections
import itertools
import signal
import time

import settings
from fleet import Replay, wait_for

CHAT = "/v1/chat/completions"


class Scenario:
    """Runs all phases and records the requests and their answers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.requests = {}
        self.answers = {}
        self.phases = {}
        # Number of executions by request reference at the end of each phase.
        self.runs_after = {}
        self.facts = {}
        self.version = 0
        self.numbers = itertools.count(1)

    # Builders of requests.

    def request(self, path, organisation=None, **fields):
        number = next(self.numbers)
        asked = {"id": f"q{number}", "reference": f"ref{number:04}", "path": path,
                 "deadline_ms": 20000}
        if organisation:
            asked["key"] = settings.KEYS[organisation]
        return asked | fields

    def chat(self, organisation, model, tokens=20, **fields):
        return self.request(CHAT, organisation, model=model, prompt_tokens=10,
                            max_tokens=tokens, **{"stream": True} | fields)

    def booking(self, path="/dispatch/bookings", organisation="harbour", **fields):
        asked = self.request(path, organisation, **fields)
        return {"idempotency_key": f"once-{asked['reference']}"} | asked

    # Running of phases.

    def begin(self, name, trace):
        self.phases[name] = [request["id"] for request in trace]
        self.requests |= {request["id"]: request for request in trace}
        print(f"  {name}: {len(trace)} requests", flush=True)
        return Replay(self.fleet, name, trace)

    def count_runs(self):
        runs = collections.Counter()
        for server in self.fleet.backends():
            runs.update(server.log()["by_reference"])
        return runs

    def finish(self, replay):
        found = replay.answers()
        self.runs_after[replay.name] = self.count_runs()
        self.answers |= {answer["id"]: answer for answer in found}
        self.facts.setdefault("reverted", []).extend(self.fleet.reverted_versions())
        return found

    def replay(self, name, trace):
        return self.finish(self.begin(name, trace))

    def run(self):
        self.start()
        for phase in (self.chat_streams, self.cold_adapters, self.bookings, self.public_route,
                      self.unknown_keys, self.withdrawn_key, self.over_rate,
                      self.graceful_stop, self.killed_instance, self.leaving_backend):
            phase()

    def start(self):
        self.fleet.start_standins()
        for number in range(settings.INSTANCES):
            self.fleet.start_daemon(f"entry-{number}", f"domain-{number}")
        for daemon in self.fleet.daemons:
            wait_for(lambda daemon=daemon: daemon.config_version() >= 0 and daemon.alive(), 15,
                     f"admin port of {daemon.name}")
        self.submit("initial", settings.replace_change(settings.initial_config()))
        for daemon in self.fleet.daemons:
            wait_for(daemon.ready, 20, f"{daemon.name} ready")

    def submit(self, name, change):
        answer, taken = self.fleet.submit(f"demo-{name}", self.version, change)
        self.version = answer["version"]
        self.facts.setdefault("changes", []).append(
            {"name": name, "taken_s": taken, "accepted": answer.get("accepted", False),
             "version": self.version})

    def chat_streams(self):
        self.replay("chat streams", [
            self.chat("harbour" if number % 2 else "meadow",
                      settings.MODELS[number % len(settings.MODELS)], at_ms=number * 20)
            for number in range(60)])

    def cold_adapters(self):
        self.replay("cold adapters", [
            self.chat("harbour", adapter, at_ms=number * 30, stream=bool(number % 2))
            for number, adapter in enumerate(list(settings.ADAPTERS) * 2)])

    def bookings(self):
        for server in self.fleet.plain["dispatch"]:
            server.set_faults(lose_answers=1, lose_path="/dispatch/bookings")
        first = [self.booking(at_ms=number * 10) for number in range(30)]
        first += [self.booking("/registry/filings", "meadow", at_ms=number * 10)
                  for number in range(15)]
        self.replay("bookings", first)
        repeats = [asked | {"id": asked["id"] + "r"} for asked in first]
        other_body = first[0] | {"id": "other-body", "reference": "ref-other"}
        no_key = self.request("/dispatch/bookings", "harbour")
        self.facts["other_body"], self.facts["no_key"] = other_body["id"], no_key["id"]
        self.replay("bookings again", repeats + [other_body, no_key])
        for server in self.fleet.plain["dispatch"]:
            server.set_faults(lose_answers=0)

    def public_route(self):
        self.replay("public route", [
            self.request("/registry/public/search", at_ms=number * 5) for number in range(30)])

    def unknown_keys(self):
        trace = [self.request("/dispatch/jobs", key="key-of-nobody"),
                 self.request("/dispatch/jobs"),
                 self.chat(None, "atlas", key="key-of-nobody"),
                 self.chat(None, "atlas")]
        self.facts["foreign"] = [request["id"] for request in trace]
        self.replay("foreign keys", trace)

    def withdrawn_key(self):
        # Streams that take half a minute, so that they are in progress when the key is withdrawn.
        streams = [self.chat("visitor", "atlas", tokens=15000, deadline_ms=70000)
                   for _ in range(6)]
        replay = self.begin("streams of a withdrawn key", streams)
        wait_for(lambda: sum(engine.log()["by_reference"].get(stream["reference"], 0)
                             for engine in self.fleet.engines for stream in streams)
                 >= len(streams), 20, "streams in progress")
        begun = time.monotonic()
        self.submit("withdraw", settings.withdraw_change("visitor"))
        self.finish(replay)
        self.facts["streams_ended_s"] = time.monotonic() - begun
        self.facts["withdrawn_streams"] = [stream["id"] for stream in streams]
        late = [self.chat("visitor", "atlas") for _ in range(9)]
        late += [self.request("/dispatch/jobs", "visitor") for _ in range(9)]
        self.facts["after_withdrawal"] = [request["id"] for request in late]
        self.replay("after the withdrawal", late)

    def over_rate(self):
        trace = [self.chat("small", "atlas", tokens=20, at_ms=number * 40, deadline_ms=500)
                 for number in range(60)]
        begun = time.monotonic()
        self.replay("over its rate", trace)
        self.facts["rate_window_s"] = time.monotonic() - begun
        self.facts["rate_requests"] = [request["id"] for request in trace]

    def mixed_trace(self, count, spacing_ms):
        """Long streams with bookings between them."""
        return [self.booking(at_ms=number * spacing_ms) if number % 4 == 3 else
                self.chat("harbour", settings.MODELS[number % 3], tokens=300,
                          at_ms=number * spacing_ms)
                for number in range(count)]

    def graceful_stop(self):
        trace = self.mixed_trace(80, 60)
        self.facts["graceful"] = [request["id"] for request in trace]
        replay = self.begin("graceful stop", trace)
        time.sleep(1.5)
        stopped = self.fleet.daemons[0]
        self.fleet.register_daemon(stopped, "leaving")
        stopped.process.send_signal(signal.SIGTERM)
        begun = time.monotonic()
        self.finish(replay)
        wait_for(lambda: not stopped.alive(), settings.DRAIN_LIMIT_S, "end of the drain")
        self.facts["drain_s"] = time.monotonic() - begun
        self.facts["drain_status"] = stopped.process.returncode
        self.fleet.register_daemon(stopped, "gone")
        replacement = self.fleet.start_daemon("entry-3", "domain-0")
        wait_for(replacement.ready, 20, f"{replacement.name} ready")

    def killed_instance(self):
        trace = self.mixed_trace(60, 50)
        replay = self.begin("killed instance", trace)
        time.sleep(1.5)
        killed = self.fleet.daemons[1]
        killed.process.kill()
        killed.process.wait()
        self.facts["killed_port"] = str(killed.listen_port)
        broken = [answer["id"] for answer in self.finish(replay) if not answer["whole"]]
        self.fleet.register_daemon(killed, "gone")
        # A caller repeats interrupted bookings with the same key; each may run only once.
        again = [self.requests[name] | {"id": name + "r", "at_ms": 0} for name in broken
                 if "idempotency_key" in self.requests[name]]
        chats = [self.chat("meadow", model) for model in settings.MODELS]
        self.replay("after the kill", again + chats)

    def leaving_backend(self):
        leaving = self.fleet.plain["dispatch"][0]
        self.fleet.register_backend(leaving, "plain", "dispatch", "leaving")
        time.sleep(settings.LEAVING_S)
        trace = [self.request("/dispatch/jobs", "meadow", at_ms=number * 10)
                 for number in range(40)]
        self.facts["leaving"] = leaving.name
        self.facts["leaving_references"] = [request["reference"] for request in trace]
        self.replay("leaving backend", trace)
