"""The simulator's wire: lines into typed pieces, our words out of its words, seconds out of microseconds."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Callable
from typing import TypeVar

import msgspec

from ..decisions.events import WatchEvent
from ..decisions.model import AttemptOutcome, Endpoint, EndpointState
from ..settings import REPORTED, SCALE

T = TypeVar("T")


class MalformedMessageError(Exception):
    """A line that can't be read; says which line and field."""


FATES = {
    "OK": AttemptOutcome.SUCCESS,
    "INTERNAL": AttemptOutcome.ERROR,
    "RESOURCE_EXHAUSTED": AttemptOutcome.REJECTED,
    "DEADLINE_EXCEEDED": AttemptOutcome.TIMED_OUT,
    "UNAVAILABLE": AttemptOutcome.CONNECT_FAILED,
    "ABORTED": AttemptOutcome.RESET,
    "CANCELLED": AttemptOutcome.CANCELLED,
    "TOO_LATE": AttemptOutcome.NOT_SENT,
}
NEWS = {"0": WatchEvent.DELTA, "1": WatchEvent.SNAPSHOT, "2": WatchEvent.SNAPSHOT, "3": WatchEvent.FAILED}
CONDITIONS = {"0": EndpointState.GONE, "1": EndpointState.DRAINING, "2": EndpointState.READY}
TEXT_FIELDS = ("facts", "message")


class SimulatorLine:
    """One line: its name and its fields, read by type on demand."""

    __slots__ = ("number", "name", "fields")

    def __init__(self, number: int, text: str) -> None:
        self.number = number
        self.name, _, rest = text.partition(" ")
        self.fields = {}
        while rest:
            name, equals, rest = rest.partition("=")
            if not equals or not name or " " in name:
                raise MalformedMessageError(
                    f"line {number}: {self.name}: a part without name=value: {name[:80]!r}"
                )
            if name in TEXT_FIELDS:
                self.fields[name] = rest
                break
            self.fields[name], _, rest = rest.partition(" ")

    def text(self, field: str) -> str:
        try:
            return self.fields[field]
        except KeyError:
            raise MalformedMessageError(
                f"line {self.number}: {self.name}: field {field} is missing"
            ) from None

    def read(self, field: str, how: Callable[[str], T], default: T | None = None) -> T:
        if default is not None and field not in self.fields:
            return default
        value = self.text(field)
        try:
            return how(value)
        except (ValueError, KeyError, binascii.Error, msgspec.ValidationError) as error:
            shown = value if len(value) < 80 else value[:77] + "..."
            why = f" ({error})" if isinstance(error, msgspec.ValidationError) else ""
            raise MalformedMessageError(
                f"line {self.number}: {self.name}: field {field} can't be read: {shown!r}{why}"
            ) from None

    def seconds(self, field: str, default: float | None = None) -> float:
        return self.read(field, seconds, default)

    def listing(self) -> Endpoint:
        started = self.read("upSince", int, 0)
        return Endpoint(
            endpoint_id=self.text("upstream"),
            zone=self.fields.get("area", ""),
            cell=self.read("bay", int, 0),
            capacity_weight=self.read("nominal", float, 1.0),
            started_at=started / 1e6 if started else None,
            state=self.read("condition", CONDITIONS.__getitem__),
        )

    def report(self) -> dict[str, float]:
        """The figures of a load report that the decisions know; others are skipped."""

        def parse(text: str) -> dict[str, float]:
            pairs = (pair.split(":") for pair in text.split(",") if pair)
            known = ((REPORTED[name], float(value)) for name, value in pairs if name in REPORTED)
            return {ours: value * SCALE.get(ours, 1.0) for ours, value in known}

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
