"""The `fleet` part of the configuration: its types, and its checks, which name all faults at once.

Keys are those of the configuration file; `rename` maps them where a field has another name.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import msgspec

MAX_NAME_LENGTH = 64  # characters
MAX_PORT = 65535
MAX_RATE = 1e9  # attempts a second
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
HEADER = re.compile(r"[a-z0-9-]+")
LEASE_BOUNDS = (1, 60)  # whole seconds: the coordination store has no finer leases
REPLICA_BOUNDS = (1, 3)
SHARD_SIZE_BOUNDS = (0, 512)  # members
DEFAULT_IDEMPOTENCY_KEY_HEADER = "x-work-name"


class ReplicationConfig(
    msgspec.Struct,
    frozen=True,
    rename={
        "request_classes": "categories",
        "idempotency_key_header": "name_header",
        "replicas": "keepers",
    },
):
    """Which requests are replicated. `replicas`: of each, beside what its coordinator has."""

    request_classes: list[str]
    idempotency_key_header: str = DEFAULT_IDEMPOTENCY_KEY_HEADER
    replicas: int = 1


class ZonesConfig(msgspec.Struct, frozen=True, rename={"capacities": "bears"}):
    """What is configured of zones. `regions`: of each zone that lies in one."""

    regions: dict[str, str] = {}
    capacities: dict[str, float] = {}  # attempts a second, of zones where it is known


class FleetConfig(
    msgspec.Struct,
    frozen=True,
    rename={
        "store_addresses": "arbiter",
        "replication": "cover",
        "state_directory": "keep",
        "max_mean_shard_size": "cell_size",
    },
):
    """A sidecar's part of a fleet. Addresses are host:port.

    `name`: of the fleet. `listen`: for links between members; `advertise`: where others reach that, if
    elsewhere. `store_addresses`: of the coordination store. `lease_s`: seconds. `state_directory`: for the
    policy in force, which outlives the process; empty: none. `cell_size`: the members of a cell, on average,
    at most; 0: this sidecar does not divide the fleet into cells.
    """

    name: str
    listen: str
    store_addresses: list[str]
    replication: ReplicationConfig
    zones: ZonesConfig | None = None  # None: no common plan for zones
    advertise: str = ""
    lease_s: int = 3
    state_directory: str = ""
    max_mean_shard_size: int = 0


KEYS = {
    "": {"name", "listen", "arbiter", "advertise", "lease_s", "keep", "cell_size", "cover", "zones"},
    "cover": {"categories", "name_header", "keepers"},
    "zones": {"regions", "bears"},
}


def decode(given: object, class_names: list[str], streams_per_connection: int) -> FleetConfig:
    """The configuration from decoded JSON; raises `ValueError`, which names every fault with its key.

    `class_names`: of the request classes of the settings. `streams_per_connection`: to an upstream.
    """
    if faults := list(_faults(given, class_names, streams_per_connection)):
        raise ValueError("; ".join(faults))
    return msgspec.convert(given, FleetConfig)


def _faults(given: object, class_names: list[str], streams_per_connection: int) -> Iterator[str]:
    if not isinstance(given, dict):
        yield "fleet: not an object"
        return
    yield from _unknown_keys(given, "", "fleet.")
    name = given.get("name")
    if not isinstance(name, str) or not NAME.fullmatch(name) or len(name) > MAX_NAME_LENGTH:
        yield f"fleet.name: {name!r} is no name of letters, digits, dots and dashes"
    yield from _address(given.get("listen"), "fleet.listen")
    if given.get("advertise"):
        yield from _address(given["advertise"], "fleet.advertise")
    yield from _addresses(given.get("arbiter"), "fleet.arbiter")
    yield from _integer(given.get("lease_s", 3), "fleet.lease_s", LEASE_BOUNDS)
    yield from _integer(given.get("cell_size", 0), "fleet.cell_size", SHARD_SIZE_BOUNDS)
    directory = given.get("keep", "")
    if not isinstance(directory, str):
        yield f"fleet.keep: {directory!r} is no folder"
    yield from replication_faults(given.get("cover"), class_names, streams_per_connection, "fleet.cover")
    yield from zones_faults(given.get("zones"), "fleet.zones")


def replication_faults(
    given: object, class_names: list[str], streams_per_connection: int, key: str
) -> Iterator[str]:
    """Faults of the replication part, which a policy has too. `key`: under which it stands."""
    if not isinstance(given, dict):
        yield f"{key}: not an object"
        return
    yield from _unknown_keys(given, "cover", f"{key}.")
    replicated = given.get("categories")
    if not isinstance(replicated, list) or not replicated:
        yield f"{key}.categories: not a list of categories"
    else:
        for index, name in enumerate(replicated):
            if name not in class_names:
                yield f"{key}.categories[{index}]: {name!r} is no category of the settings"
    header = given.get("name_header", DEFAULT_IDEMPOTENCY_KEY_HEADER)
    if not isinstance(header, str) or not HEADER.fullmatch(header):
        yield f"{key}.name_header: {header!r} is no header's name in small letters"
    yield from _integer(given.get("keepers", 1), f"{key}.keepers", REPLICA_BOUNDS)
    if streams_per_connection > 1:
        yield f"{key}: no hand-off can be held back where settings.caps.streamsPerConn is more than 1"


def zones_faults(given: object, key: str) -> Iterator[str]:
    """Faults of the zones part, which may be missing. `key`: under which it stands."""
    if given is None:
        return
    if not isinstance(given, dict):
        yield f"{key}: not an object"
        return
    yield from _unknown_keys(given, "zones", f"{key}.")
    regions, capacities = given.get("regions", {}), given.get("bears", {})
    if not isinstance(regions, dict) or not all(
        isinstance(region, str) and region for region in regions.values()
    ):
        yield f"{key}.regions: not an object of zones and the names of their regions"
    if not isinstance(capacities, dict):
        yield f"{key}.bears: not an object of zones and hand-offs a second"
        return
    for zone, rate in capacities.items():
        if isinstance(rate, bool) or not isinstance(rate, int | float) or not 0 < rate < MAX_RATE:
            yield f"{key}.bears.{zone}: {rate!r} is no positive number"


def _unknown_keys(given: dict[str, Any], table: str, key: str) -> Iterator[str]:
    for name in sorted(set(given) - KEYS[table]):
        yield f"{key}{name}: unknown; known are {', '.join(sorted(KEYS[table]))}"


def _addresses(given: object, key: str) -> Iterator[str]:
    if not isinstance(given, list) or not given:
        yield f"{key}: not a list of addresses"
        return
    for index, address in enumerate(given):
        yield from _address(address, f"{key}[{index}]")


def _address(given: object, key: str) -> Iterator[str]:
    host, _, port = given.rpartition(":") if isinstance(given, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        yield f"{key}: {given!r} is no host:port"


def _integer(given: object, key: str, bounds: tuple[int, int]) -> Iterator[str]:
    if type(given) is not int or not bounds[0] <= given <= bounds[1]:
        yield f"{key}: {given!r} is no whole number from {bounds[0]} to {bounds[1]}"
