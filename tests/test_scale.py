"""Hollow members and small scale runs. The checks compare counts, never times."""

import asyncio
import os
import resource
import signal
import subprocess
import sys
from math import ceil
from pathlib import Path
from typing import Any

import pytest

from starlingwheel.net.fleet.links.timing import (
    IDLE_HEARTBEATS_PER_SECOND,
    MAX_IDLE_HEARTBEAT_INTERVAL,
    MIN_IDLE_HEARTBEAT_INTERVAL,
)
from trials.rig import ROOT
from trials.scale import limits
from trials.scale.__main__ import main, parse_arguments, run_size
from trials.scale.slopes import KNEE, check_fit, choose_fit, fit_form, predict

RUN = [sys.executable, "-m", "trials.scale"]


# Last parts of the names of modules that only a sidecar needs, including former names.
SIDECAR_MODULES = (
    "coordinator", "sidecar", "admin", "connection", "pool", "client_connection", "module", "calls",
    "upstream", "client",
)  # fmt: skip


def test_the_actors_of_a_member_import_no_module_that_only_a_sidecar_needs() -> None:
    """A hollow member must run without a coordinator, a pool and client connections."""
    code = (
        "import sys, starlingwheel.net.fleet.member, starlingwheel.net.fleet.policy;"
        "print([m for m in sys.modules if m.startswith('starlingwheel.net.')"
        f" and m.rpartition('.')[2] in {SIDECAR_MODULES}"
        " or m == 'starlingwheel.net.lifecycle.sidecar'])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def run_small_fleet(size: int, *options: str) -> dict[str, dict[str, Any]]:
    """Return the lines of a small run, by role."""
    args = parse_arguments(["--sizes", str(size), "--phases", "rest", "--seconds", "3", *options])
    layout, error = limits.make_layout(size, args.real, args.alone, args.cell_size, os.cpu_count() or 1)
    assert layout is not None, error
    lines: list[dict[str, Any]] = []
    assert asyncio.run(run_size(layout, args, lines.append)), lines
    return {line["role"]: line for line in lines}


@pytest.mark.parametrize("size", [25, 50])
def test_an_idle_member_of_one_shard_has_a_link_to_each_other_and_sends_little(size: int) -> None:
    """The run lasts a little longer than one idle heartbeat interval."""
    shared_interval = (size - 1) / IDLE_HEARTBEATS_PER_SECOND
    interval = min(max(MIN_IDLE_HEARTBEAT_INTERVAL, shared_interval), MAX_IDLE_HEARTBEAT_INTERVAL)
    seconds = ceil(1.2 * interval)
    lines = run_small_fleet(size, "--seconds", str(seconds))
    hollow, real, arbiter = lines["hollow"], lines["real"], lines["arbiter"]
    assert not hollow["defects"] and "silent" not in hollow["reasons"]
    assert hollow["members"] + lines["alone"]["members"] + real["members"] == size
    for role in (hollow, real):
        # Links, the listening socket, and up to four connections to the store.
        assert size - 1 + 2 <= role["sockets"] <= size - 1 + 5
        # One or two heartbeats on each link, and the renewals of the lease and of the watch.
        assert size - 1 <= role["messages_out"] * role["seconds"] <= 2 * (size - 1) + 2 * role["seconds"]
    assert hollow["frames_in"].keys() == {"HeartbeatFrame"}
    assert arbiter["watch_events_s"] == 0 and arbiter["sockets"] >= 2 * size


def test_members_understand_the_frames_of_replicated_requests() -> None:
    """Requests are answered, and no link ends because a frame cannot be decoded."""
    hollow = run_small_fleet(25, "--phases", "work")["hollow"]
    assert not hollow["defects"] and "unreadable" not in hollow["reasons"]
    assert "ReplicateFrame" in hollow["frames_in"]
    assert hollow["counts"]["answered_200"] > 0


@pytest.mark.parametrize(
    ("arguments", "word"),
    [
        (["--sizes", "3"], "size 3"),
        (["--sizes", "25,100000"], "size 100000"),
        (["--cell-size", "-1"], "--cell-size"),
        (["--seconds", "0"], "--seconds"),
        (["--real", "0"], "real"),
        (["--lease", "0"], "--lease"),
        (["--pace", "0"], "--pace"),
    ],
)
def test_an_impossible_run_is_rejected_in_one_line_before_anything_is_started(
    arguments: list[str], word: str, capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The line names what is wrong."""
    monkeypatch.setattr("trials.scale.__main__.run_size", None)
    assert main(arguments) == 2
    out, err = capfd.readouterr()
    assert out == "" and err.count("\n") == 1 and word in err


def test_too_few_descriptors_or_too_little_memory_is_reported_before_anything_is_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The message says which of them it is."""
    monkeypatch.setattr(limits.resource, "getrlimit", lambda what: (256, resource.RLIM_INFINITY))
    layout, error = limits.make_layout(400, 5, 2, 0, 8)
    assert layout is None and "descriptors" in error
    monkeypatch.undo()
    monkeypatch.setattr(limits, "machine_memory", lambda: (2 << 30, 1 << 30))
    layout, error = limits.make_layout(400, 5, 2, 0, 8)
    assert layout is None and "MB" in error


def test_a_large_run_is_laid_out_within_the_descriptors_of_a_process(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each member may have a link to every other member."""
    monkeypatch.setattr(limits.resource, "getrlimit", lambda what: (20_000, 20_000))
    monkeypatch.setattr(limits, "machine_memory", lambda: (64 << 30, 64 << 30))
    layout, _ = limits.make_layout(400, 5, 2, 0, 8)
    assert layout is not None and layout.hollow + layout.real == 400
    assert all(count * 400 < 20_000 for count in layout.shared_process_sizes)


def children(pid: int) -> list[int]:
    """Return the ids of the child processes of a process."""
    found = []
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            if int(stat.read_text().rpartition(")")[2].split()[1]) == pid:
                found.append(int(stat.parent.name))
        except OSError:
            continue
    return found


def alive(pid: int) -> bool:
    """Return whether a process is running."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_ctrl_c_ends_all_processes_of_a_run() -> None:
    """No child process is left."""
    process = subprocess.Popen(
        [*RUN, "--sizes", "25", "--seconds", "60"], cwd=ROOT,
        stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    started = []
    for line in process.stderr:
        if "all members are linked" in line:
            started = children(process.pid)
            process.send_signal(signal.SIGINT)
    process.stderr.close()
    assert process.wait(timeout=60) == 130
    assert len(started) >= 8 and not any(map(alive, started))


def test_a_slope_is_distinguished_from_a_constant_and_from_a_square() -> None:
    """The fit has the coefficients that the points were computed with."""
    sizes = [25, 50, 100, 200]
    assert choose_fit({n: 7.0 for n in sizes}).form == "constant"
    linear = choose_fit({n: 3.0 + 2.0 * n for n in sizes})
    assert linear.form == "linear" and linear.coefficients == pytest.approx((3.0, 2.0, 0.0))
    square = choose_fit({n: 1.0 + 0.5 * n + 0.25 * n * n for n in sizes})
    assert square.form == "square" and square.coefficients == pytest.approx((1.0, 0.5, 0.25))
    assert square.residual == pytest.approx(0.0, abs=1e-6)


def test_noise_is_not_fitted_by_a_slope() -> None:
    """A term that explains little is left out."""
    noisy = {25: 100.0, 50: 101.0, 100: 99.5, 200: 100.4}
    assert choose_fit(noisy).form == "constant"


def test_the_largest_size_is_predicted_from_the_smaller_ones() -> None:
    """The prediction is compared with the measured value."""
    checked = check_fit({25: 27.0, 50: 52.0, 100: 102.0, 200: 302.0})
    assert checked.largest == 200 and checked.predicted == pytest.approx(202.0)
    assert checked.error == pytest.approx(-100 / 302)
    # A kink shows in the residual too.
    assert checked.fit.residual > 1.0 or checked.fit.form == "square"


def test_more_terms_than_sizes_are_rejected() -> None:
    """Such a fit would not be determined."""
    with pytest.raises(ValueError, match="2 sizes for 3 terms"):
        fit_form({25: 1.0, 50: 2.0}, "square")


def test_a_prediction_uses_only_smaller_sizes_beyond_the_knee() -> None:
    """Costs grow differently below the knee."""
    lines = [
        {"role": "hollow", "phase": "rest", "cell_size": 0, "size": n, "messages_out": float(max(n, KNEE))}
        for n in (KNEE // 5, KNEE // 2, 2 * KNEE, 4 * KNEE, 16 * KNEE)
    ]
    (prediction,) = predict(lines, 8 * KNEE, 0, ["rest"])
    assert prediction["messages_out"] == pytest.approx(8.0 * KNEE) and prediction["predicts"] == "rest"
