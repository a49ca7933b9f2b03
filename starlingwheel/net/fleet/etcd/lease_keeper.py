"""Registers this member under a lease, and renews the lease."""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import Any

import msgspec

from ....fleet.membership import Member
from ....fleet.records import NAMES_PREFIX
from ...actor import Coroutine
from ...http.errors import ConnectionLostError
from ..messages import LeaseRenewed
from .errors import EntryLostError, EtcdError, EtcdFailure, UnusableReplyError
from .messages import (
    LEASE_GRANT_PATH,
    LEASE_KEEPALIVE_PATH,
    TRANSACTION_PATH,
    Comparison,
    KeepAliveReply,
    KeepAliveRequest,
    LeaseGranted,
    LeaseGrantRequest,
    Operation,
    PutRequest,
    TransactionReply,
    TransactionRequest,
    encode_base64,
    parse_number,
)
from .session import MIN_BACKOFF, EtcdSession

RENEWAL_FRACTION = 1 / 3  # of the lease


class LeaseKeeper(EtcdSession):
    """Keeps a lease and, attached to it, our membership entry."""

    def __init__(self, *session: Any, member: Member, notify: Callable[[object], None]) -> None:  # noqa: ANN401
        """`session`: arguments of `EtcdSession`. `notify` gets a `LeaseRenewed` for each renewal."""
        super().__init__(*session)
        self.member = member
        self.notify = notify
        self.lease_id = ""

    def run_until_failure(self) -> Coroutine[None]:
        """Register, then renew the lease until it is lost."""
        granted_at = self.loop.now()
        request = LeaseGrantRequest(str(int(self.lease)))
        granted = yield from self.call(LEASE_GRANT_PATH, request, LeaseGranted)
        seconds = parse_number(granted.TTL)
        revision = yield from self._register(granted.ID)
        self.lease_id = granted.ID
        self.log("arbiter.entered", member=self.member.id, lease_s=seconds)
        while True:
            self.notify(LeaseRenewed(granted_at + seconds, revision))
            self.record_success()
            yield from self.sleep_until(granted_at + RENEWAL_FRACTION * seconds)
            granted_at, seconds = yield from self._renew(granted_at + seconds)
            if not seconds:
                self.notify(LeaseRenewed(-inf, 0))
                raise UnusableReplyError(EtcdFailure.LEASE_ENDED)

    def _register(self, lease_id: str) -> Coroutine[int]:
        """Write our membership entry, and our name if it is new; return the revision of the write."""
        entry = PutRequest(
            encode_base64(self.members_prefix + self.member.id),
            encode_base64(msgspec.json.encode(self.member)),
            lease_id,
        )
        # The name outlives the entry: a majority is counted among all registered names.
        name = PutRequest(
            encode_base64(f"{self.fleet_prefix}{NAMES_PREFIX}{self.member.name}"), encode_base64(b"1")
        )
        name_is_new = Comparison(name.key, "CREATE", "EQUAL", create_revision="0")
        put_entry, put_name = Operation(request_put=entry), Operation(request_put=name)
        request = TransactionRequest([name_is_new], [put_name, put_entry], [put_entry])
        reply = yield from self.call(TRANSACTION_PATH, request, TransactionReply)
        return parse_number(reply.header.revision)

    def _renew(self, expires_at: float) -> Coroutine[tuple[float, int]]:
        """Renew the lease; return when the successful call began, and the lease's seconds from then on.

        The lease may still be valid after a failed call, so the call is repeated until the lease expires.
        """
        request = KeepAliveRequest(self.lease_id)
        while True:
            called_at = self.loop.now()
            try:
                reply = yield from self.call(LEASE_KEEPALIVE_PATH, request, KeepAliveReply)
                break
            except EntryLostError:
                self.connection.close()
                raise
            except (ConnectionLostError, EtcdError) as error:
                self.connection.close()
                if self.loop.now() >= expires_at:
                    raise
                self.reasons[str(error)] += 1
                self.connection.use_next_address()
                yield from self.sleep_until(self.loop.now() + MIN_BACKOFF)
        return called_at, parse_number(reply.result.TTL)
