"""The simulator's wire format: lines of `NAME field=value ...`, times in microseconds.

This is the only module that contains the names used in the format. `SimulatorLine` decodes an input line;
its properties have the names and units of the decisions (seconds). The `encode_...` functions encode the
reply.
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
MAX_QUOTED = 80  # length limit of a value quoted in an error message, in characters
EMPTY_BODY = "-"
# Fields whose values extend to the end of the line and may contain spaces.
TEXT_FIELDS = ("facts", "message")


class LineName(enum.StrEnum):
    """Names of the lines that the simulator sends."""

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
    """A line that can't be decoded; the message identifies the line and the field."""


class SimulatorLine:
    """One input line. Its fields are decoded on access, which can raise `MalformedMessageError`."""

    __slots__ = ("number", "name", "fields")

    def __init__(self, number: int, text: str) -> None:
        """Split a line into its fields. Raises `MalformedMessageError`.

        `number`: the line's number in the input, for error messages.
        """
        self.number = number
        self.name, _, rest = text.partition(" ")
        self.fields: dict[str, str] = {}
        while rest:
            name, equals, rest = rest.partition("=")
            if not equals or not name or " " in name:
                raise self.error(f"expected name=value, got {name[:MAX_QUOTED]!r}")
            if name in TEXT_FIELDS:
                self.fields[name] = rest
                break
            self.fields[name], _, rest = rest.partition(" ")

    def error(self, reason: str) -> MalformedMessageError:
        """Return the error to raise for this line."""
        return MalformedMessageError(f"line {self.number}: {self.name}: {reason}")

    # Fields by type.

    def _text(self, field: str) -> str:
        try:
            return self.fields[field]
        except KeyError:
            raise self.error(f"field {field} is missing") from None

    def _decode_field(self, field: str, decode_value: Callable[[str], T], default: T | None = None) -> T:
        if default is not None and field not in self.fields:
            return default
        value = self._text(field)
        try:
            return decode_value(value)
        except (ValueError, KeyError, binascii.Error, msgspec.ValidationError) as error:
            shown = value if len(value) < MAX_QUOTED else value[: MAX_QUOTED - 3] + "..."
            detail = f" ({error})" if isinstance(error, msgspec.ValidationError) else ""
            raise self.error(f"field {field} has an invalid value: {shown!r}{detail}") from None

    def _seconds(self, field: str, default: float | None = None) -> float:
        return self._decode_field(field, _to_seconds, default)

    # A batch and its sidecars.

    @property
    def time(self) -> float:
        """The simulated time of a batch, in seconds."""
        return self._seconds("simTime")

    @property
    def turn(self) -> int:
        """The number of a batch."""
        return self._decode_field("turn", int)

    @property
    def sidecar(self) -> str:
        """The sidecar that the following lines address."""
        return self._text("sidecar")

    @property
    def balancer_config(self) -> BalancerConfig:
        """The settings of a sidecar."""
        return self._decode_field("facts", decode)

    @property
    def random_seed(self) -> int:
        """The seed of a sidecar's random numbers."""
        return self._decode_field("entropy", int)

    # Endpoints.

    @property
    def list_number(self) -> int:
        """The number of an endpoint list, which later lines use to refer to it."""
        return self._decode_field("bank", int)

    @property
    def list_size(self) -> int:
        """The number of endpoint lines that follow."""
        return self._decode_field("entries", int)

    @property
    def watch_event(self) -> WatchEvent:
        """The kind of endpoint change."""
        return self._decode_field("scope", WATCH_EVENTS.__getitem__)

    def endpoint_list(self, endpoint_lists: Mapping[int, list[Endpoint]]) -> list[Endpoint]:
        """Return the list that the line refers to."""
        return self._decode_field("bank", lambda number: endpoint_lists[int(number)])

    @property
    def endpoint_id(self) -> str:
        """The endpoint that the line refers to."""
        return self._text("upstream")

    def endpoint(self) -> Endpoint:
        """Decode an endpoint line."""
        started_at = self._decode_field("upSince", int, 0)
        return Endpoint(
            endpoint_id=self.endpoint_id,
            zone=self.fields.get("area", ""),
            cell=self._decode_field("bay", int, 0),
            capacity_weight=self._decode_field("nominal", float, 1.0),
            started_at=started_at / MICROSECONDS_PER_SECOND if started_at else None,
            state=self._decode_field("condition", ENDPOINT_STATES.__getitem__),
        )

    # Requests and attempts.

    @property
    def request_number(self) -> int:
        """The number of the request that the line refers to."""
        return self._decode_field("job", int)

    def request_class(self, classes: Mapping[str, RequestClass]) -> RequestClass:
        """Return the class of a request."""
        return self._decode_field("profile", classes.__getitem__)

    @property
    def time_left(self) -> float:
        """Seconds until a request's deadline."""
        return self._seconds("patienceLeft")

    @property
    def tenant(self) -> str:
        """The name of a request's tenant; empty if there is none."""
        return self.fields.get("team", "")

    @property
    def is_retry(self) -> bool:
        """Whether the client has sent the request before."""
        return self._decode_field("isRetry", _to_bool, False)

    @property
    def cost(self) -> float:
        """The cost of a request to an endpoint, in seconds; 0 if unknown."""
        return self._seconds("cost", 0.0)

    @property
    def affinity_key(self) -> str:
        """The key of a request that determines its preferred cell; empty if there is none."""
        return self.fields.get("affinity", "")

    @property
    def attempt_index(self) -> int:
        """The index of the attempt within its request, from 0."""
        return self._decode_field("hop", int)

    def unknown_attempt_error(self) -> MalformedMessageError:
        """Return the error for an attempt that was never started."""
        return self.error(f"field hop refers to an unknown attempt: '{self.attempt_index}'")

    @property
    def outcome(self) -> AttemptOutcome:
        """How an attempt or a health check ended."""
        return self._decode_field("code", ATTEMPT_OUTCOMES.__getitem__)

    @property
    def duration(self) -> float:
        """The duration of an attempt or a health check, in seconds."""
        return self._seconds("duration")

    @property
    def answered_client(self) -> bool:
        """Whether the attempt's response was delivered to the client."""
        return self._decode_field("doneFlag", _to_bool, False)

    def load_report(self) -> dict[str, float]:
        """Decode the load report; figures that the decisions do not use are skipped."""
        return self._decode_field("feedback", _decode_load_report, {}) if "feedback" in self.fields else {}

    # Peers and alarms.

    @property
    def peer(self) -> int:
        """The peer that sent the gossip."""
        return self._decode_field("src", int)

    @property
    def gossip(self) -> bytes:
        """The body of a gossip message."""
        return self._decode_field("body", _decode_body)

    @property
    def alarm_mark(self) -> str:
        """The mark that was passed when the alarm was set."""
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


