"""The processes and threads of one soak run: store, servers, instances and callers."""

from __future__ import annotations

import itertools
import random
import threading
import time
from dataclasses import dataclass

import release_load
from callers import Caller, ResumingCaller
from entry_fleet import Instance, configuration
from fault_proxy import FaultProxy, ProxyLoop
from platform_fleet import BackendServer, Store
from promises import NON_DISRUPTIVE_KINDS
from release_load import VersionedRunner
from stop_load import UnevenRunner, profile_of, settings

# Instances of a fleet of the usual size. The numbers of runners and callers are those of such a
# fleet; a larger one has as many times more.
INSTANCE_COUNT = 3
RUNNER_COUNT = 3
LOAD_RUNNER_COUNT = 6
# Styles of the callers, for seeds that play only the original kinds of fault and for all others.
ORIGINAL_CALLER_STYLES = ("brisk",) * 6
CALLER_STYLES = ("brisk",) * 6 + ("halves",) * 8 + ("idle",) * 4
STOP_LOAD_CALLER_STYLES = ("streams",) * 14 + ("brisk",) * 2 + ("halves",) * 2
# Smaller seeds draw only from the original kinds of fault, so that regression seeds keep the
# schedule with which they failed.
FIRST_SEED_WITH_ALL_KINDS = 3000
# In these seeds, runners send streams without a length, chunks or a Content-Type, and servers
# fail more often.
UNFRAMED_STREAM_SEEDS = range(4000, 5000)
QUOTA_RATE = 4000
QUOTA_BURST = 4000
MODELS = ("m1", "m2", "m3")


@dataclass
class Fault:
    """A fault that was played; `end` is when its last effect ended."""

    kind: str
    target: str
    begin: float
    end: float = float("inf")


@dataclass
class Stop:
    """A planned stop of a process by SIGTERM, with the process's exit code."""

    instance: str
    process: int
    begin: float
    end: float = float("inf")
    code: int | None = None


