"""Set-up of the program's own code for a fleet of a given size, without sockets, for timing."""

from __future__ import annotations

import base64
import json
import random

import msgspec

from starlingwheel.decisions.balancer import Balancer
from starlingwheel.decisions.config import BalancerConfig, RequestClass, RetrySafety
from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.model import Endpoint, EndpointState
from starlingwheel.fleet.frames import (
    AttemptIntent,
    AttemptIntentFrame,
    Frame,
    HeartbeatFrame,
    RecordedRequest,
    RecordedResponse,
    ReplicaStateFrame,
    ReplicateFrame,
    RequestClassRecord,
    ResponseFrame,
    ViewSyncedFrame,
)
from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.policy.host import StoredPolicy
from starlingwheel.fleet.policy.replica import PolicyReplica
from starlingwheel.fleet.policy.statuses import PolicyStatus
from starlingwheel.fleet.policy.transactions import Vote
from starlingwheel.fleet.records import (
    Policy,
    PolicyDecision,
    PolicyProposal,
    StoreRecords,
    ZoneHealth,
    ZoneReport,
)
from starlingwheel.fleet.zones.health import ZoneHealthTracker
from starlingwheel.fleet.zones.planner import ZonePlanner
from starlingwheel.net.fleet.etcd import StateWatcher
from starlingwheel.net.fleet.etcd.messages import RangeReply, WatchLine, decode_reply
from starlingwheel.net.loop import Loop
from starlingwheel.net.state.buffers import BufferPool

from .size import FLEET_NAME, LEASE


def make_members(count: int, zone_count: int = 11) -> list[Member]:
    """Return members whose names and addresses are as long as those of real members."""
    return [
        Member(f"orders-{i:04d}.{i * 7919:012x}", f"orders-{i:04d}", f"10.{i % 11}.{i // 250}.{i % 250}:7950",
               f"zone-{i % zone_count}", 0, 1000 + i)
        for i in range(count)
    ]  # fmt: skip


def policy_status(member: Member) -> PolicyStatus:
    """Return the policy status that a member sends with each heartbeat."""
    return PolicyStatus(
        member.id, member.name, 1780000000.123456, 41, "0123456789abcdef", float("inf"), 41, 123456, True
    )


def sample_frames() -> dict[str, Frame]:
    """Return one frame of each kind that the capacity tables use, by the name of its figure."""
    me, at = make_members(1)[0], 1780000000.123456
    key, fingerprint = b"order\x00" + b"k" * 32, b"m" * 8
    headers = [(b"host", b"orders.internal"), (b"x-qos", b"order"), (b"x-expires-in-ms", b"1900")]
    headers += [(b"x-work-name", b"k" * 32), (b"x-trace-id", b"t" * 32), (b"content-type", b"text/plain")]
    request = RecordedRequest(b"POST", b"/order/1", headers, b"b" * 256, b"t" * 32)
    request_class = RequestClass("order", RetrySafety.NON_IDEMPOTENT, 1.0, 8.0, 2.0)
    class_record = RequestClassRecord.of(request_class)
    return {
        "beat": HeartbeatFrame(1 << 54, False, policy_status(me)),
        "told": ViewSyncedFrame(1 << 54),
        "cover": ReplicateFrame(
            key,
            me.id,
            0,
            True,
            fingerprint,
            "order",
            "exclusive",
            at,
            at,
            False,
            request,
            [],
            False,
            class_record,
        ),
        "intend": AttemptIntentFrame(key, 0, 0, AttemptIntent("10.0.0.1:8080", "zone-1", 3, at)),
        "kept": ReplicaStateFrame(key, 0, "new", 1),
        "answered": ResponseFrame(key, 0, RecordedResponse(200, 0.0, b"application/json", b"a" * 256)),
    }


