"""Waiting for the socket of an exchange with an endpoint, until the exchange is over or cancelled."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, overload

from ..loop import SocketReady
from ..messages import CancelExchange, CommitRequired
from ..state.requests import Exchange
from .errors import CloseReason, ConnectionLostError

if TYPE_CHECKING:
    from ..actor import Coroutine


@overload
def next_socket_event(
    exchange: Exchange | None, deadline: float, on_timeout: CloseReason
) -> Coroutine[SocketReady]: ...


@overload
def next_socket_event(
    exchange: Exchange | None, deadline: float, on_timeout: CloseReason, pause_at: float
) -> Coroutine[SocketReady | None]: ...


def next_socket_event(
    exchange: Exchange | None, deadline: float, on_timeout: CloseReason, pause_at: float = inf
) -> Coroutine[SocketReady | None]:
    """Return the next event of the socket, or None at `pause_at` or when the response has to be passed on.

    Raises `ConnectionLostError` when the exchange is cancelled, and with the reason `on_timeout` at the
    deadline.
    """
    while True:
        message = yield min(deadline, pause_at)
        if message is None and pause_at < deadline:
            return None
        if message is None:
            raise ConnectionLostError(on_timeout)
        if isinstance(message, SocketReady):
            return message
        if isinstance(message, CancelExchange) and message.exchange is exchange:
            raise ConnectionLostError(CloseReason.CANCELLED)
        if isinstance(message, CommitRequired) and pause_at < inf:
            return None


def next_exchange_event(exchange: Exchange) -> Coroutine[SocketReady]:
    """Return the next event of the socket before the exchange's deadline, which may move meanwhile.

    Raises `ConnectionLostError` as `next_socket_event` does.
    """
    while True:
        deadline = exchange.deadline
        try:
            return (yield from next_socket_event(exchange, deadline, CloseReason.OVERDUE))
        except ConnectionLostError as error:
            if error.reason is not CloseReason.OVERDUE or exchange.deadline <= deadline:
                raise
