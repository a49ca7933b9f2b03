"""Replication in emulated fleets, in every order of few events, and with broken variants to be caught."""

from __future__ import annotations

import msgspec
import pytest

from starlingwheel.fleet.frames import RecordedRequest, ReplicateFrame
from starlingwheel.fleet.replication.replicator import RequestReplicator
from starlingwheel.fleet.replication.request import BeginResult
from trials.broken import VARIANTS, AttemptsNotRecorded
from trials.emulated import HARSH_FAULTS, Request, World, simulate
from trials.emulated.member import EmulatedMember
from trials.model_replication import explore
from trials.model_replication_events import Bounds


@pytest.mark.parametrize("seed", range(8))
def test_no_replicated_request_runs_twice_under_faults(seed: int) -> None:
    """Requests are taken over when members fail, and nearly all of them finish."""
    outcome = simulate(seed, seconds=4.0)
    assert not outcome.violations
    assert outcome.counts["cover.taken_over"] and outcome.counts["finished"] > 0.9 * outcome.counts["work"]


@pytest.mark.parametrize("seed", range(3))
def test_no_replicated_request_runs_twice_under_harsh_faults(seed: int) -> None:
    """Faults are so frequent that several often happen to one request."""
    assert not simulate(seed, seconds=3.0, faults=HARSH_FAULTS, duplicate_fraction=0.4).violations


@pytest.mark.parametrize("kind", VARIANTS)
def test_each_broken_variant_is_caught(kind: type[RequestReplicator]) -> None:
    """The emulation must find the double run that each variant allows."""
    assert any(
        simulate(
            seed, seconds=4.0, faults=HARSH_FAULTS, duplicate_fraction=0.4, replicator_type=kind
        ).violations
        for seed in range(16)
    )


def test_no_order_of_one_crash_lets_a_request_run_twice() -> None:
    """The orders of all events around one crash are explored completely."""
    explored = explore("exclusive", Bounds())
    assert explored.complete and not explored.violations and explored.states > 1000


def test_the_model_finds_the_order_that_breaks_a_variant() -> None:
    """The exploration catches a variant that does not record attempts."""
    assert explore("exclusive", Bounds(duplicates=1, max_states=5000), AttemptsNotRecorded).violations


def synced_world(members: int) -> World:
    """Return a world whose members have synchronised."""
    world = World(1, members)
    world.run_until(1.0)
    return world


def send_request(world: World, member: EmulatedMember, key: bytes, is_retry: bool = False) -> Request:
    """Send a request that must not run twice to a member."""
    world.retry_safeties[key] = "exclusive"
    request = Request(key, "exclusive", world.now + 1.5, is_retry, len(world.requests))
    world.requests.append(request)
    member.run(lambda: member.receive(request))
    return request


def test_a_first_attempt_that_is_rejected_at_once_is_not_dispatched() -> None:
    """A second response would be taken for that of the next request on the client's connection."""
    world = synced_world(2)
    owner, coordinator_member = world.live_members()
    world.network.partitioned_until[owner.name, coordinator_member.name] = world.network.partitioned_until[
        coordinator_member.name, owner.name
    ] = 100.0
    world.run_until(1.6)
    coordinator = owner.replicator.view.coordinator
    key = next(
        key for key in (f"x{i}".encode() for i in range(99)) if coordinator(key) == coordinator_member.id
    )
    content = RecordedRequest(b"POST", b"/x", [], b"", b"")
    frame = ReplicateFrame(
        key, owner.id, 0, False, b"", "c", "exclusive", world.now, world.now + 1, False, content, []
    )
    request = Request(key, "exclusive", world.now, False, 0)
    result, _ = owner.replicator.begin(frame, request, world.now + 1)
    assert result is BeginResult.WAIT and request.outcome == "503"


def test_clients_with_the_same_key_get_one_response_from_one_run() -> None:
    """Three clients send the same request to three members at the same time."""
    world = synced_world(3)
    requests = [send_request(world, member, b"w") for member in world.live_members()]
    world.run_until(2.0)
    assert [request.outcome for request in requests] == ["200"] * 3 and len(world.runs[b"w"]) == 1


def test_a_key_reused_for_a_different_request_is_rejected() -> None:
    """The client would otherwise get the response of the request that used the key first."""
    world = synced_world(3)
    member, _, _ = world.live_members()
    send_request(world, member, b"w")
    world.run_until(1.01)
    frame = member.replicator.requests[b"w"].to_frame(requests_grant=False)
    other_frame = msgspec.structs.replace(frame, fingerprint=b"else")
    result, _ = member.replicator.begin(other_frame, object(), 2.0)
    assert result.value == "other"


def test_a_retry_of_a_finished_request_gets_its_response_without_a_run() -> None:
    """The retry arrives at another member than the owner."""
    world = synced_world(3)
    first, second, _ = world.live_members()
    send_request(world, first, b"w")
    world.run_until(1.5)
    request = send_request(world, second, b"w", is_retry=True)
    world.run_until(1.8)
    assert request.outcome == "200" and len(world.runs[b"w"]) == 1


def test_a_single_member_serves() -> None:
    """Without another member that could record requests, they are served unreplicated."""
    world = synced_world(1)
    request = send_request(world, world.live_members()[0], b"w")
    world.run_until(1.5)
    assert request.outcome == "200"


def test_requests_are_forgotten_after_their_retention() -> None:
    """Requests that were never forgotten would fill the memory of all members."""
    world = synced_world(3)
    for number in range(50):
        send_request(world, world.live_members()[number % 3], b"w%d" % number)
    world.run_until(8.0)
    replicators = [member.replicator for member in world.live_members()]
    assert all(
        isinstance(replicator, RequestReplicator) and not replicator.requests and replicator.used_bytes == 0
        for replicator in replicators
    )
