"""The `fleet` part of the configuration: its types and its validation, which reports all errors at once.

`rename` maps each field whose name differs from its key in the configuration file.
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
LEASE_BOUNDS = (1, 60)  # whole seconds, since the coordination store has no finer leases
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
    """Which requests are replicated, and to how many replicas.

    `request_classes`: the names of the replicated classes. `idempotency_key_header`: the header that has the
    idempotency key if the client sends no `Idempotency-Key` header. `replicas`: the number of members besides
    the owner that record each request, its coordinator among them.
    """

    request_classes: list[str]
    idempotency_key_header: str = DEFAULT_IDEMPOTENCY_KEY_HEADER
    replicas: int = 1


class ZonesConfig(msgspec.Struct, frozen=True, rename={"capacities": "bears"}):
    """Configuration of the zones: by zone, its region and its known capacity."""

    regions: dict[str, str] = {}
    capacities: dict[str, float] = {}  # attempts a second


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
    """Configuration of a sidecar as a member of a fleet. Addresses are host:port.

    `name`: the name of the fleet. `listen`: the address for links between members; `advertise`: the address
    at which other members reach it, if that differs. `store_addresses`: addresses of the coordination store.
    `lease_s`: duration of the lease in seconds. `state_directory`: where the policy in force is stored, so
    that it outlives the process; empty: the policy is not stored. `max_mean_shard_size`: the mean
    number of members of a shard beyond which shards are split; 0: this sidecar does not change the number of
    shards.
    """

    name: str
    listen: str
    store_addresses: list[str]
    replication: ReplicationConfig
    zones: ZonesConfig | None = None  # None: the fleet has no common zone plan
    advertise: str = ""
    lease_s: int = 3
    state_directory: str = ""
    max_mean_shard_size: int = 0


KNOWN_KEYS = {
    "": {"name", "listen", "arbiter", "advertise", "lease_s", "keep", "cell_size", "cover", "zones"},
    "cover": {"categories", "name_header", "keepers"},
    "zones": {"regions", "bears"},
}


def decode(given: object, class_names: list[str], streams_per_connection: int) -> FleetConfig:
    """Return the configuration from decoded JSON; raise a `ValueError` that lists every error with its key.

    `class_names`: names of the request classes of the settings. `streams_per_connection`: the limit of
    concurrent streams on a connection to an upstream.
    """
    if errors := list(_validation_errors(given, class_names, streams_per_connection)):
        raise ValueError("; ".join(errors))
    return msgspec.convert(given, FleetConfig)


def _validation_errors(given: object, class_names: list[str], streams_per_connection: int) -> Iterator[str]:
    if not isinstance(given, dict):
        yield "fleet: not an object"
        return
    yield from _unknown_key_errors(given, "", "fleet.")
    name = given.get("name")
    if not isinstance(name, str) or not NAME.fullmatch(name) or len(name) > MAX_NAME_LENGTH:
        yield (
            f"fleet.name: {name!r} is not a name of 1 to {MAX_NAME_LENGTH} letters, digits, dots, dashes and"
            " underscores that begins with a letter or digit"
        )
    yield from _address_errors(given.get("listen"), "fleet.listen")
    if given.get("advertise"):
        yield from _address_errors(given["advertise"], "fleet.advertise")
    yield from _address_list_errors(given.get("arbiter"), "fleet.arbiter")
    yield from _integer_errors(given.get("lease_s", 3), "fleet.lease_s", LEASE_BOUNDS)
    yield from _integer_errors(given.get("cell_size", 0), "fleet.cell_size", SHARD_SIZE_BOUNDS)
    directory = given.get("keep", "")
    if not isinstance(directory, str):
        yield f"fleet.keep: {directory!r} is not a directory path"
    yield from replication_errors(given.get("cover"), class_names, streams_per_connection, "fleet.cover")
    yield from zones_errors(given.get("zones"), "fleet.zones")


def replication_errors(
    given: object, class_names: list[str], streams_per_connection: int, key: str
) -> Iterator[str]:
    """Yield the errors of the replication configuration, which a policy contains too.

    `key`: the key of the replication configuration in its file or document, for the messages.
    """
    if not isinstance(given, dict):
        yield f"{key}: not an object"
        return
    yield from _unknown_key_errors(given, "cover", f"{key}.")
    replicated = given.get("categories")
    if not isinstance(replicated, list) or not replicated:
        yield f"{key}.categories: not a non-empty list of categories"
    else:
        for index, name in enumerate(replicated):
            if name not in class_names:
                yield f"{key}.categories[{index}]: {name!r} is not a category of the settings"
    header = given.get("name_header", DEFAULT_IDEMPOTENCY_KEY_HEADER)
    if not isinstance(header, str) or not HEADER.fullmatch(header):
        yield f"{key}.name_header: {header!r} is not a header name in lower case"
    yield from _integer_errors(given.get("keepers", 1), f"{key}.keepers", REPLICA_BOUNDS)
    if streams_per_connection > 1:
        yield f"{key}: replication requires settings.caps.streamsPerConn to be 1"


def zones_errors(given: object, key: str) -> Iterator[str]:
    """Yield the errors of the zones configuration, which may be missing.

    `key`: the key of the zones configuration in its file or document, for the messages.
    """
    if given is None:
        return
    if not isinstance(given, dict):
        yield f"{key}: not an object"
        return
    yield from _unknown_key_errors(given, "zones", f"{key}.")
    regions, capacities = given.get("regions", {}), given.get("bears", {})
    if not isinstance(regions, dict) or not all(
        isinstance(region, str) and region for region in regions.values()
    ):
        yield f"{key}.regions: not an object that maps zones to names of regions"
    if not isinstance(capacities, dict):
        yield f"{key}.bears: not an object that maps zones to attempts a second"
        return
    for zone, rate in capacities.items():
        if isinstance(rate, bool) or not isinstance(rate, int | float) or not 0 < rate < MAX_RATE:
            yield f"{key}.bears.{zone}: {rate!r} is not a positive number below {MAX_RATE:g}"


def _unknown_key_errors(given: dict[str, Any], table: str, key: str) -> Iterator[str]:
    for name in sorted(set(given) - KNOWN_KEYS[table]):
        yield f"{key}{name}: unknown key; the known ones are {', '.join(sorted(KNOWN_KEYS[table]))}"


def _address_list_errors(given: object, key: str) -> Iterator[str]:
    if not isinstance(given, list) or not given:
        yield f"{key}: not a non-empty list of addresses"
        return
    for index, address in enumerate(given):
        yield from _address_errors(address, f"{key}[{index}]")


def _address_errors(given: object, key: str) -> Iterator[str]:
    host, _, port = given.rpartition(":") if isinstance(given, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        yield f"{key}: {given!r} is not an address of the form host:port"


def _integer_errors(given: object, key: str, bounds: tuple[int, int]) -> Iterator[str]:
    if type(given) is not int or not bounds[0] <= given <= bounds[1]:
        yield f"{key}: {given!r} is not an integer from {bounds[0]} to {bounds[1]}"
