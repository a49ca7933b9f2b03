"""The configuration: what a sidecar is told by the file that EDGE_CONFIG names."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from ... import settings
from ...decisions.terms import Terms
from ..wire.address import split
from ..wire.discovery import Word


class Limits(msgspec.Struct, frozen=True):
    cores: float = 1.0
    memory_mb: float = 192
    sockets: int = 1024


class Config(msgspec.Struct, frozen=True):
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
    known: Word | None = None
    mgmt: str = ""


class Unusable(Exception):
    """The start can't be made; names file and field."""


def configured(environment: Mapping[str, str]) -> tuple[Config, Terms]:
    path = environment.get("EDGE_CONFIG", "")
    if not path:
        raise Unusable("EDGE_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            config = msgspec.json.decode(file.read(), type=Config)
        config = msgspec.structs.replace(config, mgmt=environment.get("EDGE_MGMT") or config.mgmt)
        for field in ("listen", "discovery", "mgmt")[: 3 if config.mgmt else 2]:
            split(getattr(config, field))
    except (OSError, msgspec.DecodeError, ValueError) as error:
        raise Unusable(f"{path}: {error}") from error
    try:
        settings.check(config.settings)
        terms = settings.terms(config.settings)
        if not terms.categories or not all(c.due_time > 0 and c.expiry > 0 for c in terms.categories):
            raise msgspec.ValidationError("categories: none, or one without dueTime or expiry")
    except (msgspec.ValidationError, TypeError) as error:
        raise Unusable(f"{path}: settings: {error}") from error
    # A sidecar whose settings don't say how the list comes asks for it.
    asks = config.settings.get("discovery", "ask") == "ask"
    return config, msgspec.structs.replace(terms, must_subscribe=asks)
