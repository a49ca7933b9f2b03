"""Deletes the entries of members whose process has ended."""

from __future__ import annotations

from typing import Any

from ....fleet.membership import Member
from ....fleet.records import MEMBERS_PREFIX, Transaction, equal
from ...actor import Coroutine
from ..messages import EvictMember
from .session import MIN_BACKOFF, EtcdSession


class MemberEvictor(EtcdSession):
    """Evicts members, so that nobody has to wait for their leases to expire."""

    def __init__(self, *session: Any) -> None:  # noqa: ANN401
        """`session`: arguments of `EtcdSession`."""
        self.to_evict: dict[str, Member] = {}
        super().__init__(*session)

    def post(self, message: object) -> None:
        """Record a member to evict, even while another one is being evicted, and enqueue the message."""
        if isinstance(message, EvictMember):
            self.to_evict[message.member.id] = message.member
        super().post(message)

    def run_until_failure(self) -> Coroutine[None]:
        """Evict the recorded members, and wait for the next one."""
        while True:
            while self.to_evict:
                # All members notice the end of a process at the same time. Each waits for a random delay, and
                # the first one deletes the entry.
                yield from self.sleep_until(self.loop.now() + self.rng.random() * MIN_BACKOFF)
                yield from self._evict(self.to_evict.popitem()[1])
            self.connection.close_if_readable((yield None))

    def _evict(self, member: Member) -> Coroutine[None]:
        key = MEMBERS_PREFIX + member.id
        # Deletes only the entry that is known here: the member may have registered again.
        condition = equal(key, "CREATE", member.term)
        evicted = yield from self.commit(Transaction("strike", [condition], delete=[key]))
        if evicted:
            self.log("member.struck", member=member.id)
