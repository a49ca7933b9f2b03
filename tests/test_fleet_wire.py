"""What a fleet reads: its configuration, frames of links, replies of the coordination store."""

import asyncio
import gc
import json
import os
import random
import socket
import sys
import threading

import msgspec
import pytest
from conftest import SETTINGS

from fakes.etcd import FakeEtcd
from fakes.loopback import free_address
from starlingwheel.fleet import frames
from starlingwheel.fleet.config import decode
from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.fleet.policy.statuses import PolicyStatus
from starlingwheel.net.fleet.etcd.errors import UnusableReplyError
from starlingwheel.net.fleet.etcd.messages import (
    KeepAliveReply,
    LeaseGranted,
    RangeReply,
    TransactionReply,
    WatchLine,
    decode_reply,
    encode_base64,
    parse_number,
)
from starlingwheel.net.fleet.links import FrameReader, LinkRejectedError, encode_frame
from starlingwheel.net.fleet.messages import EvictMember
from starlingwheel.net.messages import STOP
from trials.emulated import World

PART = {
    "name": "f",
    "listen": "127.0.0.1:7000",
    "arbiter": ["127.0.0.1:2379"],
    "cover": {"categories": ["buy"]},
}
NAMES = ["look", "buy", "move"]
SOME_VERDICTS = (
    frames.ReplicaVerdict.GRANTED,
    frames.ReplicaVerdict.IN_PROGRESS,
    frames.ReplicaVerdict.NOT_COORDINATOR,
    frames.ReplicaVerdict.UNKNOWN,
    frames.ReplicaVerdict.OUT_OF_MEMORY,
)


def test_a_valid_configuration_is_decoded_with_its_defaults():
    part = decode(PART, NAMES, 1)
    assert (
        part.lease_s == 3
        and part.replication.replicas == 1
        and part.replication.idempotency_key_header == "x-work-name"
    )


def test_all_errors_of_a_configuration_are_reported_at_once_with_their_keys():
    wrong = {
        "name": "a b", "listen": "nowhere", "arbiter": ["x", "127.0.0.1:99999"], "lease_s": 0.5, "spare": 1,
        "cell_size": -1,
        "cover": {"categories": ["buy", "sell"], "name_header": "X_Y", "keepers": 9, "keeper": 2},
    }  # fmt: skip
    with pytest.raises(ValueError) as caught:
        decode(wrong, NAMES, 2)
    told = str(caught.value)
    for key in (
        "fleet.name:", "fleet.listen:", "fleet.arbiter[0]:", "fleet.arbiter[1]:", "fleet.lease_s:",
        "fleet.spare:", "fleet.cell_size:", "fleet.cover.categories[1]:", "fleet.cover.name_header:",
        "fleet.cover.keepers:", "fleet.cover.keeper:", "streamsPerConn",
    ):  # fmt: skip
        assert key in told, key


@pytest.mark.parametrize("wrong", [None, 3, [], {}, {"cover": 1}, {**PART, "cover": None}])
def test_what_is_no_configuration_is_rejected(wrong):
    with pytest.raises(ValueError, match="fleet"):
        decode(wrong, NAMES, 1)


def policy_status():
    return PolicyStatus("n1.ab", "n1", 3.5, 4, "0a", float("inf"), 4, 5, True)


def some_frames():
    asked = frames.RecordedRequest(b"POST", b"/buy/1", [(b"a", b"b")], b"x" * 30, b"t")
    intent = frames.AttemptIntent("u1", "north", 3, 12.5)
    return [
        frames.HelloFrame("f", 1, "n1.ab"),
        frames.ReplicateFrame(
            b"k", "n1", 0, True, b"m", "buy", "exclusive", 1.0, 2.0, False, asked, [intent]
        ),
        frames.AttemptIntentFrame(b"k", 0, 1, intent),
        frames.ReplicaStateFrame(
            b"k", 0, frames.ReplicaVerdict.GRANTED, 1, frames.RecordedResponse(200, 0.0, b"", b"y" * 10)
        ),
        frames.HeartbeatFrame(7, False),
        frames.HeartbeatFrame(7, True, policy_status(), True, True),
        frames.PolicyStatusFrame(policy_status(), [policy_status(), policy_status()]),
        frames.LinkIdleFrame(),
    ]