class NullHost:
    """A host of the policy replica and the zone planner that ignores every call."""

    def check(self, body: object) -> str:
        """Accept every policy."""
        return ""

    def store(self, stored: object) -> None:
        """Store nothing."""

    def store_state(self) -> str | None:
        """Report that storing has not failed."""
        return ""

    def apply_policy(self, policy_: object) -> None:
        """Apply no policy."""

    def request_decision(self, member: str) -> None:
        """Send no request for a decision."""

    def log_event(self, event: str, **fields: object) -> None:
        """Log nothing."""

    def set_zone_shares(self, shares: object, returning: object) -> None:
        """Apply no zone shares."""


def encode_base64(data: bytes | str) -> str:
    """Return the Base64 encoding of `data`, as the store's gateway writes it."""
    return base64.b64encode(data if isinstance(data, bytes) else data.encode()).decode()


def watch_line(key: str, value: bytes, mod_revision: int) -> bytes:
    """Return a line of a watch with one event, as the store's gateway writes it."""
    header = {"cluster_id": "14841639068965178418", "member_id": "10276657743932975437", "raft_term": "3"}
    pair = {
        "key": encode_base64(f"/{FLEET_NAME}/{key}"),
        "value": encode_base64(value),
        "create_revision": str(mod_revision),
    }
    pair |= {"mod_revision": str(mod_revision), "version": "1", "lease": "7587862094990423573"}
    result = {"header": header | {"revision": str(mod_revision)}, "events": [{"kv": pair}]}
    return json.dumps({"result": result}, separators=(",", ":")).encode()


def zone_health(rng: random.Random) -> ZoneHealth:
    """Return what a member observes of one zone."""
    return ZoneHealth(
        round(rng.uniform(1, 60), 2),
        round(rng.uniform(1, 60), 2),
        conclusive_attempts=90,
        consecutive_failures=0,
    )


ZONES_PER_REPORT = 5  # zones that a member sends to: a service has five endpoints on average


def zone_report(member: int, zone_count: int = ZONES_PER_REPORT) -> ZoneReport:
    """Return the report of a member on `zone_count` zones."""
    rng = random.Random(member)
    return ZoneReport(1780000000.123456, {f"zone-{z}": zone_health(rng) for z in range(zone_count)})


