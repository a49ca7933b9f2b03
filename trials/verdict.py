"""Results of trials: guarantees checked by the records of endpoints and clients, not by sidecars' reports."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

from fakes.clients import ClientRequest
from fakes.upstream import Run

NON_IDEMPOTENT, WITH_KEY = {"buy"}, {"move"}  # categories
DEDUPLICATION_WINDOW = 2.0  # seconds in which endpoints drop repeats of a request with a key


@dataclass
class TrialResult:
    """The counts of one trial, and each violation of a guarantee with the history of its request."""

    counts: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether no guarantee was violated."""
        return not self.violations


def history(request: ClientRequest, runs: list[Run], start: float) -> str:
    """Return the attempts, responses and runs of a request at all processes, in order of time."""
    steps = [
        (attempt.started_at, f"client sends to {attempt.sidecar} ({attempt.trace_id})")
        for attempt in request.attempts
    ]
    steps += [
        (attempt.ended_at, f"{attempt.sidecar} answers {attempt.outcome} ({attempt.trace_id})")
        for attempt in request.attempts
        if attempt.outcome != "open"
    ]
    steps += [
        (run.started_at, f"runs at {run.upstream}, from {run.sidecar} ({run.trace_id})") for run in runs
    ]
    return "; ".join(f"{at - start:.3f} {step}" for at, step in sorted(steps))


def check_requests(requests: list[ClientRequest], runs: list[Run], start: float = 0.0) -> TrialResult:
    """Check the runs of all requests at all upstreams, and the responses that clients received.

    A non-idempotent request runs at most once, and a request with a key does not run again after the
    deduplication window. Each successful response belongs to its request and to a run of that request, and
    no 503 follows it. `start`: the time on the loop's clock from which the times in the messages count.
    """
    result = TrialResult()
    runs_by_request: dict[str, list[Run]] = {}
    for run in runs:
        runs_by_request.setdefault(run.request_id, []).append(run)
    outcomes: Counter[str] = Counter()
    for request in requests:
        request_runs = runs_by_request.get(request.request_id, [])
        _count_outcome(outcomes, request, request_runs)
        result.violations += [
            f"{violation}: {history(request, request_runs, start)}"
            for violation in _find_violations(request, request_runs)
        ]
    result.counts = {"work": len(requests), "runs": len(runs), **dict(sorted(outcomes.items()))}
    return result


def _count_outcome(outcomes: Counter[str], request: ClientRequest, runs: list[Run]) -> None:
    statuses = request.statuses
    if request.succeeded:
        outcomes["finished"] += 1
    elif statuses:
        outcomes["written off" if statuses[-1] == "504" else f"ended {statuses[-1]}"] += 1
    else:
        outcomes["no answer"] += 1
    retried = len(request.attempts) > 1 + bool(request.duplicate_sidecar)
    outcomes["came again"] += retried
    outcomes["finished after coming again"] += retried and request.succeeded
    if request.request_class in NON_IDEMPOTENT and len(runs) > 1:
        outcomes["ran twice"] += 1
    if request.succeeded and not runs:
        outcomes["finished, never ran"] += 1


def _find_violations(request: ClientRequest, runs: list[Run]) -> Iterator[str]:
    if request.request_class in NON_IDEMPOTENT and len(runs) > 1:
        yield f"not idempotent: {request.request_id} ran {len(runs)} times"
    last_status = request.statuses[-1:] if not request.duplicate_sidecar else []
    if request.succeeded and last_status == ["503"]:
        yield f"success followed by 503: {request.request_id}"
    if (
        request.request_class in WITH_KEY
        and runs
        and runs[-1].started_at > runs[0].started_at + DEDUPLICATION_WINDOW
    ):
        yield f"with a key: {request.request_id} ran again after the deduplication window"
    for attempt in request.attempts:
        if attempt.outcome == "200" and not attempt.body.startswith(f"{request.request_id} by ".encode()):
            yield f"response to another request: {request.request_id}: {attempt.body!r}"
    if request.succeeded and not runs:
        yield f"success without a run: {request.request_id}"
