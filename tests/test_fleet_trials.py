"""Fleets of real processes: started by the rig, with faults between them, counted at both ends."""

import asyncio
import json
import os
import subprocess
import sys
import tempfile

import pytest

from trials import added, hard, loss
from trials.rig import ROOT, Cluster


@pytest.mark.xdist_group("trials-1")
@pytest.mark.parametrize("seed", [1, 2])
def test_requests_in_flight_run_once_when_their_sidecar_is_killed(seed):
    result = asyncio.run(loss.run_trial(seed, rate=100))
    counts = result.counts
    assert result.passed, result.violations
    assert counts["in hand at the loss"] and counts["of these ran twice"] == 0
    # A request that may have run is not sent again, and hardly any other one is given up for that.
    assert counts["finished"] >= counts["work"] - counts["in hand at the loss"] - 4


@pytest.mark.xdist_group("trials-2")
def test_requests_in_flight_run_once_in_a_fleet_of_cells():
    result = asyncio.run(loss.run_trial(3, sidecars=8, rate=100, cell_size=3))
    counts = result.counts
    assert result.passed, result.violations
    assert counts["in hand at the loss"] and counts["of these ran twice"] == 0


@pytest.mark.xdist_group("trials-1")
def test_without_replication_the_rig_sees_requests_that_run_twice():
    result = asyncio.run(loss.run_trial(1, fleet=False, rate=200))
    assert not result.passed and result.counts["of these ran twice"]


def test_a_sidecar_without_a_fleet_imports_none_of_its_modules():
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
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT, env=os.environ | {"EDGE_CONFIG": file.name}, capture_output=True, text=True, check=True,
        )  # fmt: skip
    assert done.stdout.splitlines()[-1] == "[]"


@pytest.mark.xdist_group("trials-1")
@pytest.mark.parametrize("case", ["bodies", "keeper", "stopped"])
def test_hard_cases_keep_their_promises(case):
    result = asyncio.run(hard.CASES[case](1))
    assert result.passed, result.violations


@pytest.mark.xdist_group("trials-2")
def test_added_latency_is_measured_by_pairs_of_calls(capsys):
    result = asyncio.run(added.run_trial(1, rates=(100.0,), count=5, service=0.001, seconds=added.FIRST + 1))
    header, row = capsys.readouterr().out.splitlines()
    assert result.passed, result.violations
    assert header.split()[:3] == ["rate", "pairs", "failed"] and row.split()[0] == "100"
    assert int(row.split()[1]) > 20 and int(row.split()[2]) == 0 and int(row.split()[-1]) > 0


@pytest.mark.xdist_group("trials-2")
def test_idle_links_send_few_frames():
    async def sent_in_two_seconds():
        async with Cluster(1, sidecars=4, upstreams=3) as cluster:
            await asyncio.sleep(3.0)
            before = sum(s.peer_relay.forwarded_reads for s in cluster.sidecars)
            await asyncio.sleep(2.0)
            return sum(s.peer_relay.forwarded_reads for s in cluster.sidecars) - before

    # Six links, two sides, two seconds: one heartbeat a second each, where a needed link has ten.
    assert asyncio.run(sent_in_two_seconds()) <= 6 * 2 * 4
