"""The policy as a document: what of a configuration it takes, its checks, digest and differences.

A policy is the part of the configuration that all sidecars have in common: the `settings` without the keys
that say which sidecar this is, what is replicated (`cover`), and what is planned of zones (`zones`).
"""

from __future__ import annotations

import difflib
import hashlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec

from ..config import ReplicationConfig, ZonesConfig, replication_faults, zones_faults

MEMBER_KEYS = ("locality", "slotNo", "replicasOfMe")  # of the settings: which sidecar this is
KNOWN_KEYS = {  # by table of the settings; "" is their top level
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
MAX_MEMORY_FRACTION = 1 / 4096  # of a sidecar's memory limit that a policy may take
MAX_DURATION = 1e12  # as the settings give it
RETRY_SAFETIES = ("free", "guarded", "single_shot")
encoder = msgspec.json.Encoder(order="sorted")
PolicyBody = dict[str, Any]


def encode(body: PolicyBody) -> bytes:
    """The one encoding of a policy, which its digest is of."""
    return encoder.encode(body)


def digest(body: PolicyBody) -> str:
    """The digest by which members compare policies."""
    return hashlib.blake2b(encode(body), digest_size=8).hexdigest()


def policy_from_config(
    settings: dict[str, Any], replication: ReplicationConfig, zones: ZonesConfig | None = None
) -> PolicyBody:
    """The policy that a configuration gives: the part that it has in common with others."""
    shared = {key: value for key, value in settings.items() if key not in MEMBER_KEYS}
    body = {"settings": shared, "cover": msgspec.to_builtins(replication)}
    return body if zones is None else body | {"zones": msgspec.to_builtins(zones)}


def merge_settings(body: PolicyBody, settings: dict[str, Any]) -> dict[str, Any]:
    """The settings of a sidecar under a policy: the policy's, and its own keys."""
    return dict(body["settings"]) | {key: settings[key] for key in MEMBER_KEYS if key in settings}


def validation_errors(body: object, known: dict[str, Any], memory_mb: float) -> list[str]:
    """All faults of a policy by itself, each with its key.

    `known`: the settings of this sidecar's file, whose further keys are the platform's. `memory_mb`: the
    sidecar's memory limit.
    """
    return list(_faults(body, known, memory_mb))


def _faults(body: object, known: dict[str, Any], memory_mb: float) -> Iterator[str]:
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
        yield f"policy: {size} bytes; {limit} are taken here"
    yield from (f"settings.{key}: is each sidecar's own" for key in MEMBER_KEYS if key in settings)
    yield from _unknown_keys(settings, known)
    categories = settings.get("categories")
    yield from _category_faults(categories)
    caps = settings.get("caps")
    streams = caps.get("streamsPerConn") if isinstance(caps, dict) else 1
    yield from replication_faults(
        body.get("cover"), _category_names(categories), streams if type(streams) is int else 1, "cover"
    )
    yield from zones_faults(body.get("zones"), "zones")


def _unknown_keys(settings: dict[str, Any], known: dict[str, Any]) -> Iterator[str]:
    for path, given, also_known in _tables(settings, known):
        table, _, _ = path.partition("[")
        names = KNOWN_KEYS[table] | set(also_known) | (set(MEMBER_KEYS) if not table else set())
        for key in sorted(set(given) - names):
            near = difflib.get_close_matches(key, names, 1)
            hint = f"; near: {near[0]}" if near else ""
            yield f"settings.{path + '.' if path else ''}{key}: unknown{hint}"


def _tables(
    settings: dict[str, Any], known: dict[str, Any]
) -> Iterator[tuple[str, dict[str, Any], Iterable[str]]]:
    """Each table of the settings: its path, itself, and the keys that `known` has there."""
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
    """The names of all categories that have one."""
    if not isinstance(categories, list):
        return []
    names = (category.get("name") for category in categories if isinstance(category, dict))
    return [name for name in names if isinstance(name, str) and name]


def _category_faults(categories: object) -> Iterator[str]:
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
            yield f"{key}.name: {name!r} is no name"
        elif name in names:
            yield f"{key}.name: {name!r} stands there twice"
        else:
            names.add(name)
        if category.get("effect", "free") not in RETRY_SAFETIES:
            yield f"{key}.effect: {category['effect']!r} is none of {', '.join(RETRY_SAFETIES)}"
        for duration in ("dueTime", "expiry"):
            value = category.get(duration)
            if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < MAX_DURATION:
                yield f"{key}.{duration}: {value!r} is no positive number"


class Difference(NamedTuple):
    """A key in which two policies differ, and both values; None: it is not there."""

    key: str
    left: object
    right: object


def differences(left: object, right: object, key: str = "") -> Iterator[Difference]:
    """Where two policies differ."""
    if isinstance(left, dict) and isinstance(right, dict):
        for name in sorted(set(left) | set(right)):
            yield from differences(left.get(name), right.get(name), f"{key}.{name}" if key else name)
    elif isinstance(left, list) and isinstance(right, list) and len(left) == len(right):
        for index, pair in enumerate(zip(left, right, strict=True)):
            yield from differences(*pair, f"{key}[{index}]")
    elif left != right:
        yield Difference(key, left, right)


def conflicting_edits(before: PolicyBody, now: PolicyBody, active_policy: PolicyBody) -> list[str]:
    """Where a file that is read again differs from the policy in force by an edit, each with its key.

    What the file said `before` already is only old, not edited: a fleet whose files are as they were before
    the last change of policy can still change what is a sidecar's own.
    """
    edited_keys = {one.key for one in differences(now, before)}
    return [
        f"{one.key}: {one.left!r}, where the policy in force says {one.right!r}"
        for one in differences(now, active_policy)
        if any(one.key.startswith(edited) or edited.startswith(one.key) for edited in edited_keys)
    ]
