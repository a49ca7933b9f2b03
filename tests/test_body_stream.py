"""A long body is sent to one endpoint only, from its first byte to its last."""

from collections.abc import Callable

import pytest
from conftest import SETTINGS, SidecarHarness
from test_gone_clients import connect_events_delayed

from starlingwheel.net.state.body_stream import BodyStream
from starlingwheel.net.state.buffers import MAX_BUFFERED_BODY, BufferedBody, BufferPool

HEDGE_DELAY = 0.03  # seconds
BODY = bytes(range(256)) * (MAX_BUFFERED_BODY // 256 + 20)  # a little too long to be buffered


@pytest.fixture
def harness(make_harness: Callable[..., SidecarHarness]) -> SidecarHarness:
    """Return a harness with two endpoints that hedges soon and waits long for connections."""
    caps = SETTINGS["caps"] | {"connectTimeout": 2_000_000, "probing": False}
    harness = make_harness(upstreams=2, settings={"caps": caps})
    harness.context.coordinator.scheduler.balancer.hedging.delay = lambda request: HEDGE_DELAY
    return harness


def request(harness: SidecarHarness, category: str, is_chunked: bool) -> bytes:
    """Return a request with the long body."""
    if not is_chunked:
        return harness.request_bytes(category, BODY)
    head = harness.request_bytes(category, transfer_encoding="chunked")
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)


@pytest.mark.parametrize("is_chunked", [True, False], ids=["chunked", "with a length"])
@pytest.mark.parametrize("category", ["move", "look"])
@pytest.mark.parametrize("hedge_succeeds", [True, False])
def test_an_attempt_that_connects_after_a_hedge_has_taken_the_body_is_not_sent(
    harness: SidecarHarness, category: str, is_chunked: bool, hedge_succeeds: bool
) -> None:
    """It was sent with the client's id and key and an empty body, or with an error in the connection."""
    client = harness.connect_client()
    with connect_events_delayed(harness, limit=1):
        client.sendall(request(harness, category, is_chunked))
        i, late = harness.wait_until(harness.accept_any)
        hedge = harness.accept(1 - i)
        assert harness.read_request(hedge)[1] == BODY
    harness.run_for(2 * HEDGE_DELAY)
    assert harness.read(late) in (None, b"end")
    if hedge_succeeds:
        harness.send_response(hedge)
    else:
        harness.reset(hedge)
    assert harness.read_status(client) == (200 if hedge_succeeds else 503)
    harness.run_for(HEDGE_DELAY)
    assert harness.read(late) in (None, b"end")
    assert not harness.log_lines("defect") and harness.context.gate.violations == 0


def test_after_an_attempt_that_took_nothing_of_the_body_the_next_one_sends_all_of_it(
    harness: SidecarHarness,
) -> None:
    """A connection that breaks before the first byte leaves the body whole."""
    client = harness.connect_client()
    with connect_events_delayed(harness, limit=1):
        client.sendall(request(harness, "buy", is_chunked=True))
        i, late = harness.wait_until(harness.accept_any)
        harness.reset(late)
    upstream = harness.accept(1 - i)
    assert harness.read_request(upstream)[1] == BODY
    harness.send_response(upstream)
    assert harness.read_status(client) == 200


class Reader:
    """One end of a body stream; ignores its messages."""

    def post(self, message: object) -> None:
        """Ignore a message."""


def test_the_first_reader_that_takes_bytes_is_the_only_one() -> None:
    """Until then another reader may claim the stream; nobody can once its buffers are released."""
    pool, first, second = BufferPool(8), Reader(), Reader()
    received = BufferedBody(pool)
    received.add(b"some")
    body = BodyStream(pool, Reader(), None, received)
    assert body.claim(first, first) and body.claim(second, second) and body.claim(first, first)
    body.take().release()
    assert body.claim(first, first) and not body.claim(second, second)
    assert body.sink is first and not body.is_whole_for(second)
    body.end()
    assert body.is_consumed
    body.release()
    assert not body.claim(first, first)


def test_a_body_that_was_released_before_it_was_taken_is_not_consumed() -> None:
    """Its end would otherwise be written without its bytes."""
    pool = BufferPool(8)
    received = BufferedBody(pool)
    received.add(b"some")
    body = BodyStream(pool, Reader(), None, received)
    body.end()
    body.release()
    assert not body.is_consumed
