"""The `fleet` part of the configuration: what it may say, and all that is wrong with one at once."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any

import msgspec

LONGEST_NAME = 64
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
HEADER = re.compile(r"[a-z0-9-]+")
LEASE = (1, 60)  # whole seconds: an arbiter keeps no finer ones
KEEPERS = (1, 3)
CELL_SIZE = (0, 512)


class ReplicationConfig(msgspec.Struct, frozen=True):
    categories: list[str]
    name_header: str = "x-work-name"
    keepers: int = 1


class ZonesConfig(msgspec.Struct, frozen=True):
    """`regions`: of each zone that lies in one. `bears`: hand-offs a second, of zones where it is known."""

    regions: dict[str, str] = {}
    bears: dict[str, float] = {}


class FleetConfig(msgspec.Struct, frozen=True):
    """`name`: which fleet. `listen`: for links. `advertise`: where others reach that, if elsewhere.

    `keep`: the folder that outlives the process, for the policy in force; empty: none. `cell_size`: members
    that a cell has on the mean, at most; 0: the fleet is one cell, as far as this sidecar has a say.
    """

    name: str
    listen: str
    arbiter: list[str]
    cover: ReplicationConfig
    zones: ZonesConfig | None = None  # none: no common plan for zones
    advertise: str = ""
    lease_s: int = 3
    keep: str = ""
    cell_size: int = 0


KEYS = {
    "": {"name", "listen", "arbiter", "advertise", "lease_s", "keep", "cell_size", "cover", "zones"},
    "cover": {"categories", "name_header", "keepers"},
    "zones": {"regions", "bears"},
}


def decode(given: Any, categories: list[str], streams: int) -> FleetConfig:
    """Raises `ValueError` that names every fault with its key. `categories`: those of the settings."""
    if faults := list(_faults(given, categories, streams)):
        raise ValueError("; ".join(faults))
    return msgspec.convert(given, FleetConfig)


def _faults(given: Any, categories: list[str], streams: int) -> Iterator[str]:
    if not isinstance(given, dict):
        yield "fleet: not an object"
        return
    yield from _unknown(given, "", "fleet.")
    name = given.get("name")
    if not isinstance(name, str) or not NAME.fullmatch(name) or len(name) > LONGEST_NAME:
        yield f"fleet.name: {name!r} is no name of letters, digits, dots and dashes"
    yield from _address(given.get("listen"), "fleet.listen")
    if given.get("advertise"):
        yield from _address(given["advertise"], "fleet.advertise")
    arbiter = given.get("arbiter")
    if not isinstance(arbiter, list) or not arbiter:
        yield "fleet.arbiter: not a list of addresses"
    else:
        for place, address in enumerate(arbiter):
            yield from _address(address, f"fleet.arbiter[{place}]")
    yield from _whole(given.get("lease_s", 3), "fleet.lease_s", LEASE)
    yield from _whole(given.get("cell_size", 0), "fleet.cell_size", CELL_SIZE)
    keep = given.get("keep", "")
    if not isinstance(keep, str):
        yield f"fleet.keep: {keep!r} is no folder"
    yield from cover_faults(given.get("cover"), categories, streams, "fleet.cover")
    yield from zones_faults(given.get("zones"), "fleet.zones")


def cover_faults(given: Any, categories: list[str], streams: int, key: str) -> Iterator[str]:
    """What is wrong with what is covered; a policy has that part too."""
    if not isinstance(given, dict):
        yield f"{key}: not an object"
        return
    yield from _unknown(given, "cover", f"{key}.")
    covered = given.get("categories")
    if not isinstance(covered, list) or not covered:
        yield f"{key}.categories: not a list of categories"
    else:
        for place, name in enumerate(covered):
            if name not in categories:
                yield f"{key}.categories[{place}]: {name!r} is no category of the settings"
    header = given.get("name_header", "x-work-name")
    if not isinstance(header, str) or not HEADER.fullmatch(header):
        yield f"{key}.name_header: {header!r} is no header's name in small letters"
    yield from _whole(given.get("keepers", 1), f"{key}.keepers", KEEPERS)
    if streams > 1:
        yield f"{key}: no hand-off can be held back where settings.caps.streamsPerConn is more than 1"


def zones_faults(given: Any, key: str) -> Iterator[str]:
    """What is wrong with what is said of zones; none at all is right."""
    if given is None:
        return
    if not isinstance(given, dict):
        yield f"{key}: not an object"
        return
    yield from _unknown(given, "zones", f"{key}.")
    regions, bears = given.get("regions", {}), given.get("bears", {})
    if not isinstance(regions, dict) or not all(isinstance(one, str) and one for one in regions.values()):
        yield f"{key}.regions: not an object of zones and the names of their regions"
    if not isinstance(bears, dict):
        yield f"{key}.bears: not an object of zones and hand-offs a second"
        return
    for zone, rate in bears.items():
        if isinstance(rate, bool) or not isinstance(rate, int | float) or not 0 < rate < 1e9:
            yield f"{key}.bears.{zone}: {rate!r} is no positive number"


def _unknown(given: dict[str, Any], table: str, key: str) -> Iterator[str]:
    for name in sorted(set(given) - KEYS[table]):
        yield f"{key}{name}: unknown; known are {', '.join(sorted(KEYS[table]))}"


def _address(given: Any, key: str) -> Iterator[str]:
    host, _, port = given.rpartition(":") if isinstance(given, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        yield f"{key}: {given!r} is no host:port"


def _whole(given: Any, key: str, bounds: tuple[int, int]) -> Iterator[str]:
    if type(given) is not int or not bounds[0] <= given <= bounds[1]:
        yield f"{key}: {given!r} is no whole number from {bounds[0]} to {bounds[1]}"