class SoakFleet:
    """Store, servers, instances and callers of one seed."""

    def __init__(self, seed: int, instance_count: int = INSTANCE_COUNT) -> None:
        scale = instance_count // INSTANCE_COUNT
        self.random = random.Random(seed)
        self.seed = seed
        self.stop_load = profile_of(seed)
        self.release_load = release_load.profile_of(seed)
        self.newest = self.release_load.versions if self.release_load else 0
        self.ended_empty: set[str] = set()
        self.plays_all_kinds = seed >= FIRST_SEED_WITH_ALL_KINDS
        self.unframed_streams = seed in UNFRAMED_STREAM_SEEDS
        self.proxies = ProxyLoop()
        self.store = Store()
        self.version = 0
        self.keys = ["k1"]
        self.withdrawn: dict[str, float] = {}
        self.departed_at: dict[str, float] = {}
        self.faults: list[Fault] = []
        self.stops: list[Stop] = []
        self.lock = threading.Lock()
        self.unexpected_exits: list[str] = []
        self.links: dict[str, list[FaultProxy]] = {}
        self.peer_links: dict[tuple[str, str], FaultProxy] = {}
        self.names = (f"s{number}" for number in itertools.count())
        self.write_configuration()
        self.settings = settings(instance_count) if self.stop_load else ""
        self.servers = [self.add_server("plain") for _ in range(2 * scale)]
        runners = LOAD_RUNNER_COUNT if self.stop_load or self.release_load else RUNNER_COUNT
        self.servers += [self.add_server("llm", number) for number in range(runners * scale)]
        self.instances = [self.add_instance(f"n{i}") for i in range(instance_count)]
        for instance in self.instances:
            instance.wait_until_serving(servers=len(self.servers))
        caller = ResumingCaller if self.release_load else Caller
        self.callers = [caller(f"c{seed}-{i}", seed * 100 + i, self.instances,
                               self.sampled_keys, style, scale > 1)
                        for i, style in enumerate(self._caller_styles() * scale)]

    def _caller_styles(self) -> tuple[str, ...]:
        if self.release_load:
            return release_load.CALLER_STYLES
        if self.stop_load:
            return STOP_LOAD_CALLER_STYLES
        return CALLER_STYLES if self.plays_all_kinds else ORIGINAL_CALLER_STYLES

    def sampled_keys(self) -> list[str]:
        """Returns the keys that callers choose from: valid ones twice, the key withdrawn last, and
        the key with the small quota. In a release load, no quota limits the streams."""
        if self.release_load:
            return self.keys
        return [*self.keys, *self.keys, *list(self.withdrawn)[-1:], "small"]

    def link(self, owner: str, address: str) -> FaultProxy:
        proxy = FaultProxy(self.proxies, address)
        self.links.setdefault(owner, []).append(proxy)
        return proxy

    def add_server(self, service: str, number: int | None = None) -> BackendServer:
        """Adds a server. In a release load, the first runners are numbered and share the first
        versions; others have the newest one."""
        name = next(self.names)
        models = ["m1"] if service == "llm" else None
        arguments = (self.store, name, service, models,
                     lambda address: self.link(name, address).address)
        if self.stop_load and service == "llm":
            return UnevenRunner(*arguments, seed=self.seed, silent=self.stop_load.silent)
        if self.release_load and service == "llm":
            version = self.newest if number is None else 1 + number % self.newest
            return VersionedRunner(*arguments, seed=self.seed, number=version,
                                   early_share=self.release_load.early_share,
                                   ended_empty=self.ended_empty)
        server = BackendServer(*arguments)
        server.framed_streams = not self.unframed_streams
        return server

    def add_instance(self, name: str) -> Instance:
        instance = Instance(self.store, name,
                            lambda address: self.link(f"store-{name}", address).address,
                            self.settings)
        instance.store_endpoint.rewrite_hub_address = lambda address: self.peer_link_address(
            instance, address)
        return instance

    def peer_link_address(self, instance: Instance, hub: str) -> str:
        if hub == f"127.0.0.1:{instance.peer_port}":
            return hub
        with self.lock:
            key = (instance.name, hub)
            if key not in self.peer_links:
                self.peer_links[key] = self.link(f"peer-{instance.name}", hub)
            return self.peer_links[key].address

    def write_configuration(self) -> None:
        self.version += 1
        small = {"name": "t2", "api_keys": ["small"], "rate_per_s": QUOTA_RATE,
                 "burst": QUOTA_BURST, "unit": "tokens", "plain_tokens": 1}
        self.store.put("op", "config", configuration(self.version, self.keys, MODELS, (small,)))

    def rotate_key(self) -> None:
        """Adds a key, and withdraws the older one if two were valid."""
        with self.lock:
            old = self.keys[0]
            self.keys = [*self.keys[-1:], f"k{self.version + 1}"]
            self.write_configuration()
            if old not in self.keys:
                self.withdrawn[old] = time.monotonic()

    def is_undisturbed(self, instance: str, begin: float, end: float) -> bool:
        """Whether no disruptive fault of any target overlaps the time span."""
        return not any(fault.begin <= end and fault.end >= begin for fault in self.faults
                       if fault.kind not in NON_DISRUPTIVE_KINDS)

    def versioned_runners(self) -> list[VersionedRunner]:
        return [server for server in self.servers if isinstance(server, VersionedRunner)]

    def start_release(self) -> list[VersionedRunner]:
        """Returns the runners of the oldest version. A new version begins if fewer versions serve
        than the seed's profile says."""
        serving = [runner for runner in self.versioned_runners()
                   if runner.name not in self.departed_at]
        numbers = {runner.number for runner in serving}
        if len(numbers) < self.release_load.versions:
            self.newest += 1
        return [runner for runner in serving if runner.number == min(numbers)]

    def close(self) -> None:
        for instance in self.instances:
            instance.close()
        for service in [*self.servers, self.store]:
            service.close()
        self.proxies.close()
