"""The simulator adapter: replies to input lines, and the handling of malformed lines and exceptions."""

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


def run_simulator(monkeypatch: pytest.MonkeyPatch, lines: list[str]) -> int:
    """Run the simulator process on input lines; return its exit code."""
    monkeypatch.setattr(sys, "stdin", io.StringIO("\n".join(lines) + "\n"))
    return simulator.main()


def test_a_request_is_sent_and_its_response_ends_it(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """A client disconnect that arrives after the response is ignored."""
    ended = "ENDED job=9 hop=0 duration=1000 code=OK upstream=10.0.0.1:80 doneFlag=1"
    late_disconnect = "CANCELLED_BY_CLIENT job=9"
    next_batch = [
        "GO",
        "SYNC simTime=5001000 turn=2",
        "CONTEXT sidecar=sidecar/0",
        ended,
        late_disconnect,
        "GO",
    ]
    assert run_simulator(monkeypatch, [*START, QUERY, *next_batch]) == 0
    out = capsys.readouterr().out.splitlines()
    assert "ROUTE job=9 upstream=10.0.0.1:80 cap=900000" in out
    assert [line for line in out if line.startswith("END ")] == ["END turn=1", "END turn=2"]


def test_a_killed_sidecar_restarts_without_its_requests_within_the_same_batch(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The killed sidecar's output is discarded, too."""
    assert run_simulator(monkeypatch, [*START, QUERY, "DETACH", *START[2:], "GO"]) == 0
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
    """One line on standard error identifies the line and the field, and no reply is written."""
    assert run_simulator(monkeypatch, [*START, line, "GO"]) != 0
    captured = capsys.readouterr()
    assert captured.out == "" and captured.err.count("\n") == 1
    assert "line 7" in captured.err and named in captured.err


def test_an_exception_in_the_decisions_is_reported_as_a_defect(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """The simulator receives a line that names the exception; the traceback goes to standard error."""
    monkeypatch.setattr(
        "starlingwheel.decisions.selection.EndpointSelector.select_endpoint", lambda *_: 1 / 0
    )
    assert run_simulator(monkeypatch, [*START, QUERY, "GO"]) != 0
    captured = capsys.readouterr()
    assert captured.out.startswith("DIE message=ZeroDivisionError") and "Traceback" in captured.err


def test_pending_alarms_do_not_accumulate() -> None:
    """Alarms can't be cancelled, and each short deadline sets one; fewer than two per request may fire."""
    process, alarms, ticks, answered = SimulatorProcess(), [], 0, 0
    endpoints = [f"UPSTREAM upstream=10.0.{i}.1:80 condition=2" for i in range(2000)]
    process.process_batch(
        START[0], iter([*START[1:3], "SHEET bank=0 entries=2000", *endpoints, START[-1], "GO"])
    )
    for turn in range(2, 2002):
        now = 5000000 + turn * 1000
        due = [at for at in alarms if at <= now]
        alarms = [at for at in alarms if at > now]
        ticks += len(due)
        # Each request with a short deadline sets an alarm in addition to that of the long deadlines.
        time_left = 3000 if turn % 10 == 0 else 500000
        query = [f"QUERY job={turn} profile=look patienceLeft={time_left}"] * (turn <= 1000)
        lines = ["CONTEXT sidecar=sidecar/0", *["TICK_DUE mark=wake"] * len(due), *query, "GO"]
        reply = process.process_batch(f"SYNC simTime={now} turn={turn}", iter(lines))
        alarms += [int(line.split()[1].partition("=")[2]) for line in reply if line.startswith("SET_ALARM")]
        answered += sum(line.startswith(("TURN_AWAY", "SURRENDER")) for line in reply)
    assert answered == 999 and ticks < 2 * answered
