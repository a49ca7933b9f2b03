"""Late second responses of endpoints: each client has to get the response to its own request.

A second response that was sent before the next request had reached the endpoint arrives after that request
was written, if endpoint and sidecar are some milliseconds apart.
"""

import contextlib
import socket
from collections.abc import Callable, Iterator
from types import SimpleNamespace
from typing import Any

import pytest
from conftest import SETTINGS, SidecarHarness, request_class_settings
from decision_host import LOOK
from test_endings import events_delayed

from starlingwheel.net.http import response_attribution
from starlingwheel.net.http.errors import CloseReason, ConnectionLostError
from starlingwheel.net.http.response_attribution import (
    COMPARED_PREFIX,
    MAX_COPY_DELAY,
    MAX_REST,
    MAX_UNRESTED_RESPONSES,
    MIN_REST,
    SEEN_DELAY_FACTOR,
    RequiredRest,
    ResponseAttribution,
)
from starlingwheel.net.loop import READ
from starlingwheel.net.state.response_variety import MIN_DIFFERENT, ResponseContent, ResponseVariety

PAUSE = 0.05  # seconds that a response takes
EXPIRES = "3900"  # milliseconds that a client waits


def response(body: bytes, framing: str = "length", date: str = "a") -> bytes:
    """Return a response with a body in one of two framings."""
    head = f"HTTP/1.1 200 x\r\nDate: {date}\r\n"
    if framing == "length":
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
    if framing == "chunked":
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        return f"{head}Transfer-Encoding: chunked\r\n\r\n".encode() + chunk + b"0\r\n\r\n"
    raise ValueError(framing)


def send_all(harness: SidecarHarness, sock: socket.socket, data: bytes) -> None:
    """Write all of `data` while the loop runs; stops if the sidecar closes the connection."""
    sock.settimeout(0)
    rest = memoryview(data)
    with contextlib.suppress(ConnectionError):
        while rest:
            with contextlib.suppress(BlockingIOError):
                rest = rest[sock.send(rest) :]
            harness.run_for(0.001)


def note_varied_responses(harness: SidecarHarness, category: str) -> None:
    """Make the class known as one whose responses differ, so that content may prove an attribution."""
    for number in range(MIN_DIFFERENT):
        harness.context.response_variety.add(category, ResponseContent(200, number, b""))


@pytest.fixture
def patient_harness(make_harness: Callable[..., SidecarHarness]) -> SidecarHarness:
    """Return a harness without health checks, whose requests are neither late nor hedged within a test."""
    caps = SETTINGS["caps"] | {"connectTimeout": 2_000_000, "probing": False, "mayDuplicate": False}
    return make_harness(settings={"caps": caps, "categories": request_class_settings(4_000_000)})


@pytest.fixture
def restless_harness(
    patient_harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch
) -> Iterator[SidecarHarness]:
    """Return such a harness in which no connection rests enough: content alone proves an attribution."""
    monkeypatch.setattr(response_attribution, "MIN_REST", 60.0)
    monkeypatch.setattr(response_attribution, "MAX_REST", 60.0)
    for category in ("look", "move", "buy"):
        note_varied_responses(patient_harness, category)
    yield patient_harness


def answer_first_request(harness: SidecarHarness, category: str, answer: bytes) -> Any:  # noqa: ANN401
    """Send a request, let its response take a while, and wait until the connection may be reused.

    Return the client, the connection to the endpoint, and the body that the client got.
    """
    client = harness.connect_client()
    client.sendall(harness.request_bytes(category, x_expires_in_ms=EXPIRES))
    upstream = harness.accept()
    harness.read_request(upstream)
    harness.run_for(PAUSE)
    send_all(harness, upstream, answer)
    _, body = harness.read_message(client)
    harness.wait_until(harness.context.connections.longest_idle)
    harness.run_for(harness.context.shortest_objective / 40)
    return client, upstream, body


