"""Links between members of several shards: simultaneous dials, idle links, rejected hellos."""

import socket
from collections import Counter
from collections.abc import Callable, Iterator

import msgspec
import pytest
from link_network import STEP, LinkedMember, LinkNetwork, connected, names_in_shards

from starlingwheel.fleet import frames
from starlingwheel.net.fleet.links import LinkManager, encode_frame, timing
from starlingwheel.net.fleet.messages import (
    POLICY_STATUS_NEEDED,
    DialMember,
    EvictMember,
    FrameReceived,
    LinkDown,
    LinkUp,
    MemberUnreachable,
    SendFrame,
)
from starlingwheel.net.messages import CLOSE

# Frames about requests.
FIRST_FRAME, SECOND_FRAME = frames.FindOwnerFrame(b"k", b"m"), frames.FindOwnerFrame(b"l", b"m")

MakeNetwork = Callable[..., LinkNetwork]


@pytest.fixture
def make_network() -> Iterator[MakeNetwork]:
    """Make networks, and close them after the test."""
    made: list[LinkNetwork] = []

    def make(seed: int = 1) -> LinkNetwork:
        made.append(LinkNetwork(seed))
        return made[-1]

    yield make
    for network in made:
        network.close()


@pytest.fixture
def pair(make_network: MakeNetwork) -> LinkNetwork:
    """Provide a network of two members in different shards, both of which are in the view of each."""
    network = make_network()
    for name in names_in_shards(2, 0, 1):
        network.add(name)
    network.set_view(2)
    network.advance(0.02)
    return network


@pytest.fixture
def connected_pair(make_network: MakeNetwork) -> LinkNetwork:
    """Provide a network of two members in one shard, with a link between them."""
    network = make_network()
    for name in names_in_shards(1, 0, 0):
        network.add(name)
    network.set_view(1)
    first, second = network.members
    network.wait_until(lambda: connected(first, second))
    return network


def test_members_of_one_shard_are_linked_and_others_are_not(make_network: MakeNetwork) -> None:
    """A member of another shard is dialed only on demand."""
    network = make_network()
    for name in names_in_shards(2, 0, 0, 0, 1, 1):
        network.add(name)
    network.set_view(2)
    shards = [network.members[:3], network.members[3:]]
    network.wait_until(
        lambda: all(len(member.links.links) == len(shard) - 1 for shard in shards for member in shard)
    )
    network.advance(0.1)
    for shard in shards:
        for member in shard:
            assert set(member.established_links()) == {other.id for other in shard} - {member.id}


@pytest.mark.parametrize("dialer", [0, 1])
def test_a_member_of_either_shard_can_dial_one_of_the_other(pair: LinkNetwork, dialer: int) -> None:
    """A second request to dial has no effect."""
    first, second = pair.members[dialer], pair.members[1 - dialer]
    assert not first.links.links
    first.links.post(DialMember(second.id))
    pair.wait_until(lambda: second.id in first.established_links() and first.id in second.established_links())
    assert connected(first, second)
    first.links.post(DialMember(second.id))
    pair.advance(0.05)
    assert len(first.messages_of(LinkUp)) == 1 and not first.messages_of(MemberUnreachable)


def dial_simultaneously(
    make_network: MakeNetwork, seed: int, within: float = 8.0
) -> tuple[LinkNetwork, bool]:
    """Have both members dial at the same time. Return whether exactly one link remains, the same for both."""
    network = make_network(seed)
    for name in names_in_shards(2, 0, 1):
        network.add(name)
    first, second = network.members
    first.needs_link_to.add(second.id)
    second.needs_link_to.add(first.id)
    network.set_view(2)
    network.advance(0.005)
    first.links.post(DialMember(second.id))
    second.links.post(DialMember(first.id))
    try:
        network.wait_until(
            lambda: second.id in first.established_links() and first.id in second.established_links(), within
        )
    except AssertionError:
        return network, False
    network.advance(0.06)
    same = connected(first, second) and not (first.links.dialer.dialing or second.links.dialer.dialing)
    mine, theirs = set(first.established_links()), set(second.established_links())
    return network, same and mine == {second.id} and theirs == {first.id}


def test_of_two_simultaneous_dials_one_link_remains_the_same_for_both(make_network: MakeNetwork) -> None:
    """In 40 random orders of events, each host is informed of one link only."""
    rejected = 0
    for seed in range(40):
        network, same = dial_simultaneously(make_network, seed)
        assert same
        for member in network.members:
            assert len(member.messages_of(LinkUp)) == 1  # the host was informed of no other link
            assert (
                not member.messages_of(LinkDown)
                and not member.messages_of(MemberUnreachable)
                and not member.messages_of(EvictMember)
            )
        rejected += network.members[0].reasons["crossed"]
    assert rejected > 10


