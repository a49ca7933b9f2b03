"""Stories of what is still owed in the instant in which something ends; docs/endings.md lists them.

The crossing is forced: the loop turns only while a story waits, and `held` keeps back what a socket says.
"""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import msgspec
import pytest
from conftest import SETTINGS, address, bound, categories

from starlingwheel.net.lifecycle import stop
from starlingwheel.net.loop import HANGUP, WRITE, ready
from starlingwheel.net.mail import CLOSE, STOP
from starlingwheel.net.wire import discovery
from starlingwheel.net.wire.client import AT_ONCE

NO_CANCEL = {"caps": SETTINGS["caps"] | {"cancel": False}}
PUSHED = {"discovery": "push", "rules": {"drainGrace": 100000}}
LEAVE = ["closes", "resets", "ends its sending"]


def leave(around, client, how="closes"):
    match how:
        case "closes":
            client.close()
        case "resets":
            around.reset(client)
        case _:
            client.shutdown(socket.SHUT_WR)


@contextlib.contextmanager
def held(around, actor, mask):
    """What the socket of an actor says is kept back meanwhile, as by a late turn of the loop."""
    descriptor = actor.stream.sock.fileno()
    around.node.loop.forget(descriptor)
    yield
    if not actor.ended:
        around.node.loop.watch(descriptor, actor, mask)


def in_hand(around):
    """The sidecar's end of the only client that waits."""
    return around.until(lambda: next((c for c in around.node.ledger.clients if c.job is not None), None))


def coming_up(around):
    """A connection to an upstream that has been begun; what the socket says of it has not been read."""
    connections = around.node.ledger.upstream
    while not connections:
        around.node.loop.turn(0)
    return next(iter(connections))


def nothing_comes(around, sock, seconds=0.05):
    around.let_pass(seconds)
    assert around.read(sock) in (None, b"end")


# The list.


@pytest.mark.parametrize("indent", [1, 4])
def test_a_list_may_come_indented(make_surroundings, indent):
    around = make_surroundings(upstreams=2)
    odd = {"id": 's2}]"{', "addr": "127.0.0.1:1", "state": "leaving"}
    news = {"version": 9, "full": True, "servers": [around.entry(1), odd]}
    watch, _ = around.watch(msgspec.json.format(msgspec.json.encode(news), indent=indent), b"")
    around.until(lambda: list(around.node.module.upstreams) == ["s1", 's2}]"{'])
    around.say(watch, b"")
    change = {"version": 10, "servers": [around.entry(1, state="leaving")]}
    around.say(watch, msgspec.json.format(msgspec.json.encode(change), indent=indent))
    around.until(lambda: around.node.list.version == 10)
    around.say(watch, {"version": 11, "servers": [around.entry(0)]})
    around.until(lambda: around.node.list.version == 11)
    assert not around.logged("list.end")
    around.all_go_to(0, 3)


def test_a_watch_that_fell_silent_is_opened_anew_at_once_however_many_sidecars_there_are(
    make_surroundings, monkeypatch
):
    monkeypatch.setattr(discovery, "EMPTY_LINE", 0.1)
    around = make_surroundings(settings={"replicasOfMe": 400, "rules": {"mustAskIn": 10000000}})
    around.watch(b"")
    around.until(lambda: around.node.list.current is None)
    assert around.logged("list.end")[0]["reason"] == "silent"
    within = discovery.ANEW * discovery.EMPTY_LINE
    assert around.node.list.move_at <= around.node.loop.now() + within
    around.watch(b"")


def test_a_pushed_list_is_waited_for_before_anything_is_handed_off(make_surroundings):
    """What its agent has counts as told from the first moment of a process; what was known may be old."""
    around = make_surroundings(upstreams=2, settings=PUSHED)
    assert around.status(around.ask(lead="GET /ready HTTP/1.1")) == 503
    assert around.status(around.ask("buy", b"one")) == 503
    around.quiet(0)
    around.quiet(1)
    servers = [around.entry(0, state="leaving"), around.entry(1)]
    _, target = around.watch({"version": 9, "full": True, "servers": servers})
    assert target.endswith(b"from=0")
    around.until(lambda: around.node.ready)
    around.all_go_to(1, 4)
    around.quiet(0)


def test_an_agent_that_says_nothing_does_not_keep_a_start_waiting_for_ever(make_surroundings, monkeypatch):
    monkeypatch.setattr(discovery, "UNHEARD", 0.02)
    around = make_surroundings(settings=PUSHED)
    around.until(lambda: around.node.ready)
    client = around.ask()
    around.serve()
    assert around.status(client) == 200


