"""Verdicts: promises counted from what upstreams and clients noted, never from what a sidecar says."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from fakes.clients import Work
from fakes.upstream import Run

EXCLUSIVE, TICKETED = {"buy"}, {"move"}
MEMORY = 2.0  # seconds for which upstreams drop repeats of ticketed work


@dataclass
class Verdict:
    """Counts of one trial, and each promise that was broken, with the work item's way."""

    counts: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        return not self.broken


def way(work: Work, runs: list[Run], start: float) -> str:
    """A work item's way through the processes, in the order of time."""
    steps = [(t.at, f"client asks {t.sidecar} ({t.trace})") for t in work.tries]
    steps += [(t.ended, f"{t.sidecar} answers {t.end} ({t.trace})") for t in work.tries if t.end != "open"]
    steps += [(r.at, f"runs at {r.upstream}, from {r.sidecar} ({r.trace})") for r in runs]
    return "; ".join(f"{at - start:.3f} {what}" for at, what in sorted(steps))


def judge(works: list[Work], runs: list[Run], start: float = 0.0) -> Verdict:
    """The promise *once*, over all processes."""
    verdict = Verdict()
    by_name: dict[str, list[Run]] = {}
    for run in runs:
        by_name.setdefault(run.name, []).append(run)
    ends: Counter[str] = Counter()
    for work in works:
        ran = by_name.get(work.name, [])
        answers = work.answers
        if work.finished:
            ends["finished"] += 1
        elif answers:
            ends["written off" if answers[-1] == "504" else f"ended {answers[-1]}"] += 1
        else:
            ends["no answer"] += 1
        ends["came again"] += len(work.tries) > 1 + bool(work.twin)
        ends["finished after coming again"] += len(work.tries) > 1 + bool(work.twin) and work.finished
        if work.category in EXCLUSIVE and len(ran) > 1:
            ends["ran twice"] += 1
            verdict.broken.append(f"once: {work.name} ran {len(ran)} times: {way(work, ran, start)}")
        last = work.answers[-1:] if not work.twin else []
        if work.finished and last and last[-1] == "503":
            verdict.broken.append(f"contradicted: {work.name}: {way(work, ran, start)}")
        if work.category in TICKETED and ran and ran[-1].at > ran[0].at + MEMORY:
            verdict.broken.append(f"ticketed: {work.name} ran too late: {way(work, ran, start)}")
        for one in work.tries:
            if one.end == "200" and not one.body.startswith(f"{work.name} by ".encode()):
                verdict.broken.append(f"another's answer: {work.name}: {one.body!r}: {way(work, ran, start)}")
        if work.finished and not ran:
            ends["finished, never ran"] += 1
            verdict.broken.append(f"no such answer: {work.name}: {way(work, ran, start)}")
    verdict.counts = {"work": len(works), "runs": len(runs), **dict(sorted(ends.items()))}
    return verdict
