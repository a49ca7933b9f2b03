"""The gate: the one place that decides whether an attempt may begin now, and that counts what it refused.

Decisions are made ahead of the first byte: a connection comes up, a queue empties, a keeper answers. So each
attempt, first, repeated or hedged, each probe and each request on a kept connection asks here in the last
instant, over HTTP/1.1 and HTTP/2 alike. Times are seconds on the loop's clock.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable
from math import inf
from typing import Any

from ..decisions.lease import HELD_UP, EndpointLease, LeaseState
from ..decisions.terms import Effect
from .memory.out import OUT, Out
from .memory.work import Errand, Job


class Refusal(enum.Enum):
    """Why an attempt may not begin."""

    MOVED = "moved"  # the endpoint drains, is gone, or another process is there in its place
    LEASE_EXPIRED = "lease-expired"  # the list may not be acted on any more
    ANSWERED = "answered"  # the request has its final answer
    TOO_LATE = "too-late"  # its time is over
    CLIENT_LEFT = "client-left"
    WINDOW_OVER = "window-over"  # repeats of what may have run are not dropped any more


class AttemptGate:
    """Asked before the first byte of whatever is sent to an endpoint."""

    def __init__(
        self, lease: EndpointLease, out: Out, now: Callable[[], float], log: Callable[..., None]
    ) -> None:
        self.lease, self.out, self.now, self.log = lease, out, now, log
        self.refused: Counter[Refusal] = Counter()
        self.late = 0  # first bytes that were written longer after the look than the lease allows for
        self.stale_rejections = 0  # requests rejected while the lease had expired
        self.violations = 0  # attempts and answers that the decisions asked for and that no rule allows
        self.last_state = LeaseState.FRESH

    def refusal(self, entry: Any, errand: Errand) -> Refusal | None:
        """Why nothing may be sent to this endpoint for this errand now; None: it may."""
        why = self._endpoint_refusal(entry) or self._repeat_refusal(errand) or self.unwanted(errand)
        if why is not None:
            self.refused[why] += 1
        else:
            errand.looked_at = self.now()
        return why

    def _endpoint_refusal(self, entry: Any) -> Refusal | None:
        """Guards against an attempt long after its endpoint was told to drain, by what was read of the list
        since it was chosen, and against a list that is too old to tell."""
        current = self.out.current(entry.id)
        if current is None or current.state == OUT:
            return Refusal.MOVED
        if (current.addr, current.started_ms) != (entry.addr, entry.started_ms):
            return Refusal.MOVED
        return Refusal.LEASE_EXPIRED if self.note_state() is LeaseState.EXPIRED else None

    def _repeat_refusal(self, errand: Errand) -> Refusal | None:
        """Guards against a repeat that was chosen within its window and begins after it: a connection came up
        late, or the process was held up."""
        job = errand.job
        if job is None or job.wi.category.effect is not Effect.TICKETED:
            return None
        others = (other.sent for other in job.errands.values() if other is not errand and other.written)
        first = min(job.risky_since, *others, inf)
        memory = job.wi.category.memory
        over = self.now() >= first + max(memory - HELD_UP, memory / 2)
        return Refusal.WINDOW_OVER if over else None

    def unwanted(self, errand: Errand) -> Refusal | None:
        """Why nothing more is to be sent for an errand, though no word of it has come; None: it is wanted.

        Guards against a late turn, in which a connection is up or has room before the end of a client, the
        final answer or a time-out has been dealt with; and against sending what may not be cancelled.
        """
        if errand.job is None:
            return None
        if not errand.job.owed:
            return Refusal.ANSWERED
        if self.now() >= errand.until:
            return Refusal.TOO_LATE
        return Refusal.CLIENT_LEFT if errand.job.client.has_left() else None

    def note_written(self, errand: Errand) -> None:
        """The first bytes have been written: counts those that were held up for too long on the way."""
        if errand.looked_at and self.now() - errand.looked_at > HELD_UP:
            self.late += 1
        errand.looked_at = 0.0

    def note_rejected(self) -> None:
        """A request is rejected: counts those that the lease is the reason for."""
        self.stale_rejections += self.note_state() is LeaseState.EXPIRED

    def note_state(self) -> LeaseState:
        """The lease's state now; logged where it has changed."""
        now = self.now()
        state = self.lease.state(now)
        if state is not self.last_state:
            self.last_state = state
            self.log("lease", state=state.value, ends_in_s=round(self.lease.ends_at - now, 3))
        return state

    # What is asked of the decisions once more: a fault there must not break a rule.

    def may_repeat(self, job: Job) -> bool:
        """Another attempt may begin: what can't be repeated has no attempt that may have run, or may yet."""
        return self._none_may_have_run(job, "a second attempt for what may have run")

    def may_reject(self, job: Job) -> bool:
        """The request may be refused as harmless."""
        return self._none_may_have_run(job, "refused as harmless, though it may have run")

    def _none_may_have_run(self, job: Job, otherwise: str) -> bool:
        """Of what can't be repeated; where one may, that is a violation, `otherwise` says of what."""
        if job.wi.category.effect is not Effect.EXCLUSIVE or not (job.may_have_run or job.errands):
            return True
        self.violations += 1
        trace = job.trace.decode("latin-1")
        self.log("gate.violation", what=otherwise, trace=trace, category=job.wi.category.name)
        return False
