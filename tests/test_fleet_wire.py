"""A member's input: its configuration, frames of links, and replies of the coordination store.

The later tests run one real sidecar as the only member of a fleet, with a fake coordination store.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import random
import socket
import sys
import threading
import time
from collections.abc import Callable, Coroutine, Iterator
from types import FrameType
from typing import Any, TypeVar

import msgspec
import pytest
from conftest import SETTINGS, SidecarHarness, request_class_settings

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
from starlingwheel.net.lifecycle.shutdown import KILL_DELAY, MAX_STOP_TIMEOUT
from starlingwheel.net.messages import STOP
from starlingwheel.net.state.buffers import MAX_BUFFERED_BODY
from trials.emulated import World

T = TypeVar("T")
HarnessFactory = Callable[..., SidecarHarness]

FLEET_CONFIG: dict[str, Any] = {
    "name": "f",
    "listen": "127.0.0.1:7000",
    "arbiter": ["127.0.0.1:2379"],
    "cover": {"categories": ["buy"]},
}
CLASS_NAMES = ["look", "buy", "move"]
SOME_VERDICTS = (
    frames.ReplicaVerdict.GRANTED,
    frames.ReplicaVerdict.IN_PROGRESS,
    frames.ReplicaVerdict.NOT_COORDINATOR,
    frames.ReplicaVerdict.UNKNOWN,
    frames.ReplicaVerdict.OUT_OF_MEMORY,
)


def test_a_valid_configuration_is_decoded_with_its_defaults() -> None:
    """Keys that are missing get their documented defaults."""
    config = decode(FLEET_CONFIG, CLASS_NAMES, 1)
    assert (
        config.lease_s == 3
        and config.replication.replicas == 1
        and config.replication.idempotency_key_header == "x-work-name"
    )


def test_all_errors_of_a_configuration_are_reported_at_once_with_their_keys() -> None:
    """The keys are those of the file, so that the operator finds each of them."""
    wrong = {
        "name": "a b", "listen": "nowhere", "arbiter": ["x", "127.0.0.1:99999"], "lease_s": 0.5, "spare": 1,
        "cell_size": -1,
        "cover": {"categories": ["buy", "sell"], "name_header": "X_Y", "keepers": 9, "keeper": 2},
    }  # fmt: skip
    with pytest.raises(ValueError) as caught:
        decode(wrong, CLASS_NAMES, 2)
    message = str(caught.value)
    for key in (
        "fleet.name:", "fleet.listen:", "fleet.arbiter[0]:", "fleet.arbiter[1]:", "fleet.lease_s:",
        "fleet.spare:", "fleet.cell_size:", "fleet.cover.categories[1]:", "fleet.cover.name_header:",
        "fleet.cover.keepers:", "fleet.cover.keeper:", "streamsPerConn",
    ):  # fmt: skip
        assert key in message, key


@pytest.mark.parametrize("wrong", [None, 3, [], {}, {"cover": 1}, {**FLEET_CONFIG, "cover": None}])
def test_a_value_that_is_not_a_configuration_is_rejected(wrong: object) -> None:
    """The error is reported as one of the configuration, whatever the JSON value is."""
    with pytest.raises(ValueError, match="fleet"):
        decode(wrong, CLASS_NAMES, 1)


def policy_status() -> PolicyStatus:
    """Return a policy status with all fields set."""
    return PolicyStatus("n1.ab", "n1", 3.5, 4, "0a", float("inf"), 4, 5, True)


def some_frames() -> list[frames.Frame]:
    """Return frames of most types."""
    request = frames.RecordedRequest(b"POST", b"/buy/1", [(b"a", b"b")], b"x" * 30, b"t")
    intent = frames.AttemptIntent("u1", "north", 3, 12.5)
    return [
        frames.HelloFrame("f", 1, "n1.ab"),
        frames.ReplicateFrame(
            b"k", "n1", 0, True, b"m", "buy", "exclusive", 1.0, 2.0, False, request, [intent]
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


def test_frames_are_decoded_as_they_were_sent_in_chunks_of_any_size() -> None:
    """A read from a socket may end anywhere in a frame."""
    data = b"".join(map(encode_frame, some_frames()))
    for step in (1, 7, 1000, len(data)):
        reader = FrameReader()
        received: list[object] = []
        for at in range(0, len(data), step):
            received += reader.read(data[at : at + step])
        assert received == some_frames()


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\0\0\0\0", "empty"),
        ((frames.MAX_FRAME_SIZE + 1).to_bytes(4, "big"), "too-long"),
        (b"\0\0\0\1\xc1", "unreadable"),
        (b"\0\0\0\3" + msgspec.msgpack.encode([99, 1]), "unreadable"),
    ],
)
def test_an_invalid_frame_ends_the_link_with_its_reason(data: bytes, reason: str) -> None:
    """Length and type of a frame are checked before it is handled."""
    with pytest.raises(LinkRejectedError, match=reason):
        FrameReader().read(data)


def test_corrupted_frames_do_no_more_than_end_the_link() -> None:
    """No sequence of bytes may raise another error or make the reader buffer more than it was sent."""
    rng = random.Random(1)
    data = b"".join(map(encode_frame, some_frames()))
    ended = 0
    for _ in range(3000):
        corrupted = bytearray(data)
        for _ in range(rng.randint(1, 6)):
            corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        reader = FrameReader()
        try:
            reader.read(bytes(corrupted[: rng.randrange(len(corrupted))]))
        except LinkRejectedError:
            ended += 1
        assert len(reader.buffer) <= len(data)
    assert ended > 100


def test_records_of_random_frames_expire() -> None:
    """Valid frames with arbitrary contents raise no error, and what they record is forgotten in the end."""
    rng = random.Random(3)
    world = World(1, 3)
    world.run_until(1.0)
    first, second, third = world.live_members()
    keys = [b"a", b"b", b"c"]
    request = frames.RecordedRequest(b"POST", b"/x", [], b"", b"")
    for _ in range(4000):
        key, epoch, number = (
            rng.choice(keys),
            rng.choice((-1, 0, 1, 9)),
            rng.choice((-5, 0, 1, 1 << 60)),
        )
        named_member = rng.choice((first.id, second.id, third.id, "stranger.00"))
        at = rng.choice((float("nan"), float("inf"), -1e300, world.now))
        intents = [frames.AttemptIntent("u", "", 0, at)] * rng.randrange(3)
        reply = frames.RecordedResponse(rng.choice((200, 503, 504, 0)))
        verdict = rng.choice((*SOME_VERDICTS, "?"))
        retry_safety = rng.choice(("exclusive", "ticketed", "rerunnable", "?"))
        frame = rng.choice(
            [
                frames.ReplicateFrame(
                    key, named_member, epoch, True, b"", "c", retry_safety, at, at, True, request, intents
                ),
                frames.ReplicateFrame(
                    key,
                    named_member,
                    epoch,
                    False,
                    b"",
                    "c",
                    retry_safety,
                    world.now,
                    world.now + 1,
                    False,
                    request,
                    [],
                ),
                frames.AttemptIntentFrame(key, epoch, number, frames.AttemptIntent("u", "", 0, at)),
                frames.AttemptNotRunFrame(key, epoch, number, "unsent"),
                frames.ResponseFrame(key, epoch, reply),
                frames.ReplicaStateFrame(key, epoch, verdict, number, reply, named_member),
                frames.RequestFinishedFrame(key, named_member, b"", "c", retry_safety, at, reply),
                frames.FindOwnerFrame(key, b""),
                frames.ViewSyncedFrame(number),
                frames.HeartbeatFrame(number, False),
            ]
        )
        first.replicator.now = world.now
        first.replicator.frame_received(rng.choice((second.id, third.id)), frame)
        if rng.random() < 0.05:
            world.run_until(world.now + 0.05)
    world.run_until(world.now + 8.0)
    assert not first.replicator.requests and not first.replicator.records.held


def test_the_loss_of_a_member_moves_only_the_keys_that_it_coordinates() -> None:
    """Keys are spread over all members, and one replica of each is in another zone than the owner."""
    members = [Member(f"n{i}", f"n{i}", "", "ab"[i % 2]) for i in range(12)]
    view, smaller = MembershipView(members), MembershipView(members[1:])
    keys = [b"%d" % i for i in range(600)]
    assert all(smaller.coordinator(k) == view.coordinator(k) for k in keys if view.coordinator(k) != "n0")
    assert all(smaller.coordinator(k) == view.coordinator(k, excluding="n0") for k in keys)
    counts = [sum(view.coordinator(k) == m.id for k in keys) for m in members]
    assert min(counts) > 25
    for key in keys:
        replicas = view.replicas(key, "n0", 1, view.members)
        assert "n0" not in replicas and any(view.members[replica].zone == "b" for replica in replicas)


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
def test_an_unreadable_reply_of_the_store_raises_the_error_for_it(kind: type[msgspec.Struct]) -> None:
    """Replies that are cut short, have other types or are random bytes raise no other error."""
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
def test_a_text_that_is_not_an_unsigned_64_bit_number_is_rejected(text: str) -> None:
    """The store's gateway sends 64-bit numbers as text."""
    with pytest.raises((UnusableReplyError, ValueError)):
        assert parse_number(text) < 0


