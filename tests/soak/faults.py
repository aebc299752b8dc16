"""Injects faults from outside the processes on a seeded schedule."""

from __future__ import annotations

import contextlib
import random
import signal
import subprocess
import threading
import time
from collections.abc import Callable

import release_load
import stop_load
from entry_fleet import HANG_LIMIT_S, Instance, wait_until
from fault_proxy import FaultProxy
from misbehaving_server import WAYS
from release_load import VersionedRunner
from soak_fleet import Fault, Stop, SoakFleet

SCHEDULE_S = 10.0
ORIGINAL_KINDS = (
    "connections_reset", "connections_silent", "kill", "leave", "link_cut", "link_delayed",
    "link_silent_one_way", "pause", "rotate_key", "server_fails", "server_restart", "store_away",
    "store_away_for_one", "store_forgets", "store_loses_answers", "store_slow", "terminate")
# Each seed that draws from all kinds includes one of these stops and slow servers: without slow
# servers, a stop would find no requests in progress.
STOPS = ("stop", "stop_series")
# A seed with few kinds has periods without any fault that would excuse a broken promise.
MIN_KINDS, MAX_KINDS = 2, 9
# Faulty behaviours of plain servers and of runners. Those of a runner exclude plain bodies: a
# body without events is not a stream, and the caller would receive it unchanged.
PLAIN_WAYS = sorted(name for name in WAYS if "stream" not in name and name != "good")
RUNNER_WAYS = sorted(name for name in WAYS if "stream" in name) + [
    "chunked_other_answer", "long_other_answer", "no_answer", "no_bytes_then_end",
    "no_bytes_then_reset", "no_end_of_bytes", "no_end_of_head", "no_end_of_informational",
    "no_end_of_other_answers", "no_end_of_other_body", "other_answer", "trickled_head"]
# Time that a process needs after opening its ports to install its signal handlers.
SIGNAL_HANDLER_DELAY_S = 0.1
# Longest pause between two faults that are played in series.
MAX_PAUSE_S = 3.0
# Time before SIGTERM in which a starved instance may already be suspended.
STARVED_LEAD_S = 2.0

FaultAction = Callable[[random.Random, float], "str | None"]