def end_reasons(harness: SidecarHarness) -> list[str]:
    """Return why connections to endpoints have ended so far."""
    return [line["reason"] for line in harness.log_lines("upstream.end")]


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("length", [0, 3, COMPARED_PREFIX + 1, 60_000, 200_000])
@pytest.mark.parametrize("category", ["look", "move", "buy"])
@pytest.mark.parametrize("delay", [0.0, 2 * PAUSE])
def test_a_second_response_that_crosses_the_next_request_is_not_taken_for_its_response(
    restless_harness: SidecarHarness, category: str, length: int, framing: str, delay: float
) -> None:
    """Sooner than the first response took, or later. The request may have run; there is no other endpoint."""
    harness, copied = restless_harness, b"1" * length
    client, upstream, body = answer_first_request(harness, category, response(copied, framing))
    assert body == copied
    client.sendall(
        harness.request_bytes(
            category,
            x_trace_id="t2",
            x_expires_in_ms=EXPIRES,
            idempotency_key="k2" if category == "move" else None,
        )
    )
    harness.read_request(upstream)
    harness.run_for(delay)
    send_all(harness, upstream, response(copied, framing, date="b"))
    head, body = harness.read_message(client)
    assert (head.status_code, body) == (504 if category == "buy" else 503, b"")
    assert end_reasons(harness) == ["repeated-answer"]
    assert harness.context.unsolicited_responses_until > harness.context.loop.now()


@pytest.mark.parametrize("together", [False, True])
def test_a_copy_is_not_accepted_when_the_loop_reads_it_late(
    restless_harness: SidecarHarness, together: bool
) -> None:
    """It may be read together with the response behind it."""
    harness = restless_harness
    client, upstream, _ = answer_first_request(harness, "look", response(b"one"))
    connection = harness.context.connections.longest_idle()
    client.sendall(harness.request_bytes(x_trace_id="t2", x_expires_in_ms=EXPIRES))
    harness.read_request(upstream)
    with events_delayed(harness, connection, READ):
        harness.send_response(upstream, body=b"one")
        harness.run_for(2 * PAUSE)
        if together:
            harness.send_response(upstream, body=b"two")
    assert harness.read_status(client) == 503
    assert end_reasons(harness) == ["repeated-answer"]


def test_a_copy_of_the_response_to_a_health_check_is_not_taken_for_that_of_a_request(
    make_harness: Callable[..., SidecarHarness],
) -> None:
    """A request follows its health check at once on the same connection."""
    caps = SETTINGS["caps"] | {"connectTimeout": 2_000_000, "peers": False, "mayDuplicate": False}
    harness = make_harness(settings={"caps": caps, "categories": request_class_settings(4_000_000)})
    note_varied_responses(harness, "look")
    client = harness.send_request(x_expires_in_ms=EXPIRES)
    upstream = harness.accept()
    assert harness.read_request(upstream)[0].target == b"/health"
    harness.run_for(PAUSE / 10)
    harness.send_response(upstream, body=b"healthy")
    assert harness.read_request(upstream)[0].target != b"/health"
    harness.run_for(PAUSE)
    harness.send_response(upstream, body=b"healthy")
    assert harness.read_status(client) == 503
    assert end_reasons(harness) == ["repeated-answer"]


@pytest.mark.parametrize("category", ["look", "buy"])
def test_equal_responses_of_a_sound_endpoint_are_accepted(
    patient_harness: SidecarHarness, category: str
) -> None:
    """Its connection is reused once it has rested, however quickly the response comes then."""
    harness = patient_harness
    client, upstream, _ = answer_first_request(harness, category, response(b"same"))
    for number in range(2, 2 + MIN_DIFFERENT):
        harness.wait_for_idle_connections()
        client.sendall(harness.request_bytes(category, x_trace_id=f"t{number}", x_expires_in_ms=EXPIRES))
        harness.read_request(upstream)
        harness.send_response(upstream, body=b"same")
        assert harness.read_message(client)[1] == b"same"
        harness.wait_until(harness.context.connections.longest_idle)
    assert not end_reasons(harness)