class Bench:
    """The code of one member that handles the coordination store's events. No socket is opened."""

    def __init__(self, count: int) -> None:
        """Set up a fleet of `count` members in which half have voted for an open proposal."""
        self.count, self.members = count, make_members(count)
        self.now = 1780000000.0
        loop = Loop(lambda *_: None)
        self.state_watcher = StateWatcher(
            loop, ["127.0.0.1:1"], LEASE, BufferPool(0), lambda *_, **__: None, random.Random(1), FLEET_NAME,
            notify=self._apply_records,
        )  # fmt: skip
        me = self.members[0]
        self.member_id = me.id
        body = {"settings": {"categories": []}, "cover": {}}
        current = Policy(41, "d" * 16, body)
        proposal = PolicyProposal(Policy(42, "e" * 16, body), self.now + 9, self.now, me.id)
        records = self.state_watcher.records = StoreRecords()
        records.members = {m.id: m for m in self.members}
        records.registered_names = {m.name: m.term for m in self.members}
        records.decision, records.decision_revision = PolicyDecision(current, self.now, 5, current), 6
        records.proposal, records.proposal_revision = msgspec.structs.replace(proposal, number=7), 7
        records.votes = {m.id: "" for m in self.members[: count // 2]}
        records.zone_reports = {m.id: zone_report(i) for i, m in enumerate(self.members)}
        self.state_watcher.revision = records.revision = 10_000
        self.policy_replica = PolicyReplica(
            me.id, me.name, LEASE, NullHost(), self.now, StoredPolicy(FLEET_NAME)
        )
        self.policy_replica.is_decision_known, self.policy_replica.vote = True, Vote(7, "")
        self.policy_replica.lease_renewed(self.now + LEASE, 1)
        tracker = ZoneHealthTracker(2.0, self.now)
        self.zone_planner = ZonePlanner(me.id, LEASE, {}, {}, NullHost(), tracker)
        self.revision = 10_000
        loop.close()

    def _apply_records(self, message: object) -> None:
        records = getattr(message, "records", None)
        if records is not None:
            self.policy_replica.update_records(records, False)
            self.zone_planner.update_records(records)
            self.policy_replica.due()

    def _receive(self, text: bytes) -> None:
        self.state_watcher.apply_events(decode_reply(text, WatchLine).result)

    def receive_vote(self) -> None:
        """Receive the vote of one member."""
        self.revision += 1
        voter = self.members[self.revision % (self.count - 1)].id
        if len(self.state_watcher.records.votes) == self.count:
            del self.state_watcher.records.votes[self.members[-1].id]  # one vote is always missing
        self._receive(watch_line(f"policy/votes/7/{voter}", b'""', self.revision))

    def receive_zone_report(self) -> None:
        """Receive the zone report of one member."""
        self.revision += 1
        number = self.revision % self.count
        value = msgspec.json.encode(self.state_watcher.records.zone_reports[self.members[number].id])
        self._receive(watch_line(f"zones/said/{self.members[number].id}", value, self.revision))

    def receive_member_entry(self) -> None:
        """Receive the entry of one member, which builds a new view."""
        self.revision += 1
        member = self.members[self.revision % self.count]
        self._receive(watch_line(f"members/{member.id}", msgspec.json.encode(member), self.revision))

    def evaluate_zone_reports(self) -> None:
        """Evaluate the reports of all members, as a member does about eight times a second without faults."""
        self.zone_planner.evaluate_at = -1.0
        self.zone_planner.plan_next()  # runs one step, whatever the time

    def encode_full_range(self) -> bytes:
        """Return the range that a starting member reads: members, names, zone reports and the policy."""
        pairs = [(f"members/{m.id}", msgspec.json.encode(m)) for m in self.members]
        pairs += [(f"names/{m.name}", b"1") for m in self.members]
        records = self.state_watcher.records
        pairs += [
            (f"zones/said/{m}", msgspec.json.encode(report)) for m, report in records.zone_reports.items()
        ]
        pairs += [("policy/now", msgspec.json.encode(records.decision))]
        kvs = [json.loads(watch_line(key, value, 1))["result"]["events"][0]["kv"] for key, value in pairs]
        reply = {"header": {"revision": "1"}, "kvs": kvs, "count": str(len(kvs))}
        return json.dumps(reply, separators=(",", ":")).encode()

    def read_full_range(self, data: bytes) -> None:
        """Decode a range and apply its records, as a starting member does."""
        reply = decode_reply(data, RangeReply)
        self.state_watcher.records = StoreRecords()
        for pair in reply.kvs:
            self.state_watcher.put_record(pair)


def make_balancer(count: int) -> Balancer:
    """Return a balancer with `count` endpoints."""
    config = BalancerConfig(
        request_classes=[RequestClass("look", RetrySafety.IDEMPOTENT, 1.0, 1.0, 2.0)],
        zone="here",
        sidecars=5,
        must_watch_endpoints=False,
        endpoint_list_max_age=8.0,
        slow_start_initial_fraction=1.0,
        slow_start_duration=0.0,
        overload_factor=2.0,
        overload_window=2.0,
        max_attempts=3,
        cross_zone_price=0.0,
    )
    balancer = Balancer(config, random.Random(1), 0.0)
    balancer.update_endpoints(WatchEvent.SNAPSHOT, [make_endpoint(i) for i in range(count)])
    return balancer


def make_endpoint(i: int, state: EndpointState = EndpointState.READY) -> Endpoint:
    """Return endpoint number `i`."""
    return Endpoint(f"10.0.{i // 250}.{i % 250}:8080", "here", 0, 1.0, None, state)
