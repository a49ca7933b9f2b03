"""The simulator adapter answers a seeded day of requests, faults and restarts as it did at b81049c."""

import json
from pathlib import Path

import pytest

from characterisation.simulated_day import SCENARIOS, Day

RECORDED = json.loads(Path(__file__).with_name("simulated_day.json").read_text())
ACTIONS = {"ROUTE", "ABANDON", "TURN_AWAY", "SURRENDER", "SET_ALARM", "OBSERVE", "HEALTH_CHECK", "NOTIFY"}


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_every_reply_is_the_recorded_one(scenario):
    day = Day(scenario)
    day.play()
    seen = {"digest": day.digest.hexdigest(), "counts": dict(sorted(day.counts.items()))}
    assert seen == RECORDED[scenario.name]


def test_the_recorded_days_hold_every_action():
    assert {name for day in RECORDED.values() for name in day["counts"]} >= ACTIONS
