"""Builds a carawayturn configuration and prints it as JSON.

Every value is checked where it is given, so that the traceback of a ``ConfigError`` ends at the
operator's own line::

    from carawayturn_config import Fleet

    fleet = Fleet(instance_slots=16)
    base = fleet.model("base-7b", bytes=14_000_000_000, max_replicas=2)
    notes = fleet.adapter("crew-notes", model=base, bytes=80_000_000)
    chat = fleet.model_pool("chat", models=[base], load_slots=4, loads_per_second=4)
    fleet.route("/v1/chat", pool=chat)
    fleet.organisation("acme", rate=500, burst=20_000, models=[notes], pools=[chat],
                       keys=[key_digest("the caller's key")])
    fleet.print()

The format is described by docs/config.schema.json.
"""

from __future__ import annotations

import hashlib
import json
import sys
from dataclasses import dataclass, field
from typing import Any, Iterable, TextIO, Union

__all__ = [
    "Adapter",
    "ConfigError",
    "Fleet",
    "Model",
    "Organisation",
    "Pool",
    "Route",
    "key_digest",
]

MAX_INSTANCE_SLOTS = 4096


class ConfigError(ValueError):
    """A value that carawayturn would refuse. ``field`` names it as the server would."""

    def __init__(self, field_name: str, detail: str) -> None:
        super().__init__(f"{field_name}: {detail}")
        self.field = field_name


def key_digest(key: str) -> str:
    """Returns the digest under which a caller's key is stored; the key itself is not kept."""
    if not key:
        raise ConfigError("key", "must not be empty")
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass(frozen=True)
class Model:
    """A base model. ``bytes`` is the memory of one loaded replica with its KV cache."""

    id: str
    bytes: int
    version: str = "1"
    max_replicas: int = 1


@dataclass(frozen=True)
class Adapter:
    """An adapter, loaded at a runner that holds its model."""

    id: str
    model: str
    bytes: int


@dataclass(frozen=True)
class Pool:
    """The backend servers of one service; ``kind`` is "model" or "plain"."""

    id: str
    kind: str
    models: tuple[str, ...] = ()
    load_slots: int = 4
    loads_per_second: float = 4.0
    adapter_load_slots: int = 32


@dataclass(frozen=True)
class Route:
    """A path prefix, what serves it and how."""

    path_prefix: str
    pool: str
    open: bool = False
    at_most_once: bool = False
    priority: int = 10
    default_deadline_ms: int = 60_000
    request_tokens: int = 1


@dataclass(frozen=True)
class Organisation:
    """An organisation with its rate (tokens a second) and burst (tokens) over the fleet."""

    id: str
    rate: float
    burst: int
    models: tuple[str, ...] = ()
    pools: tuple[str, ...] = ()
    key_digests: tuple[str, ...] = ()


def _id(value: Any) -> str:
    """Returns the name of an element given as the element or as its name."""
    return value if isinstance(value, str) else str(value.id)


def _check_id(where: str, value: object) -> None:
    if not isinstance(value, str) or not value:
        raise ConfigError(f"{where}.id", "must be a non-empty name")


def _check_whole(field_name: str, value: object, least: int, most: int | None = None) -> None:
    if not isinstance(value, int) or isinstance(value, bool):
        raise ConfigError(field_name, f"must be a whole number, not {value!r}")
    if value < least:
        raise ConfigError(field_name, f"must be at least {least}, not {value}")
    if most is not None and value > most:
        raise ConfigError(field_name, f"must be at most {most}, not {value}")


def _check_positive(field_name: str, value: object) -> None:
    if not isinstance(value, (int, float)) or isinstance(value, bool) or not value > 0:
        raise ConfigError(field_name, f"must be a positive number, not {value!r}")


def _check_bool(field_name: str, value: object) -> None:
    if not isinstance(value, bool):
        raise ConfigError(field_name, f"must be True or False, not {value!r}")


