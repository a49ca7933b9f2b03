"""Capacity planning: the arithmetic of a large fleet, and the tables of the page."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from trials import capacity
from trials.capacity import (
    Figures,
    FleetLoad,
    Row,
    expected_members_reached,
    fit_line,
    growth_exponent,
    over_budget,
    replace_between,
    sidecar_rows,
)

SMALL_SIZES = (8, 16)


@pytest.fixture(scope="module")
def lines() -> list[dict[str, Any]]:
    """Return the measured lines of two small fleets."""
    return list(capacity.measure(SMALL_SIZES, min_seconds=0.003))


def row_of(rows: list[Row], title: str) -> Row:
    """Return the row with that title."""
    return next(row for row in rows if row.title == title)


def test_fitted_line_and_growth_exponent_recover_their_parameters() -> None:
    """The points lie exactly on the line, and on the parabola, that are to be recovered."""
    intercept, slope, residual = fit_line((x, 7 + 3 * x) for x in (1, 2, 5, 9))
    assert (round(intercept, 9), round(slope, 9), round(residual, 9)) == (7, 3, 0)
    assert growth_exponent((x, 5 * x**2) for x in (2, 4, 8)) == pytest.approx(2)


def test_a_figure_past_the_largest_measured_size_is_extrapolated() -> None:
    """A figure that was not measured is NaN."""
    lines = [{"figure": "home", "size": size, "us": 2.0 * size} for size in (50, 100)]
    figures = Figures(lines)
    assert figures.at("home", 75) == 150 and figures.source("home", 75) == "measured"
    assert figures.at("home", 200) == 400 and figures.source("home", 200) == "extrapolated"
    assert figures.at("keepers", 50) != figures.at("keepers", 50)


def test_the_program_itself_is_timed_and_counted(lines: list[dict[str, Any]]) -> None:
    """The timed operations and the encoded messages are those of the program."""
    figures = Figures(lines)
    for name in ("home", "view", "vote event", "evidence event", "member event", "whole range read"):
        assert set(figures.points[name]) == set(SMALL_SIZES), name
    # The messages are the program's own, so that those about more members are longer.
    assert figures.at("whole range", 16) > 1.5 * figures.at("whole range", 8)
    assert figures.at("frame told") < figures.at("frame beat") < figures.at("frame cover")


def test_the_cost_within_a_shard_does_not_grow_with_the_fleet(lines: list[dict[str, Any]]) -> None:
    """With one shard for the whole fleet, the same costs grow with it."""
    figures, shard_size = Figures(lines), 25
    for title in ("links at rest", "beats at rest", "`Told` and what it quickens, mean of a day"):
        # Each member restarts equally often in both fleets.
        fleets = [FleetLoad(sidecars=n, restarts_per_day=n / 6) for n in (400, 1600)]
        sharded = [
            row_of(sidecar_rows(load, figures, load.sidecars // shard_size), title).value for load in fleets
        ]
        assert sharded[0] == pytest.approx(sharded[1]), title
        one_shard = [row_of(sidecar_rows(load, figures), title).value for load in fleets]
        assert one_shard[1] >= one_shard[0] and one_shard[1] >= sharded[1], title
        if title != "beats at rest":
            assert one_shard[1] > 3 * one_shard[0], title


def test_with_many_open_requests_links_on_demand_reach_all_members() -> None:
    """With few requests, the number of links is the rate times the lifetime of a link."""
    assert expected_members_reached(1000, 0.001, 1) == pytest.approx(0.001, rel=0.01)
    assert expected_members_reached(1000, 1e6, 10) == pytest.approx(1000)


def test_the_largest_size_of_a_scale_run_is_predicted_from_the_smaller_ones() -> None:
    """The table shows the prediction and its error. Lines of other roles are ignored."""
    lines = [
        {"role": "alone", "phase": "rest", "cell_size": 0, "size": size, "wire_out": 100.0 + 3 * size + kink}
        for size, kink in ((25, 0), (50, 0), (100, 80))
    ]
    lines.append({"role": "arbiter", "phase": "rest", "cell_size": 0, "size": 25, "wire_out": 1e9})
    table = capacity.scale_run_table(lines).splitlines()
    assert len(table) == 3
    assert table[2].split(" | ")[3:6] == ["175", "250", "480"] and "400 (-17%)" in table[2]


def test_the_cost_of_a_message_is_that_of_the_restarts_of_the_scale_run() -> None:
    """Without lines of a restart phase, the cost is the slope over the measured idle fleets."""
    restarts = [
        {"phase": "restart", "role": "alone", "core": 0.02, "messages_out": rate} for rate in (200, 400, 500)
    ]
    idle = {"phase": "rest", "role": "alone", "core": 0.5, "messages_out": 1}
    assert capacity.message_cost([*restarts, idle]) == pytest.approx(50)
    assert 50 < capacity.message_cost([idle]) < 500


def test_rows_over_their_budget_are_ordered_by_overrun() -> None:
    """A row without a budget is never over it."""
    rows = [Row("", str(n), "", value, "B/s", 10.0, "", "") for n, value in enumerate((5.0, 20.0, 90.0))]
    rows.append(Row("", "none", "", 1e9, "B/s", float("nan"), "", ""))
    assert [row.title for row in over_budget(rows)] == ["2", "1"]


def test_the_tables_are_put_between_the_marks_of_a_page(
    lines: list[dict[str, Any]], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A second run leaves the page as it is. A page without marks is reported."""
    figures, page = tmp_path / "figures", tmp_path / "page.md"
    figures.write_text("\n".join(map(json.dumps, lines)))
    page.write_text("\n".join(mark for marks in capacity.PAGE_MARKS.values() for mark in ("PROSE", *marks)))
    arguments = ["--figures", str(figures), "--sidecars", "100", "--cells", "4", "--write", str(page)]
    arguments += ["--tree", str(tmp_path / "none")]
    assert capacity.main(arguments) == 0
    first = page.read_text()
    assert first.count("PROSE") == 2 and "links at rest" in first and "| 99 sockets | 24 sockets |" in first
    assert capacity.main(arguments) == 0 and page.read_text() == first
    page.write_text("nothing to put anything between")
    assert capacity.main(arguments) == 2 and "no <!--" in capsys.readouterr().err


def test_wrong_use_is_reported_in_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """The exit code is 2. A page without marks raises `ValueError`."""
    assert capacity.main(["--sidecars", "1"]) == 2
    assert capacity.main(["--figures", str(tmp_path / "none")]) == 2
    assert capsys.readouterr().err.count("\n") == 2
    with pytest.raises(ValueError):
        replace_between("a page", "begin", "end", "text")
