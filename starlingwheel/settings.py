"""Decoding of the settings of a sidecar, JSON with externally defined keys, into a `BalancerConfig`.

This is the only module that knows these keys; the simulator adapter and the real sidecar share it. Durations
are microseconds in the settings and seconds in `BalancerConfig`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple, TypeVar

import msgspec

from .decisions.config import BalancerConfig

T = TypeVar("T")

RETRY_SAFETY = {"free": "rerunnable", "guarded": "ticketed", "single_shot": "exclusive"}
NARROWEST_SCOPE = "cell"
# Figures of a load report: their names on the wire, and those that the decisions use.
LOAD_REPORT_FIGURES = {
    "busy_reqs": "held",
    "inflight": "held",
    "pending": "waiting",
    "queue": "waiting",
    "cpu_share": "busy",
    "util": "busy",
    "served_ps": "served",
    "qps": "served",
    "failed_ps": "failing",
    "eps": "failing",
    "svc_ms": "service",
    "latency_ms": "service",
}
LOAD_REPORT_UNITS = {"service": 1e-3}  # seconds per unit on the wire, which is a millisecond
MICROSECONDS_PER_SECOND = 1e6

# The checks of `validate`, by key; a dot separates a table from a key in it.
ENUMERATED_KEYS = {
    "discovery": ("ask", "push"),
    "weightKind": ("off", "nominal", "rough", "live"),
    "loadReport.how": ("off", "inline", "on_probe"),
}
BOOLEAN_KEYS = ("caps.probing", "caps.peers", "caps.cancel", "caps.mayDuplicate", "caps.retryAfter")
PRICE_KEYS = (
    "charges.crossZone",
    "charges.handshake",
    "charges.connection",
    "charges.probe",
    "charges.peer",
)
# Integer keys, each with its minimum.
INTEGER_KEYS = {"caps.streamsPerConn": 1, "caps.mostHandOffs": 1, "replicasOfMe": 1, "slotNo": 0}


class Contradiction(NamedTuple):
    """A key that contradicts others, and the reason."""

    key: str
    reason: str


# Checks.


def validate(settings: dict[str, Any]) -> None:
    """Check types and enumerated values; raises `msgspec.ValidationError`, which names the key.

    Only a real sidecar runs these checks; the simulator's settings are used unchecked.
    """
    for key, allowed in ENUMERATED_KEYS.items():
        value = _value(settings, key)
        if value is not None and value not in allowed:
            raise msgspec.ValidationError(f"{key}: {value!r} is not one of {', '.join(allowed)}")
    for key in BOOLEAN_KEYS:
        value = _value(settings, key)
        if not isinstance(value, bool | None):
            raise msgspec.ValidationError(f"{key}: neither true nor false: {value!r}")
    for key in PRICE_KEYS:
        value = _value(settings, key)
        if value is not None and (not _is_number(value) or value < 0):
            raise msgspec.ValidationError(f"{key}: not a number of 0 or more: {value!r}")
    for key, minimum in INTEGER_KEYS.items():
        value = _value(settings, key)
        if value is not None and (type(value) is not int or value < minimum):
            raise msgspec.ValidationError(f"{key}: not an integer, or less than {minimum}: {value!r}")
    columns = _value(settings, "loadReport.columns")
    if columns is not None and not (isinstance(columns, list) and all(isinstance(c, str) for c in columns)):
        raise msgspec.ValidationError(f"loadReport.columns: not a list of strings: {columns!r}")


def contradictions(settings: dict[str, Any]) -> Iterator[Contradiction]:
    """Yield the keys that contradict others, as if two kinds of deployment had been mixed.

    Each setting can be applied as it stands, so contradictions are logged and never rejected: a deployment
    may well set a price for something that it does not allow.
    """
    health_checks = _value_or(settings, "caps.probing", False)
    streams = _value_or(settings, "caps.streamsPerConn", 1)
    weights_are_live = _value(settings, "weightKind") == "live"
    if _value_or(settings, "discovery", "ask") == "ask":
        if streams > 1:
            yield Contradiction(
                "caps.streamsPerConn",
                f"{streams}, but a connection carries one request at a time if the endpoint list is watched",
            )
        if weights_are_live:
            yield Contradiction(
                "weightKind", "live, but weights in a watched list are older than the load that they describe"
            )
    if weights_are_live and health_checks:
        yield Contradiction("caps.probing", "true, but live weights in the endpoint list already report load")
    if _value(settings, "loadReport.how") == "on_probe" and not health_checks:
        yield Contradiction("loadReport.how", "on_probe, but probes are not allowed, so no report arrives")
    if _value_or(settings, "charges.probe", 0) > 0 and not health_checks:
        yield Contradiction("charges.probe", "a price for probes, which are not allowed")
    if _value_or(settings, "slotNo", 0) >= _value_or(settings, "replicasOfMe", 1):
        yield Contradiction("slotNo", "not below replicasOfMe")


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool)


# Decoding.


def decode(text: str) -> BalancerConfig:
    """Decode settings from JSON text; raises `msgspec.ValidationError` for unusable ones."""
    try:
        settings = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise msgspec.ValidationError(str(error)) from None
    return balancer_config(settings)


def balancer_config(settings: object) -> BalancerConfig:
    """Convert settings, with defaults for absent keys; raises `msgspec.ValidationError`."""
    if not isinstance(settings, dict):
        raise msgspec.ValidationError("not an object")
    settings = _without_nulls(settings)
    caps, rules, charges, load_report = (
        _table(settings, name) for name in ("caps", "rules", "charges", "loadReport")
    )
    fields = {
        "request_classes": [_request_class(c) for c in settings.get("categories", [])],
        "tenants": [_tenant(c) for c in settings.get("tenants") or []],
        "zone": settings.get("locality", ""),
        "sidecar_index": settings.get("slotNo", 0),
        "sidecars": settings.get("replicasOfMe", 1),
        "must_watch_endpoints": settings.get("discovery") == "ask",
        "endpoint_list_max_age": _seconds(rules, "mustAskIn"),
        "slow_start_initial_fraction": rules.get("coldShare", 1.0),
        "slow_start_duration": _seconds(rules, "cold"),
        "overload_factor": rules.get("fallMultiple", 1.0),
        "overload_window": _seconds(rules, "overloadFor"),
        "max_attempts": caps.get("mostHandOffs", 1),
        "cross_zone_price": charges.get("crossZone", 0.0),
        "connection_setup_price": charges.get("handshake", 0.0),
        "open_connection_price": charges.get("connection", 0.0),
        "streams_per_connection": caps.get("streamsPerConn", 1),
        "weights_are_live": settings.get("weightKind") == "live",
        "health_check_price": charges.get("probe", 0.0),
        "gossip_price": charges.get("peer", 0.0),
        "health_checks_allowed": caps.get("probing", False),
        "load_reported": load_report.get("how", "off") != "off",
        "load_reported_in_responses": load_report.get("how") == "inline",
        "key_affinity": _table(settings, "specifics").get("warmKeys") or False,
        "hedging_allowed": caps.get("mayDuplicate", False),
        "cancel_allowed": caps.get("cancel", False),
        "gossip_allowed": caps.get("peers", False),
        "connect_timeout": _seconds(caps, "connectTimeout"),
        "drain_grace": _seconds(rules, "drainGrace"),
        "idle_timeout": _seconds(caps, "keepalive"),
        "max_retry_after": _seconds(caps, "maxRetryAfter") if caps.get("retryAfter") else 0.0,
    }
    return msgspec.convert(fields, BalancerConfig)


def _request_class(settings: object) -> dict[str, Any]:
    if not isinstance(settings, dict):
        raise msgspec.ValidationError("a category is not an object")
    settings = _without_nulls(settings)
    return {
        "name": settings.get("name"),
        "retry_safety": RETRY_SAFETY.get(settings.get("effect", "free"), "exclusive"),
        "latency_objective": _seconds(settings, "dueTime"),
        "timeout": _seconds(settings, "expiry"),
        "priority_weight": settings.get("payoff", 1.0),
        **_deduplication(settings),
        "late_priority_weight": settings.get("overduePayoff", 0.0),
        "objective_per_cost": settings.get("aimStretch") or 0.0,
    }


def _deduplication(settings: dict[str, Any]) -> dict[str, Any]:
    """Return the scope and the window in which endpoints recognise a repeated request.

    Without a scope in the settings nothing is known of what they recognise, so there is no window.
    """
    scope = settings.get("dedupScope")
    if not scope:
        return {"deduplication_scope": NARROWEST_SCOPE, "deduplication_window": 0.0}
    return {"deduplication_scope": scope, "deduplication_window": _seconds(settings, "window")}


def _tenant(settings: object) -> dict[str, Any]:
    if not isinstance(settings, dict):
        raise msgspec.ValidationError("a tenant is not an object")
    settings = _without_nulls(settings)
    return {
        "name": settings.get("name"),
        "share": settings.get("share", 0.0),
    }


# Access by key.


def _value(settings: dict[str, Any], key: str) -> Any:  # noqa: ANN401  # any JSON value
    """Return the value of a key, which may be in a table, or None if it is absent."""
    table, _, name = key.rpartition(".")
    return (_table(settings, table) if table else settings).get(name)


def _value_or(settings: dict[str, Any], key: str, default: T) -> T:
    """Return the value of a key, or `default` if it is absent or null."""
    value = _value(settings, key)
    return default if value is None else value


def _table(settings: dict[str, Any], name: str) -> dict[str, Any]:
    table = settings.get(name) or {}
    if not isinstance(table, dict):
        raise msgspec.ValidationError(f"{name} is not an object: {table!r}")
    return _without_nulls(table)


def _without_nulls(table: dict[str, Any]) -> dict[str, Any]:
    """Return the table without its null values: a null means the same as an absent key."""
    return {key: value for key, value in table.items() if value is not None}


def _seconds(table: dict[str, Any], name: str) -> float:
    value = table.get(name, 0)
    if not _is_number(value):
        raise msgspec.ValidationError(f"{name} is not a number: {value!r}")
    return value / MICROSECONDS_PER_SECOND
