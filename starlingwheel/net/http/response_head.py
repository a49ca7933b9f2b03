"""What the head of a response tells: the length of the body, and the outcome of the attempt."""

from __future__ import annotations

from collections.abc import Mapping

import h11

from ...decisions.model import AttemptOutcome
from ..state.body_stream import MAX_STREAMED_BODY
from ..state.buffers import MAX_BUFFERED_BODY
from ..state.requests import Exchange
from .errors import CloseReason, ConnectionLostError


def response_length(response: h11.Response) -> int | None:
    """Return the length of the body that a response declares, or None if it declares none.

    Raises `ConnectionLostError` for a body whose end can't be determined, or that is too long to be
    forwarded. A response whose body ends with the connection has to announce the end of the connection:
    otherwise its head may have been corrupted.
    """
    lengths = [value for name, value in response.headers if name == b"content-length"]
    chunked = any(name == b"transfer-encoding" for name, _ in response.headers)
    options = [value.lower() for name, value in response.headers if name == b"connection"]
    closes = b"close" in options or response.http_version == b"1.0"
    if len(lengths) + chunked != 1 and not (closes and not lengths and not chunked):
        raise ConnectionLostError(CloseReason.RESPONSE_LENGTH_UNKNOWN)
    if lengths and int(lengths[0]) > MAX_STREAMED_BODY:
        raise ConnectionLostError(CloseReason.RESPONSE_TOO_LONG)
    return int(lengths[0]) if lengths else None


def response_outcome(status: int, headers: Mapping[bytes, bytes]) -> AttemptOutcome:
    """Return the outcome of the attempt that got this response."""
    if status == 200:
        return AttemptOutcome.SUCCESS
    if status in (503, 504) and headers.get(b"x-never-ran") == b"1":
        return AttemptOutcome.REJECTED
    return AttemptOutcome.ERROR


def may_pass_on(exchange: Exchange, status: int, length: int | None) -> bool:
    """Return whether a response may be passed on while it arrives; `length` is that of its body, if known."""
    is_short = length is not None and length <= MAX_BUFFERED_BODY
    return exchange.pending is not None and status == 200 and not is_short
