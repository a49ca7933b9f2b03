"""Admin API of the fleet: its members, its policy and its zone plan."""

from __future__ import annotations

from collections.abc import Callable, Generator
from http import HTTPStatus
from typing import Any, TypeVar

import msgspec

from ...fleet.policy import document
from ...fleet.policy.replica import DEFAULT_SWITCH_DELAY, MIN_SWITCH_DELAY, PolicyReplica
from ...fleet.records import NAMES_PREFIX, PROPOSAL_KEY, Transaction, equal
from ...fleet.zones.planner import ZonePlanner
from ..admin.routes import AdminResult, AdminRoute, CallRejectedError, decode_id
from ..context import SidecarContext
from .messages import WriteTransaction

WRITE_TIMEOUT = 0.85  # seconds for which a call waits for the coordination store
POLL_INTERVAL = 0.01  # seconds between two checks whether the store has answered
MAX_PROPOSAL_SIZE = 2 * document.MAX_SIZE  # bytes; the proposed policy need not be in the shortest encoding
MAX_SWITCH_DELAY = 3600.0  # seconds from a proposal to its switch time
OPERATORS_REASON = "operators have said so"

CommandT = TypeVar("CommandT", bound=msgspec.Struct)
PendingResult = Generator[float, Any, AdminResult]  # yields the times until which it waits
ZoneChange = Callable[[ZonePlanner, str, str], Transaction | None]


class ZoneCommand(msgspec.Struct, forbid_unknown_fields=True, rename={"reason": "why"}):
    """The body of a call that changes the plan of a zone."""

    zone: str
    reason: str = OPERATORS_REASON


