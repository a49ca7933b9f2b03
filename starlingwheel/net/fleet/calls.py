"""Operators' calls about the fleet, on the second address."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import TYPE_CHECKING, Any

import msgspec

from ...fleet import common
from ...fleet.policy import AHEAD, LEAST
from ...fleet.records import NAMES, NEXT, Transaction, equal
from ..wire.operators import BAD, CONFLICT, NOT_NOW, AdminResult, AdminRoute, CallRejectedError, named
from .mail import WriteTransaction

if TYPE_CHECKING:
    from ..lifecycle.start import Node

WITHIN = 0.85  # seconds for which a call waits for the arbiter
LOOK = 0.01
LONGEST = 2 * common.LARGEST
FURTHEST = 3600.0  # seconds ahead that a change may be proposed


class ZoneCommand(msgspec.Struct, forbid_unknown_fields=True):
    zone: str
    why: str = "operators have said so"


class ProposalCommand(msgspec.Struct, forbid_unknown_fields=True):
    """`switch_s`: seconds until it holds; `base`: the version that it was made from, if that matters."""

    policy: Any
    switch_s: float | None = None
    base: int | None = None


def fleet(node: Node, body: bytes) -> AdminResult:
    return "", msgspec.json.encode(node.fleet.told()) + b"\n"


def policy(node: Node, body: bytes) -> AdminResult:
    return "", msgspec.json.encode(node.fleet.policy_told()) + b"\n"


def propose(node: Node, body: bytes) -> Generator[float, Any, AdminResult]:
    following, ruling = node.fleet.ruling.following, node.fleet.ruling
    try:
        given = msgspec.json.decode(body, type=ProposalCommand)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _no(BAD, str(error)) from error
    lease = following.lease
    span = AHEAD * lease if given.switch_s is None else given.switch_s
    if not LEAST * lease < span <= FURTHEST:
        why = f"switch_s: {span} is not between {LEAST * lease} and {FURTHEST}"
        raise _no(BAD, why)
    if why := ruling.check(given.policy):
        raise _no(BAD, why)
    following.now = node.loop.now()
    if doubt := following.doubt():
        raise _no(NOT_NOW, f"which policy holds is not known here: {doubt}", doubt)
    known = following.known
    if given.base is not None and given.base != known:
        why = f"made from version {given.base}; {known} is in force or decided"
        raise _no(CONFLICT, why)
    if following.decision is not None and following.now < following.decision.at:
        why = f"version {known} is decided and does not hold yet"
        raise _no(CONFLICT, why)
    if following.records.next is not None:
        why = f"version {following.records.next.policy.version} is proposed already"
        raise _no(CONFLICT, why)
    txn, change = following.propose(given.policy, span)
    yield from _written(node, txn)
    told = {"version": change.policy.version, "digest": change.policy.digest, "at": change.at}
    return str(change.policy.version), msgspec.json.encode(told) + b"\n"


def drop(node: Node, body: bytes) -> Generator[float, Any, AdminResult]:
    following = node.fleet.ruling.following
    following.now = node.loop.now()
    name = named(body)
    change = following.records.next
    if change is None or str(change.policy.version) != name:
        raise _no(CONFLICT, f"version {name} is not an open proposal", "not open")
    txn = following.drop("operators have said so")
    assert txn is not None
    yield from _written(node, txn)
    return name, b""


def retire(node: Node, body: bytes) -> Generator[float, Any, AdminResult]:
    """That name will not come back: more than half is counted without it from now on."""
    records = node.fleet.ruling.following.records
    name = named(body)
    if name not in records.names:
        raise _no(CONFLICT, f"{name!r} is not registered", "not registered")
    if any(member.name == name for member in records.members.values()):
        raise _no(CONFLICT, f"{name!r} is there", "in the view")
    if records.next is not None:
        # Guards against a decision by more than half of what it was when votes were given.
        raise _no(CONFLICT, "a change of the policy is open", "a change is open")
    same = [equal(NAMES + name, "CREATE", records.names[name]), equal(NEXT, "CREATE", 0)]
    yield from _written(node, Transaction("retire", same, [], [NAMES + name]))
    return name, b""


def zones(node: Node, body: bytes) -> AdminResult:
    return "", msgspec.json.encode(node.fleet.module.zoning.told()) + b"\n"


def zone(what: str) -> Callable[[Node, bytes], Generator[float, Any, AdminResult]]:
    def said(node: Node, body: bytes) -> Generator[float, Any, AdminResult]:
        zoning = node.fleet.module.zoning
        try:
            word = msgspec.json.decode(body, type=ZoneCommand)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise _no(BAD, str(error)) from error
        if not zoning.on:
            raise _no(CONFLICT, "there is no zones part, so no plan", "no plan")
        if word.zone not in {u.entry.zone for u in node.module.upstreams.values()}:
            raise _no(BAD, f"no upstream of a zone {word.zone!r} is listed", "unknown zone")
        zoning.noting.now = node.loop.now()
        txn = zoning.planning.say(word.zone, what, word.why)
        if txn is None:
            raise _no(CONFLICT, f"zone {word.zone!r} is not left", "whole")
        yield from _written(node, txn)
        return word.zone, b""

    return said


def _written(node: Node, txn: Transaction) -> Generator[float, Any, None]:
    mail = WriteTransaction(txn)
    node.fleet.scribe.post(mail)
    until = node.loop.now() + WITHIN
    while mail.done is None:
        if node.loop.now() >= until:
            raise _no(NOT_NOW, "the arbiter has not answered")
        yield node.loop.now() + LOOK
    if not mail.done:
        raise _no(CONFLICT, "something changed meanwhile")


def _no(status: int, why: str, reason: str = "") -> CallRejectedError:
    """`reason`: for the log, where `why` says more."""
    return CallRejectedError(status, reason or why, msgspec.json.encode({"error": why}) + b"\n")


CALLS = {
    b"/_fleet": AdminRoute(b"GET", fleet),
    b"/_fleet/retire": AdminRoute(b"PUT", retire),
    b"/_zones": AdminRoute(b"GET", zones),
    b"/_zones/leave": AdminRoute(b"PUT", zone("leave")),
    b"/_zones/return": AdminRoute(b"PUT", zone("return")),
    b"/_zones/hold": AdminRoute(b"PUT", zone("hold")),
    b"/_policy": AdminRoute(b"GET", policy),
    b"/_policy/propose": AdminRoute(b"PUT", propose, LONGEST),
    b"/_policy/drop": AdminRoute(b"PUT", drop),
}