def test_frames_are_decoded_as_they_were_sent_whatever_the_chunks():
    data = b"".join(map(encode_frame, some_frames()))
    for step in (1, 7, 1000, len(data)):
        reader, got = FrameReader(), []
        for at in range(0, len(data), step):
            got += reader.read(data[at : at + step])
        assert got == some_frames()


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\0\0\0\0", "empty"),
        ((frames.MAX_FRAME_SIZE + 1).to_bytes(4, "big"), "too-long"),
        (b"\0\0\0\1\xc1", "unreadable"),
        (b"\0\0\0\3" + msgspec.msgpack.encode([99, 1]), "unreadable"),
    ],
)
def test_an_invalid_frame_ends_the_link_with_its_reason(data, reason):
    with pytest.raises(LinkRejectedError, match=reason):
        FrameReader().read(data)


def test_corrupted_frames_do_no_more_than_end_the_link():
    rng = random.Random(1)
    data = b"".join(map(encode_frame, some_frames()))
    ended = 0
    for _ in range(3000):
        spoilt = bytearray(data)
        for _ in range(rng.randint(1, 6)):
            spoilt[rng.randrange(len(spoilt))] = rng.randrange(256)
        reader = FrameReader()
        try:
            reader.read(bytes(spoilt[: rng.randrange(len(spoilt))]))
        except LinkRejectedError:
            ended += 1
        assert len(reader.buffer) <= len(data)
    assert ended > 100


def test_random_frames_leave_nothing_behind():
    rng = random.Random(3)
    world = World(1, 3)
    world.run_until(1.0)
    one, other, third = world.alive()
    keys = [b"a", b"b", b"c"]
    asked = frames.RecordedRequest(b"POST", b"/x", [], b"", b"")
    for _ in range(4000):
        key, epoch, number = (
            rng.choice(keys),
            rng.choice((-1, 0, 1, 9)),
            rng.choice((-5, 0, 1, 1 << 60)),
        )
        who = rng.choice((one.id, other.id, third.id, "stranger.00"))
        at = rng.choice((float("nan"), float("inf"), -1e300, world.now))
        intents = [frames.AttemptIntent("u", "", 0, at)] * rng.randrange(3)
        reply = frames.RecordedResponse(rng.choice((200, 503, 504, 0)))
        verdict = rng.choice((*SOME_VERDICTS, "?"))
        effect = rng.choice(("exclusive", "ticketed", "rerunnable", "?"))
        frame = rng.choice(
            [
                frames.ReplicateFrame(key, who, epoch, True, b"", "c", effect, at, at, True, asked, intents),
                frames.ReplicateFrame(
                    key, who, epoch, False, b"", "c", effect, world.now, world.now + 1, False, asked, []
                ),
                frames.AttemptIntentFrame(key, epoch, number, frames.AttemptIntent("u", "", 0, at)),
                frames.AttemptNotRunFrame(key, epoch, number, "unsent"),
                frames.ResponseFrame(key, epoch, reply),
                frames.ReplicaStateFrame(key, epoch, verdict, number, reply, who),
                frames.RequestFinishedFrame(key, who, b"", "c", effect, at, reply),
                frames.FindOwnerFrame(key, b""),
                frames.ViewSyncedFrame(number),
                frames.HeartbeatFrame(number, False),
            ]
        )
        one.replicator.now = world.now
        one.replicator.frame_received(rng.choice((other.id, third.id)), frame)
        if rng.random() < 0.05:
            world.run_until(world.now + 0.05)
    world.run_until(world.now + 8.0)
    assert not one.replicator.requests and not one.replicator.records.held


def test_a_coordinator_changes_only_with_the_members_that_change():
    members = [Member(f"n{i}", f"n{i}", "", "ab"[i % 2]) for i in range(12)]
    view, less = MembershipView(members), MembershipView(members[1:])
    keys = [b"%d" % i for i in range(600)]
    assert all(less.coordinator(k) == view.coordinator(k) for k in keys if view.coordinator(k) != "n0")
    assert all(less.coordinator(k) == view.coordinator(k, excluding="n0") for k in keys)
    counts = [sum(view.coordinator(k) == m.id for k in keys) for m in members]
    assert min(counts) > 25
    for key in keys:
        keepers = view.replicas(key, "n0", 1, view.members)
        assert "n0" not in keepers and any(view.members[k].zone == "b" for k in keepers)