class ProposalCommand(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a proposal. `base`: the policy version that was edited; None: that is not checked."""

    policy: Any
    switch_s: float | None = None  # seconds until the policy takes effect
    base: int | None = None


def fleet(context: SidecarContext, body: bytes) -> AdminResult:
    """Return the members and links as this sidecar sees them."""
    return "", msgspec.json.encode(context.fleet.member_report()) + b"\n"


def policy(context: SidecarContext, body: bytes) -> AdminResult:
    """Return the policy in force, the open proposal and its votes."""
    return "", msgspec.json.encode(context.fleet.policy_report()) + b"\n"


def propose(context: SidecarContext, body: bytes) -> PendingResult:
    """Propose a change of the policy; raise `CallRejectedError` if that is not possible."""
    controller = context.fleet.policy_controller
    replica = controller.policy_replica
    command = _decode(body, ProposalCommand)
    delay = _switch_delay(command, replica.lease)
    if objection := controller.check(command.policy):
        raise _rejected(HTTPStatus.BAD_REQUEST, objection)
    replica.now = context.loop.now()
    _check_may_propose(replica, command)
    transaction, proposal = replica.propose(command.policy, delay)
    yield from _write(context, transaction)
    version, digest = proposal.policy.version, proposal.policy.digest
    answer = {"version": version, "digest": digest, "at": proposal.at}
    return str(version), msgspec.json.encode(answer) + b"\n"


def _switch_delay(command: ProposalCommand, lease: float) -> float:
    """Return the seconds until the switch time; `lease`: seconds."""
    delay = DEFAULT_SWITCH_DELAY * lease if command.switch_s is None else command.switch_s
    if not MIN_SWITCH_DELAY * lease < delay <= MAX_SWITCH_DELAY:
        bounds = f"{MIN_SWITCH_DELAY * lease} and {MAX_SWITCH_DELAY}"
        raise _rejected(HTTPStatus.BAD_REQUEST, f"switch_s: {delay} is not between {bounds}")
    return delay


def _check_may_propose(replica: PolicyReplica, command: ProposalCommand) -> None:
    if reason := replica.unavailable_reason():
        raise _rejected(
            HTTPStatus.SERVICE_UNAVAILABLE,
            f"this sidecar does not know which policy is in force: {reason}",
            reason,
        )
    known = replica.decided_version
    if command.base is not None and command.base != known:
        raise _rejected(
            HTTPStatus.CONFLICT, f"made from version {command.base}, but {known} is in force or decided"
        )
    if replica.decision is not None and replica.now < replica.decision.at:
        raise _rejected(HTTPStatus.CONFLICT, f"version {known} is decided but not in force yet")
    if replica.records.proposal is not None:
        version = replica.records.proposal.policy.version
        raise _rejected(HTTPStatus.CONFLICT, f"version {version} is already proposed")


def drop(context: SidecarContext, body: bytes) -> PendingResult:
    """Drop the open proposal; raise `CallRejectedError` if it does not have the version in the body."""
    replica = context.fleet.policy_controller.policy_replica
    replica.now = context.loop.now()
    version = decode_id(body)
    proposal = replica.records.proposal
    if proposal is None or str(proposal.policy.version) != version:
        raise _rejected(HTTPStatus.CONFLICT, f"version {version} is not an open proposal", "not open")
    transaction = replica.drop(OPERATORS_REASON)
    assert transaction is not None
    yield from _write(context, transaction)
    return version, b""


def retire(context: SidecarContext, body: bytes) -> PendingResult:
    """Remove a registered name, so that majorities are counted without it.

    Raises `CallRejectedError` while a member has that name or a change of the policy is open.
    """
    records = context.fleet.policy_controller.policy_replica.records
    name = decode_id(body)
    if name not in records.registered_names:
        raise _rejected(HTTPStatus.CONFLICT, f"{name!r} is not registered", "not registered")
    if any(member.name == name for member in records.members.values()):
        raise _rejected(HTTPStatus.CONFLICT, f"{name!r} is the name of a member in the view", "in the view")
    if records.proposal is not None:
        # The number of names that form a majority must not change while members vote.
        raise _rejected(HTTPStatus.CONFLICT, "a proposed change of the policy is open", "a change is open")
    unchanged = [
        equal(NAMES_PREFIX + name, "CREATE", records.registered_names[name]),
        equal(PROPOSAL_KEY, "CREATE", 0),
    ]
    yield from _write(context, Transaction("retire", unchanged, [], [NAMES_PREFIX + name]))
    return name, b""


def zones(context: SidecarContext, body: bytes) -> AdminResult:
    """Return the zone plan and the observations that it is based on."""
    return "", msgspec.json.encode(context.fleet.host.zone_controller.status()) + b"\n"


def zone(change: ZoneChange) -> Callable[[SidecarContext, bytes], PendingResult]:
    """Return the admin call that makes a change of the plan for a zone."""

    def carry_out(context: SidecarContext, body: bytes) -> PendingResult:
        controller = context.fleet.host.zone_controller
        command = _decode(body, ZoneCommand)
        if not controller.enabled:
            raise _rejected(HTTPStatus.CONFLICT, "zones are not configured, so there is no plan", "no plan")
        if command.zone not in {pool.endpoint.zone for pool in context.coordinator.pools.values()}:
            raise _rejected(
                HTTPStatus.BAD_REQUEST, f"no endpoint of zone {command.zone!r} is listed", "unknown zone"
            )
        controller.zone_health.now = context.loop.now()
        transaction = change(controller.zone_planner, command.zone, command.reason)
        if transaction is None:
            raise _rejected(HTTPStatus.CONFLICT, f"zone {command.zone!r} already gets all traffic", "whole")
        yield from _write(context, transaction)
        return command.zone, b""

    return carry_out


def _decode(body: bytes, kind: type[CommandT]) -> CommandT:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _rejected(HTTPStatus.BAD_REQUEST, str(error)) from error


def _write(context: SidecarContext, transaction: Transaction) -> Generator[float, Any, None]:
    """Write to the coordination store; raise `CallRejectedError` if that fails or takes too long."""
    message = WriteTransaction(transaction)
    context.fleet.state_writer.post(message)
    until = context.loop.now() + WRITE_TIMEOUT
    while message.done is None:
        if context.loop.now() >= until:
            raise _rejected(HTTPStatus.SERVICE_UNAVAILABLE, "the coordination store has not answered")
        yield context.loop.now() + POLL_INTERVAL
    if not message.done:
        raise _rejected(HTTPStatus.CONFLICT, "the state in the coordination store has changed meanwhile")


def _rejected(status: int, error: str, reason: str = "") -> CallRejectedError:
    """Return the error to raise. `reason`: a short form of `error` for the log; empty: `error` itself."""
    return CallRejectedError(status, reason or error, msgspec.json.encode({"error": error}) + b"\n")


ADMIN_ROUTES = {
    b"/_fleet": AdminRoute(b"GET", fleet),
    b"/_fleet/retire": AdminRoute(b"PUT", retire),
    b"/_zones": AdminRoute(b"GET", zones),
    b"/_zones/leave": AdminRoute(b"PUT", zone(ZonePlanner.leave_zone)),
    b"/_zones/return": AdminRoute(b"PUT", zone(ZonePlanner.begin_return)),
    b"/_zones/hold": AdminRoute(b"PUT", zone(ZonePlanner.hold_zone)),
    b"/_policy": AdminRoute(b"GET", policy),
    b"/_policy/propose": AdminRoute(b"PUT", propose, MAX_PROPOSAL_SIZE),
    b"/_policy/drop": AdminRoute(b"PUT", drop),
}