# Output lines.


def to_microseconds(seconds: float) -> int:
    """Round a time or a duration in seconds to microseconds, the unit on the wire."""
    return round(seconds * MICROSECONDS_PER_SECOND)


def to_alarm_time(seconds: float) -> int:
    """Return the first whole microsecond that is not before a time in seconds."""
    return math.ceil(seconds * MICROSECONDS_PER_SECOND)


def encode_start_attempt(request_number: int, endpoint_id: str, timeout: float) -> str:
    """Encode the command to send a request to an endpoint. `timeout`: seconds."""
    return f"ROUTE job={request_number} upstream={endpoint_id} cap={max(to_microseconds(timeout), 1)}"


def encode_cancel_attempt(request_number: int, attempt_index: int) -> str:
    """Encode the command to cancel an attempt."""
    return f"ABANDON job={request_number} hop={attempt_index}"


def encode_reject_request(request_number: int, retry_after: float) -> str:
    """Encode the rejection of a request that may be retried. `retry_after`: seconds."""
    return f"TURN_AWAY job={request_number} coolDown={to_microseconds(retry_after)}"


def encode_fail_request(request_number: int) -> str:
    """Encode the failure of a request."""
    return f"SURRENDER job={request_number}"


def encode_watch_endpoints() -> str:
    """Encode the command to watch the endpoint list."""
    return "OBSERVE want=1"


def encode_health_check(endpoint_id: str) -> str:
    """Encode the command to request a load report from an endpoint."""
    return f"HEALTH_CHECK upstream={endpoint_id}"


def encode_gossip(body: bytes) -> str:
    """Encode a gossip message to all peers."""
    return f"NOTIFY recipient=* body={base64.b64encode(body).decode() or EMPTY_BODY}"


def encode_alarm(at: int) -> str:
    """Encode the command to set an alarm. `at`: microseconds."""
    return f"SET_ALARM when={at} mark=wake"


def encode_select_sidecar(name: str) -> str:
    """Encode the line that names the sidecar that sends the following lines."""
    return f"ON_BEHALF sidecar={name}"


def encode_batch_end(turn: int) -> str:
    """Encode the line that ends the reply to a batch."""
    return f"END turn={turn}"


def encode_defect(error: Exception) -> str:
    """Encode the report of an exception that ends the process."""
    return f"DIE message={type(error).__name__}: {error}".replace("\n", " ")