class FaultPlayer:
    """Plays faults on a seeded schedule; faults may overlap."""

    def __init__(self, fleet: SoakFleet) -> None:
        self.fleet = fleet
        self.random = fleet.random
        self.kinds = {
            "kill": self.kill, "terminate": self.terminate, "pause": self.pause,
            "store_away": self.store_away, "store_away_for_one": self.store_away_for_one,
            "store_loses_answers": self.store_loses_answers, "store_slow": self.store_slow,
            "store_forgets": self.store_forgets, "link_delayed": self.link_delayed,
            "link_silent_one_way": self.link_silent_one_way, "link_cut": self.link_cut,
            "connections_reset": self.connections_reset,
            "connections_silent": self.connections_silent, "server_fails": self.server_fails,
            "server_restart": self.server_restart, "leave": self.leave,
            "rotate_key": self.rotate_key, "stop": self.stop, "stop_series": self.stop_series,
            "reload": self.reload, "leave_by_word": self.leave_by_word,
            "server_pauses": self.server_pauses,
            "server_misbehaves": self.server_misbehaves, "server_slow": self.server_slow}
        self.names = list(ORIGINAL_KINDS)
        if fleet.plays_all_kinds:
            count = self.random.randint(MIN_KINDS, MAX_KINDS)
            self.names = [self.random.choice(STOPS), "server_slow",
                          *self.random.sample(sorted(self.kinds), count)]
        if fleet.unframed_streams:
            self.names += ["server_fails"] * len(self.names)

    def play(self) -> None:
        """Plays the schedule and returns when the last fault has ended."""
        if self.fleet.stop_load:
            self._play_stop_load(self.fleet.stop_load)
            return
        if self.fleet.release_load:
            self._play_release_load(self.fleet.release_load)
            return
        threads = []
        begin = time.monotonic()
        at = 0.0
        while at < SCHEDULE_S:
            at += self.random.uniform(0.1, 1.2)
            kind = self.random.choice(self.names)
            choice = random.Random(self.random.random())
            time.sleep(max(0.0, begin + at - time.monotonic()))
            threads.append(threading.Thread(target=self._play_fault,
                                            args=(self.kinds[kind], kind, choice)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def _play_stop_load(self, profile: stop_load.Profile) -> None:
        """Stops and starts each instance again and again, beside faults of servers."""
        end = time.monotonic() + stop_load.SCHEDULE_S
        threads = [threading.Thread(target=self._stop_repeatedly,
                                    args=(instance, profile, self.random.random(), end))
                   for instance in self.fleet.instances]
        for thread in threads:
            thread.start()
        while profile.server_kinds and time.monotonic() < end:
            time.sleep(self.random.uniform(0.5, 2.0))
            kind = self.random.choice(profile.server_kinds)
            self._play_fault(getattr(self, kind), kind, random.Random(self.random.random()))
        for thread in threads:
            thread.join()

    def _stop_repeatedly(self, instance: Instance, profile: stop_load.Profile, seed: float,
                         end: float) -> None:
        choice = random.Random(seed)
        while time.monotonic() < end:
            time.sleep(choice.uniform(0.0, 3.0))
            if profile.starved:
                self._starved_stop(instance, choice)
            else:
                self._stop(instance, [])
            wait_until(instance.ready, f"{instance.name} is ready")

    def _starved_stop(self, instance: Instance, choice: random.Random) -> None:
        """Stops an instance that is suspended before, while or after SIGTERM arrives."""
        process = self._wait_until_started(instance)
        begin = time.monotonic()
        stopping = threading.Timer(STARVED_LEAD_S, self._stop, args=(instance, []))
        stopping.start()
        for at in sorted(choice.uniform(0.0, 2.5 * STARVED_LEAD_S)
                         for _ in range(choice.randint(1, 3))):
            time.sleep(max(0.0, begin + at - time.monotonic()))
            pause = Fault("pause", str(process.pid), time.monotonic())
            self.fleet.faults.append(pause)
            self._suspend(process, choice.uniform(0.3, 2.0))
            pause.end = time.monotonic()
        stopping.join()

    def _play_release_load(self, profile: release_load.Profile) -> None:
        """Plays releases, kills of all instances and other kinds side by side."""
        end = time.monotonic() + release_load.SCHEDULE_S
        threads = [threading.Thread(target=self._play_in_series,
                                    args=(kinds, pause_s, self.random.random(), end))
                   for kinds, pause_s in ((("release",), MAX_PAUSE_S),
                                          (("kill_all",), profile.max_kill_pause_s),
                                          (profile.more_kinds, MAX_PAUSE_S)) if kinds]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _play_in_series(self, kinds: tuple[str, ...], max_pause_s: float, seed: float,
                        end: float) -> None:
        choice = random.Random(seed)
        while time.monotonic() < end:
            time.sleep(choice.uniform(0.2, max_pause_s))
            kind = choice.choice(kinds)
            self._play_fault(getattr(self, kind), kind, random.Random(choice.random()))

    def _suspend(self, process: subprocess.Popen, span: float) -> None:
        process.send_signal(signal.SIGSTOP)
        time.sleep(span)
        process.send_signal(signal.SIGCONT)

    def _play_fault(self, action: FaultAction, kind: str, choice: random.Random) -> None:
        fault = Fault(kind, "", time.monotonic())
        self.fleet.faults.append(fault)
        fault.target = action(choice, choice.uniform(0.2, 3.0)) or ""
        fault.end = time.monotonic()

    def kill(self, choice: random.Random, span: float) -> str:
        instance = choice.choice(self.fleet.instances)
        with self.fleet.lock:
            instance.stop()
        time.sleep(span / 2)
        self._start(instance)
        return instance.name

    def kill_all(self, choice: random.Random, span: float) -> None:
        """Kills all instances at the same moment and starts them again."""
        faults = [Fault("kill", instance.name, time.monotonic())
                  for instance in self.fleet.instances]
        self.fleet.faults += faults
        with self.fleet.lock:
            for instance in self.fleet.instances:
                instance.process.kill()
            for instance in self.fleet.instances:
                instance.process.wait()
        time.sleep(span / 4)
        for instance, fault in zip(self.fleet.instances, faults):
            self._start(instance)
            fault.end = time.monotonic()

    def terminate(self, choice: random.Random, span: float) -> str:
        instance = choice.choice(self.fleet.instances)
        instance.process.send_signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            instance.process.wait(span)
        with self.fleet.lock:
            instance.stop()
        self._start(instance)
        return instance.name

    def _start(self, instance: Instance) -> None:
        with self.fleet.lock:
            if instance.process.poll() is not None:
                instance.start()

    def stop(self, choice: random.Random, _: float) -> str:
        instance = choice.choice(self.fleet.instances)
        self._stop(instance, [])
        return instance.name

    def stop_series(self, choice: random.Random, span: float) -> None:
        """Stops all instances one after another; stops may overlap."""
        threads = []
        for instance in choice.sample(self.fleet.instances, len(self.fleet.instances)):
            more = [(choice.uniform(0.0, 4.0), choice.choice([signal.SIGHUP, signal.SIGTERM]))
                    for _ in range(choice.randint(0, 3))]
            threads.append(threading.Thread(target=self._stop, args=(instance, sorted(more))))
            threads[-1].start()
            time.sleep(choice.uniform(0.0, span))
        for thread in threads:
            thread.join()

    def _stop(self, instance: Instance, more: list[tuple[float, int]]) -> None:
        """Sends SIGTERM, then the `more` signals at their times after it, waits until the process
        exits, and starts a new one. Kills the process if it does not exit."""
        process = self._wait_until_started(instance)
        stop = Stop(instance.name, process.pid, time.monotonic())
        with self.fleet.lock:
            if process.poll() is None and process.pid not in {
                    other.process for other in self.fleet.stops}:
                self.fleet.stops.append(stop)
        process.send_signal(signal.SIGTERM)
        for after, number in more:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.0, stop.begin + after - time.monotonic()))
            process.send_signal(number)
        with contextlib.suppress(subprocess.TimeoutExpired):
            stop.code = process.wait(HANG_LIMIT_S)
            stop.end = time.monotonic()
        if stop.code is None:
            process.kill()
            process.wait()
        self._start(instance)

    def _wait_until_started(self, instance: Instance) -> subprocess.Popen:
        """Returns the instance's process once it handles signals or has ended."""
        process = instance.process
        wait_until(lambda: process.poll() is not None or instance.listens(), "a start")
        time.sleep(SIGNAL_HANDLER_DELAY_S)
        return process

    def reload(self, choice: random.Random, span: float) -> str:
        instance = choice.choice(self.fleet.instances)
        for _ in range(choice.randint(1, 4)):
            self._wait_until_started(instance).send_signal(signal.SIGHUP)
            time.sleep(span / 4)
        return instance.name

    def pause(self, choice: random.Random, span: float) -> str:
        process = choice.choice(self.fleet.instances).process
        self._suspend(process, span)
        return str(process.pid)

    def _set_for(self, owner: object, name: str, value: object, span: float) -> None:
        setattr(owner, name, value)
        time.sleep(span)
        setattr(owner, name, type(value)())

    def store_away(self, _: random.Random, span: float) -> None:
        self._set_for(self.fleet.store, "refuse", True, span)

    def store_away_for_one(self, choice: random.Random, span: float) -> str:
        instance = choice.choice(self.fleet.instances)
        self._set_for(instance.store_endpoint, "refuse", True, span)
        return instance.name

    def store_loses_answers(self, _: random.Random, span: float) -> None:
        self._set_for(self.fleet.store, "lose_answers", True, span / 2)

    def store_slow(self, choice: random.Random, span: float) -> None:
        self._set_for(self.fleet.store, "delay_s", choice.uniform(0.05, 0.8), span)

    def store_forgets(self, *_: object) -> None:
        self.fleet.store.forget_history()

    def _link(self, choice: random.Random) -> tuple[str, FaultProxy]:
        owner = choice.choice(sorted(self.fleet.links))
        return owner, choice.choice(self.fleet.links[owner])

    def link_delayed(self, choice: random.Random, span: float) -> str:
        owner, link = self._link(choice)
        self._set_for(link, "delay_s", choice.uniform(0.02, 0.5), span)
        return owner

    def link_silent_one_way(self, choice: random.Random, span: float) -> str:
        owner, link = self._link(choice)
        self._set_for(link, choice.choice(["silent_to_target", "silent_to_caller"]), True, span)
        return owner

    def link_cut(self, choice: random.Random, span: float) -> str:
        owner, link = self._link(choice)
        link.reset_connections()
        self._set_for(link, "refuse", True, span)
        return owner

    def connections_reset(self, choice: random.Random, _: float) -> str:
        owner, link = self._link(choice)
        link.reset_connections()
        return owner

    def connections_silent(self, choice: random.Random, _: float) -> str:
        owner, link = self._link(choice)
        link.silence_open_connections()
        return owner

    def server_fails(self, choice: random.Random, span: float) -> str:
        server = choice.choice(self.fleet.servers)
        modes = ["full", "error", "reset"] + (["break"] if server.is_runner else [])
        server.mode = choice.choice(modes)
        time.sleep(span)
        server.mode = "good"
        return server.name

    def server_restart(self, choice: random.Random, span: float) -> str:
        server = choice.choice([server for server in self.fleet.servers
                                if server.name not in self.fleet.departed_at])
        (link,) = self.fleet.links[server.name]
        link.refuse = True
        link.reset_connections()
        time.sleep(span / 2)
        server.restart()
        link.refuse = False
        return server.name

    def leave(self, choice: random.Random, _: float) -> str:
        """A server is marked as draining in its store row and removed; an empty one joins."""
        server = choice.choice(self.fleet.servers)
        with self.fleet.lock:
            if server.name in self.fleet.departed_at:
                return ""
            self.fleet.departed_at[server.name] = float("inf")
        server.record("draining")
        self.fleet.departed_at[server.name] = time.monotonic()
        self.fleet.servers.append(self.fleet.add_server(server.service))
        time.sleep(1.0)
        self.fleet.store.remove("servers", server.name)
        return server.name

    def leave_by_word(self, choice: random.Random, span: float) -> str:
        """A server announces only in its answers that it is leaving, while its row in the store
        still says ready; then its row is removed."""
        server = choice.choice(self.fleet.servers)
        with self.fleet.lock:
            if server.name in self.fleet.departed_at:
                return ""
            self.fleet.departed_at[server.name] = float("inf")
        self.fleet.servers.append(self.fleet.add_server(server.service))
        server.leaving = True
        time.sleep(span)
        self.fleet.store.remove("servers", server.name)
        self.fleet.departed_at[server.name] = time.monotonic()
        return server.name

    def server_pauses(self, choice: random.Random, span: float) -> str:
        """A server refuses all requests with a Retry-After pause."""
        server = choice.choice(self.fleet.servers)
        self._set_for(server, "pausing", f"{choice.uniform(0.7, 4.0):.2f}", span)
        return server.name

    def server_refuses(self, choice: random.Random, span: float) -> str:
        """A server refuses new requests and continues those that it runs."""
        server = choice.choice(self.fleet.servers)
        server.mode = "full"
        time.sleep(span)
        server.mode = "good"
        return server.name

    def server_slow(self, choice: random.Random, span: float) -> str:
        """A service answers more slowly than a stopping process waits for its next request."""
        service = choice.choice(["plain", "llm"])
        answer_delay_s, event_delay_s = choice.uniform(0.1, 1.5), choice.uniform(0.0, 0.4)
        servers = [server for server in self.fleet.servers if server.service == service]
        for server in servers:
            server.answer_delay_s, server.event_delay_s = answer_delay_s, event_delay_s
        time.sleep(2 * span)
        for server in servers:
            server.answer_delay_s = server.event_delay_s = 0.0
        return service

    def server_misbehaves(self, choice: random.Random, span: float) -> str:
        """A server answers with one to three faulty behaviours in turn."""
        server = choice.choice(self.fleet.servers)
        for _ in range(choice.randint(1, 3)):
            server.way = choice.choice(RUNNER_WAYS if server.is_runner else PLAIN_WAYS)
            now = time.monotonic()
            self.fleet.faults.append(Fault(server.way, server.name, now, now + span / 2))
            time.sleep(span / 2)
        server.way = ""
        return server.name

    def release(self, choice: random.Random, span: float) -> None:
        """Newer software replaces some runners of the oldest version, under their ids or new
        ones."""
        runners = self.fleet.start_release()
        for runner in choice.sample(runners, choice.randint(1, min(2, len(runners)))):
            choice.choice([self._restart_newer, self._replace])(runner, choice)
            time.sleep(span / 4)

    def _restart_newer(self, runner: VersionedRunner, choice: random.Random) -> None:
        if choice.random() < 0.5:
            runner.record("draining")
            time.sleep(choice.uniform(0.0, 1.0))
        self._set_away(runner, choice.uniform(0.05, 0.5))
        runner.number = self.fleet.newest
        runner.restart()
        self.fleet.links[runner.name][0].refuse = False

    def _set_away(self, runner: VersionedRunner, span: float) -> None:
        """Ends a runner's connections and refuses new ones, as after the end of its process."""
        now = time.monotonic()
        self.fleet.faults.append(Fault("link_cut", runner.name, now, now + span))
        (link,) = self.fleet.links[runner.name]
        link.refuse = True
        link.reset_connections()
        time.sleep(span)

    def _replace(self, runner: VersionedRunner, choice: random.Random) -> None:
        """A runner joins; the one that it replaces drains or is only removed, and ends later."""
        self.fleet.servers.append(self.fleet.add_server(runner.service))
        if choice.random() < 0.5:
            runner.record("draining")
            time.sleep(choice.uniform(0.1, 1.0))
        self.fleet.store.remove("servers", runner.name)
        runner.end_serving()
        self.fleet.departed_at[runner.name] = runner.serving_periods[-1].end
        time.sleep(choice.uniform(0.0, 1.5))
        self._set_away(runner, 0.0)

    def rotate_key(self, *_: object) -> None:
        self.fleet.rotate_key()
