"""The settings that a sidecar is given, in our words; the simulator's wire and a real sidecar share them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgspec

from .decisions.config import BalancerConfig

EFFECTS = {"free": "rerunnable", "guarded": "ticketed", "single_shot": "exclusive"}
REPORTED = {
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
SCALE = {"service": 1e-3}  # seconds, where the wire has others


WORDS = {
    "discovery": ("ask", "push"),
    "weightKind": ("off", "nominal", "rough", "live"),
    "loadReport.how": ("off", "inline", "on_probe"),
}
FLAGS = ("caps.probing", "caps.peers", "caps.cancel", "caps.mayDuplicate", "caps.retryAfter")
PRICES = ("charges.crossZone", "charges.handshake", "charges.connection", "charges.probe", "charges.peer")
WHOLE = {"caps.streamsPerConn": 1, "caps.mostHandOffs": 1, "replicasOfMe": 1, "slotNo": 0}


def check(given: dict[str, Any]) -> None:
    """Raises `msgspec.ValidationError`, the key named, for wrong types and unknown words.

    Only the program checks: the simulator's wire is taken as it comes.
    """
    for key, words in WORDS.items():
        if (value := _value(given, key)) is not None and value not in words:
            raise msgspec.ValidationError(f"{key}: {value!r} is none of {', '.join(words)}")
    for key in FLAGS:
        if not isinstance(_value(given, key), bool | None):
            raise msgspec.ValidationError(f"{key}: not true or false")
    for key in PRICES:
        value = _value(given, key)
        if value is not None and (isinstance(value, bool) or not isinstance(value, int | float) or value < 0):
            raise msgspec.ValidationError(f"{key}: not a price")
    for key, least in WHOLE.items():
        value = _value(given, key)
        if value is not None and (type(value) is not int or value < least):
            raise msgspec.ValidationError(f"{key}: not a whole number from {least}")
    columns = _value(given, "loadReport.columns")
    if columns is not None and not (isinstance(columns, list) and all(isinstance(c, str) for c in columns)):
        raise msgspec.ValidationError("loadReport.columns: not a list of names")


def mixed(given: dict[str, Any]) -> Iterator[tuple[str, str]]:
    """What looks like two kinds of deployment in one: the key that stands out, and why.

    All of it can be followed, each setting by what it says, so it is told and never refused: a deployment may
    well name a price for what it does not allow.
    """
    probing, streams = _value(given, "caps.probing", False), _value(given, "caps.streamsPerConn", 1)
    live, how = _value(given, "weightKind") == "live", _value(given, "loadReport.how")
    if _value(given, "discovery", "ask") == "ask":
        if streams > 1:
            yield (
                "caps.streamsPerConn",
                f"{streams}, where the list is asked for a connection carries one work item",
            )
        if live:
            yield "weightKind", "live, where the list is asked for weights would be older than what they tell"
    if live and probing:
        yield "caps.probing", "true, where weights are live load is told by the list"
    if how == "on_probe" and not probing:
        yield "loadReport.how", "on_probe, where probes are not allowed no report ever comes"
    if _value(given, "charges.probe", 0) > 0 and not probing:
        yield "charges.probe", "a price for probes, where they are not allowed"
    if _value(given, "slotNo", 0) >= _value(given, "replicasOfMe", 1):
        yield "slotNo", "not below replicasOfMe"


def _value(given: dict[str, Any], key: str, default: Any = None) -> Any:
    """The value of a key that may stand in a table; absent and null are the same."""
    table, _, name = key.rpartition(".")
    value = (_table(given, table) if table else given).get(name)
    return default if value is None else value


def decode(text: str) -> BalancerConfig:
    """The settings from JSON text; raises `msgspec.ValidationError` for what can't be used."""
    try:
        given = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise msgspec.ValidationError(str(error)) from None
    return terms(given)


def terms(given: Any) -> BalancerConfig:
    """What is absent takes the meaning that the wire page gives it."""
    if not isinstance(given, dict):
        raise msgspec.ValidationError("not an object")
    given = _said(given)
    caps, rules, charges, reports = (
        _table(given, name) for name in ("caps", "rules", "charges", "loadReport")
    )
    ours = {
        "request_classes": [_category(c) for c in given.get("categories", [])],
        "tenants": [_customer(c) for c in given.get("tenants") or []],
        "zone": given.get("locality", ""),
        "sidecar_index": given.get("slotNo", 0),
        "sidecars": given.get("replicasOfMe", 1),
        "must_watch_endpoints": given.get("discovery") == "ask",
        "endpoint_list_max_age": _span(rules, "mustAskIn"),
        "slow_start_initial_fraction": rules.get("coldShare", 1.0),
        "slow_start_duration": _span(rules, "cold"),
        "overload_factor": rules.get("fallMultiple", 1.0),
        "overload_window": _span(rules, "overloadFor"),
        "max_attempts": caps.get("mostHandOffs", 1),
        "cross_zone_price": charges.get("crossZone", 0.0),
        "connection_setup_price": charges.get("handshake", 0.0),
        "open_connection_price": charges.get("connection", 0.0),
        "streams_per_connection": caps.get("streamsPerConn", 1),
        "weights_are_live": given.get("weightKind") == "live",
        "health_check_price": charges.get("probe", 0.0),
        "gossip_price": charges.get("peer", 0.0),
        "health_checks_allowed": caps.get("probing", False),
        "load_reported": reports.get("how", "off") != "off",
        "load_reported_in_responses": reports.get("how") == "inline",
        "key_affinity": _table(given, "specifics").get("warmKeys") or False,
        "hedging_allowed": caps.get("mayDuplicate", False),
        "cancel_allowed": caps.get("cancel", False),
        "gossip_allowed": caps.get("peers", False),
        "connect_timeout": _span(caps, "connectTimeout"),
        "drain_grace": _span(rules, "drainGrace"),
        "idle_timeout": _span(caps, "keepalive"),
        "max_retry_after": _span(caps, "maxRetryAfter") if caps.get("retryAfter") else 0.0,
    }
    return msgspec.convert(ours, BalancerConfig)


def _table(given: dict[str, Any], name: str) -> dict[str, Any]:
    table = given.get(name) or {}
    if not isinstance(table, dict):
        raise msgspec.ValidationError(f"{name} is not an object")
    return _said(table)


def _said(table: dict[str, Any]) -> dict[str, Any]:
    """Guards against a null being taken for a wrong type: it is the same as absent."""
    return {key: value for key, value in table.items() if value is not None}


def _span(table: dict[str, Any], name: str) -> float:
    value = table.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise msgspec.ValidationError(f"{name} is not a number")
    return value / 1e6


def _category(given: Any) -> dict[str, Any]:
    if not isinstance(given, dict):
        raise msgspec.ValidationError("a category is not an object")
    given = _said(given)
    return {
        "name": given.get("name"),
        "retry_safety": EFFECTS.get(given.get("effect", "free"), "exclusive"),
        "latency_objective": _span(given, "dueTime"),
        "timeout": _span(given, "expiry"),
        "priority_weight": given.get("payoff", 1.0),
        "deduplication_scope": given.get("dedupScope") or "all",
        "deduplication_window": _span(given, "window"),
        "late_priority_weight": given.get("overduePayoff", 0.0),
        "objective_per_cost": given.get("aimStretch") or 0.0,
    }


def _customer(given: Any) -> dict[str, Any]:
    if not isinstance(given, dict):
        raise msgspec.ValidationError("a tenant is not an object")
    given = _said(given)
    return {
        "name": given.get("name"),
        "share": given.get("share", 0.0),
    }
