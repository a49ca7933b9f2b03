"""The simulator adapter replies to seeded scenarios of requests, faults and restarts as at commit b81049c."""

import json
from pathlib import Path

import pytest

from characterisation.simulated_day import SCENARIOS, Scenario, Simulation

RECORDED = json.loads(Path(__file__).with_name("simulated_day.json").read_text())
COMMANDS = {"ROUTE", "ABANDON", "TURN_AWAY", "SURRENDER", "SET_ALARM", "OBSERVE", "HEALTH_CHECK", "NOTIFY"}


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_every_reply_is_the_recorded_one(scenario: Scenario) -> None:
    """The digest of all replies and the counts of commands and outcomes are unchanged."""
    simulation = Simulation(scenario)
    simulation.run()
    result = {"digest": simulation.digest.hexdigest(), "counts": dict(sorted(simulation.counts.items()))}
    assert result == RECORDED[scenario.name]


def test_the_recorded_scenarios_contain_every_command() -> None:
    """No command of the adapter is left out of the comparison."""
    assert {name for recorded in RECORDED.values() for name in recorded["counts"]} >= COMMANDS
