"""The simulator's wire: lines into typed pieces, our words out of its words, seconds out of microseconds."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from ..decisions.terms import Condition, Fate, Listing, News, Terms

T = TypeVar("T")


class Malformed(Exception):
    """A line that can't be read; says which line and field."""


FATES = {
    "OK": Fate.FINISHED,
    "INTERNAL": Fate.ERROR,
    "RESOURCE_EXHAUSTED": Fate.TURNED_DOWN,
    "DEADLINE_EXCEEDED": Fate.OVERDUE,
    "UNAVAILABLE": Fate.UNREACHED,
    "ABORTED": Fate.BROKEN,
    "CANCELLED": Fate.CANCELLED,
    "TOO_LATE": Fate.UNSENT,
}
NEWS = {"0": News.CHANGES, "1": News.WHOLE, "2": News.WHOLE, "3": News.FAILED}
CONDITIONS = {"0": Condition.GONE, "1": Condition.DRAINING, "2": Condition.READY}
REPORTED = {"busy_reqs": "held", "pending": "waiting", "cpu_share": "busy"}
EFFECTS = {"free": "rerunnable", "guarded": "ticketed", "single_shot": "exclusive"}
TEXT_FIELDS = ("facts", "message")


class Line:
    """One line: its name and its fields, read by type on demand."""

    __slots__ = ("number", "name", "fields")

    def __init__(self, number: int, text: str) -> None:
        self.number = number
        self.name, _, rest = text.partition(" ")
        self.fields = {}
        while rest:
            name, equals, rest = rest.partition("=")
            if not equals or not name or " " in name:
                raise Malformed(f"line {number}: {self.name}: a part without name=value: {name[:80]!r}")
            if name in TEXT_FIELDS:
                self.fields[name] = rest
                break
            self.fields[name], _, rest = rest.partition(" ")

    def text(self, field: str) -> str:
        try:
            return self.fields[field]
        except KeyError:
            raise Malformed(f"line {self.number}: {self.name}: field {field} is missing") from None

    def read(self, field: str, how: Callable[[str], T], default: T | None = None) -> T:
        if default is not None and field not in self.fields:
            return default
        value = self.text(field)
        try:
            return how(value)
        except (ValueError, KeyError, binascii.Error, msgspec.ValidationError) as error:
            shown = value if len(value) < 80 else value[:77] + "..."
            why = f" ({error})" if isinstance(error, msgspec.ValidationError) else ""
            raise Malformed(
                f"line {self.number}: {self.name}: field {field} can't be read: {shown!r}{why}"
            ) from None

    def seconds(self, field: str, default: float | None = None) -> float:
        return self.read(field, seconds, default)

    def listing(self) -> Listing:
        started = self.read("upSince", int, 0)
        return Listing(
            address=self.text("upstream"),
            zone=self.fields.get("area", ""),
            cell=self.read("bay", int, 0),
            size=self.read("nominal", float, 1.0),
            started=started / 1e6 if started else None,
            condition=self.read("condition", CONDITIONS.__getitem__),
        )

    def report(self) -> dict[str, float]:
        """The figures of a load report that the decisions know; others are skipped."""

        def parse(text: str) -> dict[str, float]:
            pairs = (pair.split(":") for pair in text.split(",") if pair)
            return {REPORTED[name]: float(value) for name, value in pairs if name in REPORTED}

        return self.read("feedback", parse, {}) if "feedback" in self.fields else {}


def flag(value: str) -> bool:
    return {"0": False, "1": True}[value]


def seconds(value: str) -> float:
    return int(value) / 1e6


def micros(value: float) -> int:
    return round(value * 1e6)


def unpack(value: str) -> bytes:
    return b"" if value == "-" else base64.b64decode(value, validate=True)


def pack(body: bytes) -> str:
    return base64.b64encode(body).decode() or "-"


def terms(facts: str) -> Terms:
    """The settings in our words; what is absent there takes the meaning that the wire page gives it."""
    try:
        given = msgspec.json.decode(facts)
    except msgspec.DecodeError as error:
        raise msgspec.ValidationError(str(error)) from None
    if not isinstance(given, dict):
        raise msgspec.ValidationError("not an object")
    caps, rules, charges, reports = (
        _table(given, name) for name in ("caps", "rules", "charges", "loadReport")
    )
    ours = {
        "categories": [_category(c) for c in given.get("categories", [])],
        "customers": [_customer(c) for c in given.get("tenants") or []],
        "zone": given.get("locality", ""),
        "sidecars": given.get("replicasOfMe", 1),
        "must_subscribe": given.get("discovery") == "ask",
        "ask_within": _span(rules, "mustAskIn"),
        "cold_share": rules.get("coldShare", 1.0),
        "cold_for": _span(rules, "cold"),
        "fall_multiple": rules.get("fallMultiple", 1.0),
        "fall_span": _span(rules, "overloadFor"),
        "most_hand_offs": caps.get("mostHandOffs", 1),
        "crossing_price": charges.get("crossZone", 0.0),
        "asking_price": charges.get("probe", 0.0),
        "telling_price": charges.get("peer", 0.0),
        "asking_allowed": caps.get("probing", False),
        "told_with_answers": reports.get("how") == "inline",
        "over_share_payoff": given.get("overagePayoff", 1.0),
        "copies_allowed": caps.get("mayDuplicate", False),
        "cancel_allowed": caps.get("cancel", False),
        "peers_allowed": caps.get("peers", False),
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
