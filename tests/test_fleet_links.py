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
    """Two members of different shards, each of which sees both."""
    network = make_network()
    for name in names_in_shards(2, 0, 1):
        network.add(name)
    network.set_view(2)
    network.advance(0.02)
    return network


@pytest.fixture
def connected_pair(make_network: MakeNetwork) -> LinkNetwork:
    """Two members of one shard, with a link."""
    network = make_network()
    for name in names_in_shards(1, 0, 0):
        network.add(name)
    network.set_view(1)
    one, other = network.members
    network.wait_until(lambda: connected(one, other))
    return network


def test_members_of_one_shard_are_linked_and_others_are_not(make_network: MakeNetwork) -> None:
    """A member of another shard is dialed only on demand."""
    network = make_network()
    for name in names_in_shards(2, 0, 0, 0, 1, 1):
        network.add(name)
    network.set_view(2)
    shards = [network.members[:3], network.members[3:]]
    network.wait_until(
        lambda: all(len(one.links.links) == len(shard) - 1 for shard in shards for one in shard)
    )
    network.advance(0.1)
    for shard in shards:
        for one in shard:
            assert set(one.established_links()) == {other.id for other in shard} - {one.id}


@pytest.mark.parametrize("dialer", [0, 1])
def test_a_member_of_either_shard_can_dial_one_of_the_other(pair: LinkNetwork, dialer: int) -> None:
    """A second request to dial has no effect."""
    one, other = pair.members[dialer], pair.members[1 - dialer]
    assert not one.links.links
    one.links.post(DialMember(other.id))
    pair.wait_until(lambda: other.id in one.established_links() and one.id in other.established_links())
    assert connected(one, other)
    one.links.post(DialMember(other.id))
    pair.advance(0.05)
    assert len(one.messages_of(LinkUp)) == 1 and not one.messages_of(MemberUnreachable)


def dial_simultaneously(
    make_network: MakeNetwork, seed: int, within: float = 8.0
) -> tuple[LinkNetwork, bool]:
    """Have both members dial at the same time. Return whether exactly one link remains, the same for both."""
    network = make_network(seed)
    for name in names_in_shards(2, 0, 1):
        network.add(name)
    one, other = network.members
    one.needs_link_to.add(other.id)
    other.needs_link_to.add(one.id)
    network.set_view(2)
    network.advance(0.005)
    one.links.post(DialMember(other.id))
    other.links.post(DialMember(one.id))
    try:
        network.wait_until(
            lambda: other.id in one.established_links() and one.id in other.established_links(), within
        )
    except AssertionError:
        return network, False
    network.advance(0.06)
    same = connected(one, other) and not (one.links.dialer.dialing or other.links.dialer.dialing)
    mine, theirs = set(one.established_links()), set(other.established_links())
    return network, same and mine == {other.id} and theirs == {one.id}


def test_of_two_simultaneous_dials_one_link_remains_the_same_for_both(make_network: MakeNetwork) -> None:
    """In many random orders of events, each host is informed of one link only."""
    rejected = 0
    for seed in range(40):
        network, same = dial_simultaneously(make_network, seed)
        assert same
        for one in network.members:
            assert len(one.messages_of(LinkUp)) == 1  # the host was informed of no other link
            assert (
                not one.messages_of(LinkDown)
                and not one.messages_of(MemberUnreachable)
                and not one.messages_of(EvictMember)
            )
        rejected += network.members[0].reasons["crossed"]
    assert rejected > 10


