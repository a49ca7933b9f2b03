"""Writes the due transactions of the policy, the zones and the shards to the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ....fleet.records import Transaction
from ...actor import Coroutine
from ...loop import SocketReady
from ..messages import WriteTransaction
from .session import CALL_TIMEOUT_FRACTION, EtcdSession

RETRY_FRACTION = CALL_TIMEOUT_FRACTION / 4  # of the lease: the time from a write until `due` is called again


class StateWriter(EtcdSession):
    """Writes due transactions, and those of operators."""

    def __init__(
        self,
        *session: Any,  # noqa: ANN401
        due: Callable[[], Transaction | float],
        lease_id: Callable[[], str],
    ) -> None:
        """`session`: arguments of `EtcdSession`.

        `due` returns a transaction to be written now, or when to call it again. `lease_id` returns the id of
        our lease.
        """
        super().__init__(*session)
        self.due = due
        self.lease_id = lease_id

    def run_until_failure(self) -> Coroutine[None]:
        """Write each transaction when it is due or requested."""
        next_at = 0.0
        while True:
            due = self.due() if self.loop.now() >= next_at else next_at
            if isinstance(due, Transaction):
                yield from self._write_due(due)
                # The watch reports the change; if it does not, the transaction is due again later.
                next_at = self.loop.now() + self.lease * RETRY_FRACTION
                continue
            message = yield due
            if isinstance(message, SocketReady):
                self.connection.close()
            elif isinstance(message, WriteTransaction):
                message.done = yield from self.commit(message.transaction)
            elif message is not None:
                next_at = 0.0  # new records may have made a transaction due

    def _write_due(self, transaction: Transaction) -> Coroutine[None]:
        done = yield from self.commit(transaction, self.lease_id() if transaction.leased else "")
        if not transaction.leased:
            self.log("arbiter.wrote", what=transaction.kind, done=done)
