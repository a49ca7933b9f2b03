"""What operators see of a member: its place in the fleet, and its policy. Field names are the admin API's."""

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


class ShardReport(msgspec.Struct):
    """The shards of the fleet: their count, our own one and its members."""

    count: int
    ours: int
    members: list[str]
    fleet_members: int  # in all shards


class MemberReport(msgspec.Struct):
    """This member in its fleet: who is in the view, who is linked, what is replicated, and why not."""

    member: str
    in_view: bool
    lease_s: float  # seconds that our lease still holds
    settled: bool
    cells: ShardReport
    view: list[Member]  # of our shard
    links: list[str]
    items: Mapping[str, int]  # replicated requests by state
    kept_bytes: int
    counts: Mapping[str, int]
    reasons: Mapping[str, int]  # why calls of the store and links have ended


class PolicyStatusReport(msgspec.Struct):
    """The policy status of another member, and its age in seconds."""

    version: int
    age_s: float


class PolicyReport(msgspec.Struct):
    """The policy in force, the proposal that is open, and earlier ones."""

    in_force: Policy
    decided: int | None  # version
    decided_at: float | None
    doubt: str
    doubted_s: float  # seconds in doubt so far
    open: dict[str, object] | None  # the proposal and its votes by member name
    past: list[PastProposal]
    registered: list[str]  # names of all members that ever were in the fleet
    words: dict[str, PolicyStatusReport]  # by member name
    counts: Mapping[str, int]


class ZonesReport(
    msgspec.Struct, rename={"reports": "said", "healthy_rates": "most", "lease_expired": "cut_off"}
):
    """The plan of the zones, and what it rests on."""

    plan: ZonePlan
    seen: dict[str, ZoneHealth]  # by this member, of each zone
    reports: dict[str, dict[str, ZoneHealth]]  # by member name, of each zone
    healthy_rates: Mapping[str, float]  # attempts a second, the highest at which a zone was healthy
    lease_expired: bool


def member_report(fleet: FleetMember) -> MemberReport:
    """Return the report of a member."""
    replicator = fleet.host.replicator
    view = replicator.view
    shard = view.shard_of_member(fleet.member_id)
    shard_members = view.members_of_shard(shard)
    return MemberReport(
        member=fleet.member_id,
        in_view=fleet.member_id in view,
        lease_s=round(max(0.0, replicator.lease_until - fleet.loop.now()), 3),
        settled=replicator.is_synced,
        cells=ShardReport(view.shard_count, shard, list(shard_members), len(view.members)),
        view=list(shard_members.values()),
        links=sorted(replicator.links),
        items=Counter(item.state.value for item in replicator.requests.values()),
        kept_bytes=replicator.used_bytes,
        counts=replicator.counts,
        reasons=fleet.reasons,
    )


def policy_report(policy_replica: PolicyReplica, now: float) -> PolicyReport:
    """Return the report of a member's policy."""
    policy_replica.now = now
    doubt = policy_replica.unavailable_reason()  # first: it brings the other figures up to date
    records, decision = policy_replica.records, policy_replica.decision
    return PolicyReport(
        in_force=policy_replica.in_force,
        decided=None if decision is None else decision.policy.version,
        decided_at=None if decision is None else decision.at,
        doubt=doubt,
        doubted_s=round(policy_replica.unavailable_seconds, 3),
        open=_open_proposal(records),
        past=[records.past_proposals[number] for number in sorted(records.past_proposals)],
        registered=policy_replica.registered_names,
        words={
            status.name: PolicyStatusReport(status.version, round(now - status.made_at, 3))
            for status in policy_replica.statuses.values()
        },
        counts=policy_replica.counts,
    )


def _open_proposal(records: StoreRecords) -> dict[str, object] | None:
    if records.proposal is None:
        return None
    votes = {member.name: _vote(records.votes.get(member.id)) for member in records.members.values()}
    return msgspec.to_builtins(records.proposal) | {"votes": votes}


def _vote(objection: str | None) -> str:
    """`objection`: empty for a vote in favour, None: the member has not voted."""
    if objection is None:
        return "nothing"
    return f"no: {objection}" if objection else "yes"
