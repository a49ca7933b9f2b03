"""The simulator's wire format: lines of `NAME field=value ...`, times in microseconds.

The only module that knows the names on that wire. A line that came is read by `SimulatorLine`, whose
properties have the names and units of the decisions (seconds); `encode_...` write the lines of the answer.
"""

from __future__ import annotations

import base64
import binascii
import enum
import math
from collections.abc import Callable, Mapping
from typing import TypeVar

import msgspec

from ..decisions.config import BalancerConfig, RequestClass
from ..decisions.events import WatchEvent
from ..decisions.model import AttemptOutcome, Endpoint, EndpointState
from ..settings import LOAD_REPORT_FIGURES, LOAD_REPORT_UNITS, decode

T = TypeVar("T")

MICROSECONDS_PER_SECOND = 1e6
MAX_QUOTED = 80  # characters of a value that an error message quotes
EMPTY_BODY = "-"
# Their values go on to the end of the line, spaces included.
TEXT_FIELDS = ("facts", "message")


class LineName(enum.StrEnum):
    """The names of the lines that the simulator writes."""

    BATCH_BEGIN = "SYNC"
    BATCH_END = "GO"
    ENDPOINT_LIST = "SHEET"
    ENDPOINT = "UPSTREAM"
    SELECT_SIDECAR = "CONTEXT"
    SIDECAR_STARTED = "CONFIGURE"
    SIDECAR_KILLED = "DETACH"
    ENDPOINTS_CHANGED = "ANNOUNCE"
    REQUEST_RECEIVED = "QUERY"
    ATTEMPT_ENDED = "ENDED"
    RESPONSE_STARTED = "FLOWING"
    CLIENT_DISCONNECTED = "CANCELLED_BY_CLIENT"
    ALARM = "TICK_DUE"
    HEALTH_CHECK_ENDED = "CHECK_RESULT"
    GOSSIP_RECEIVED = "HEARD"


ATTEMPT_OUTCOMES = {
    "OK": AttemptOutcome.SUCCESS,
    "INTERNAL": AttemptOutcome.ERROR,
    "RESOURCE_EXHAUSTED": AttemptOutcome.REJECTED,
    "DEADLINE_EXCEEDED": AttemptOutcome.TIMED_OUT,
    "UNAVAILABLE": AttemptOutcome.CONNECT_FAILED,
    "ABORTED": AttemptOutcome.RESET,
    "CANCELLED": AttemptOutcome.CANCELLED,
    "TOO_LATE": AttemptOutcome.NOT_SENT,
}
WATCH_EVENTS = {
    "0": WatchEvent.DELTA,
    "1": WatchEvent.SNAPSHOT,
    "2": WatchEvent.SNAPSHOT,
    "3": WatchEvent.FAILED,
}
ENDPOINT_STATES = {"0": EndpointState.GONE, "1": EndpointState.DRAINING, "2": EndpointState.READY}


class MalformedMessageError(Exception):
    """A line that can't be read; the text names line and field."""