@pytest.mark.parametrize("varied", [False, True])
def test_a_connection_that_has_not_rested_is_reused_only_where_responses_differ(
    patient_harness: SidecarHarness, monkeypatch: pytest.MonkeyPatch, varied: bool
) -> None:
    """Equal responses of a sound endpoint would not be accepted on it."""
    harness = patient_harness
    monkeypatch.setattr(response_attribution, "MIN_REST", 60.0)
    client, upstream, _ = answer_first_request(harness, "look", response(b"same"))
    if varied:
        note_varied_responses(harness, "look")
    client.sendall(harness.request_bytes(x_trace_id="t2", x_expires_in_ms=EXPIRES))
    used = upstream if varied else harness.accept()
    harness.read_request(used)
    harness.send_response(used, body=b"other" if varied else b"same")
    assert harness.read_message(client)[1] == (b"other" if varied else b"same")
    assert not end_reasons(harness)


@pytest.mark.parametrize("known", [None, b"fine", b"healthy"])
def test_the_first_request_after_a_health_check_reuses_its_connection_if_its_response_will_differ(
    make_harness: Callable[..., SidecarHarness], monkeypatch: pytest.MonkeyPatch, known: bytes | None
) -> None:
    """One response of the class has to be known, and not to be that of the health check."""
    monkeypatch.setattr(response_attribution, "MIN_REST", 60.0)
    caps = SETTINGS["caps"] | {"connectTimeout": 2_000_000, "peers": False, "mayDuplicate": False}
    harness = make_harness(settings={"caps": caps, "categories": request_class_settings(4_000_000)})
    if known is not None:
        harness.context.response_variety.add("look", ResponseContent(200, len(known), known))
    client = harness.send_request(x_expires_in_ms=EXPIRES)
    upstream = harness.accept()
    assert harness.read_request(upstream)[0].target == b"/health"
    harness.send_response(upstream, body=b"healthy")
    used = upstream if known == b"fine" else harness.accept()
    assert harness.read_request(used)[0].target != b"/health"
    harness.send_response(used, body=known or b"fine")
    assert harness.read_status(client) == 200


@pytest.mark.parametrize("copies_come", [False, True])
def test_where_copies_come_a_connection_is_reused_later_by_content(
    restless_harness: SidecarHarness, copies_come: bool
) -> None:
    """Most copies come before, so that fewer attempts are lost."""
    harness = restless_harness
    answer_first_request(harness, "look", response(b"one"))
    connection = harness.context.connections.longest_idle()
    if copies_come:
        connection.required_rest.note_unsolicited(0.001, 0.0, forget_at=float("inf"))
    reuse_delay = MAX_COPY_DELAY if copies_come else harness.context.shortest_objective / 48
    exchange: Any = SimpleNamespace(pending=SimpleNamespace(request=SimpleNamespace(request_class=LOOK)))
    for share, reusable in ((0.9, False), (1.1, True)):
        connection.idle_since = harness.context.loop.now() - share * reuse_delay
        assert connection.is_provable_by_content(exchange) is reusable


class Check:
    """A `ResponseAttribution` whose clock the test sets."""

    def __init__(self) -> None:
        """Create the check of a connection whose first response was `one`."""
        self.now = 0.0
        self.context: Any = SimpleNamespace(
            loop=SimpleNamespace(now=lambda: self.now), response_variety=ResponseVariety()
        )
        self.required_rest = RequiredRest()
        self.attribution = ResponseAttribution(self.context, self.required_rest)
        assert self.accepts(0.0, b"one")

    def begin(self, rest: float) -> None:
        """Begin an exchange after a rest, in seconds."""
        self.now += rest
        request = SimpleNamespace(request_class=SimpleNamespace(name="look"))
        exchange: Any = SimpleNamespace(pending=SimpleNamespace(request=request))
        self.attribution.begin(exchange, self.now)

    def accepts(self, rest: float, body: bytes, duration: float = 1.0) -> bool:
        """Return whether a response after that rest is accepted, `duration` seconds after its request."""
        self.begin(rest)
        self.now += duration
        self.attribution.add_body(body)
        try:
            self.attribution.check(200, len(body))
        except ConnectionLostError as error:
            assert error.reason is CloseReason.RESPONSE_NOT_ATTRIBUTED
            return False
        self.attribution.accept(200)
        return True


