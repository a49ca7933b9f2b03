"""The policy document: extraction from a configuration, validation, digest and comparison.

A policy is the part of the configuration that all sidecars of a fleet share: the `settings` without the keys
that are specific to one sidecar, the replication part (`cover`) and the zones part (`zones`).
"""

from __future__ import annotations

import difflib
import hashlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec

from ..config import ReplicationConfig, ZonesConfig, replication_errors, zones_errors

MEMBER_KEYS = ("locality", "slotNo", "replicasOfMe")  # settings that are specific to one sidecar
KNOWN_KEYS = {  # by table of the settings; "" is the top level
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
POLICY_KEYS = {"settings", "cover", "zones"}
MAX_SIZE = 48 * 1024  # bytes of an encoded policy
MAX_MEMORY_FRACTION = 1 / 4096  # upper bound of an encoded policy's size, as a fraction of the memory limit
MAX_DURATION = 1e12  # in the unit of the settings
RETRY_SAFETIES = ("free", "guarded", "single_shot")
encoder = msgspec.json.Encoder(order="sorted")
PolicyBody = dict[str, Any]


def encode(body: PolicyBody) -> bytes:
    """Return the canonical encoding of a policy, from which its digest is computed."""
    return encoder.encode(body)


def digest(body: PolicyBody) -> str:
    """Return the digest by which members compare policies."""
    return hashlib.blake2b(encode(body), digest_size=8).hexdigest()


def policy_from_config(
    settings: dict[str, Any], replication: ReplicationConfig, zones: ZonesConfig | None = None
) -> PolicyBody:
    """Return the policy that a configuration contains: the part that all sidecars share."""
    shared = {key: value for key, value in settings.items() if key not in MEMBER_KEYS}
    body = {"settings": shared, "cover": msgspec.to_builtins(replication)}
    return body if zones is None else body | {"zones": msgspec.to_builtins(zones)}


def merge_settings(body: PolicyBody, settings: dict[str, Any]) -> dict[str, Any]:
    """Return a sidecar's settings under a policy: those of the policy, and the sidecar's own keys."""
    return dict(body["settings"]) | {key: settings[key] for key in MEMBER_KEYS if key in settings}


def validation_errors(body: object, known: dict[str, Any], memory_mb: float) -> list[str]:
    """Return all errors of a policy document, each with its key.

    `known`: the settings in this sidecar's configuration file; keys there that are not in `KNOWN_KEYS` were
    added by the platform and count as known. `memory_mb`: the sidecar's memory limit.
    """
    return list(_find_errors(body, known, memory_mb))


def _find_errors(body: object, known: dict[str, Any], memory_mb: float) -> Iterator[str]:
    if not isinstance(body, dict):
        yield "policy: not an object"
        return
    yield from (
        f"{key}: unknown; known are cover, settings, zones" for key in sorted(set(body) - POLICY_KEYS)
    )
    settings = body.get("settings")
    if not isinstance(settings, dict):
        yield "settings: not an object"
        return
    size, limit = len(encode(body)), min(MAX_SIZE, int(memory_mb * 2**20 * MAX_MEMORY_FRACTION))
    if size > limit:
        yield f"policy: {size} bytes, more than the limit of {limit} bytes"
    yield from (f"settings.{key}: specific to each sidecar" for key in MEMBER_KEYS if key in settings)
    yield from _find_unknown_keys(settings, known)
    categories = settings.get("categories")
    yield from _find_category_errors(categories)
    caps = settings.get("caps")
    streams = caps.get("streamsPerConn") if isinstance(caps, dict) else 1
    yield from replication_errors(
        body.get("cover"), _category_names(categories), streams if type(streams) is int else 1, "cover"
    )
    yield from zones_errors(body.get("zones"), "zones")


def _find_unknown_keys(settings: dict[str, Any], known: dict[str, Any]) -> Iterator[str]:
    for path, given, also_known in _tables(settings, known):
        table, _, _ = path.partition("[")
        names = KNOWN_KEYS[table] | set(also_known) | (set(MEMBER_KEYS) if not table else set())
        for key in sorted(set(given) - names):
            close_matches = difflib.get_close_matches(key, names, 1)
            hint = f"; did you mean {close_matches[0]}" if close_matches else ""
            yield f"settings.{path + '.' if path else ''}{key}: unknown{hint}"


def _tables(
    settings: dict[str, Any], known: dict[str, Any]
) -> Iterator[tuple[str, dict[str, Any], Iterable[str]]]:
    """Yield each table of the settings: its path, the table, and the keys that `known` has in it."""
    yield "", settings, known
    for table in KNOWN_KEYS:
        given, also_known = settings.get(table), known.get(table)
        if isinstance(given, dict):
            yield table, given, also_known if isinstance(also_known, dict) else {}
        elif isinstance(given, list):
            entries = also_known if isinstance(also_known, list) else []
            keys = {key for entry in entries if isinstance(entry, dict) for key in entry}
            for index, entry in enumerate(given):
                if isinstance(entry, dict):
                    yield f"{table}[{index}]", entry, keys


def _category_names(categories: object) -> list[str]:
    """Return the names of all categories that have a valid name."""
    if not isinstance(categories, list):
        return []
    names = (category.get("name") for category in categories if isinstance(category, dict))
    return [name for name in names if isinstance(name, str) and name]


def _find_category_errors(categories: object) -> Iterator[str]:
    if not isinstance(categories, list) or not categories:
        yield "settings.categories: not a list of categories"
        return
    names: set[str] = set()
    for index, category in enumerate(categories):
        key = f"settings.categories[{index}]"
        if not isinstance(category, dict):
            yield f"{key}: not an object"
            continue
        name = category.get("name")
        if not isinstance(name, str) or not name:
            yield f"{key}.name: {name!r} is not a name"
        elif name in names:
            yield f"{key}.name: {name!r} is a duplicate"
        else:
            names.add(name)
        if category.get("effect", "free") not in RETRY_SAFETIES:
            yield f"{key}.effect: {category['effect']!r} is not one of {', '.join(RETRY_SAFETIES)}"
        for duration in ("dueTime", "expiry"):
            value = category.get(duration)
            if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < MAX_DURATION:
                yield f"{key}.{duration}: {value!r} is not a positive number"


class Difference(NamedTuple):
    """A key in which two policies differ, and both values; None where the key is missing."""

    key: str
    left: object
    right: object


def differences(left: object, right: object, key: str = "") -> Iterator[Difference]:
    """Yield each key in which two policies differ."""
    if isinstance(left, dict) and isinstance(right, dict):
        for name in sorted(set(left) | set(right)):
            yield from differences(left.get(name), right.get(name), f"{key}.{name}" if key else name)
    elif isinstance(left, list) and isinstance(right, list) and len(left) == len(right):
        for index, pair in enumerate(zip(left, right, strict=True)):
            yield from differences(*pair, f"{key}[{index}]")
    elif left != right:
        yield Difference(key, left, right)


def conflicting_edits(before: PolicyBody, now: PolicyBody, active_policy: PolicyBody) -> list[str]:
    """Return the edits of a reloaded configuration file that contradict the policy in force, with their keys.

    A value that the file already had `before` is outdated, not edited, and does not count: a fleet whose
    files predate the last policy change can still change the settings that are specific to a sidecar.
    """
    edited_keys = {difference.key for difference in differences(now, before)}
    return [
        f"{difference.key}: {difference.left!r}, but the policy in force has {difference.right!r}"
        for difference in differences(now, active_policy)
        if any(
            difference.key.startswith(edited) or edited.startswith(difference.key) for edited in edited_keys
        )
    ]
