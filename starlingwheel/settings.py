"""The settings that a sidecar is given, in our words; the simulator's wire and a real sidecar share them."""

from __future__ import annotations

from typing import Any

import msgspec

from .decisions.terms import Terms

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
}


def decode(text: str) -> Terms:
    """The settings from JSON text; raises `msgspec.ValidationError` for what can't be used."""
    try:
        given = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise msgspec.ValidationError(str(error)) from None
    return terms(given)


def terms(given: Any) -> Terms:
    """What is absent takes the meaning that the wire page gives it."""
    if not isinstance(given, dict):
        raise msgspec.ValidationError("not an object")
    caps, rules, charges, reports = (
        _table(given, name) for name in ("caps", "rules", "charges", "loadReport")
    )
    ours = {
        "categories": [_category(c) for c in given.get("categories", [])],
        "customers": [_customer(c) for c in given.get("tenants") or []],
        "zone": given.get("locality", ""),
        "number": given.get("slotNo", 0),
        "sidecars": given.get("replicasOfMe", 1),
        "must_subscribe": given.get("discovery") == "ask",
        "ask_within": _span(rules, "mustAskIn"),
        "cold_share": rules.get("coldShare", 1.0),
        "cold_for": _span(rules, "cold"),
        "fall_multiple": rules.get("fallMultiple", 1.0),
        "fall_span": _span(rules, "overloadFor"),
        "most_hand_offs": caps.get("mostHandOffs", 1),
        "crossing_price": charges.get("crossZone", 0.0),
        "connecting_price": charges.get("handshake", 0.0),
        "keeping_price": charges.get("connection", 0.0),
        "streams": caps.get("streamsPerConn", 1),
        "sizes_move": given.get("weightKind") == "live",
        "asking_price": charges.get("probe", 0.0),
        "telling_price": charges.get("peer", 0.0),
        "asking_allowed": caps.get("probing", False),
        "load_reported": reports.get("how", "off") != "off",
        "copies_allowed": caps.get("mayDuplicate", False),
        "cancel_allowed": caps.get("cancel", False),
        "peers_allowed": caps.get("peers", False),
        "connect_within": _span(caps, "connectTimeout"),
        "keep_idle": _span(caps, "keepalive"),
        "longest_come_back": _span(caps, "maxRetryAfter") if caps.get("retryAfter") else 0.0,
    }
    return msgspec.convert(ours, Terms)


def _table(given: dict[str, Any], name: str) -> dict[str, Any]:
    table = given.get(name) or {}
    if not isinstance(table, dict):
        raise msgspec.ValidationError(f"{name} is not an object")
    return table


def _span(table: dict[str, Any], name: str) -> float:
    value = table.get(name, 0)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise msgspec.ValidationError(f"{name} is not a number")
    return value / 1e6


def _category(given: Any) -> dict[str, Any]:
    if not isinstance(given, dict):
        raise msgspec.ValidationError("a category is not an object")
    return {
        "name": given.get("name"),
        "effect": EFFECTS.get(given.get("effect", "free"), "exclusive"),
        "due_time": _span(given, "dueTime"),
        "expiry": _span(given, "expiry"),
        "payoff": given.get("payoff", 1.0),
        "group": given.get("dedupScope") or "all",
        "memory": _span(given, "window"),
        "late_payoff": given.get("overduePayoff", 0.0),
        "stretch": given.get("aimStretch") or 0.0,
    }


def _customer(given: Any) -> dict[str, Any]:
    if not isinstance(given, dict):
        raise msgspec.ValidationError("a tenant is not an object")
    return {
        "name": given.get("name"),
        "share": given.get("share", 0.0),
    }