def test_without_the_check_of_dials_two_simultaneous_dials_end_each_other(
    make_network: MakeNetwork, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The test above is strict enough: it fails without the check."""
    monkeypatch.setattr(LinkManager, "_check_accepts_dial", lambda self, member: None)
    assert not all(
        dial_simultaneously(make_network, seed, within=timing.HANDSHAKE_TIMEOUT)[1] for seed in range(40)
    )


def test_a_link_that_neither_side_needs_closes_without_loss(pair: LinkNetwork) -> None:
    """The end of an idle link must not be taken for the end of the process, and must not leak a socket."""
    one, other = pair.members
    one.links.post(DialMember(other.id))
    pair.wait_until(lambda: connected(one, other))
    one.links.links[other.id].post(SendFrame(encode_frame(FIRST_FRAME)))
    pair.wait_until(lambda: other.request_frames())
    pair.wait_until(lambda: not one.established_links() and not other.established_links())
    for each in pair.members:
        assert each.reasons["at-rest"] == 1
        assert not each.messages_of(EvictMember) and not any(
            event == "member.gone" for event, _ in each.log_lines
        )
    pair.advance(0.1)
    assert (
        len(one.links.loop.actors_by_descriptor) == len(other.links.loop.actors_by_descriptor) == 1
    )  # their listening sockets


@pytest.mark.parametrize("needing", [0, 1])
def test_a_link_that_one_side_needs_stays_open(pair: LinkNetwork, needing: int) -> None:
    """The link closes once that side no longer needs it either."""
    one, other = pair.members
    pair.members[needing].needs_link_to.add(pair.members[1 - needing].id)
    one.links.post(DialMember(other.id))
    pair.wait_until(lambda: connected(one, other))
    pair.advance(timing.IDLE_LINK_TIMEOUT * 2)
    assert connected(one, other) and len(one.messages_of(LinkUp)) == 1
    pair.members[needing].needs_link_to.clear()
    pair.wait_until(lambda: not one.established_links() and not other.established_links())


def close_idle_as_request_begins(
    make_network: MakeNetwork, seed: int
) -> tuple[LinkNetwork, LinkedMember, LinkedMember]:
    """Begin a request on one side just as the other side closes the link as idle.

    Return the network, the member with the request and the member that closed the link.
    """
    network = make_network(seed)
    for name in names_in_shards(2, 0, 1):
        network.add(name)
    one, other = network.members
    network.set_view(2)
    network.advance(0.005)
    one.links.post(DialMember(other.id))
    network.wait_until(lambda: connected(one, other))
    link = one.links.links[other.id]
    theirs = other.links.links[one.id]
    link.post(SendFrame(encode_frame(FIRST_FRAME)))
    network.wait_until(lambda: other.request_frames() and theirs.activity.both_idle)
    last_used = min(theirs.activity.last_request_frame, link.activity.last_request_frame)
    while network.clock() < last_used + timing.IDLE_LINK_TIMEOUT - 0.1:
        network.step()
    # Only the other side's loop runs until it has closed the link.
    while other.links.links:
        other.loop.run_once(0)
        network.clock.time += STEP
    assert not link.end_reported
    one.needs_link_to.add(other.id)
    link.post(SendFrame(encode_frame(SECOND_FRAME)))
    return network, one, other


def test_a_request_that_begins_as_a_link_closes_opens_a_new_one_and_loses_nothing(
    make_network: MakeNetwork,
) -> None:
    """The frame that arrived after the close is sent again on the new link."""
    for seed in range(3):
        network, one, other = close_idle_as_request_begins(make_network, seed)
        network.wait_until(lambda one=one: one.messages_of(LinkDown))
        assert one.reasons["at-rest"] == 1 and other.request_frames() == [FIRST_FRAME]
        # The replicator does the same when a link ends that it needs.
        one.links.post(DialMember(other.id))
        network.wait_until(lambda one=one, other=other: other.id in one.established_links())
        one.established_links()[other.id].post(SendFrame(encode_frame(SECOND_FRAME)))
        network.wait_until(lambda other=other: other.request_frames() == [FIRST_FRAME, SECOND_FRAME])
        for each in network.members:
            assert not each.messages_of(EvictMember) and not each.messages_of(MemberUnreachable)


def test_links_to_former_peers_close_and_new_peers_are_dialed(make_network: MakeNetwork) -> None:
    """The number of shards changes from one to two and back."""
    network = make_network()
    for name in names_in_shards(2, 0, 0, 1, 1):
        network.add(name)
    network.set_view(1)
    network.wait_until(lambda: all(len(one.established_links()) == 3 for one in network.members))
    network.set_view(2)
    network.wait_until(lambda: all(len(one.established_links()) == 1 for one in network.members), within=30.0)
    a, b, c, d = network.members
    assert connected(a, b) and connected(c, d)
    assert all(one.reasons["at-rest"] == 2 for one in network.members)
    network.set_view(1)
    network.wait_until(lambda: all(len(one.established_links()) == 3 for one in network.members))
    assert not any(one.messages_of(EvictMember) for one in network.members)


def test_a_member_with_another_shard_count_is_rejected_and_dials_again(make_network: MakeNetwork) -> None:
    """Both members are linked once their views have the same number of shards."""
    network = make_network()
    for name in names_in_shards(4, 0, 0):
        network.add(name)
    one, other = network.members
    network.set_view(4, one)
    network.set_view(2, other)
    network.wait_until(lambda: one.reasons["other-cells"] and other.reasons["other-cells"])
    network.advance(0.2)
    assert (
        not one.messages_of(LinkUp) and not other.messages_of(LinkUp) and not one.messages_of(FrameReceived)
    )
    network.set_view(4, other)
    network.wait_until(lambda: connected(one, other))


def test_a_member_that_is_not_reached_in_time_is_reported_as_unreachable(pair: LinkNetwork) -> None:
    """A member that is not in the view is reported as well."""
    one, other = pair.members
    pair.set_view(4, other)
    one.links.post(DialMember(other.id))
    pair.wait_until(lambda: one.messages_of(MemberUnreachable))
    assert not one.links.dialer.needed_until and not one.links.dialer.attempts
    pair.advance(0.1)
    assert not one.links.dialer.dialing
    one.links.post(DialMember("nobody.00"))
    pair.wait_until(lambda: len(one.messages_of(MemberUnreachable)) == 2)


def test_a_process_that_has_ended_is_reported_at_once(pair: LinkNetwork) -> None:
    """A refused connection is reported without a timeout."""
    one, other = pair.members
    other.links.loop.unregister(other.sock.fileno())
    other.sock.close()
    pair.members.remove(other)
    one.links.post(DialMember(other.id))
    pair.wait_until(lambda: one.messages_of(MemberUnreachable), within=timing.HANDSHAKE_TIMEOUT / 2)
    other.loop.close()


def test_a_dial_replaces_a_link_that_only_one_side_has_lost(pair: LinkNetwork) -> None:
    """The first dial is rejected, but has the other side probe its link and notice that it has ended."""
    one, other = pair.members
    one.needs_link_to.add(other.id)
    other.needs_link_to.add(one.id)
    one.links.post(DialMember(other.id))
    pair.wait_until(lambda: connected(one, other))
    # The side of the greater id closes its link. The duplicate descriptor keeps the connection open, so that
    # the other side does not notice, as if the network had dropped the packets.
    their_link = other.links.links[one.id]
    duplicate = socket.socket(fileno=socket.dup(their_link.connection.sock.fileno()))
    their_link.post(CLOSE)
    pair.wait_until(lambda: other.messages_of(LinkDown))
    assert connected(one, other) is False and other.id in one.established_links()
    other.links.post(DialMember(one.id))
    pair.wait_until(lambda: one.reasons["crossed"])
    duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    duplicate.close()
    pair.wait_until(lambda: connected(one, other))
    assert not other.messages_of(MemberUnreachable)


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
    one, other = pair.members
    hello = msgspec.structs.replace(frames.HelloFrame("f", frames.PROTOCOL_VERSION, other.id, 2), **changed)
    with socket.create_connection(one.sock.getsockname()) as client:
        client.sendall(
            encode_frame(hello) + encode_frame(FIRST_FRAME) + encode_frame(frames.HeartbeatFrame(1, False))
        )
        pair.wait_until(lambda: one.reasons[reason])
        assert not one.messages


def test_a_member_that_answers_with_another_id_is_rejected(make_network: MakeNetwork) -> None:
    """The dialing side checks the id in the hello."""
    network = make_network()
    one_name, other_name = names_in_shards(1, 0, 0)
    one = network.add(one_name)
    other = network.add(other_name, hello=frames.HelloFrame("f", frames.PROTOCOL_VERSION, "other.00"))
    network.set_view(1)
    network.wait_until(lambda: one.reasons["not-who-was-called"])
    assert not one.messages_of(LinkUp) and not one.messages_of(FrameReceived)
    assert not other.established_links()


def test_an_incomplete_frame_is_ignored_when_the_link_ends(pair: LinkNetwork) -> None:
    """The same holds for an incomplete hello."""
    one, other = pair.members
    hello = encode_frame(frames.HelloFrame("f", frames.PROTOCOL_VERSION, other.id, 2))
    with socket.create_connection(one.sock.getsockname()) as client:
        client.sendall(hello + encode_frame(FIRST_FRAME)[:-1])
        pair.wait_until(lambda: one.established_links())
        pair.advance(0.05)
        assert not one.request_frames()
    pair.wait_until(lambda: not one.established_links())
    assert not one.request_frames()
    with socket.create_connection(one.sock.getsockname()) as client:
        client.sendall(hello[:-1])
        pair.wait_until(lambda: one.reasons["no-greeting"])
    assert len(one.messages_of(LinkUp)) == 1


def test_on_an_idle_link_a_heartbeat_is_answered_at_once(
    connected_pair: LinkNetwork,
) -> None:
    """The heartbeats of both sides stay aligned, so each side sends about one per interval."""
    network = connected_pair
    one, other = network.members
    network.advance(timing.ACTIVE_PERIOD + 0.5)
    counts = Counter({each.id: len(each.messages_of(FrameReceived)) for each in network.members})
    network.advance(3 * timing.MIN_IDLE_HEARTBEAT_INTERVAL)
    for each in network.members:
        assert 2 <= len(each.messages_of(FrameReceived)) - counts[each.id] <= 4


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
    network.wait_until(lambda: all(len(one.links.links) == count - 1 for one in network.members))
    network.step_seconds = 0.02
    network.advance(20.0)
    before = [len(one.messages_of(FrameReceived)) for one in network.members]
    network.advance(40.0)
    for one, earlier in zip(network.members, before, strict=True):
        assert len(one.messages_of(FrameReceived)) - earlier <= 1.1 * 40.0 * timing.IDLE_HEARTBEATS_PER_SECOND
        assert len(one.links.links) == count - 1 and not one.messages_of(LinkDown)
    # All members notice a hung member within three intervals, as the documentation states.
    hung = network.members.pop()
    network.advance(silent - timing.MAX_IDLE_HEARTBEAT_INTERVAL)
    checked_at = network.clock()
    network.wait_until(
        lambda: all(hung.id not in one.established_links() for one in network.members), within=60.0
    )
    assert network.clock() - checked_at < timing.MAX_IDLE_HEARTBEAT_INTERVAL + 1.0
    network.members.append(hung)


def test_request_frames_do_not_replace_heartbeats_where_a_policy_status_is_needed(
    connected_pair: LinkNetwork,
) -> None:
    """Heartbeats continue while frames about requests are sent."""
    network = connected_pair
    one, other = network.members
    link, heartbeats = one.links.links[other.id], []
    for _ in range(40):
        link.post(POLICY_STATUS_NEEDED)
        link.post(SendFrame(encode_frame(FIRST_FRAME)))
        network.advance(timing.HEARTBEAT_INTERVAL / 2)
        heartbeats.append(len(other.messages_of(FrameReceived)) - len(other.request_frames()))
    assert heartbeats[-1] >= 40 // 2 - 2