class StoreThread:
    """The fake coordination store, which runs in a thread of its own."""

    def __init__(self) -> None:
        """Start the store."""
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.etcd = self.run(self._start())

    async def _start(self) -> FakeEtcd:
        etcd = FakeEtcd()
        await etcd.start()
        return etcd

    def run(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Run a coroutine in the store's thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def call(self, function: Callable[..., T], *arguments: object) -> T:
        """Call a function in the store's thread and return its result."""

        async def inside() -> T:
            return function(*arguments)

        return self.run(inside())

    def close(self) -> None:
        """Stop the store and its thread."""
        self.run(self.etcd.stop())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.loop.close()


@pytest.fixture
def store() -> Iterator[StoreThread]:
    """Start a fake coordination store, and stop it at the end."""
    started = StoreThread()
    yield started
    started.close()


def member_keys(store: StoreThread) -> list[bytes]:
    """Return the keys of the members' entries in the store."""
    return [key for key in store.etcd.entries if b"/members/" in key]


def fleet_config(store: StoreThread) -> dict[str, Any]:
    """Return the configuration of a member that uses the store, with a lease of one second."""
    return FLEET_CONFIG | {"listen": free_address(), "arbiter": [store.etcd.server.address], "lease_s": 1}


def start_member(make_harness: HarnessFactory, store: StoreThread) -> SidecarHarness:
    """Start a sidecar as a member of the fleet."""
    return make_harness(name="n0", fleet=fleet_config(store), settings=SETTINGS)


@pytest.fixture
def member(make_harness: HarnessFactory, store: StoreThread) -> SidecarHarness:
    """Start a sidecar as a member of the fleet."""
    return start_member(make_harness, store)


def joined(harness: SidecarHarness) -> bool:
    """Return whether the sidecar may serve as a member of its fleet."""
    return harness.context.fleet.joined


def test_a_member_is_ready_only_once_it_has_joined_its_fleet(member: SidecarHarness) -> None:
    """A sidecar that was ready before other members see it would serve unreplicated requests."""
    assert not member.context.ready
    member.wait_until(lambda: joined(member))
    assert member.context.ready and len(member.context.coordinator.replicator.view.members) == 1


def test_a_reply_that_is_lost_after_the_change_was_applied_leaves_one_entry(
    member: SidecarHarness, store: StoreThread
) -> None:
    """The member retries the change, and must not enter twice."""
    store.call(store.etcd.lost_replies.update, {"/v3/kv/txn": 1, "/v3/lease/grant": 1})
    member.wait_until(lambda: joined(member))
    assert len(member_keys(store)) == 1


def test_a_member_whose_lease_ends_early_enters_again(member: SidecarHarness, store: StoreThread) -> None:
    """The store may lose a lease that is still valid by the clock of the member."""
    member.wait_until(lambda: joined(member))
    term = member.context.coordinator.replicator.view.members[member.context.fleet.member_id].term
    (key,) = member_keys(store)
    store.call(store.etcd.expire_lease_of, key.decode())
    replicator = member.context.coordinator.replicator
    member_id = member.context.fleet.member_id
    member.wait_until(
        lambda: replicator.view.members.get(member_id) and replicator.view.members[member_id].term != term
    )


def test_a_watch_lost_at_a_compaction_reads_everything_again(
    member: SidecarHarness, store: StoreThread
) -> None:
    """The watch can't be resumed from a revision that was compacted."""
    member.wait_until(lambda: joined(member))
    store.call(store.etcd.compact)
    store.call(store.etcd.abort_watches)
    other = Member("n9.ff", "n9", "127.0.0.1:1")
    put = {"key": encode_base64("/f/members/n9.ff"), "value": encode_base64(msgspec.json.encode(other))}
    store.call(store.etcd.put_encoded, put)
    member.wait_until(lambda: "n9.ff" in member.context.coordinator.replicator.view)


def test_two_members_that_end_at_the_same_time_are_both_evicted(
    member: SidecarHarness, store: StoreThread
) -> None:
    """The second eviction arrives while the first one is being written."""
    member.wait_until(lambda: joined(member))
    replicator = member.context.coordinator.replicator
    for name in ("n8", "n9"):
        other = Member(f"{name}.ff", name, "127.0.0.1:1")
        put = {
            "key": encode_base64(f"/f/members/{name}.ff"),
            "value": encode_base64(msgspec.json.encode(other)),
        }
        store.call(store.etcd.put_encoded, put)
    member.wait_until(lambda: len(replicator.view.members) == 3)
    for gone in [m for m in replicator.view.members.values() if m.name != "n0"]:
        member.context.fleet.member_evictor.post(EvictMember(gone))
    member.wait_until(lambda: len(replicator.view.members) == 1)


def test_an_unreadable_entry_does_not_hide_the_other_entries(
    member: SidecarHarness, store: StoreThread
) -> None:
    """The unreadable entry is logged, and the other entries are read."""
    member.wait_until(lambda: joined(member))
    store.call(store.etcd.put_encoded, {"key": encode_base64("/f/members/x"), "value": encode_base64("{")})
    member.wait_until(lambda: member.log_lines("arbiter.entry"))
    assert len(member.context.coordinator.replicator.view.members) == 1


@pytest.mark.parametrize("path", ["/v3/kv/range", "/v3/kv/txn", "/v3/lease/grant", "/v3/lease/keepalive"])
def test_unreadable_replies_of_the_store_are_counted_and_the_calls_retried(
    make_harness: HarnessFactory, store: StoreThread, path: str
) -> None:
    """A member enters as soon as the replies are valid again."""
    store.call(store.etcd.canned_replies.update, {path: b'{"ID":7,"kvs":3,"header":[],"result":null}'})
    member = start_member(make_harness, store)
    member.wait_until(lambda: member.context.fleet.reasons["unreadable"])
    store.call(store.etcd.canned_replies.clear)
    member.wait_until(lambda: joined(member))
    assert not member.log_lines("defect")


def test_requests_are_served_while_the_store_is_down(member: SidecarHarness, store: StoreThread) -> None:
    """The store is down for longer than the lease of one second."""
    member.wait_until(lambda: joined(member))
    store.run(store.etcd.take_down())
    member.run_for(1.5)
    client = member.send_request("buy", b"one", x_work_name="w1")
    member.serve()
    assert member.read_status(client) == 200


def test_a_retry_of_a_finished_request_gets_its_response_and_no_attempt(member: SidecarHarness) -> None:
    """A different request with the same key is rejected."""
    member.wait_until(lambda: joined(member))
    client = member.send_request("buy", b"one", x_work_name="w1")
    member.serve(body=b"done")
    assert member.read_message(client)[1] == b"done"
    retry = member.send_request("buy", b"one", x_work_name="w1", x_trace_id="t2", x_second_try="1")
    assert member.read_message(retry)[1] == b"done"
    other = member.send_request("buy", b"two", x_work_name="w1", x_trace_id="t3")
    assert member.read_status(other) == 422
    member.assert_no_connection()


def test_a_request_without_a_key_is_not_replicated(member: SidecarHarness) -> None:
    """The request is served, and counted as one without a key."""
    member.wait_until(lambda: joined(member))
    client = member.send_request("buy", b"one")
    member.serve()
    assert member.read_status(client) == 200
    replicator = member.context.coordinator.replicator
    assert not replicator.requests and replicator.counts["unnamed"] == 1


def test_operators_see_the_view_and_the_replicated_requests(
    make_harness: HarnessFactory, store: StoreThread
) -> None:
    """The admin API reports the member, its shard and what was replicated."""
    harness = make_harness(name="n0", fleet=fleet_config(store), mgmt="127.0.0.1:0")
    harness.wait_until(lambda: joined(harness))
    client = harness.send_request("buy", b"one", x_work_name="w1")
    harness.serve()
    assert harness.read_status(client) == 200
    caller = harness.close_at_end(socket.create_connection(harness.context.admin_listener.sock.getsockname()))
    caller.sendall(b"GET /_fleet HTTP/1.1\r\nHost: a\r\n\r\n")
    response, body = harness.read_message(caller)
    report = json.loads(body)
    assert response.status_code == 200 and report["in_view"]
    assert report["member"] == harness.context.fleet.member_id
    shards = {"count": 1, "ours": 0, "members": [report["member"]], "fleet_members": 1}
    assert report["cells"] == shards and [entry["id"] for entry in report["view"]] == shards["members"]
    assert report["items"] == {"done": 1}
    assert report["counts"]["covered"] == 1 and report["counts"]["uncovered"] == 1


def test_without_a_fleet_its_admin_call_is_unknown(make_harness: HarnessFactory) -> None:
    """The fleet's admin calls exist only in sidecars that are members of a fleet."""
    harness = make_harness(mgmt="127.0.0.1:0")
    assert harness.call_admin("GET /_fleet") == 404


def test_a_member_that_stops_leaves_the_view_before_its_process_ends(
    member: SidecarHarness, store: StoreThread
) -> None:
    """Otherwise the other members would wait for the lease of that member to expire."""
    member.wait_until(lambda: joined(member))
    member.context.shutdown.post(STOP)
    member.wait_until(lambda: not member.context.loop.running and not member_keys(store))


@pytest.mark.usefixtures("rare_garbage_collections")
def test_a_stopped_member_answers_a_replicated_request_and_its_repeat_before_it_may_be_killed(
    make_harness: HarnessFactory, store: StoreThread
) -> None:
    """Their own deadlines are later; the repeat waits for the response to the first one."""
    settings = SETTINGS | {"categories": request_class_settings(4_000_000)}
    harness = make_harness(name="n0", fleet=fleet_config(store), settings=settings)
    harness.wait_until(lambda: joined(harness))
    first, repeat = (
        harness.send_request("buy", b"one", x_work_name="w1", x_trace_id=trace, x_expires_in_ms="7900")
        for trace in ("t1", "t2")
    )
    harness.read_request(harness.accept())
    harness.context.shutdown.post(STOP)
    killed_at = time.monotonic() + MAX_STOP_TIMEOUT + KILL_DELAY
    statuses = [harness.read_status(first), harness.read_status(repeat)]
    assert statuses == [504, 504]
    assert time.monotonic() < killed_at


def test_two_processes_of_one_sidecar_can_both_be_linked_to(
    make_harness: HarnessFactory, store: StoreThread
) -> None:
    """The process that replaces another one must start while that one still listens on its address."""
    config = fleet_config(store)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        processes = []
        for _ in range(2):
            environment = {"EDGE_PASSED_SOCKET": str(os.dup(listener.fileno()))}
            processes.append(make_harness(name="n0", fleet=config, environment=environment))
        for harness in processes:
            harness.wait_until(lambda harness=harness: joined(harness))
    assert processes[0].context.fleet.member_id != processes[1].context.fleet.member_id


def calls_of_the_fleet(harness: SidecarHarness, **headers: str) -> dict[str, int]:
    """Count, by function, the calls of the fleet's code for one request until it has its response."""
    counts: dict[str, int] = {}

    def count(frame: FrameType, event: str, _: object) -> None:
        if event == "call" and "fleet" in frame.f_code.co_filename.rpartition("/starlingwheel/")[2]:
            name = frame.f_code.co_name
            counts[name] = counts.get(name, 0) + 1

    # Otherwise objects of earlier tests would be closed, and their calls counted, when they are collected.
    gc.collect()
    client = harness.send_request("buy", b"one", **headers)
    sys.setprofile(count)
    try:
        harness.serve()
        assert harness.read_status(client) == 200
    finally:
        sys.setprofile(None)
    return counts


def test_a_request_at_a_sidecar_without_a_fleet_calls_none_of_its_code(harness: SidecarHarness) -> None:
    """A sidecar without a fleet must not pay for the feature."""
    assert calls_of_the_fleet(harness) == {}


def test_a_request_without_a_key_makes_no_record(member: SidecarHarness) -> None:
    """Such a request costs only the lookup of its key; no function that records requests is called."""
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


def test_a_replicated_request_of_a_disconnected_client_is_not_retried(
    make_harness: HarnessFactory, store: StoreThread
) -> None:
    """The attempt in flight continues for a retry of the client, but no further one is started."""
    config = fleet_config(store) | {"cover": {"categories": ["move"]}}
    harness = make_harness(name="n0", fleet=config, upstreams=2)
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
    member: SidecarHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The replica's acknowledgement arrives after the disconnect, and must not release the last byte."""
    member.wait_until(lambda: joined(member))
    waiting = []
    coordinator = member.context.coordinator
    monkeypatch.setattr(
        coordinator.replicator, "record_intent", lambda request, number: waiting.append((request, number))
    )
    client = member.send_request("buy", b"one", x_work_name="w1")
    upstream = member.accept()
    assert member.wait_until(lambda: member.read(upstream)).endswith(b"on")
    client.close()
    member.wait_until(lambda: member.log_lines("client.end"))
    coordinator.release_intent(*waiting[0])  # the replica acknowledges it now
    member.run_for(0.05)
    assert member.read(upstream) in (None, b"end")


def test_a_client_that_waits_gets_the_dispatched_request_in_place_of_its_own(member: SidecarHarness) -> None:
    """Otherwise the disconnect of the client would concern a request that is no longer handled."""
    member.wait_until(lambda: joined(member))
    member.send_request("buy", b"one", x_work_name="w1")
    member.accept()
    coordinator = member.context.coordinator
    [request] = coordinator.replicator.requests.values()
    connection = request.dispatched_client.client
    coordinator.dispatch(request)
    assert connection.pending is request.dispatched_client


def test_a_response_that_its_client_does_not_get_is_not_received_on(
    member: SidecarHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another member has taken the request over; nobody would ever read what the endpoint sends."""
    member.wait_until(lambda: joined(member))
    coordinator = member.context.coordinator
    monkeypatch.setattr(coordinator.replicator, "finish_request", lambda request, response: None)
    member.send_request("buy", b"one", x_work_name="w1")
    upstream = member.accept()
    member.read_request(upstream)
    length = MAX_BUFFERED_BODY + 1
    upstream.sendall(b"HTTP/1.1 200 x\r\nContent-Length: %d\r\n\r\n" % (2 * length) + b"x" * length)
    assert member.wait_until(lambda: member.read(upstream)) == b"end"
    assert member.context.buffer_pool.in_use == 0


@pytest.mark.parametrize("headers", [{}, {"x_work_name": "w1"}])
def test_a_client_that_disconnects_is_counted_and_causes_no_error(
    member: SidecarHarness, headers: dict[str, str]
) -> None:
    """The request is replicated in one case, and unknown to the replicator in the other."""
    member.wait_until(lambda: joined(member))
    client = member.send_request("buy", b"one", **headers)
    member.read_request(member.accept())
    client.close()
    member.wait_until(lambda: member.log_lines("client.end"))
    member.run_for(0.05)
    assert not member.log_lines("module.defect")
    if not headers:
        assert member.context.coordinator.counts["left"] == 1
