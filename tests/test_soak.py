"""The soak on a few seeds; more are played by hand: `python -m trials soak --seed 1 --seeds 50`."""

import asyncio

import pytest

from trials.soak import run_trial
from trials.soak.plan import SERIES, SoakPlan

SEEDS = [1, 3, 11, 15, 22]


@pytest.mark.parametrize(
    "seed", [pytest.param(seed, marks=pytest.mark.xdist_group(f"trials-{1 + seed % 2}")) for seed in SEEDS]
)
def test_random_overlapping_faults_break_no_guarantee(seed: int) -> None:
    """Judged at the clients and the servers alone."""
    result = asyncio.run(run_trial(seed))
    assert not result.violations, result.counts
    assert result.counts["200"] > result.counts["requests"] / 2


def test_the_seeds_of_the_suite_draw_each_fault() -> None:
    """Otherwise a part of the soak would run by hand only."""
    plans = [SoakPlan(seed) for seed in SEEDS]
    for name in ("is_replaced", "has_crowd", "has_noise"):
        assert {getattr(plan, name) for plan in plans} == {True, False}
    for name in (
        "moves_discovery",
        "discovery_fails",
        "outage",
        "drains_at",
        "server_changes_at",
        "pauses_at",
    ):
        assert {bool(getattr(plan, name)) for plan in plans} == {True, False}, name
    assert max(len(plan.reloads_at) for plan in plans) == SERIES
    assert {plan.sidecars for plan in plans} >= {1, 2, 3, 5}
    assert len({plan.limits["sockets"] for plan in plans}) == 2
