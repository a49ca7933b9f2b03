"""Decides which of the failing zones should be left. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from math import inf

from .evidence import ZoneLoad
from .health import ELSEWHERE_FRACTION, FAILING_FRACTION, REPORTED_WINDOWS

MIN_FAILING_SCORE = 2  # evaluations in which a zone must fail, minus those in which it does not


class FailingZones:
    """Tracks which zones fail over several evaluations of the members' reports."""

    def __init__(self, regions: Mapping[str, str], window: float) -> None:
        """`regions`: the region by zone, if it has one. `window`: of the health tracker, seconds."""
        self.regions, self.window = dict(regions), window
        # By zone: the evaluations in which it failed, minus those in which it did not.
        self.scores: dict[str, int] = {}
        self.hold_off_until = -inf  # no zone is left before this time, seconds

    def zones_to_leave(
        self, agreed: Collection[str], planned: Collection[str], loads: Mapping[str, ZoneLoad], now: float
    ) -> list[str]:
        """Return the zones to leave, including the rest of a region in which most zones fail.

        `agreed`: zones that the members agree are failing; `planned`: zones that are already in the plan.
        """
        failing = self._persistently_failing(agreed, loads)
        if not failing:
            return []
        failing += self._other_zones_of_regions(failing, planned, loads)
        staying = [
            load.failing_fraction
            for name, load in loads.items()
            if name not in failing and name not in planned and load.failing_fraction < FAILING_FRACTION
        ]
        # A zone is left only if its traffic fails much less elsewhere: otherwise the failures would move.
        best = min(staying, default=inf)
        relieved = [name for name in failing if best <= ELSEWHERE_FRACTION * loads[name].failing_fraction]
        if not staying or not relieved:
            # After a fault of all zones has ended, the zone that recovers last must not be left needlessly.
            self.hold_off_until = now + 2 * REPORTED_WINDOWS * self.window
        return relieved if now >= self.hold_off_until else []

    def _persistently_failing(self, agreed: Collection[str], loads: Mapping[str, ZoneLoad]) -> list[str]:
        """Return the zones that fail in several evaluations, so that a short stall does not suffice."""
        scores = {name: self.scores.get(name, 0) + (1 if name in agreed else -1) for name in loads}
        self.scores = {name: min(score, MIN_FAILING_SCORE) for name, score in scores.items() if score > 0}
        return [name for name in agreed if self.scores[name] >= MIN_FAILING_SCORE]

    def _other_zones_of_regions(
        self, failing: Collection[str], planned: Collection[str], loads: Mapping[str, ZoneLoad]
    ) -> list[str]:
        """Return the other zones of regions in which more than half fail, if all others have failures too."""
        additional: list[str] = []
        for region in {self.regions[name] for name in failing if name in self.regions}:
            inside = [name for name in loads if self.regions.get(name) == region]
            failing_or_left = [name for name in inside if name in failing or name in planned]
            others = [
                name
                for name in inside
                if name not in failing_or_left and loads[name].failing_fraction >= FAILING_FRACTION
            ]
            all_affected = len(failing_or_left) + len(others) == len(inside)
            if 2 * len(failing_or_left) > len(inside) and all_affected:
                additional += others
        return additional
