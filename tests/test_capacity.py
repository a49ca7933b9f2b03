"""The arithmetic of a large fleet: figures that follow from others, and the page's tables from a run."""

import json

import pytest

from trials import capacity
from trials.capacity import Figures, Row, Size, line, missing, power, reached, rows, written

SMALL = (8, 16)


@pytest.fixture(scope="module")
def lines():
    return list(capacity.measure(SMALL, least=0.003))


def row_of(rows, what):
    return next(row for row in rows if row.what == what)


def test_line_and_power_recover_their_parameters():
    at_none, slope, residual = line((x, 7 + 3 * x) for x in (1, 2, 5, 9))
    assert (round(at_none, 9), round(slope, 9), round(residual, 9)) == (7, 3, 0)
    assert power((x, 5 * x**2) for x in (2, 4, 8)) == pytest.approx(2)


def test_a_figure_past_the_largest_measured_size_is_extrapolated():
    told = [{"figure": "home", "size": size, "us": 2.0 * size} for size in (50, 100)]
    figures = Figures(told)
    assert figures.at("home", 75) == 150 and figures.kind("home", 75) == "measured"
    assert figures.at("home", 200) == 400 and figures.kind("home", 200) == "extrapolated"
    assert figures.at("keepers", 50) != figures.at("keepers", 50)


def test_the_program_itself_is_timed_and_counted(lines):
    figures = Figures(lines)
    for name in ("home", "view", "vote event", "evidence event", "member event", "whole range read"):
        assert set(figures.points[name]) == set(SMALL), name
    # The messages are the program's own: what is told of more members is longer.
    assert figures.at("whole range", 16) > 1.5 * figures.at("whole range", 8)
    assert figures.at("frame told") < figures.at("frame beat") < figures.at("frame cover")


def test_the_cost_within_a_cell_does_not_grow_with_the_fleet(lines):
    figures, cell = Figures(lines), 25
    for what in ("links at rest", "beats at rest", "`Told` and what it quickens, mean of a day"):
        # As often does a member restart, however many there are.
        fleets = [Size(sidecars=n, restarts=n / 6) for n in (400, 1600)]
        some = [row_of(rows(size, figures, size.sidecars // cell), what).value for size in fleets]
        assert some[0] == pytest.approx(some[1]), what
        mesh = [row_of(rows(size, figures), what).value for size in fleets]
        assert mesh[1] >= mesh[0] and mesh[1] >= some[1], what
        if what != "beats at rest":
            assert mesh[1] > 3 * mesh[0], what


def test_with_many_open_requests_links_on_demand_reach_all_members():
    assert reached(1000, 0.001, 1) == pytest.approx(0.001, rel=0.01)
    assert reached(1000, 1e6, 10) == pytest.approx(1000)


def test_the_largest_size_of_a_scale_run_is_predicted_from_the_smaller_ones():
    lines = [
        {"role": "alone", "phase": "rest", "cell_size": 0, "size": size, "wire_out": 100.0 + 3 * size + more}
        for size, more in ((25, 0), (50, 0), (100, 80))
    ]
    lines.append({"role": "arbiter", "phase": "rest", "cell_size": 0, "size": 25, "wire_out": 1e9})
    told = capacity.scaled(lines).splitlines()
    assert len(told) == 3
    assert told[2].split(" | ")[3:6] == ["175", "250", "480"] and "400 (-17%)" in told[2]


def test_the_cost_of_a_message_is_that_of_the_restarts_of_the_scale_run():
    told = [
        {"phase": "restart", "role": "alone", "core": 0.02, "messages_out": rate} for rate in (200, 400, 500)
    ]
    other = {"phase": "rest", "role": "alone", "core": 0.5, "messages_out": 1}
    assert capacity.burst([*told, other]) == pytest.approx(50)
    assert 50 < capacity.burst([other]) < 500


def test_rows_over_their_budget_are_ordered_by_overrun():
    told = [Row("", str(n), "", value, "B/s", 10.0, "", "") for n, value in enumerate((5.0, 20.0, 90.0))]
    told.append(Row("", "none", "", 1e9, "B/s", float("nan"), "", ""))
    assert [row.what for row in missing(told)] == ["2", "1"]


def test_the_tables_are_put_between_the_marks_of_a_page(lines, tmp_path, capsys):
    figures, page = tmp_path / "figures", tmp_path / "page.md"
    figures.write_text("\n".join(map(json.dumps, lines)))
    page.write_text("\n".join(mark for marks in capacity.MARKS.values() for mark in ("PROSE", *marks)))
    given = ["--figures", str(figures), "--sidecars", "100", "--cells", "4", "--write", str(page)]
    given += ["--tree", str(tmp_path / "none")]
    assert capacity.main(given) == 0
    first = page.read_text()
    assert first.count("PROSE") == 2 and "links at rest" in first and "| 99 sockets | 24 sockets |" in first
    assert capacity.main(given) == 0 and page.read_text() == first
    page.write_text("nothing to put anything between")
    assert capacity.main(given) == 2 and "no <!--" in capsys.readouterr().err


def test_wrong_use_is_reported_in_one_line(tmp_path, capsys):
    assert capacity.main(["--sidecars", "1"]) == 2
    assert capacity.main(["--figures", str(tmp_path / "none")]) == 2
    assert capsys.readouterr().err.count("\n") == 2
    with pytest.raises(ValueError):
        written("a page", "begin", "end", "text")
