"""The cases of failing zones that `emulated_zones` simulates."""

from __future__ import annotations

from dataclasses import dataclass

ZONES = ("north", "east", "south")
FAILING_ZONE = "south"  # the zone that fails in most cases


@dataclass(frozen=True)
class Case:
    """How zones behave while the fault lasts, and afterwards."""

    failing_zones: tuple[str, ...] = (FAILING_ZONE,)
    failing_fraction: float = 1.0  # part of the attempts in the failing zones that fail
    silent: bool = True  # failing attempts get no response; otherwise an error at once
    observed_from: str = ""  # only members of this zone observe the fault; empty: all members
    cold: bool = False  # failing zones have less capacity for a while after they recover
    capacity_multiple: float = 3.0  # capacity of each zone, in multiples of its usual rate
    leaving_helps: bool = True  # whether members should leave the failing zones
    flap_duration: float = 0.0  # seconds for which zones alternately fail and work; 0: they fail throughout


CASES = {
    "hang": Case(),
    "errors": Case(silent=False),
    "third": Case(failing_fraction=0.34, silent=False),
    "two": Case(failing_zones=("north", "east"), capacity_multiple=6.0),
    "all": Case(failing_zones=ZONES, leaving_helps=False),
    "release": Case(failing_zones=ZONES, failing_fraction=0.5, silent=False, leaving_helps=False),
    "cut": Case(observed_from="north", leaving_helps=False),
    "near-full": Case(failing_fraction=0.5, silent=False, capacity_multiple=1.15),
    "cold": Case(cold=True),
    "flap": Case(flap_duration=4.0),
}
