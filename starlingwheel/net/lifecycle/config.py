"""The configuration: what a sidecar is told by the file that EDGE_CONFIG names."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import isfinite
from typing import Any

import msgspec

from ... import settings
from ...decisions.config import BalancerConfig
from ..address import split
from ..discovery.messages import DiscoveryMessage


class Limits(msgspec.Struct, frozen=True):
    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class SidecarConfig(msgspec.Struct, frozen=True):
    """What a sidecar is told before its start."""

    listen: str
    discovery: str
    settings: dict[str, Any]
    name: str = ""
    seed: str = ""
    limits: Limits = Limits()
    peer_listen: str = ""
    peers: list[str] = []
    peers_all: str = ""
    known: DiscoveryMessage | None = None
    mgmt: str = ""
    fleet: Any = None  # as given; fleet/config.py knows what it may say
    named: frozenset[str] = frozenset()  # the keys that the file has


class ConfigError(Exception):
    """The start can't be made; names file and field."""


def load_config(environment: Mapping[str, str]) -> tuple[SidecarConfig, BalancerConfig]:
    config = _read(environment)
    return _whole(config, environment["EDGE_CONFIG"])


def _whole(config: SidecarConfig, path: str) -> tuple[SidecarConfig, BalancerConfig]:
    terms = balancer_config_of(config, path)
    if config.fleet is not None:
        if not config.name:
            raise ConfigError(f"{path}: name: missing; members of a fleet are told apart by it")
        from ...fleet.config import decode  # costs a start without it no import

        try:
            part = decode(config.fleet, [c.name for c in terms.request_classes], terms.streams_per_connection)
        except ValueError as error:
            raise ConfigError(f"{path}: {error}") from error
        config = msgspec.structs.replace(config, fleet=part)
    return config, terms


def _read(environment: Mapping[str, str]) -> SidecarConfig:
    path = environment.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            given = msgspec.json.decode(file.read())
        config = msgspec.convert(given, SidecarConfig)
        mgmt = environment.get("EDGE_MGMT") or config.mgmt
        config = msgspec.structs.replace(config, mgmt=mgmt, named=frozenset(given))
        for field in ("listen", "discovery", "mgmt")[: 3 if config.mgmt else 2]:
            split(getattr(config, field))
    except (OSError, msgspec.DecodeError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    return config


def balancer_config_of(config: SidecarConfig, path: str) -> BalancerConfig:
    """Raises `Unusable`, the key named, for settings that nobody can follow."""
    try:
        settings.check(config.settings)
        terms = settings.terms(config.settings)
        if not terms.request_classes or not all(
            c.latency_objective > 0 and c.timeout > 0 for c in terms.request_classes
        ):
            raise msgspec.ValidationError("categories: none, or one without dueTime or expiry")
    except (msgspec.ValidationError, TypeError) as error:
        raise ConfigError(f"{path}: settings: {error}") from error
    # A sidecar whose settings don't say how the list comes asks for it.
    asks = config.settings.get("discovery", "ask") == "ask"
    return msgspec.structs.replace(terms, must_watch_endpoints=asks)


def keep_start_only_fields(terms: BalancerConfig, before: BalancerConfig) -> tuple[BalancerConfig, list[str]]:
    """Those terms as far as a process can take them over, and the names of what needs a restart."""
    held = {name: getattr(before, name) for name in FIXED_AT_START}
    changed = [name for name, value in held.items() if getattr(terms, name) != value]
    return msgspec.structs.replace(terms, **held), changed


START_ONLY = {"seed", "known"}  # for the next start: new each time, and of no use to one that has its list
# Terms that sockets, peers and standing chores were made from at the start.
FIXED_AT_START = (
    "must_watch_endpoints",
    "streams_per_connection",
    "sidecar_index",
    "sidecars",
    "gossip_allowed",
)
NUMBERS = ("dueTime", "expiry")


def reload_config(
    environment: Mapping[str, str], before: SidecarConfig
) -> tuple[SidecarConfig, BalancerConfig]:
    """The configuration as the file has it now, if that can take the place of the one in force.

    Guards against a file that is half written or half edited: what was named before is named again, and no
    absence takes a meaning.
    """
    config, path = _read(environment), environment["EDGE_CONFIG"]
    try:
        _complete(before, config, path)
    except (TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: settings: {error}") from error
    return _whole(config, path)


def _complete(before: SidecarConfig, config: SidecarConfig, path: str) -> None:
    missing = [*sorted(before.named - config.named - START_ONLY)]
    missing += [f"settings.{key}" for key in _missing(before.settings, config.settings)]
    if missing:
        raise ConfigError(f"{path}: missing: {', '.join(missing)}")
    for key, value in _numbers(config.settings):
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not (isfinite(value) and value > 0)
        ):
            raise ConfigError(f"{path}: settings.{key}: {value!r} is no positive number")


def _missing(before: Any, now: Any) -> Iterator[str]:
    for key, value in before.items():
        given = now.get(key)
        if given is None and value is not None:
            yield key
        elif isinstance(value, dict):
            yield from (
                f"{key}.{inner}" for inner in _missing(value, given if isinstance(given, dict) else {})
            )
        elif value and isinstance(value, list) and all(isinstance(one, dict) for one in value):
            # What each of a list had, such as a category's deadline, each has.
            common = set.intersection(*(set(one) for one in value))
            for place, one in enumerate(given if isinstance(given, list) else []):
                has = {k for k, v in one.items() if v is not None} if isinstance(one, dict) else set()
                for inner in sorted(common - has):
                    yield f"{key}[{place}].{inner}"


def _numbers(settings: dict[str, Any]) -> Iterator[tuple[str, Any]]:
    for place, category in enumerate(settings.get("categories", [])):
        if isinstance(category, dict):
            yield from ((f"categories[{place}].{key}", category.get(key)) for key in NUMBERS)
    caps = settings.get("caps") or {}
    if "mostHandOffs" in caps:
        yield "caps.mostHandOffs", caps["mostHandOffs"]
