"""Stories of several real processes: started by the rig, with faults between them, counted at both ends."""

import asyncio
import json
import os
import subprocess
import sys
import tempfile

import pytest

from trials import added, hard, loss
from trials.rig import ROOT, Rig


@pytest.mark.xdist_group("trials-1")
@pytest.mark.parametrize("seed", [1, 2])
def test_exclusive_work_in_hand_runs_once_when_its_sidecar_is_killed(seed):
    verdict = asyncio.run(loss.play(seed, rate=100))
    counts = verdict.counts
    assert verdict.kept, verdict.broken
    assert counts["in hand at the loss"] and counts["of these ran twice"] == 0
    # What may have run is not sent again, and next to nothing else is given up for it.
    assert counts["finished"] >= counts["work"] - counts["in hand at the loss"] - 4


@pytest.mark.xdist_group("trials-2")
def test_the_same_where_the_fleet_is_cut_into_cells():
    verdict = asyncio.run(loss.play(3, sidecars=8, rate=100, cell_size=3))
    counts = verdict.counts
    assert verdict.kept, verdict.broken
    assert counts["in hand at the loss"] and counts["of these ran twice"] == 0


@pytest.mark.xdist_group("trials-1")
def test_the_rig_sees_what_runs_twice_where_nothing_covers_it():
    verdict = asyncio.run(loss.play(1, fleet=False, rate=200))
    assert not verdict.kept and verdict.counts["of these ran twice"]


def test_a_sidecar_without_a_fleet_loads_nothing_of_it():
    code = (
        "import sys; from starlingwheel.net.loop import Loop; Loop.run = lambda self: None;"
        "from starlingwheel.net.lifecycle.sidecar import main; assert main() == 0;"
        "print([m for m in sys.modules if '.fleet' in m])"
    )
    config = ROOT / "examples" / "config.json"
    told = json.loads(config.read_text()) | {"listen": "127.0.0.1:0"}
    with tempfile.NamedTemporaryFile("w") as file:
        json.dump(told, file)
        file.flush()
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT, env=os.environ | {"EDGE_CONFIG": file.name}, capture_output=True, text=True, check=True,
        )  # fmt: skip
    assert done.stdout.splitlines()[-1] == "[]"


@pytest.mark.xdist_group("trials-1")
@pytest.mark.parametrize("case", ["bodies", "keeper", "stopped"])
def test_hard_cases_keep_their_promises(case):
    verdict = asyncio.run(hard.CASES[case](1))
    assert verdict.kept, verdict.broken


@pytest.mark.xdist_group("trials-2")
def test_what_a_sidecar_adds_is_measured_by_pairs_of_calls(capsys):
    verdict = asyncio.run(added.play(1, rates=(100.0,), count=5, service=0.001, seconds=added.FIRST + 1))
    heads, row = capsys.readouterr().out.splitlines()
    assert verdict.kept, verdict.broken
    assert heads.split()[:3] == ["rate", "pairs", "failed"] and row.split()[0] == "100"
    assert int(row.split()[1]) > 20 and int(row.split()[2]) == 0 and int(row.split()[-1]) > 0


@pytest.mark.xdist_group("trials-2")
def test_links_with_nothing_at_stake_say_little():
    async def counted():
        async with Rig(1, sidecars=4, upstreams=3) as rig:
            await asyncio.sleep(3.0)
            before = sum(s.front.pieces for s in rig.sidecars)
            await asyncio.sleep(2.0)
            return sum(s.front.pieces for s in rig.sidecars) - before

    # Six links, two sides, two seconds: a word a second each, where something at stake makes it ten.
    assert asyncio.run(counted()) <= 6 * 2 * 4
