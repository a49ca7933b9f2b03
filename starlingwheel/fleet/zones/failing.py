"""Which of the failing zones are worth leaving. No I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from math import inf

from .evidence import ZoneLoad
from .health import ELSEWHERE_FRACTION, FAILING_FRACTION, REPORTED_WINDOWS

AGREEING_EVALUATIONS = 2  # net evaluations in which a zone fails, before it is left


class FailingZones:
    """Zones that fail, over several evaluations of the members' reports."""

    def __init__(self, regions: Mapping[str, str], window: float) -> None:
        """`regions`: of each zone that lies in one. `window`: of the health tracker, seconds."""
        self.regions, self.window = dict(regions), window
        self.scores: dict[str, int] = {}  # evaluations in which a zone failed, less those in which not
        self.stay_until = -inf  # until then no zone is left, seconds

    def worth_leaving(
        self, agreed: Collection[str], planned: Collection[str], loads: Mapping[str, ZoneLoad], now: float
    ) -> list[str]:
        """The zones to leave, with the rest of their regions where most of these fail.

        `agreed`: zones that fail in this evaluation; `planned`: zones that the plan has already.
        """
        failing = self._persistent(agreed, loads)
        if not failing:
            return []
        failing += self._rest_of_regions(failing, planned, loads)
        staying = [
            load.failing_fraction
            for name, load in loads.items()
            if name not in failing and name not in planned and load.failing_fraction < FAILING_FRACTION
        ]
        # Leaves a zone only where its traffic does much better elsewhere: else the failures would just move.
        best = min(staying, default=inf)
        relieved = [name for name in failing if best <= ELSEWHERE_FRACTION * loads[name].failing_fraction]
        if not staying or not relieved:
            # Once a fault of all zones is over, the one that recovers last would be left for nothing.
            self.stay_until = now + 2 * REPORTED_WINDOWS * self.window
        return relieved if now >= self.stay_until else []

    def _persistent(self, agreed: Collection[str], loads: Mapping[str, ZoneLoad]) -> list[str]:
        """Those that fail in several evaluations: a moment in which much stood still is not enough."""
        scores = {name: self.scores.get(name, 0) + (1 if name in agreed else -1) for name in loads}
        self.scores = {name: min(score, AGREEING_EVALUATIONS) for name, score in scores.items() if score > 0}
        return [name for name in agreed if self.scores[name] >= AGREEING_EVALUATIONS]

    def _rest_of_regions(
        self, failing: Collection[str], planned: Collection[str], loads: Mapping[str, ZoneLoad]
    ) -> list[str]:
        """The other zones of regions of which more than half fails, where these have failures too."""
        rest: list[str] = []
        for region in {self.regions[name] for name in failing if name in self.regions}:
            inside = [name for name in loads if self.regions.get(name) == region]
            gone = [name for name in inside if name in failing or name in planned]
            others = [
                name
                for name in inside
                if name not in gone and loads[name].failing_fraction >= FAILING_FRACTION
            ]
            if 2 * len(gone) > len(inside) and len(gone) + len(others) == len(inside):
                rest += others
        return rest
