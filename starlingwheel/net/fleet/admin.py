"""Operators' calls about the fleet, on the second address."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

import msgspec

from ...fleet.policy import document as common
from ...fleet.policy.replica import DEFAULT_SWITCH_DELAY, MIN_SWITCH_DELAY
from ...fleet.records import NAMES, NEXT, Transaction, equal
from ...fleet.zones.planner import ZonePlanner
from ..admin.listener import BAD, CONFLICT, NOT_NOW, AdminResult, AdminRoute, CallRejectedError, named
from ..context import SidecarContext
from .messages import WriteTransaction

WITHIN = 0.85  # seconds for which a call waits for the arbiter
LOOK = 0.01
LONGEST = 2 * common.MAX_SIZE
FURTHEST = 3600.0  # seconds ahead that a change may be proposed


class ZoneCommand(msgspec.Struct, forbid_unknown_fields=True):
    zone: str
    why: str = "operators have said so"


class ProposalCommand(msgspec.Struct, forbid_unknown_fields=True):
    """`switch_s`: seconds until it holds; `base`: the version that it was made from, if that matters."""

    policy: Any
    switch_s: float | None = None
    base: int | None = None


def fleet(context: SidecarContext, body: bytes) -> AdminResult:
    return "", msgspec.json.encode(context.fleet.told()) + b"\n"


def policy(context: SidecarContext, body: bytes) -> AdminResult:
    return "", msgspec.json.encode(context.fleet.policy_told()) + b"\n"


def propose(context: SidecarContext, body: bytes) -> Generator[float, Any, AdminResult]:
    policy_replica, policy_controller = (
        context.fleet.policy_controller.policy_replica,
        context.fleet.policy_controller,
    )
    try:
        given = msgspec.json.decode(body, type=ProposalCommand)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _no(BAD, str(error)) from error
    lease = policy_replica.lease
    span = DEFAULT_SWITCH_DELAY * lease if given.switch_s is None else given.switch_s
    if not MIN_SWITCH_DELAY * lease < span <= FURTHEST:
        why = f"switch_s: {span} is not between {MIN_SWITCH_DELAY * lease} and {FURTHEST}"
        raise _no(BAD, why)
    if why := policy_controller.check(given.policy):
        raise _no(BAD, why)
    policy_replica.now = context.loop.now()
    if doubt := policy_replica.doubt():
        raise _no(NOT_NOW, f"which policy holds is not known here: {doubt}", doubt)
    known = policy_replica.known
    if given.base is not None and given.base != known:
        why = f"made from version {given.base}; {known} is in force or decided"
        raise _no(CONFLICT, why)
    if policy_replica.decision is not None and policy_replica.now < policy_replica.decision.at:
        why = f"version {known} is decided and does not hold yet"
        raise _no(CONFLICT, why)
    if policy_replica.records.next is not None:
        why = f"version {policy_replica.records.next.policy.version} is proposed already"
        raise _no(CONFLICT, why)
    txn, change = policy_replica.propose(given.policy, span)
    yield from _written(context, txn)
    told = {"version": change.policy.version, "digest": change.policy.digest, "at": change.at}
    return str(change.policy.version), msgspec.json.encode(told) + b"\n"


def drop(context: SidecarContext, body: bytes) -> Generator[float, Any, AdminResult]:
    policy_replica = context.fleet.policy_controller.policy_replica
    policy_replica.now = context.loop.now()
    name = named(body)
    change = policy_replica.records.next
    if change is None or str(change.policy.version) != name:
        raise _no(CONFLICT, f"version {name} is not an open proposal", "not open")
    txn = policy_replica.drop("operators have said so")
    assert txn is not None
    yield from _written(context, txn)
    return name, b""


def retire(context: SidecarContext, body: bytes) -> Generator[float, Any, AdminResult]:
    """That name will not come back: more than half is counted without it from now on."""
    records = context.fleet.policy_controller.policy_replica.records
    name = named(body)
    if name not in records.names:
        raise _no(CONFLICT, f"{name!r} is not registered", "not registered")
    if any(member.name == name for member in records.members.values()):
        raise _no(CONFLICT, f"{name!r} is there", "in the view")
    if records.next is not None:
        # Guards against a decision by more than half of what it was when votes were given.
        raise _no(CONFLICT, "a change of the policy is open", "a change is open")
    same = [equal(NAMES + name, "CREATE", records.names[name]), equal(NEXT, "CREATE", 0)]
    yield from _written(context, Transaction("retire", same, [], [NAMES + name]))
    return name, b""


def zones(context: SidecarContext, body: bytes) -> AdminResult:
    return "", msgspec.json.encode(context.fleet.module.zone_controller.status()) + b"\n"


def zone(
    change: Callable[[ZonePlanner, str, str], Transaction | None],
) -> Callable[[SidecarContext, bytes], Generator[float, Any, AdminResult]]:
    def said(context: SidecarContext, body: bytes) -> Generator[float, Any, AdminResult]:
        zone_controller = context.fleet.module.zone_controller
        try:
            word = msgspec.json.decode(body, type=ZoneCommand)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise _no(BAD, str(error)) from error
        if not zone_controller.enabled:
            raise _no(CONFLICT, "there is no zones part, so no plan", "no plan")
        if word.zone not in {u.entry.zone for u in context.coordinator.pools.values()}:
            raise _no(BAD, f"no upstream of a zone {word.zone!r} is listed", "unknown zone")
        zone_controller.zone_health.now = context.loop.now()
        txn = change(zone_controller.zone_planner, word.zone, word.why)
        if txn is None:
            raise _no(CONFLICT, f"zone {word.zone!r} is not left", "whole")
        yield from _written(context, txn)
        return word.zone, b""

    return said


def _written(context: SidecarContext, txn: Transaction) -> Generator[float, Any, None]:
    message = WriteTransaction(txn)
    context.fleet.state_writer.post(message)
    until = context.loop.now() + WITHIN
    while message.done is None:
        if context.loop.now() >= until:
            raise _no(NOT_NOW, "the arbiter has not answered")
        yield context.loop.now() + LOOK
    if not message.done:
        raise _no(CONFLICT, "something changed meanwhile")


def _no(status: int, why: str, reason: str = "") -> CallRejectedError:
    """`reason`: for the log, where `why` says more."""
    return CallRejectedError(status, reason or why, msgspec.json.encode({"error": why}) + b"\n")


CALLS = {
    b"/_fleet": AdminRoute(b"GET", fleet),
    b"/_fleet/retire": AdminRoute(b"PUT", retire),
    b"/_zones": AdminRoute(b"GET", zones),
    b"/_zones/leave": AdminRoute(b"PUT", zone(ZonePlanner.leave)),
    b"/_zones/return": AdminRoute(b"PUT", zone(ZonePlanner.let_return)),
    b"/_zones/hold": AdminRoute(b"PUT", zone(ZonePlanner.hold)),
    b"/_policy": AdminRoute(b"GET", policy),
    b"/_policy/propose": AdminRoute(b"PUT", propose, LONGEST),
    b"/_policy/drop": AdminRoute(b"PUT", drop),
}
