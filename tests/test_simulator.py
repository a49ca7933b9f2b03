"""The simulator adapter: lines in, lines out, and what it does with lines that can't be read."""

import io
import sys

import pytest

from starlingwheel.simulator import __main__ as simulator
from starlingwheel.simulator.process import SimulatorProcess

SETTINGS = (
    '{"categories": [{"name": "look", "effect": "free", "dueTime": 1000000, "expiry": 2000000}],'
    ' "rules": {"mustAskIn": 8000000}, "caps": {"mostHandOffs": 2}, "unheardOf": 1}'
)
START = [
    "SYNC simTime=5000000 turn=1",
    "CONTEXT sidecar=sidecar/0",
    f"CONFIGURE entropy=7 facts={SETTINGS}",
    "SHEET bank=0 entries=1",
    "UPSTREAM upstream=10.0.0.1:80 condition=2",
    "ANNOUNCE bank=0 scope=1 version=1",
]
QUERY = "QUERY job=9 profile=look patienceLeft=900000"


def play(monkeypatch: pytest.MonkeyPatch, lines: list[str]) -> int:
    """Run the process over these lines; return its exit code."""
    monkeypatch.setattr(sys, "stdin", io.StringIO("\n".join(lines) + "\n"))
    return simulator.main()


def test_a_request_is_sent_to_an_endpoint_and_its_response_ends_it(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """A disconnect of the client that comes after the response is ignored."""
    ended = "ENDED job=9 hop=0 duration=1000 code=OK upstream=10.0.0.1:80 doneFlag=1"
    late = "CANCELLED_BY_CLIENT job=9"
    more = ["GO", "SYNC simTime=5001000 turn=2", "CONTEXT sidecar=sidecar/0", ended, late, "GO"]
    assert play(monkeypatch, [*START, QUERY, *more]) == 0
    out = capsys.readouterr().out.splitlines()
    assert "ROUTE job=9 upstream=10.0.0.1:80 cap=900000" in out
    assert [line for line in out if line.startswith("END ")] == ["END turn=1", "END turn=2"]


def test_a_killed_sidecar_restarts_without_its_requests_within_the_same_batch(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """What the killed sidecar had to say is not said either."""
    assert play(monkeypatch, [*START, QUERY, "DETACH", *START[2:], "GO"]) == 0
    assert "job=9" not in capsys.readouterr().out


@pytest.mark.parametrize(
    ("line", "named"),
    [
        ("QUERY job=9 profile=look", "patienceLeft"),
        ("QUERY job=nine profile=look patienceLeft=1", "job"),
        ("QUERY job=9 profile=other patienceLeft=1", "profile"),
        ("CONFIGURE entropy=7 facts={", "facts"),
        ("ANNOUNCE bank=3 scope=1 version=1", "bank"),
        ("QUERY job", "QUERY"),
        ("MUMBLE", "MUMBLE"),
    ],
)
def test_a_malformed_line_is_named_and_ends_the_process(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], line: str, named: str
) -> None:
    """One line on standard error names the line and the field; nothing is answered."""
    assert play(monkeypatch, [*START, line, "GO"]) != 0
    seen = capsys.readouterr()
    assert seen.out == "" and seen.err.count("\n") == 1
    assert "line 7" in seen.err and named in seen.err


def test_an_exception_in_the_decisions_is_reported_as_a_defect(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The simulator gets a line for it, standard error the trace."""
    monkeypatch.setattr(
        "starlingwheel.decisions.selection.EndpointSelector.select_endpoint", lambda *_: 1 / 0
    )
    assert play(monkeypatch, [*START, QUERY, "GO"]) != 0
    seen = capsys.readouterr()
    assert seen.out.startswith("DIE message=ZeroDivisionError") and "Traceback" in seen.err


def test_alarms_that_cannot_be_cancelled_do_not_pile_up() -> None:
    """Fewer than two alarms a rejected request are delivered."""
    process, alarms, ticks, answered = SimulatorProcess(), [], 0, 0
    many = [f"UPSTREAM upstream=10.0.{i}.1:80 condition=2" for i in range(2000)]
    process.process_batch(START[0], iter([*START[1:3], "SHEET bank=0 entries=2000", *many, START[-1], "GO"]))
    for turn in range(2, 2002):
        now = 5000000 + turn * 1000
        due = [at for at in alarms if at <= now]
        alarms = [at for at in alarms if at > now]
        ticks += len(due)
        # Long and short deadlines in turn: each short one sets an alarm beside that of a long one.
        time_left = 3000 if turn % 10 == 0 else 500000
        query = [f"QUERY job={turn} profile=look patienceLeft={time_left}"] * (turn <= 1000)
        lines = ["CONTEXT sidecar=sidecar/0", *["TICK_DUE mark=wake"] * len(due), *query, "GO"]
        reply = process.process_batch(f"SYNC simTime={now} turn={turn}", iter(lines))
        alarms += [int(line.split()[1].partition("=")[2]) for line in reply if line.startswith("SET_ALARM")]
        answered += sum(line.startswith(("TURN_AWAY", "SURRENDER")) for line in reply)
    assert answered == 999 and ticks < 2 * answered
