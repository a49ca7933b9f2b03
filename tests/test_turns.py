"""Input in very many small pieces: one connection handles a part of it in a turn, so that others go on."""

from collections.abc import Callable

import pytest
from conftest import SETTINGS, SidecarHarness

from starlingwheel.net.http import stream
from starlingwheel.net.http.stream import MAX_EVENTS_PER_TURN
from starlingwheel.net.state.buffers import MAX_BUFFERED_BODY

SHORT, LONG = 20_000, MAX_BUFFERED_BODY + 20_000  # bytes, each in a chunk of its own
# An actor may run twice in a turn: for its messages, and for its timer.
MAX_EVENTS = 2 * (MAX_EVENTS_PER_TURN + 2)


@pytest.fixture
def harness(make_harness: Callable[..., SidecarHarness]) -> SidecarHarness:
    """Return a harness without health checks and hedges."""
    return make_harness(settings={"caps": SETTINGS["caps"] | {"probing": False, "mayDuplicate": False}})


@pytest.fixture
def events_by_turn(harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return the numbers of events that a connection has handled in each turn of the loop."""
    counts = [0]
    original = stream.Stream.next_event

    def next_event(self: stream.Stream) -> object:
        counts[-1] += 1
        return original(self)

    def next_turn() -> None:
        counts.append(0)
        harness.context.log.flush()

    monkeypatch.setattr(stream.Stream, "next_event", next_event)
    harness.context.loop.after_turn = next_turn
    return counts


def in_chunks_of_one_byte(length: int) -> bytes:
    """Return a body of zeros."""
    return b"1\r\n0\r\n" * length + b"0\r\n\r\n"


def send_all(harness: SidecarHarness, sock: object, data: bytes) -> None:
    """Write data while the loop runs."""
    sock.settimeout(0)
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[sock.send(rest) :]
        except BlockingIOError:
            harness.context.loop.run_once(0)


@pytest.mark.parametrize("length", [SHORT, LONG])
def test_a_request_in_chunks_of_one_byte_is_handled_in_many_turns(
    harness: SidecarHarness, events_by_turn: list[int], length: int
) -> None:
    """All of a read was handled in one turn: 64 KiB, 10,900 chunks, some 0.1 s."""
    client = harness.connect_client()
    client.sendall(harness.request_bytes("buy", transfer_encoding="chunked"))
    send_all(harness, client, in_chunks_of_one_byte(length))
    upstream = harness.accept()
    assert harness.read_request(upstream)[1] == b"0" * length
    harness.send_response(upstream)
    assert harness.read_status(client) == 200
    assert max(events_by_turn) <= MAX_EVENTS and harness.context.loop.turns_cut_short


@pytest.mark.parametrize("length", [SHORT, LONG])
def test_a_response_in_chunks_of_one_byte_is_handled_in_many_turns(
    harness: SidecarHarness, events_by_turn: list[int], length: int
) -> None:
    """The endpoint's side, too."""
    client = harness.send_request("buy")
    upstream = harness.accept()
    harness.read_request(upstream)
    upstream.sendall(b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n")
    send_all(harness, upstream, in_chunks_of_one_byte(length))
    assert harness.read_message(client)[1] == b"0" * length
    assert max(events_by_turn) <= MAX_EVENTS and harness.context.loop.turns_cut_short


def test_a_client_that_leaves_between_two_turns_is_noticed(
    harness: SidecarHarness, events_by_turn: list[int]
) -> None:
    """What it had sent before is not forwarded."""
    client = harness.connect_client()
    client.sendall(harness.request_bytes("buy", transfer_encoding="chunked"))
    send_all(harness, client, in_chunks_of_one_byte(SHORT)[:-5])
    client.close()
    harness.wait_until(lambda: not harness.context.connections.clients)
    harness.assert_no_connection()