@pytest.mark.parametrize("duration", [0.0, 0.001, 100.0])
@pytest.mark.parametrize(
    ("rest", "body", "accepted"),
    [
        (0.0, b"one", False),
        (MIN_REST * 0.99, b"one", False),
        (MIN_REST * 1.01, b"one", True),
        (0.0, b"two", True),
        (0.0, b"one, and more", True),
        (0.0, b"", True),
    ],
)
def test_a_response_counts_after_a_rest_or_if_it_differs_from_the_one_before(
    rest: float, body: bytes, accepted: bool, duration: float
) -> None:
    """How long it takes proves nothing: a passage may be slower than any before it."""
    assert Check().accepts(rest, body, duration) is accepted


@pytest.mark.parametrize(
    ("length", "body", "relayed"),
    [(None, b"on", False), (3, b"on", False), (None, b"", False), (4, b"on", True), (None, b"ox", True)],
)
def test_a_response_is_not_relayed_while_it_may_be_a_copy(
    length: int | None, body: bytes, relayed: bool
) -> None:
    """The response before was `one`; of this one `body` has arrived, and `length` is declared."""
    check = Check()
    check.begin(0.0)
    check.now += 1.0
    check.attribution.add_body(body)
    with contextlib.nullcontext() if relayed else pytest.raises(ConnectionLostError):
        check.attribution.check(200, length)


def test_a_response_without_a_rest_is_compared_with_each_one_since_the_last_rest() -> None:
    """Where requests take less time than copies are late, the copy of an earlier response may come last."""
    check = Check()
    assert check.accepts(0.0, b"two", duration=0.001) and check.accepts(0.0, b"three", duration=0.001)
    assert not check.accepts(0.0, b"one", duration=0.001)
    check = Check()
    assert check.accepts(0.0, b"two", duration=0.001) and check.accepts(MIN_REST, b"three")
    assert check.accepts(0.0, b"one")


def test_after_some_responses_without_a_rest_a_connection_has_to_rest() -> None:
    """The number of responses to compare with is limited."""
    check = Check()
    for number in range(MIN_DIFFERENT):
        check.context.response_variety.add("look", ResponseContent(200, number, b""))
    for number in range(MAX_UNRESTED_RESPONSES - 1):
        assert check.accepts(0.0, b"%d" % number, duration=0.0)
        assert check.attribution.is_provable_by_content("look") is (number < MAX_UNRESTED_RESPONSES - 2)
    check.begin(MIN_REST)
    assert check.attribution.is_provable_by_content("look")


def test_the_rest_becomes_longer_where_copies_were_seen_to_come_later() -> None:
    """Up to a limit, and for a time."""
    rest = RequiredRest()
    assert rest.seconds(0.0) == MIN_REST and not rest.copies_expected(0.0)
    rest.note_unsolicited(MIN_REST * 0.75, 1.0, forget_at=10.0)
    assert rest.seconds(2.0) == MIN_REST * 0.75 * SEEN_DELAY_FACTOR
    rest.note_unsolicited(MIN_REST / 10, 2.0, forget_at=10.0)
    assert rest.seconds(2.0) == MIN_REST * 0.75 * SEEN_DELAY_FACTOR
    rest.note_unsolicited(100.0, 3.0, forget_at=10.0)
    assert rest.seconds(9.0) == MAX_REST
    assert rest.copies_expected(9.0) and not rest.copies_expected(10.0)
    assert rest.seconds(10.0) == MIN_REST
    rest.note_unsolicited(MIN_REST / 10, 11.0, forget_at=20.0)
    assert rest.seconds(12.0) == MIN_REST


def test_a_class_has_varied_responses_after_enough_different_ones_in_a_row() -> None:
    """One that equals the one before, or can't be told from it, ends the row."""
    responses = ResponseVariety()
    for number in range(MIN_DIFFERENT):
        assert not responses.is_varied("look")
        responses.add("look", ResponseContent(200, 1, b"%d" % (number % 2)))
    assert responses.is_varied("look") and not responses.is_varied("buy")
    responses.add("look", ResponseContent(200, 1, b"%d" % (number % 2)))
    assert not responses.is_varied("look")