class SimulatorLine:
    """One line that came. Its fields are decoded on access; each raises `MalformedMessageError`."""

    __slots__ = ("number", "name", "fields")

    def __init__(self, number: int, text: str) -> None:
        """`number`: of the line in the input, for error messages. Raises `MalformedMessageError`."""
        self.number = number
        self.name, _, rest = text.partition(" ")
        self.fields: dict[str, str] = {}
        while rest:
            name, equals, rest = rest.partition("=")
            if not equals or not name or " " in name:
                raise self.error(f"a part without name=value: {name[:MAX_QUOTED]!r}")
            if name in TEXT_FIELDS:
                self.fields[name] = rest
                break
            self.fields[name], _, rest = rest.partition(" ")

    def error(self, why: str) -> MalformedMessageError:
        """Return the error to raise for this line."""
        return MalformedMessageError(f"line {self.number}: {self.name}: {why}")

    # Fields by type.

    def _text(self, field: str) -> str:
        try:
            return self.fields[field]
        except KeyError:
            raise self.error(f"field {field} is missing") from None

    def _read(self, field: str, decode_value: Callable[[str], T], default: T | None = None) -> T:
        if default is not None and field not in self.fields:
            return default
        value = self._text(field)
        try:
            return decode_value(value)
        except (ValueError, KeyError, binascii.Error, msgspec.ValidationError) as error:
            shown = value if len(value) < MAX_QUOTED else value[: MAX_QUOTED - 3] + "..."
            why = f" ({error})" if isinstance(error, msgspec.ValidationError) else ""
            raise self.error(f"field {field} can't be read: {shown!r}{why}") from None

    def _seconds(self, field: str, default: float | None = None) -> float:
        return self._read(field, _to_seconds, default)

    # A batch and its sidecars.

    @property
    def time(self) -> float:
        """The simulated time of a batch."""
        return self._seconds("simTime")

    @property
    def turn(self) -> int:
        """The number of a batch."""
        return self._read("turn", int)

    @property
    def sidecar(self) -> str:
        """The sidecar that the next lines are for."""
        return self._text("sidecar")

    @property
    def balancer_config(self) -> BalancerConfig:
        """The settings of a sidecar."""
        return self._read("facts", decode)

    @property
    def random_seed(self) -> int:
        """The seed of a sidecar's random numbers."""
        return self._read("entropy", int)

    # Endpoints.

    @property
    def list_number(self) -> int:
        """The number of an endpoint list, by which later lines refer to it."""
        return self._read("bank", int)

    @property
    def list_size(self) -> int:
        """How many endpoint lines follow."""
        return self._read("entries", int)

    @property
    def watch_event(self) -> WatchEvent:
        """What kind of change of the endpoints it is."""
        return self._read("scope", WATCH_EVENTS.__getitem__)

    def endpoint_list(self, lists: Mapping[int, list[Endpoint]]) -> list[Endpoint]:
        """Return the list that the line refers to."""
        return self._read("bank", lambda number: lists[int(number)])

    @property
    def endpoint_id(self) -> str:
        """The endpoint that the line is about."""
        return self._text("upstream")

    def endpoint(self) -> Endpoint:
        """Decode an endpoint line."""
        started_at = self._read("upSince", int, 0)
        return Endpoint(
            endpoint_id=self.endpoint_id,
            zone=self.fields.get("area", ""),
            cell=self._read("bay", int, 0),
            capacity_weight=self._read("nominal", float, 1.0),
            started_at=started_at / MICROSECONDS_PER_SECOND if started_at else None,
            state=self._read("condition", ENDPOINT_STATES.__getitem__),
        )

    # Requests and attempts.

    @property
    def request_number(self) -> int:
        """The request that the line is about."""
        return self._read("job", int)

    def request_class(self, classes: Mapping[str, RequestClass]) -> RequestClass:
        """Return the class of a request."""
        return self._read("profile", classes.__getitem__)

    @property
    def time_left(self) -> float:
        """Seconds until a request's deadline."""
        return self._seconds("patienceLeft")

    @property
    def tenant(self) -> str:
        """The name of a request's tenant; empty: none."""
        return self.fields.get("team", "")

    @property
    def is_retry(self) -> bool:
        """The client has sent the request before."""
        return self._read("isRetry", _to_bool, False)

    @property
    def cost(self) -> float:
        """What a request costs an endpoint, in seconds; 0: unknown."""
        return self._seconds("cost", 0.0)

    @property
    def affinity_key(self) -> str:
        """The key of a request by which an endpoint is preferred; empty: none."""
        return self.fields.get("affinity", "")

    @property
    def attempt_index(self) -> int:
        """Which attempt of its request the line is about, counted from 0."""
        return self._read("hop", int)

    def unknown_attempt(self) -> MalformedMessageError:
        """Return the error for an attempt that was never started."""
        return self.error(f"field hop names no hand-off: '{self.attempt_index}'")

    @property
    def outcome(self) -> AttemptOutcome:
        """How an attempt or a health check ended."""
        return self._read("code", ATTEMPT_OUTCOMES.__getitem__)

    @property
    def duration(self) -> float:
        """How long it took, in seconds."""
        return self._seconds("duration")

    @property
    def answered_client(self) -> bool:
        """The attempt's response was the answer to the client."""
        return self._read("doneFlag", _to_bool, False)

    def load_report(self) -> dict[str, float]:
        """Decode the figures of a load report that the decisions know; others are skipped."""
        return self._read("feedback", _decode_load_report, {}) if "feedback" in self.fields else {}

    # Peers and alarms.

    @property
    def peer(self) -> int:
        """The peer that gossip came from."""
        return self._read("src", int)

    @property
    def gossip(self) -> bytes:
        """The gossip that came."""
        return self._read("body", _decode_body)

    @property
    def alarm_mark(self) -> str:
        """The mark that the alarm was set with."""
        return self._text("mark")