def test_without_the_check_of_dials_two_simultaneous_dials_end_each_other(
    make_network: MakeNetwork, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Without the check the test above would fail, so it does detect links that end each other."""
    monkeypatch.setattr(LinkManager, "_check_accepts_dial", lambda self, member: None)
    assert not all(
        dial_simultaneously(make_network, seed, within=timing.HANDSHAKE_TIMEOUT)[1] for seed in range(40)
    )


def test_a_link_that_neither_side_needs_closes_without_loss(pair: LinkNetwork) -> None:
    """The end of an idle link must not be taken for the end of the process, and must not leak a socket."""
    first, second = pair.members
    first.links.post(DialMember(second.id))
    pair.wait_until(lambda: connected(first, second))
    first.links.links[second.id].post(SendFrame(encode_frame(FIRST_FRAME)))
    pair.wait_until(lambda: second.request_frames())
    pair.wait_until(lambda: not first.established_links() and not second.established_links())
    for member in pair.members:
        assert member.reasons["at-rest"] == 1
        assert not member.messages_of(EvictMember) and not any(
            event == "member.gone" for event, _ in member.log_lines
        )
    pair.advance(0.1)
    assert (
        len(first.links.loop.actors_by_descriptor) == len(second.links.loop.actors_by_descriptor) == 1
    )  # their listening sockets


@pytest.mark.parametrize("needing", [0, 1])
def test_a_link_that_one_side_needs_stays_open(pair: LinkNetwork, needing: int) -> None:
    """The link closes once that side no longer needs it either."""
    first, second = pair.members
    pair.members[needing].needs_link_to.add(pair.members[1 - needing].id)
    first.links.post(DialMember(second.id))
    pair.wait_until(lambda: connected(first, second))
    pair.advance(timing.IDLE_LINK_TIMEOUT * 2)
    assert connected(first, second) and len(first.messages_of(LinkUp)) == 1
    pair.members[needing].needs_link_to.clear()
    pair.wait_until(lambda: not first.established_links() and not second.established_links())


def close_idle_as_request_begins(
    make_network: MakeNetwork, seed: int
) -> tuple[LinkNetwork, LinkedMember, LinkedMember]:
    """Begin a request on one side just as the other side closes the link as idle.

    Return the network, the member with the request and the member that closed the link.
    """
    network = make_network(seed)
    for name in names_in_shards(2, 0, 1):
        network.add(name)
    first, second = network.members
    network.set_view(2)
    network.advance(0.005)
    first.links.post(DialMember(second.id))
    network.wait_until(lambda: connected(first, second))
    link = first.links.links[second.id]
    theirs = second.links.links[first.id]
    link.post(SendFrame(encode_frame(FIRST_FRAME)))
    network.wait_until(lambda: second.request_frames() and theirs.activity.both_idle)
    last_used = min(theirs.activity.last_payload_frame, link.activity.last_payload_frame)
    while network.clock() < last_used + timing.IDLE_LINK_TIMEOUT - 0.1:
        network.step()
    # Only the other side's loop runs until it has closed the link.
    while second.links.links:
        second.loop.run_once(0)
        network.clock.time += STEP
    assert not link.end_reported
    first.needs_link_to.add(second.id)
    link.post(SendFrame(encode_frame(SECOND_FRAME)))
    return network, first, second


def test_a_request_that_begins_as_a_link_closes_opens_a_new_one_and_loses_nothing(
    make_network: MakeNetwork,
) -> None:
    """The frame that arrived after the close is sent again on the new link."""
    for seed in range(3):
        network, first, second = close_idle_as_request_begins(make_network, seed)
        network.wait_until(lambda first=first: first.messages_of(LinkDown))
        assert first.reasons["at-rest"] == 1 and second.request_frames() == [FIRST_FRAME]
        # The replicator does the same when a link ends that it needs.
        first.links.post(DialMember(second.id))
        network.wait_until(lambda first=first, second=second: second.id in first.established_links())
        first.established_links()[second.id].post(SendFrame(encode_frame(SECOND_FRAME)))
        network.wait_until(lambda second=second: second.request_frames() == [FIRST_FRAME, SECOND_FRAME])
        for member in network.members:
            assert not member.messages_of(EvictMember) and not member.messages_of(MemberUnreachable)


def test_links_to_former_peers_close_and_new_peers_are_dialed(make_network: MakeNetwork) -> None:
    """The number of shards changes from one to two and back."""
    network = make_network()
    for name in names_in_shards(2, 0, 0, 1, 1):
        network.add(name)
    network.set_view(1)
    network.wait_until(lambda: all(len(member.established_links()) == 3 for member in network.members))
    network.set_view(2)
    network.wait_until(
        lambda: all(len(member.established_links()) == 1 for member in network.members), within=30.0
    )
    a, b, c, d = network.members
    assert connected(a, b) and connected(c, d)
    assert all(member.reasons["at-rest"] == 2 for member in network.members)
    network.set_view(1)
    network.wait_until(lambda: all(len(member.established_links()) == 3 for member in network.members))
    assert not any(member.messages_of(EvictMember) for member in network.members)


def test_a_member_with_another_shard_count_is_rejected_and_dials_again(make_network: MakeNetwork) -> None:
    """Both members are linked once their views have the same number of shards."""
    network = make_network()
    for name in names_in_shards(4, 0, 0):
        network.add(name)
    first, second = network.members
    network.set_view(4, first)
    network.set_view(2, second)
    network.wait_until(lambda: first.reasons["other-cells"] and second.reasons["other-cells"])
    network.advance(0.2)
    assert (
        not first.messages_of(LinkUp)
        and not second.messages_of(LinkUp)
        and not first.messages_of(FrameReceived)
    )
    network.set_view(4, second)
    network.wait_until(lambda: connected(first, second))


def test_a_member_that_is_not_reached_in_time_is_reported_as_unreachable(pair: LinkNetwork) -> None:
    """A member that is not in the view is reported as well."""
    first, second = pair.members
    pair.set_view(4, second)
    first.links.post(DialMember(second.id))
    pair.wait_until(lambda: first.messages_of(MemberUnreachable))
    assert not first.links.dialer.needed_until and not first.links.dialer.attempts
    pair.advance(0.1)
    assert not first.links.dialer.dialing
    first.links.post(DialMember("nobody.00"))
    pair.wait_until(lambda: len(first.messages_of(MemberUnreachable)) == 2)


def test_a_process_that_has_ended_is_reported_at_once(pair: LinkNetwork) -> None:
    """A refused connection is reported without a timeout."""
    first, second = pair.members
    second.links.loop.unregister(second.sock.fileno())
    second.sock.close()
    pair.members.remove(second)
    first.links.post(DialMember(second.id))
    pair.wait_until(lambda: first.messages_of(MemberUnreachable), within=timing.HANDSHAKE_TIMEOUT / 2)
    second.loop.close()


def test_a_dial_replaces_a_link_that_only_one_side_has_lost(pair: LinkNetwork) -> None:
    """The first dial is rejected, but has the other side probe its link and notice that it has ended."""
    first, second = pair.members
    first.needs_link_to.add(second.id)
    second.needs_link_to.add(first.id)
    first.links.post(DialMember(second.id))
    pair.wait_until(lambda: connected(first, second))
    # The side of the greater id closes its link. The duplicate descriptor keeps the connection open, so that
    # the other side does not notice, as if the network had dropped the packets.
    their_link = second.links.links[first.id]
    duplicate = socket.socket(fileno=socket.dup(their_link.connection.sock.fileno()))
    their_link.post(CLOSE)
    pair.wait_until(lambda: second.messages_of(LinkDown))
    assert connected(first, second) is False and second.id in first.established_links()
    second.links.post(DialMember(first.id))
    pair.wait_until(lambda: first.reasons["crossed"])
    duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    duplicate.close()
    pair.wait_until(lambda: connected(first, second))
    assert not second.messages_of(MemberUnreachable)


@pytest.mark.parametrize(
    ("changed", "reason"),
    [
        ({"version": frames.PROTOCOL_VERSION + 1}, "other-version"),
        ({"version": frames.PROTOCOL_VERSION - 1}, "other-version"),
        ({"fleet": "g"}, "other-fleet"),
        ({"shard_count": 4}, "other-cells"),
        ({"member": "stranger.00"}, "stranger"),
    ],
)
def test_a_wrong_hello_is_rejected_and_the_frames_after_it_are_ignored(
    pair: LinkNetwork, changed: dict[str, object], reason: str
) -> None:
    """The host of the accepting member receives no message at all."""
    first, second = pair.members
    hello = msgspec.structs.replace(frames.HelloFrame("f", frames.PROTOCOL_VERSION, second.id, 2), **changed)
    with socket.create_connection(first.sock.getsockname()) as client:
        client.sendall(
            encode_frame(hello) + encode_frame(FIRST_FRAME) + encode_frame(frames.HeartbeatFrame(1, False))
        )
        pair.wait_until(lambda: first.reasons[reason])
        assert not first.messages


def test_a_member_that_answers_with_another_id_is_rejected(make_network: MakeNetwork) -> None:
    """The dialing side checks the id in the hello."""
    network = make_network()
    first_name, second_name = names_in_shards(1, 0, 0)
    first = network.add(first_name)
    second = network.add(second_name, hello=frames.HelloFrame("f", frames.PROTOCOL_VERSION, "other.00"))
    network.set_view(1)
    network.wait_until(lambda: first.reasons["not-who-was-called"])
    assert not first.messages_of(LinkUp) and not first.messages_of(FrameReceived)
    assert not second.established_links()


def test_an_incomplete_frame_is_ignored_when_the_link_ends(pair: LinkNetwork) -> None:
    """Neither an incomplete frame about a request nor an incomplete hello is handled."""
    first, second = pair.members
    hello = encode_frame(frames.HelloFrame("f", frames.PROTOCOL_VERSION, second.id, 2))
    with socket.create_connection(first.sock.getsockname()) as client:
        client.sendall(hello + encode_frame(FIRST_FRAME)[:-1])
        pair.wait_until(lambda: first.established_links())
        pair.advance(0.05)
        assert not first.request_frames()
    pair.wait_until(lambda: not first.established_links())
    assert not first.request_frames()
    with socket.create_connection(first.sock.getsockname()) as client:
        client.sendall(hello[:-1])
        pair.wait_until(lambda: first.reasons["no-greeting"])
    assert len(first.messages_of(LinkUp)) == 1


def test_on_an_idle_link_a_heartbeat_is_answered_at_once(
    connected_pair: LinkNetwork,
) -> None:
    """The heartbeats of both sides stay aligned, so each side sends about one per interval."""
    network = connected_pair
    first, second = network.members
    network.advance(timing.ACTIVE_PERIOD + 0.5)
    counts = Counter({member.id: len(member.messages_of(FrameReceived)) for member in network.members})
    network.advance(3 * timing.MIN_IDLE_HEARTBEAT_INTERVAL)
    for member in network.members:
        assert 2 <= len(member.messages_of(FrameReceived)) - counts[member.id] <= 4


@pytest.mark.parametrize(("count", "silent"), [(25, 14.4), (41, 24.0)])
def test_an_idle_shard_sends_a_few_heartbeats_a_second_whatever_its_size(
    make_network: MakeNetwork, count: int, silent: float
) -> None:
    """The interval grows with the number of links, so a hung member is noticed later.

    `silent`: seconds without a frame after which the link to it counts as lost.
    """
    network = make_network()
    for number in range(count):
        network.add(f"n{number:03d}")
    network.set_view(1)
    network.wait_until(lambda: all(len(member.links.links) == count - 1 for member in network.members))
    network.step_seconds = 0.02
    network.advance(20.0)
    before = [len(member.messages_of(FrameReceived)) for member in network.members]
    network.advance(40.0)
    for member, earlier in zip(network.members, before, strict=True):
        assert (
            len(member.messages_of(FrameReceived)) - earlier <= 1.1 * 40.0 * timing.IDLE_HEARTBEATS_PER_SECOND
        )
        assert len(member.links.links) == count - 1 and not member.messages_of(LinkDown)
    # All members notice a hung member within three intervals, as the documentation states.
    hung = network.members.pop()
    network.advance(silent - timing.MAX_IDLE_HEARTBEAT_INTERVAL)
    checked_at = network.clock()
    network.wait_until(
        lambda: all(hung.id not in member.established_links() for member in network.members), within=60.0
    )
    assert network.clock() - checked_at < timing.MAX_IDLE_HEARTBEAT_INTERVAL + 1.0
    network.members.append(hung)


def test_request_frames_do_not_replace_heartbeats_where_a_policy_status_is_needed(
    connected_pair: LinkNetwork,
) -> None:
    """Heartbeats continue while frames about requests are sent."""
    network = connected_pair
    first, second = network.members
    link, heartbeats = first.links.links[second.id], []
    for _ in range(40):
        link.post(POLICY_STATUS_NEEDED)
        link.post(SendFrame(encode_frame(FIRST_FRAME)))
        network.advance(timing.HEARTBEAT_INTERVAL / 2)
        heartbeats.append(len(second.messages_of(FrameReceived)) - len(second.request_frames()))
    assert heartbeats[-1] >= 40 // 2 - 2
