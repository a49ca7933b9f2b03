"""Fleets of real processes under faults, checked by counts at clients and upstreams."""

import asyncio
import json
import os
import subprocess
import sys
import tempfile
from types import SimpleNamespace
from typing import Any

import pytest

from trials import added, hard, loss
from trials.rig import ROOT, Cluster


@pytest.mark.xdist_group("trials-1")
@pytest.mark.parametrize("seed", [1, 2])
def test_open_requests_run_once_when_their_sidecar_is_killed(seed: int) -> None:
    """Clients retry at other sidecars after a kill; replication prevents the requests from running twice."""
    result = asyncio.run(loss.run_trial(seed, rate=100))
    counts = result.counts
    assert result.passed, result.violations
    assert counts["in hand at the loss"] and counts["of these ran twice"] == 0
    # Requests that may have run are not sent again; hardly any other request is given up because of that.
    assert counts["finished"] >= counts["work"] - counts["in hand at the loss"] - 4


@pytest.mark.xdist_group("trials-2")
def test_open_requests_run_once_in_a_fleet_with_shards() -> None:
    """The same guarantee holds when the owner and the replicas may be in different shards."""
    result = asyncio.run(loss.run_trial(3, sidecars=8, rate=100, cell_size=3))
    counts = result.counts
    assert result.passed, result.violations
    assert counts["in hand at the loss"] and counts["of these ran twice"] == 0


@pytest.mark.xdist_group("trials-1")
def test_without_replication_requests_that_run_twice_are_detected() -> None:
    """The checks are strict enough: without a fleet, requests do run twice and the trial reports them."""
    result = asyncio.run(loss.run_trial(1, fleet=False, rate=200))
    assert not result.passed and result.counts["of these ran twice"]


def test_a_sidecar_without_a_fleet_imports_none_of_its_modules() -> None:
    """A sidecar that is not in a fleet must not need the fleet's code."""
    code = (
        "import sys; from starlingwheel.net.loop import Loop; Loop.run = lambda self: None;"
        "from starlingwheel.net.lifecycle.sidecar import main; assert main() == 0;"
        "print([m for m in sys.modules if '.fleet' in m])"
    )
    config = ROOT / "examples" / "config.json"
    settings = json.loads(config.read_text()) | {"listen": "127.0.0.1:0"}
    with tempfile.NamedTemporaryFile("w") as file:
        json.dump(settings, file)
        file.flush()
        completed = subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT, env=os.environ | {"EDGE_CONFIG": file.name}, capture_output=True, text=True, check=True,
        )  # fmt: skip
    assert completed.stdout.splitlines()[-1] == "[]"


@pytest.mark.xdist_group("trials-1")
@pytest.mark.parametrize("case", ["bodies", "keeper", "stopped"])
def test_hard_cases_have_no_violations(case: str) -> None:
    """Large bodies at a loss, a hanging replica and a rolling restart lose or repeat no request."""
    result = asyncio.run(hard.CASES[case](1))
    assert result.passed, result.violations


@pytest.mark.parametrize(
    ("category", "may_have_run", "at", "allowed"),
    [("buy", 1, 2.0, 1), ("buy", 0, 2.0, 0), ("look", 1, 2.0, 0), ("buy", 1, 3.5, 0), ("buy", 1, 4.5, 1)],
)
def test_only_a_request_taken_over_from_a_sidecar_in_service_may_fail_at_a_planned_stop(
    category: str, may_have_run: int, at: float, allowed: int
) -> None:
    """The sidecar n1 starts at 1, is stopped at 3 and starts again at 4."""
    lifecycle = [
        {"event": event, "at": time} for event, time in (("start", 1.0), ("stop", 3.0), ("start", 4.0))
    ]
    takeover = {"former": "n1.ab", "category": category, "may_have_run": may_have_run, "at": at}
    logs = {"n0": ([], [takeover]), "n1": (lifecycle, [])}
    sidecars = [
        SimpleNamespace(name=name, log_lines=lambda *events, own=own: own["cover.taken_over" in events])
        for name, own in logs.items()
    ]
    cluster: Any = SimpleNamespace(sidecars=sidecars)
    assert hard.non_idempotent_takeovers(cluster) == allowed


@pytest.mark.xdist_group("trials-2")
def test_added_latency_is_measured_by_pairs_of_calls(capsys: pytest.CaptureFixture[str]) -> None:
    """The trial `added` prints one row per rate, with counts of pairs, failures and connections."""
    result = asyncio.run(
        added.run_trial(1, rates=(100.0,), count=5, service=0.001, seconds=added.WARM_UP + 1)
    )
    header, row = capsys.readouterr().out.splitlines()
    assert result.passed, result.violations
    assert header.split()[:3] == ["rate", "pairs", "failed"] and row.split()[0] == "100"
    assert int(row.split()[1]) > 20 and int(row.split()[2]) == 0 and int(row.split()[-1]) > 0


@pytest.mark.xdist_group("trials-2")
def test_idle_links_send_few_frames() -> None:
    """Links that no request needs carry about one heartbeat a second in each direction."""

    async def sent_in_two_seconds() -> int:
        async with Cluster(1, sidecars=4, upstreams=3) as cluster:
            await asyncio.sleep(3.0)
            before = sum(sidecar.peer_relay.forwarded_reads for sidecar in cluster.sidecars)
            await asyncio.sleep(2.0)
            return sum(sidecar.peer_relay.forwarded_reads for sidecar in cluster.sidecars) - before

    # Six links, two sides, two seconds: an idle side sends one heartbeat a second, one in use sends ten.
    assert asyncio.run(sent_in_two_seconds()) <= 6 * 2 * 4
