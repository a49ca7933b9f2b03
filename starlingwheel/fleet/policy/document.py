"""What of a configuration is the fleet's and what is a sidecar's own; what a policy may say.

A policy is the part that all have in common: `settings` without what is each one's own, and what is covered.
"""

from __future__ import annotations

import difflib
import hashlib
from collections.abc import Iterator
from typing import Any

import msgspec

from ..config import replication_faults, zones_faults

OWN = ("locality", "slotNo", "replicasOfMe")  # keys of the settings that say which sidecar this is
TABLES = {
    "": {
        "categories", "caps", "rules", "tenants", "discovery", "weightKind", "loadReport", "charges",
        "specifics",
    },
    "caps": {
        "mostHandOffs", "cancel", "peers", "probing", "mayDuplicate", "connectTimeout", "keepalive",
        "retryAfter", "maxRetryAfter", "streamsPerConn",
    },
    "rules": {"mustAskIn", "drainGrace", "coldShare", "cold", "fallMultiple", "overloadFor"},
    "charges": {"crossZone", "handshake", "connection", "probe", "peer"},
    "loadReport": {"how", "columns"},
    "specifics": {"warmKeys"},
    "categories": {
        "name", "effect", "dueTime", "expiry", "payoff", "dedupScope", "window", "overduePayoff",
        "aimStretch",
    },
    "tenants": {"name", "share"},
}  # fmt: skip
PARTS = {"settings", "cover", "zones"}
LARGEST = 48 * 1024  # bytes of a policy as text
OF_MEMORY = 1 / 4096  # of a sidecar's memory limit that a policy may take
EFFECTS = ("free", "guarded", "single_shot")
encoder = msgspec.json.Encoder(order="sorted")
Body = dict[str, Any]


def text(body: Body) -> bytes:
    """The one way in which a policy is written."""
    return encoder.encode(body)


def digest(body: Body) -> str:
    return hashlib.blake2b(text(body), digest_size=8).hexdigest()


def common(settings: dict[str, Any], cover: Any, zones: Any = None) -> Body:
    """What a configuration has in common with others. `cover` and `zones`: its parts of that name, whole."""
    shared = {key: value for key, value in settings.items() if key not in OWN}
    body = {"settings": shared, "cover": msgspec.to_builtins(cover)}
    return body if zones is None else body | {"zones": msgspec.to_builtins(zones)}


def merged(body: Body, settings: dict[str, Any]) -> dict[str, Any]:
    """The settings of a sidecar under a policy: the policy's, and its own."""
    return dict(body["settings"]) | {key: settings[key] for key in OWN if key in settings}


def faults(body: Any, known: dict[str, Any], memory_mb: float) -> list[str]:
    """All that is wrong with a policy by itself, each with its key.

    `known`: the settings of this sidecar's file, whose further keys are the platform's.
    """
    return list(_faults(body, known, memory_mb))


def _faults(body: Any, known: dict[str, Any], memory_mb: float) -> Iterator[str]:
    if not isinstance(body, dict):
        yield "policy: not an object"
        return
    yield from (f"{key}: unknown; known are cover, settings, zones" for key in sorted(set(body) - PARTS))
    settings = body.get("settings")
    if not isinstance(settings, dict):
        yield "settings: not an object"
        return
    size, most = len(text(body)), min(LARGEST, int(memory_mb * 2**20 * OF_MEMORY))
    if size > most:
        yield f"policy: {size} bytes; {most} are taken here"
    yield from (f"settings.{key}: is each sidecar's own" for key in OWN if key in settings)
    yield from _unknown(settings, known)
    names = yield from _categories(settings.get("categories"))
    caps = settings.get("caps")
    streams = caps.get("streamsPerConn") if isinstance(caps, dict) else 1
    yield from replication_faults(body.get("cover"), names, streams if type(streams) is int else 1, "cover")
    yield from zones_faults(body.get("zones"), "zones")


def _unknown(settings: dict[str, Any], known: dict[str, Any]) -> Iterator[str]:
    for place, given, also in _tables(settings, known):
        table, _, _ = place.partition("[")
        names = TABLES[table] | set(also) | (set(OWN) if not table else set())
        for key in sorted(set(given) - names):
            near = difflib.get_close_matches(key, names, 1)
            hint = f"; near: {near[0]}" if near else ""
            yield f"settings.{place + '.' if place else ''}{key}: unknown{hint}"


def _tables(settings: dict[str, Any], known: dict[str, Any]) -> Iterator[tuple[str, dict[str, Any], Any]]:
    yield "", settings, known
    for table in TABLES:
        given, also = settings.get(table), known.get(table)
        if isinstance(given, dict):
            yield table, given, also if isinstance(also, dict) else {}
        elif isinstance(given, list):
            others = also if isinstance(also, list) else []
            keys = {key for one in others if isinstance(one, dict) for key in one}
            for place, one in enumerate(given):
                if isinstance(one, dict):
                    yield f"{table}[{place}]", one, keys


def _categories(given: Any) -> Iterator[str]:
    """Yields faults; returns the names."""
    names: list[str] = []
    if not isinstance(given, list) or not given:
        yield "settings.categories: not a list of categories"
        return names
    for place, one in enumerate(given):
        key = f"settings.categories[{place}]"
        if not isinstance(one, dict):
            yield f"{key}: not an object"
            continue
        name = one.get("name")
        if not isinstance(name, str) or not name:
            yield f"{key}.name: {name!r} is no name"
        elif name in names:
            yield f"{key}.name: {name!r} stands there twice"
        else:
            names.append(name)
        if one.get("effect", "free") not in EFFECTS:
            yield f"{key}.effect: {one['effect']!r} is none of {', '.join(EFFECTS)}"
        for span in ("dueTime", "expiry"):
            value = one.get(span)
            if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < 1e12:
                yield f"{key}.{span}: {value!r} is no positive number"
    return names


def differences(one: Any, other: Any, key: str = "") -> Iterator[tuple[str, Any, Any]]:
    """Where two policies differ: the key, and both values; None: is not there."""
    if isinstance(one, dict) and isinstance(other, dict):
        for name in sorted(set(one) | set(other)):
            yield from differences(one.get(name), other.get(name), f"{key}.{name}" if key else name)
    elif isinstance(one, list) and isinstance(other, list) and len(one) == len(other):
        for place, pair in enumerate(zip(one, other, strict=True)):
            yield from differences(*pair, f"{key}[{place}]")
    elif one != other:
        yield key, one, other


def edited(before: Body, now: Body, policy_controller: Body) -> list[str]:
    """What a file that is read again says otherwise of common keys than the policy in force.

    What it said before already is only old, not edited: guards against a fleet whose files are as they were
    before the last change losing the word for what is a sidecar's own.
    """
    old = {key for key, _, _ in differences(now, before)}
    return [
        f"{key}: {given!r}, where the policy in force says {held!r}"
        for key, given, held in differences(now, policy_controller)
        if any(key.startswith(one) or one.startswith(key) for one in old)
    ]
