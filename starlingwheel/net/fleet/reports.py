"""Reports of the admin API: this member in its fleet, its policy and the zone plan.

The encoded field names are the admin API's; `rename` maps fields whose name in the code differs.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

import msgspec

from ...fleet.membership import Member
from ...fleet.policy.replica import PolicyReplica
from ...fleet.records import PastProposal, Policy, StoreRecords, ZoneHealth, ZonePlan

if TYPE_CHECKING:
    from .member import FleetMember


class ShardReport(msgspec.Struct, rename={"own_shard": "ours"}):
    """The shards of the fleet: their count, this member's shard and its members."""

    count: int
    own_shard: int
    members: list[str]
    fleet_members: int  # in all shards


class MemberReport(
    msgspec.Struct,
    rename={
        "is_synced": "settled",
        "shards": "cells",
        "requests_by_state": "items",
        "used_bytes": "kept_bytes",
    },
):
    """The reporting member in its fleet: its view, links, replicated requests and counted failures."""

    member: str
    in_view: bool
    lease_s: float  # seconds until this member's lease ends
    is_synced: bool
    shards: ShardReport
    view: list[Member]  # of this member's shard
    links: list[str]
    requests_by_state: Mapping[str, int]  # replicated requests
    used_bytes: int
    counts: Mapping[str, int]
    reasons: Mapping[str, int]  # reason codes of failed calls of the coordination store and of ended links


class PolicyStatusReport(msgspec.Struct):
    """The policy status of another member, and its age in seconds."""

    version: int
    age_s: float


class PolicyReport(
    msgspec.Struct,
    rename={
        "active_policy": "in_force",
        "decided_version": "decided",
        "unavailable_reason": "doubt",
        "unavailable_s": "doubted_s",
        "open_proposal": "open",
        "past_proposals": "past",
        "registered_names": "registered",
        "peer_statuses": "words",
    },
):
    """The policy in force, the open proposal, and earlier proposals."""

    active_policy: Policy
    decided_version: int | None
    decided_at: float | None
    unavailable_reason: str  # why no request may be accepted; empty: requests may be accepted
    unavailable_s: float  # total seconds in which no request was accepted
    open_proposal: dict[str, object] | None  # the proposal and its votes by member name
    past_proposals: list[PastProposal]
    registered_names: list[str]  # of all members that have joined the fleet and were not retired
    peer_statuses: dict[str, PolicyStatusReport]  # by member name
    counts: Mapping[str, int]


class ZonesReport(
    msgspec.Struct, rename={"reports": "said", "healthy_rates": "most", "lease_expired": "cut_off"}
):
    """The zone plan, and the observations it is based on."""

    plan: ZonePlan
    seen: dict[str, ZoneHealth]  # by zone: what this member observes
    reports: dict[str, dict[str, ZoneHealth]]  # by member name, then by zone
    healthy_rates: Mapping[str, float]  # by zone: the highest rate at which it was healthy, attempts a second
    lease_expired: bool


def member_report(fleet: FleetMember) -> MemberReport:
    """Return the report of this member in its fleet."""
    replicator = fleet.host.replicator
    view = replicator.view
    shard = view.shard_of_member(fleet.member_id)
    shard_members = view.members_of_shard(shard)
    return MemberReport(
        member=fleet.member_id,
        in_view=fleet.member_id in view,
        lease_s=round(max(0.0, replicator.lease_until - fleet.loop.now()), 3),
        is_synced=replicator.is_synced,
        shards=ShardReport(view.shard_count, shard, list(shard_members), len(view.members)),
        view=list(shard_members.values()),
        links=sorted(replicator.links),
        requests_by_state=Counter(request.state.value for request in replicator.requests.values()),
        used_bytes=replicator.used_bytes,
        counts=replicator.counts,
        reasons=fleet.reasons,
    )


def policy_report(policy_replica: PolicyReplica, now: float) -> PolicyReport:
    """Return the report of this member's policy."""
    policy_replica.now = now
    unavailable_reason = policy_replica.unavailable_reason()  # called first: it updates the other figures
    records, decision = policy_replica.records, policy_replica.decision
    return PolicyReport(
        active_policy=policy_replica.active_policy,
        decided_version=None if decision is None else decision.policy.version,
        decided_at=None if decision is None else decision.at,
        unavailable_reason=unavailable_reason,
        unavailable_s=round(policy_replica.unavailable_seconds, 3),
        open_proposal=_open_proposal(records),
        past_proposals=[records.past_proposals[number] for number in sorted(records.past_proposals)],
        registered_names=policy_replica.registered_names,
        peer_statuses={
            status.name: PolicyStatusReport(status.version, round(now - status.made_at, 3))
            for status in policy_replica.statuses.values()
        },
        counts=policy_replica.counts,
    )


def _open_proposal(records: StoreRecords) -> dict[str, object] | None:
    if records.proposal is None:
        return None
    votes = {member.name: _describe_vote(records.votes.get(member.id)) for member in records.members.values()}
    return msgspec.to_builtins(records.proposal) | {"votes": votes}


def _describe_vote(objection: str | None) -> str:
    """Return a vote as text. `objection`: empty for a vote in favour, None if the member has not voted."""
    if objection is None:
        return "nothing"
    return f"no: {objection}" if objection else "yes"
