"""The configuration file of a sidecar, named by EDGE_CONFIG: read at the start and again at each reload.

`settings.py` decodes its `settings`, the part that configures the decisions.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from math import isfinite
from typing import Any

import msgspec

from ... import settings
from ...decisions.config import BalancerConfig
from ..address import split_host_port
from ..discovery.messages import DiscoveryMessage
from .completeness import KnownKeys

START_ONLY = {"seed", "known"}  # used at the start only, so a reload ignores changes of them
# Fields that determine sockets, peers and background tasks, which are created at the start.
FIXED_AT_START = (
    "must_watch_endpoints",
    "streams_per_connection",
    "sidecar_index",
    "sidecars",
    "gossip_allowed",
)
REQUIRED_CLASS_NUMBERS = ("dueTime", "expiry")


class Limits(msgspec.Struct, frozen=True):
    """The resources that the process may use."""

    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class SidecarConfig(msgspec.Struct, frozen=True):
    """The configuration file."""

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
    fleet: Any = None  # as in the file; after decoding, as `fleet.config.decode` returns it
    named: frozenset[str] = frozenset()  # the keys that are present in the file


class ConfigError(Exception):
    """The configuration can't be used; the message names the file and the field."""


def load_config(environment: Mapping[str, str]) -> tuple[SidecarConfig, BalancerConfig]:
    """Read the configuration at the start; raises `ConfigError`."""
    config = _read_file(environment)
    return _decode_parts(config, environment["EDGE_CONFIG"])


def reload_config(
    environment: Mapping[str, str], before: SidecarConfig, known_keys: KnownKeys
) -> tuple[SidecarConfig, BalancerConfig]:
    """Read the configuration that is to replace `before`; raises `ConfigError`.

    The file may be half written or half edited. It must therefore have every key that it had before, and its
    settings those of `known_keys`; otherwise a missing key would silently reset its value to the default.
    """
    config, path = _read_file(environment), environment["EDGE_CONFIG"]
    try:
        _check_complete(before, known_keys, config, path)
    except (TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: settings: {error}") from error
    return _decode_parts(config, path)


def balancer_config_of(config: SidecarConfig, path: str) -> BalancerConfig:
    """Decode the settings; raises `ConfigError`, which names `path` and the key."""
    try:
        settings.validate(config.settings)
        balancer_config = settings.balancer_config(config.settings)
        if not balancer_config.request_classes or not all(
            c.latency_objective > 0 and c.timeout > 0 for c in balancer_config.request_classes
        ):
            raise msgspec.ValidationError("categories: empty, or an entry lacks a positive dueTime or expiry")
    except (msgspec.ValidationError, TypeError) as error:
        raise ConfigError(f"{path}: settings: {error}") from error
    # Without the key `discovery` in the settings, the sidecar watches the endpoint list.
    must_watch = config.settings.get("discovery", "ask") == "ask"
    return msgspec.structs.replace(balancer_config, must_watch_endpoints=must_watch)


def keep_start_only_fields(
    balancer_config: BalancerConfig, before: BalancerConfig
) -> tuple[BalancerConfig, list[str]]:
    """Return the configuration as far as a running process can apply it, and the fields that need a restart.

    The fields in `FIXED_AT_START` keep their values of `before`; the names of those that differ are returned.
    """
    fixed = {name: getattr(before, name) for name in FIXED_AT_START}
    changed = [name for name, value in fixed.items() if getattr(balancer_config, name) != value]
    return msgspec.structs.replace(balancer_config, **fixed), changed


def _read_file(environment: Mapping[str, str]) -> SidecarConfig:
    path = environment.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG is not set or empty")
    try:
        with open(path, "rb") as file:
            document = msgspec.json.decode(file.read())
        config = msgspec.convert(document, SidecarConfig)
        mgmt = environment.get("EDGE_MGMT") or config.mgmt
        config = msgspec.structs.replace(config, mgmt=mgmt, named=frozenset(document))
        for field in ("listen", "discovery", "mgmt")[: 3 if config.mgmt else 2]:
            split_host_port(getattr(config, field))
    except (OSError, msgspec.DecodeError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    return config


def _decode_parts(config: SidecarConfig, path: str) -> tuple[SidecarConfig, BalancerConfig]:
    balancer_config = balancer_config_of(config, path)
    if config.fleet is not None:
        if not config.name:
            raise ConfigError(f"{path}: name: missing; it identifies the member in its fleet")
        config = msgspec.structs.replace(config, fleet=_decode_fleet(config, balancer_config, path))
    return config, balancer_config


def _decode_fleet(config: SidecarConfig, balancer_config: BalancerConfig, path: str) -> object:
    from ...fleet.config import decode  # imported here so that a start without a fleet does not load it

    class_names = [c.name for c in balancer_config.request_classes]
    try:
        return decode(config.fleet, class_names, balancer_config.streams_per_connection)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error


# Checks of a reload.


def _check_complete(before: SidecarConfig, known_keys: KnownKeys, config: SidecarConfig, path: str) -> None:
    missing = [*sorted(before.named - config.named - START_ONLY)]
    missing += [f"settings.{key}" for key in known_keys.missing(config.settings)]
    if missing:
        raise ConfigError(f"{path}: missing: {', '.join(missing)}")
    for key, value in _required_numbers(config.settings):
        if not _is_positive_number(value):
            raise ConfigError(f"{path}: settings.{key}: {value!r} is not a positive number")


def _is_positive_number(value: object) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return isfinite(value) and value > 0


def _required_numbers(settings: dict[str, Any]) -> Iterator[tuple[str, object]]:
    for index, request_class in enumerate(settings.get("categories", [])):
        if isinstance(request_class, dict):
            for key in REQUIRED_CLASS_NUMBERS:
                yield f"categories[{index}].{key}", request_class.get(key)
    caps = settings.get("caps") or {}
    if "mostHandOffs" in caps:
        yield "caps.mostHandOffs", caps["mostHandOffs"]
