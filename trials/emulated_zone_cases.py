"""What the zones of an emulated fleet do in each case. See `emulated_zones`."""

from __future__ import annotations

from dataclasses import dataclass

ZONES = ("north", "east", "south")
FAILING = "south"


@dataclass(frozen=True)
class Case:
    """What the zones do meanwhile."""

    hurt: tuple[str, ...] = (FAILING,)
    part: float = 1.0  # of the attempts there that fail
    silent: bool = True  # without an answer, else with an error at once
    seen_by: str = ""  # only members of that zone see it
    cold: bool = False
    capacity: float = 3.0  # of each zone, as a multiple of its usual rate
    helps: bool = True  # to leave the zones that fail
    flaps: float = 0.0  # seconds for which it fails, and then not


CASES = {
    "hang": Case(),
    "errors": Case(silent=False),
    "third": Case(part=0.34, silent=False),
    "two": Case(hurt=("north", "east"), capacity=6.0),
    "all": Case(hurt=ZONES, helps=False),
    "release": Case(hurt=ZONES, part=0.5, silent=False, helps=False),
    "cut": Case(seen_by="north", helps=False),
    "near-full": Case(part=0.5, silent=False, capacity=1.15),
    "cold": Case(cold=True),
    "flap": Case(flaps=4.0),
}
