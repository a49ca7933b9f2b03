"""The base class of the etcd clients: calls, transactions, and backoff after a failure."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

import msgspec

from ....fleet.records import MEMBERS_PREFIX, Condition, Transaction
from ...actor import Actor, Coroutine
from ...http.errors import ConnectionLostError
from ...loop import Loop
from ...state.buffers import BufferPool
from ..messages import RESTART_WATCH, EntryLost
from .errors import EntryLostError, EtcdError, EtcdFailure, EtcdUnavailableError
from .http_connection import EtcdConnection
from .messages import (
    TRANSACTION_PATH,
    Comparison,
    DeleteRequest,
    Operation,
    PutRequest,
    TransactionReply,
    TransactionRequest,
    decode_reply,
    encode_base64,
    prefix_end,
)

CALL_TIMEOUT_FRACTION = 1 / 3  # of the lease
MIN_BACKOFF = 0.05  # seconds before the first retry
MAX_BACKOFF = 1.0  # seconds at which the doubling ends

T = TypeVar("T")


class EtcdSession(Actor):
    """Base class of the clients of etcd: repeats `run_until_failure`, with a backoff in between.

    The backoff doubles until `record_success` is called. No request waits for a client: while etcd is
    unavailable, the fleet keeps operating under its last view.
    """

    daemon = True

    def __init__(
        self,
        loop: Loop,
        addresses: list[str],
        lease: float,
        pool: BufferPool,
        log: Callable[..., None],
        rng: random.Random,
        fleet: str,
    ) -> None:
        """`addresses`: of etcd's members. `lease`: seconds. `fleet`: its name, the root of all keys."""
        self.lease = lease
        self.log = log
        self.rng = rng
        self.fleet_prefix = f"/{fleet}/"
        self.members_prefix = f"{self.fleet_prefix}{MEMBERS_PREFIX}"
        self.connection = EtcdConnection(loop, self, addresses, pool, self.check_message)
        self.backoff = 0.0  # seconds; 0: the last call succeeded
        self.reasons: Counter[str] = Counter()
        super().__init__(loop)

    def run(self) -> Coroutine[None]:
        """Repeat `run_until_failure` forever."""
        while True:
            try:
                yield from self.run_until_failure()
            except (ConnectionLostError, EtcdError) as error:
                self._record_failure(str(error))
                retry_at = self.loop.now() + self.backoff * (0.5 + self.rng.random())
                while self.loop.now() < retry_at:
                    yield retry_at

    def run_until_failure(self) -> Coroutine[None]:
        """Do the client's work until a call raises `ConnectionLostError` or `EtcdError`."""
        raise NotImplementedError

    def check_message(self, message: object) -> None:
        """Raise `EtcdError` for a message that aborts the current call."""
        if isinstance(message, EntryLost):
            raise EntryLostError
        if message is RESTART_WATCH:
            raise EtcdUnavailableError(EtcdFailure.WATCH_QUIET)

    def record_success(self) -> None:
        """Reset the backoff after a successful call."""
        if self.backoff:
            self.log("arbiter.back", address=self.connection.address, actor=type(self).__name__)
        self.backoff = 0.0

    def _record_failure(self, reason: str) -> None:
        self.connection.close()
        self.reasons[reason] += 1
        if not self.backoff and reason != EtcdFailure.WATCH_QUIET:
            address, actor = self.connection.address, type(self).__name__
            self.log("arbiter.failed", reason=reason, address=address, actor=actor)
        self.connection.use_next_address()  # another etcd member may be available
        self.backoff = min(max(2 * self.backoff, MIN_BACKOFF), MAX_BACKOFF)

    def sleep_until(self, until: float) -> Coroutine[None]:
        """Wait until a time. Raises `EntryLostError` if our membership entry is lost meanwhile."""
        while self.loop.now() < until:
            message = yield until
            if isinstance(message, EntryLost):
                raise EntryLostError
            self.connection.close_if_readable(message)

    def call_deadline(self) -> float:
        """Return the deadline of a call that begins now."""
        return self.loop.now() + CALL_TIMEOUT_FRACTION * self.lease

    def call(self, path: str, body: msgspec.Struct, kind: type[T]) -> Coroutine[T]:
        """Send a call and return its reply as a struct of type `kind`."""
        data = yield from self.connection.call(path, body, self.call_deadline())
        return decode_reply(data, kind)

    def commit(self, transaction: Transaction, lease: str = "") -> Coroutine[bool]:
        """Send a transaction and return whether its conditions held.

        `lease`: id of the lease that the written entries are attached to; empty: none.
        """
        request = TransactionRequest(
            [self._comparison(condition) for condition in transaction.conditions],
            [self._put_operation(key, value, lease) for key, value in transaction.put]
            + [self._delete_operation(key) for key in transaction.delete],
        )
        reply = yield from self.call(TRANSACTION_PATH, request, TransactionReply)
        self.record_success()
        return reply.succeeded

    def _put_operation(self, key: str, value: bytes, lease: str) -> Operation:
        put = PutRequest(encode_base64(self.fleet_prefix + key), encode_base64(value), lease or None)
        return Operation(request_put=put)

    def _delete_operation(self, key: str) -> Operation:
        full_key = self.fleet_prefix + key
        delete = DeleteRequest(encode_base64(full_key))
        if key.endswith("/"):
            delete.range_end = encode_base64(prefix_end(full_key))
        return Operation(request_delete_range=delete)

    def _comparison(self, condition: Condition) -> Comparison:
        key = self.fleet_prefix + condition.key
        comparison = Comparison(encode_base64(key), condition.target, condition.result)
        if condition.target == "MOD":
            comparison.mod_revision = str(condition.value)
        else:
            comparison.create_revision = str(condition.value)
        if condition.prefix:
            comparison.range_end = encode_base64(prefix_end(key))
        return comparison