@pytest.mark.parametrize(
    "kind",
    [
        RangeReply,
        LeaseGranted,
        KeepAliveReply,
        TransactionReply,
        WatchLine,
    ],
)
def test_an_arbiter_that_talks_nonsense_is_turned_away_with_a_reason(kind):
    rng = random.Random(2)
    whole = json.dumps({"header": {"revision": "3"}, "kvs": [{"key": "YQ==", "mod_revision": 4}], "ID": [1]})
    for text in ("", "{", "[]", "null", "1e999", '{"result":{"events":[{"kv":3}]}}', "[" * 5000, whole[:-5]):
        with pytest.raises(UnusableReplyError):
            decode_reply(text.encode(), kind)
    for _ in range(1000):
        data = bytes(rng.randrange(256) for _ in range(rng.randrange(60)))
        with pytest.raises(UnusableReplyError):
            decode_reply(data, kind)


@pytest.mark.parametrize("text", ["", "-1", "1.5", "x", "9" * 30, "١"])
def test_what_is_no_64_bit_number_is_none(text):
    with pytest.raises((UnusableReplyError, ValueError)):
        assert parse_number(text) < 0


class Served:
    """The fake coordination store on a thread of its own."""

    def __init__(self):
        self.arbiter, self.loop = None, asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.do(self._begin())

    async def _begin(self):
        self.arbiter = FakeEtcd()
        await self.arbiter.start()

    def do(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def call(self, what, *given):
        async def inside():
            return what(*given)

        return self.do(inside())

    def close(self):
        self.do(self.arbiter.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.loop.close()


@pytest.fixture
def served():
    one = Served()
    yield one
    one.close()


def members_at(served):
    return [key for key in served.arbiter.entries if b"/members/" in key]


def part_at(served):
    return PART | {"listen": free_address(), "arbiter": [served.arbiter.server.address], "lease_s": 1}


def enter(make_harness, served):
    return make_harness(name="n0", fleet=part_at(served), settings=SETTINGS)


@pytest.fixture
def member(make_harness, served):
    return enter(make_harness, served)


def joined(harness):
    return harness.context.fleet.joined


def test_a_member_enters_and_is_ready_then(member):
    assert not member.context.ready
    member.wait_until(lambda: joined(member))
    assert member.context.ready and len(member.context.coordinator.replicator.view.members) == 1


def test_a_reply_lost_after_it_was_applied_costs_one_more_attempt(member, served):
    served.call(served.arbiter.lost_replies.update, {"/v3/kv/txn": 1, "/v3/lease/grant": 1})
    member.wait_until(lambda: joined(member))
    assert len(members_at(served)) == 1


def test_a_lease_that_ends_early_is_granted_again(member, served):
    member.wait_until(lambda: joined(member))
    term = member.context.coordinator.replicator.view.members[member.context.fleet.member_id].term
    (key,) = members_at(served)
    served.call(served.arbiter.expire_lease_of, key.decode())
    replicator = member.context.coordinator.replicator
    member_id = member.context.fleet.member_id
    member.wait_until(
        lambda: replicator.view.members.get(member_id) and replicator.view.members[member_id].term != term
    )


def test_a_watch_lost_at_a_compaction_reads_everything_again(member, served):
    member.wait_until(lambda: joined(member))
    served.call(served.arbiter.compact)
    served.call(served.arbiter.abort_watches)
    other = Member("n9.ff", "n9", "127.0.0.1:1")
    put = {"key": encode_base64("/f/members/n9.ff"), "value": encode_base64(msgspec.json.encode(other))}
    served.call(served.arbiter.put_encoded, put)
    member.wait_until(lambda: "n9.ff" in member.context.coordinator.replicator.view)


def test_two_members_that_end_at_the_same_time_are_both_evicted(member, served):
    member.wait_until(lambda: joined(member))
    view = member.context.coordinator.replicator
    for name in ("n8", "n9"):
        other = Member(f"{name}.ff", name, "127.0.0.1:1")
        put = {
            "key": encode_base64(f"/f/members/{name}.ff"),
            "value": encode_base64(msgspec.json.encode(other)),
        }
        served.call(served.arbiter.put_encoded, put)
    member.wait_until(lambda: len(view.view.members) == 3)
    for gone in [m for m in view.view.members.values() if m.name != "n0"]:
        member.context.fleet.member_evictor.post(EvictMember(gone))
    member.wait_until(lambda: len(view.view.members) == 1)


def test_an_unreadable_entry_hides_no_other(member, served):
    member.wait_until(lambda: joined(member))
    served.call(
        served.arbiter.put_encoded, {"key": encode_base64("/f/members/x"), "value": encode_base64("{")}
    )
    member.wait_until(lambda: member.log_lines("arbiter.entry"))
    assert len(member.context.coordinator.replicator.view.members) == 1


@pytest.mark.parametrize("path", ["/v3/kv/range", "/v3/kv/txn", "/v3/lease/grant", "/v3/lease/keepalive"])
def test_unreadable_replies_of_the_store_are_counted_and_survived(make_harness, served, path):
    served.call(served.arbiter.canned_replies.update, {path: b'{"ID":7,"kvs":3,"header":[],"result":null}'})
    member = enter(make_harness, served)
    member.wait_until(lambda: member.context.fleet.reasons["unreadable"])
    served.call(served.arbiter.canned_replies.clear)
    member.wait_until(lambda: joined(member))
    assert not member.log_lines("defect")


def test_requests_are_served_while_the_store_is_down(member, served):
    member.wait_until(lambda: joined(member))
    served.do(served.arbiter.take_down())
    member.run_for(1.5)
    asked = member.send_request("buy", b"one", x_work_name="w1")
    member.serve()
    assert member.read_status(asked) == 200


def test_a_retry_of_a_finished_request_gets_its_response_and_no_attempt(member):
    member.wait_until(lambda: joined(member))
    asked = member.send_request("buy", b"one", x_work_name="w1")
    member.serve(body=b"done")
    assert member.read_message(asked)[1] == b"done"
    again = member.send_request("buy", b"one", x_work_name="w1", x_trace_id="t2", x_second_try="1")
    assert member.read_message(again)[1] == b"done"
    other = member.send_request("buy", b"two", x_work_name="w1", x_trace_id="t3")
    assert member.read_status(other) == 422
    member.assert_no_connection()


def test_a_request_without_a_key_is_not_replicated(member):
    member.wait_until(lambda: joined(member))
    asked = member.send_request("buy", b"one")
    member.serve()
    assert member.read_status(asked) == 200
    module = member.context.coordinator
    assert not module.replicator.requests and module.replicator.counts["unnamed"] == 1


def test_operators_see_the_view_and_the_replicated_requests(make_harness, served):
    part = part_at(served)
    harness = make_harness(name="n0", fleet=part, mgmt="127.0.0.1:0")
    harness.wait_until(lambda: joined(harness))
    asked = harness.send_request("buy", b"one", x_work_name="w1")
    harness.serve()
    assert harness.read_status(asked) == 200
    caller = harness.close_at_end(socket.create_connection(harness.context.admin_listener.sock.getsockname()))
    caller.sendall(b"GET /_fleet HTTP/1.1\r\nHost: a\r\n\r\n")
    answer, body = harness.read_message(caller)
    told = json.loads(body)
    assert answer.status_code == 200 and told["in_view"] and told["member"] == harness.context.fleet.member_id
    cells = {"count": 1, "ours": 0, "members": [told["member"]], "fleet_members": 1}
    assert told["cells"] == cells and [one["id"] for one in told["view"]] == cells["members"]
    assert (
        told["items"] == {"done": 1} and told["counts"]["covered"] == 1 and told["counts"]["uncovered"] == 1
    )


def test_without_a_fleet_its_admin_call_is_unknown(make_harness):
    harness = make_harness(mgmt="127.0.0.1:0")
    assert harness.call_admin("GET /_fleet") == 404


def test_a_member_that_stops_leaves_the_view_before_its_process_ends(member, served):
    member.wait_until(lambda: joined(member))
    member.context.shutdown.post(STOP)
    member.wait_until(lambda: not member.context.loop.running and not members_at(served))


def test_two_processes_of_one_sidecar_can_both_be_linked_to(make_harness, served):
    # The process that replaces another one must start while that still listens on its address.
    part = part_at(served)
    with socket.socket() as one:
        one.bind(("127.0.0.1", 0))
        one.listen()
        made = []
        for _ in range(2):
            environment = {"EDGE_PASSED_SOCKET": str(os.dup(one.fileno()))}
            made.append(make_harness(name="n0", fleet=part, environment=environment))
        for harness in made:
            harness.wait_until(lambda harness=harness: joined(harness))
    assert made[0].context.fleet.member_id != made[1].context.fleet.member_id


def calls_of_the_fleet(harness, **headers):
    """How often functions of the fleet's code are called for one request, until it has its answer."""
    counts = {}

    def count(frame, event, _):
        if event == "call" and "fleet" in frame.f_code.co_filename.rpartition("/starlingwheel/")[2]:
            name = frame.f_code.co_name
            counts[name] = counts.get(name, 0) + 1

    gc.collect()  # objects of earlier tests would be closed, and counted, whenever they are collected
    asked = harness.send_request("buy", b"one", **headers)
    sys.setprofile(count)
    try:
        harness.serve()
        assert harness.read_status(asked) == 200
    finally:
        sys.setprofile(None)
    return counts


def test_a_request_at_a_sidecar_without_a_fleet_calls_none_of_its_code(harness):
    assert calls_of_the_fleet(harness) == {}


def test_a_request_without_a_key_makes_no_record(member):
    member.wait_until(lambda: joined(member))
    counts = calls_of_the_fleet(member)
    assert counts["_idempotency_key_of"] == 1
    never = (
        "begin",
        "add_intent",
        "record_intent",
        "finish_request",
        "add",
        "from_frame",
        "to_frame",
    )
    for name in (*never, "from_frame", "to_frame"):
        assert name not in counts


# Nothing more is sent for a client that has disconnected, whether its request is replicated or not.


def test_a_replicated_request_of_a_disconnected_client_is_not_retried(make_harness, served):
    part = part_at(served) | {"cover": {"categories": ["move"]}}
    harness = make_harness(name="n0", fleet=part, upstreams=2)
    harness.wait_until(lambda: joined(harness))
    client = harness.send_request("move", b"one")
    i, upstream = harness.wait_until(harness.accept_any)
    harness.read_request(upstream)
    client.close()
    harness.wait_until(lambda: harness.log_lines("client.end"))
    harness.send_response(upstream, status=500)
    harness.wait_until(lambda: not harness.context.coordinator.pending_requests)
    harness.assert_no_connection(1 - i)


def test_an_attempt_that_waits_for_its_replica_is_not_sent_once_the_client_has_disconnected(
    member, monkeypatch
):
    member.wait_until(lambda: joined(member))
    waiting = []
    module = member.context.coordinator
    monkeypatch.setattr(
        module.replicator, "record_intent", lambda item, number: waiting.append((item, number))
    )
    client = member.send_request("buy", b"one", x_work_name="w1")
    upstream = member.accept()
    assert member.wait_until(lambda: member.read(upstream)).endswith(b"on")
    client.close()
    member.wait_until(lambda: member.log_lines("client.end"))
    module.release_intent(*waiting[0])  # the replica acknowledges it now
    member.run_for(0.05)
    assert member.read(upstream) in (None, b"end")


def test_a_client_that_waits_is_given_the_dispatched_request_in_place_of_its_own(member):
    member.wait_until(lambda: joined(member))
    member.send_request("buy", b"one", x_work_name="w1")
    member.accept()
    coordinator = member.context.coordinator
    [item] = coordinator.replicator.requests.values()
    connection = item.dispatched_client.client
    coordinator.dispatch(item)
    assert connection.pending is item.dispatched_client


@pytest.mark.parametrize("headers", [{}, {"x_work_name": "w1"}])
def test_a_client_that_disconnects_is_counted_and_causes_no_error(member, headers):
    """Also of a request that the replicator knows nothing of."""
    member.wait_until(lambda: joined(member))
    client = member.send_request("buy", b"one", **headers)
    member.read_request(member.accept())
    client.close()
    member.wait_until(lambda: member.log_lines("client.end"))
    member.run_for(0.05)
    assert not member.log_lines("module.defect")
    if not headers:
        assert member.context.coordinator.counts["left"] == 1
