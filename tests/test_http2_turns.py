"""An HTTP/2 endpoint that sends in very small frames holds up the rest of the process for a bounded time."""

from collections.abc import Callable

import pytest
from conftest import SidecarHarness, request_class_settings
from test_streams import HTTP2_SETTINGS, Http2Upstream

from starlingwheel.net.http import http2
from starlingwheel.net.http.stream import MAX_EVENTS_PER_TURN

FRAMES = 20_000  # of a byte each


@pytest.mark.parametrize("length", [None, FRAMES])
def test_a_response_in_frames_of_one_byte_is_handled_in_many_turns(
    make_harness: Callable[..., SidecarHarness], monkeypatch: pytest.MonkeyPatch, length: int | None
) -> None:
    """A read of 64 KiB held 6,500 of them, all of which were handled in one turn."""
    caps = HTTP2_SETTINGS["caps"] | {"probing": False, "mayDuplicate": False}
    settings = HTTP2_SETTINGS | {"caps": caps, "categories": request_class_settings(4_000_000)}
    harness = make_harness(settings=settings)
    harness.push_snapshot()
    client = harness.send_request("buy", x_expires_in_ms="7900")
    upstream = Http2Upstream(harness)
    (stream,) = upstream.wait_for_requests(1)
    counts = [0]
    original = http2.Http2Connection._handle_connection_event  # noqa: SLF001

    def count(self: http2.Http2Connection, event: object) -> None:
        counts[-1] += 1
        original(self, event)

    monkeypatch.setattr(http2.Http2Connection, "_handle_connection_event", count)
    harness.context.loop.after_turn = lambda: counts.append(0)
    fields = [] if length is None else [("content-length", str(length))]
    upstream.http.send_headers(stream, [(":status", "200"), *fields])
    for _ in range(FRAMES):
        upstream.http.send_data(stream, b"x")
    upstream.http.end_stream(stream)
    upstream.sock.settimeout(5)
    rest = memoryview(upstream.http.data_to_send())
    while rest:
        upstream.sock.settimeout(0)
        try:
            rest = rest[upstream.sock.send(rest) :]
        except BlockingIOError:
            harness.context.loop.run_once(0.001)
    assert len(harness.read_message(client)[1]) == FRAMES
    assert max(counts) <= 2 * MAX_EVENTS_PER_TURN
    assert harness.context.loop.turns_cut_short > FRAMES / MAX_EVENTS_PER_TURN / 2
