"""Verdicts: promises checked by what endpoints and clients recorded, never by what a sidecar says."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from fakes.clients import ClientRequest
from fakes.upstream import Run

NON_IDEMPOTENT, WITH_KEY = {"buy"}, {"move"}  # categories
DEDUPLICATION_WINDOW = 2.0  # seconds in which endpoints drop repeats of requests with a key


@dataclass
class TrialResult:
    """Counts of one trial, and each promise that was broken, with the history of its request."""

    counts: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """No promise was broken."""
        return not self.violations


def history(work: ClientRequest, runs: list[Run], start: float) -> str:
    """Return what became of a request at all processes, in the order of time."""
    steps = [(t.started_at, f"client asks {t.sidecar} ({t.trace_id})") for t in work.attempts]
    steps += [
        (t.ended_at, f"{t.sidecar} answers {t.outcome} ({t.trace_id})")
        for t in work.attempts
        if t.outcome != "open"
    ]
    steps += [(r.started_at, f"runs at {r.upstream}, from {r.sidecar} ({r.trace_id})") for r in runs]
    return "; ".join(f"{at - start:.3f} {step}" for at, step in sorted(steps))


def check_requests(works: list[ClientRequest], runs: list[Run], start: float = 0.0) -> TrialResult:
    """Check the promise that each request runs once, over all processes."""
    result = TrialResult()
    runs_by_request: dict[str, list[Run]] = {}
    for run in runs:
        runs_by_request.setdefault(run.request_id, []).append(run)
    ends: Counter[str] = Counter()
    for work in works:
        its_runs = runs_by_request.get(work.request_id, [])
        _count_end(ends, work, its_runs)
        result.violations += [
            f"{broken}: {history(work, its_runs, start)}" for broken in _broken_promises(work, its_runs)
        ]
    result.counts = {"work": len(works), "runs": len(runs), **dict(sorted(ends.items()))}
    return result


def _count_end(ends: Counter[str], work: ClientRequest, runs: list[Run]) -> None:
    answers = work.statuses
    if work.succeeded:
        ends["finished"] += 1
    elif answers:
        ends["written off" if answers[-1] == "504" else f"ended {answers[-1]}"] += 1
    else:
        ends["no answer"] += 1
    retried = len(work.attempts) > 1 + bool(work.duplicate_sidecar)
    ends["came again"] += retried
    ends["finished after coming again"] += retried and work.succeeded
    if work.request_class in NON_IDEMPOTENT and len(runs) > 1:
        ends["ran twice"] += 1
    if work.succeeded and not runs:
        ends["finished, never ran"] += 1


def _broken_promises(work: ClientRequest, runs: list[Run]) -> Iterator[str]:
    if work.request_class in NON_IDEMPOTENT and len(runs) > 1:
        yield f"once: {work.request_id} ran {len(runs)} times"
    last_answer = work.statuses[-1:] if not work.duplicate_sidecar else []
    if work.succeeded and last_answer == ["503"]:
        yield f"contradicted: {work.request_id}"
    if (
        work.request_class in WITH_KEY
        and runs
        and runs[-1].started_at > runs[0].started_at + DEDUPLICATION_WINDOW
    ):
        yield f"ticketed: {work.request_id} ran too late"
    for one in work.attempts:
        if one.outcome == "200" and not one.body.startswith(f"{work.request_id} by ".encode()):
            yield f"another's answer: {work.request_id}: {one.body!r}"
    if work.succeeded and not runs:
        yield f"no such answer: {work.request_id}"