def _to_bool(value: str) -> bool:
    return {"0": False, "1": True}[value]


def _to_seconds(value: str) -> float:
    return int(value) / MICROSECONDS_PER_SECOND


def _decode_load_report(text: str) -> dict[str, float]:
    pairs = (pair.split(":") for pair in text.split(",") if pair)
    known = (
        (LOAD_REPORT_FIGURES[name], float(value)) for name, value in pairs if name in LOAD_REPORT_FIGURES
    )
    return {figure: value * LOAD_REPORT_UNITS.get(figure, 1.0) for figure, value in known}


def _decode_body(value: str) -> bytes:
    return b"" if value == EMPTY_BODY else base64.b64decode(value, validate=True)


# What is written to the simulator.


def to_microseconds(seconds: float) -> int:
    """Round a time or a duration to the wire's unit."""
    return round(seconds * MICROSECONDS_PER_SECOND)


def to_alarm_time(seconds: float) -> int:
    """Return the first microsecond that is not before a time."""
    return math.ceil(seconds * MICROSECONDS_PER_SECOND)


def encode_start_attempt(request_number: int, endpoint_id: str, timeout: float) -> str:
    """The request is to be sent to the endpoint; `timeout` in seconds."""
    return f"ROUTE job={request_number} upstream={endpoint_id} cap={max(to_microseconds(timeout), 1)}"


def encode_cancel_attempt(request_number: int, attempt_index: int) -> str:
    """The attempt is to be given up."""
    return f"ABANDON job={request_number} hop={attempt_index}"


def encode_reject_request(request_number: int, retry_after: float) -> str:
    """The request is rejected; it may be sent again after so many seconds."""
    return f"TURN_AWAY job={request_number} coolDown={to_microseconds(retry_after)}"


def encode_fail_request(request_number: int) -> str:
    """The request has failed."""
    return f"SURRENDER job={request_number}"


def encode_watch_endpoints() -> str:
    """The endpoint list is to be watched."""
    return "OBSERVE want=1"


def encode_health_check(endpoint_id: str) -> str:
    """The endpoint is to be polled for its load."""
    return f"HEALTH_CHECK upstream={endpoint_id}"


def encode_gossip(body: bytes) -> str:
    """The body is to be sent to all peers."""
    return f"NOTIFY recipient=* body={base64.b64encode(body).decode() or EMPTY_BODY}"


def encode_alarm(at: int) -> str:
    """The sidecar is to be woken at that time, in microseconds."""
    return f"SET_ALARM when={at} mark=wake"


def encode_select_sidecar(name: str) -> str:
    """The lines that follow come from this sidecar."""
    return f"ON_BEHALF sidecar={name}"


def encode_batch_end(turn: int) -> str:
    """All lines of the batch are written."""
    return f"END turn={turn}"


def encode_defect(error: Exception) -> str:
    """The process ends by a fault in its code."""
    return f"DIE message={type(error).__name__}: {error}".replace("\n", " ")