def test_a_pushed_list_that_ended_is_called_again_well_within_the_grace(make_surroundings):
    around = make_surroundings(settings=PUSHED)
    watch = around.hear()
    grace = around.node.terms.drain_grace
    assert grace == 0.1
    around.discovery.close()
    watch.close()
    for calls in range(1, 10):
        around.until(lambda: len(around.logged("list.end")) >= calls)  # noqa: B023
        around.until(lambda: around.node.list.current is None)
        assert around.node.list.move_at <= around.node.loop.now() + grace / 2


def test_a_call_that_an_agent_leaves_unanswered_is_made_anew_soon(make_surroundings, monkeypatch):
    monkeypatch.setattr(discovery, "EMPTY_LINE", 0.2)
    around = make_surroundings(settings=PUSHED)
    around.accept(listener=around.discovery)
    around.until(lambda: around.node.list.current is None)
    assert around.node.list.patience == 2 * discovery.AGENT
    around.hear()
    assert around.node.list.patience == discovery.AGENT


# Stop, start and room.


def test_all_that_wait_at_the_listener_are_let_in_before_it_closes(around):
    waiting = [around.ask(lead="GET /ready HTTP/1.1") for _ in range(AT_ONCE + 40)]
    around.node.listener.post(STOP)
    around.until(lambda: around.logged("listener.closed"))
    assert [around.status(client) for client in waiting] == [200] * len(waiting)


def test_a_second_word_to_stop_cuts_nothing_short(around, monkeypatch):
    monkeypatch.setattr(stop, "LINGER", 60.0)
    around.node.stopper.post(STOP)
    around.until(lambda: around.node.stopping)
    for _ in range(3):
        around.node.stopper.post(STOP)
        around.let_pass(0.01)
    assert not around.logged("listener.closed")
    late = around.ask()
    around.serve()
    assert around.status(late) == 200


@pytest.fixture
def starting(tmp_path):
    """A program that has come as far as reading its configuration, which the story has still to write."""
    pipe = tmp_path / "config.json"
    os.mkfifo(pipe)
    listener = bound()
    told = {"listen": address(listener), "discovery": "127.0.0.1:1", "settings": SETTINGS}
    listener.close()
    process = subprocess.Popen(
        [sys.executable, "-m", "starlingwheel"],
        env=os.environ | {"EDGE_CONFIG": str(pipe)}, stdout=subprocess.PIPE, stderr=subprocess.PIPE,
    )  # fmt: skip

    def reader():
        """The pipe, once it is being read."""
        while process.poll() is None:
            with contextlib.suppress(OSError):
                return os.open(pipe, os.O_WRONLY | os.O_NONBLOCK)
            time.sleep(0.01)
        raise AssertionError(f"it has ended: {process.returncode}")

    def write(descriptor):
        """What is read now; whoever reads it again finds a file in its place."""
        (tmp_path / "again").write_bytes(msgspec.json.encode(told))
        os.replace(tmp_path / "again", pipe)
        os.write(descriptor, msgspec.json.encode(told))
        os.close(descriptor)

    yield process, reader, write
    process.kill()
    process.communicate()


def test_a_new_configuration_told_during_the_start_is_read_and_ends_nothing(starting):
    process, reader, write = starting
    descriptor = reader()
    process.send_signal(signal.SIGHUP)
    write(descriptor)
    while b'"config.read"' not in (line := process.stdout.readline()):
        assert line
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=10)
    assert process.returncode == 0


def test_a_word_to_stop_during_the_start_ends_it_as_any_other_time(starting):
    process, reader, write = starting
    descriptor = reader()
    process.send_signal(signal.SIGTERM)
    write(descriptor)
    out, errors = process.communicate(timeout=10)
    assert process.returncode == 0 and errors == b"" and b'"event":"end"' in out


@pytest.mark.parametrize("file", ["balancer.toml", "fleet.toml"])
def test_before_the_interpreter_is_up_a_new_configuration_ends_nothing(tmp_path, file):
    run = tomllib.loads((Path(__file__).parent.parent / "deploy" / file).read_text())["run"]
    stand_in = tmp_path / ".venv" / "bin" / "python"
    stand_in.parent.mkdir(parents=True)
    stand_in.write_text("#!/bin/sh\nexec grep SigIgn /proc/self/status\n")
    stand_in.chmod(0o755)
    out = subprocess.run(["/bin/sh", "-c", run], cwd=tmp_path, capture_output=True, text=True).stdout
    assert int(out.split()[1], 16) >> (signal.SIGHUP - 1) & 1
