"""What the zones of an emulated fleet do in each case. See `emulated_zones`."""

from __future__ import annotations

from dataclasses import dataclass

ZONES = ("north", "east", "south")
FAILING = "south"


@dataclass(frozen=True)
class Case:
    """What the zones do meanwhile."""

    failing_zones: tuple[str, ...] = (FAILING,)
    failing_fraction: float = 1.0  # of the attempts there that fail
    silent: bool = True  # without an answer, else with an error at once
    seen_from: str = ""  # only members of that zone see it
    cold: bool = False
    capacity_multiple: float = 3.0  # of each zone's usual rate: what it can take
    leaving_helps: bool = True
    flap_duration: float = 0.0  # seconds for which it fails, and then as long not; 0: does not flap


CASES = {
    "hang": Case(),
    "errors": Case(silent=False),
    "third": Case(failing_fraction=0.34, silent=False),
    "two": Case(failing_zones=("north", "east"), capacity_multiple=6.0),
    "all": Case(failing_zones=ZONES, leaving_helps=False),
    "release": Case(failing_zones=ZONES, failing_fraction=0.5, silent=False, leaving_helps=False),
    "cut": Case(seen_from="north", leaving_helps=False),
    "near-full": Case(failing_fraction=0.5, silent=False, capacity_multiple=1.15),
    "cold": Case(cold=True),
    "flap": Case(flap_duration=4.0),
}