@dataclass
class Fleet:
    """Collects the elements of a configuration. Later elements name earlier ones."""

    instance_slots: int = 16
    _models: dict[str, Model] = field(default_factory=dict, init=False)
    _adapters: dict[str, Adapter] = field(default_factory=dict, init=False)
    _pools: dict[str, Pool] = field(default_factory=dict, init=False)
    _routes: dict[str, Route] = field(default_factory=dict, init=False)
    _organisations: dict[str, Organisation] = field(default_factory=dict, init=False)
    _key_owners: dict[str, str] = field(default_factory=dict, init=False)

    def __post_init__(self) -> None:
        _check_whole("instance_slots", self.instance_slots, 1, MAX_INSTANCE_SLOTS)

    def model(self, id: str, *, bytes: int, version: str = "1", max_replicas: int = 1) -> Model:
        """Adds a base model."""
        where = f"models[{id}]"
        _check_id(where, id)
        _check_whole(f"{where}.bytes", bytes, 1)
        _check_whole(f"{where}.max_replicas", max_replicas, 1)
        if id in self._adapters:
            raise ConfigError(f"{where}.id", "is also the name of an adapter")
        return self._add(self._models, where, Model(id, bytes, version, max_replicas))

    def adapter(self, id: str, *, model: Union[Model, str], bytes: int) -> Adapter:
        """Adds an adapter on a model that was added before."""
        where = f"adapters[{id}]"
        _check_id(where, id)
        _check_whole(f"{where}.bytes", bytes, 1)
        if _id(model) not in self._models:
            raise ConfigError(f"{where}.model", f"names no model: {_id(model)!r}")
        if id in self._models:
            raise ConfigError(f"{where}.id", "is also the name of a model")
        return self._add(self._adapters, where, Adapter(id, _id(model), bytes))

    def model_pool(
        self,
        id: str,
        *,
        models: Iterable[Union[Model, str]],
        load_slots: int = 4,
        loads_per_second: float = 4.0,
        adapter_load_slots: int = 32,
    ) -> Pool:
        """Adds a pool of model runners. A model belongs to one pool only."""
        where = f"pools[{id}]"
        _check_id(where, id)
        _check_whole(f"{where}.load_slots", load_slots, 1)
        _check_positive(f"{where}.loads_per_second", loads_per_second)
        _check_whole(f"{where}.adapter_load_slots", adapter_load_slots, 1)
        names = tuple(_id(model) for model in models)
        for name in names:
            if name not in self._models:
                raise ConfigError(f"{where}.models", f"names no model: {name!r}")
            for other in self._pools.values():
                if name in other.models:
                    raise ConfigError(
                        f"{where}.models", f"model {name!r} is already in pool {other.id!r}"
                    )
        pool = Pool(id, "model", names, load_slots, loads_per_second, adapter_load_slots)
        return self._add(self._pools, where, pool)

    def plain_pool(self, id: str) -> Pool:
        """Adds a pool of plain backend servers."""
        where = f"pools[{id}]"
        _check_id(where, id)
        return self._add(self._pools, where, Pool(id, "plain"))

    def route(
        self,
        path_prefix: str,
        *,
        pool: Union[Pool, str],
        open: bool = False,
        at_most_once: bool = False,
        priority: int = 10,
        default_deadline_ms: int = 60_000,
        request_tokens: int = 1,
    ) -> Route:
        """Adds a route. ``open`` needs no key; ``at_most_once`` needs an Idempotency-Key."""
        where = f"routes[{path_prefix}]"
        if not isinstance(path_prefix, str) or not path_prefix.startswith("/"):
            raise ConfigError(f"{where}.path_prefix", 'must begin with "/"')
        if _id(pool) not in self._pools:
            raise ConfigError(f"{where}.pool", f"names no pool: {_id(pool)!r}")
        _check_bool(f"{where}.open", open)
        _check_bool(f"{where}.at_most_once", at_most_once)
        if open and at_most_once:
            raise ConfigError(
                f"{where}.at_most_once", "needs an organisation, so the route cannot be open"
            )
        _check_whole(f"{where}.priority", priority, -(2**31), 2**31 - 1)
        _check_whole(f"{where}.default_deadline_ms", default_deadline_ms, 1)
        _check_whole(f"{where}.request_tokens", request_tokens, 0)
        if path_prefix in self._routes:
            raise ConfigError(f"{where}.path_prefix", "is repeated")
        route = Route(
            path_prefix, _id(pool), open, at_most_once, priority, default_deadline_ms,
            request_tokens,
        )
        self._routes[path_prefix] = route
        return route

    def organisation(
        self,
        id: str,
        *,
        rate: float,
        burst: int,
        models: Iterable[Union[Model, Adapter, str]] = (),
        pools: Iterable[Union[Pool, str]] = (),
        keys: Iterable[str] = (),
    ) -> Organisation:
        """Adds an organisation; "*" among models or pools allows all, keys are digests."""
        where = f"organisations[{id}]"
        _check_id(where, id)
        _check_positive(f"{where}.rate", rate)
        _check_whole(f"{where}.burst", burst, 1)
        model_names = tuple(_id(model) for model in models)
        for name in model_names:
            if name != "*" and name not in self._models and name not in self._adapters:
                raise ConfigError(f"{where}.models", f"names no model or adapter: {name!r}")
        pool_names = tuple(_id(pool) for pool in pools)
        for name in pool_names:
            if name != "*" and name not in self._pools:
                raise ConfigError(f"{where}.pools", f"names no pool: {name!r}")
        digests = tuple(keys)
        self._check_keys(where, digests)
        organisation = Organisation(id, rate, burst, model_names, pool_names, digests)
        added = self._add(self._organisations, where, organisation)
        self._key_owners.update((digest, id) for digest in digests)
        return added

    def _check_keys(self, where: str, digests: tuple[str, ...]) -> None:
        for digest in digests:
            is_digest = len(digest) == 64 and all(c in "0123456789abcdef" for c in digest)
            if not is_digest:
                raise ConfigError(f"{where}.key_digests", "must be made with key_digest()")
            if digest in self._key_owners:
                owner = self._key_owners[digest]
                raise ConfigError(
                    f"{where}.key_digests", f"a key belongs to organisation {owner!r} already"
                )

    @staticmethod
    def _add(elements: dict[str, Any], where: str, element: Any) -> Any:
        if element.id in elements:
            raise ConfigError(f"{where}.id", "is repeated")
        elements[element.id] = element
        return element

    def as_dict(self) -> dict[str, Any]:
        """Returns the configuration in the form of docs/config.schema.json."""
        lists = {
            "models": self._models,
            "adapters": self._adapters,
            "pools": self._pools,
            "routes": self._routes,
            "organisations": self._organisations,
        }
        whole: dict[str, Any] = {"instance_slots": self.instance_slots}
        for name, elements in lists.items():
            whole[name] = [
                {key: list(value) if isinstance(value, tuple) else value
                 for key, value in vars(element).items()}
                for element in elements.values()
            ]
        return whole

    def print(self, to: TextIO | None = None) -> None:
        """Prints the configuration as JSON to a stream, standard output by default."""
        stream = sys.stdout if to is None else to
        json.dump(self.as_dict(), stream, indent=2)
        stream.write("\n")
