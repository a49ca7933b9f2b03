"""The fleet's policy: decided everywhere or nowhere, what breaks that, and which proposals are rejected."""

import asyncio
import base64
import json
import random
import signal
import socket
import subprocess
import sys

import msgspec
import pytest
from conftest import SETTINGS
from test_fleet_wire import Served, joined, part_at

from fakes.loopback import free_address
from starlingwheel.fleet.policy import document
from starlingwheel.fleet.policy.host import StoredPolicy
from starlingwheel.fleet.policy.replica import PolicyReplica
from starlingwheel.fleet.records import StoreEntry, StoreRecords
from starlingwheel.net.fleet.policy import VoteStore
from trials import policy
from trials.broken import POLICY_VARIANTS, ServesUndecided, TrustsLease, VoteNotBinding
from trials.emulated_policy import QUIET, play
from trials.model_policy import explore
from trials.model_policy_events import Bounds
from trials.policy_scenes import SCENES
from trials.rig import ROOT, Rig


@pytest.mark.parametrize("seed", range(12))
def test_under_all_faults_the_fleet_follows_one_policy(seed):
    played = play(seed)
    assert not played.broken and played.requests_taken > 10_000 and not played.is_proposal_open


def test_without_faults_each_change_is_decided_unless_a_member_votes_no():
    plays = [play(seed, faults=QUIET) for seed in range(4)]
    assert sum(one.proposed for one in plays) == 24 and sum(one.decided for one in plays) > 15


def test_fifty_members_follow_one_policy():
    played = play(3, members=50, changes=2)
    assert not played.broken and played.decided


@pytest.mark.parametrize("scene", SCENES)
def test_no_scene_breaks_a_promise(scene):
    assert not SCENES[scene]().broken()


@pytest.mark.parametrize("kind", POLICY_VARIANTS)
def test_some_scene_breaks_each_variant(kind):
    assert any(scene(kind).broken() for scene in SCENES.values())


@pytest.mark.parametrize(
    "bounds", [Bounds(cuts=0, statuses=0, watch_stalls=1), Bounds(cuts=0, statuses=0, pauses=1)]
)
def test_every_order_of_one_change_keeps_the_promise(bounds):
    exploration = explore(bounds)
    assert exploration.complete and not exploration.broken and exploration.decided and exploration.dropped


@pytest.mark.parametrize("kind", [VoteNotBinding, ServesUndecided, TrustsLease])
def test_the_model_finds_the_order_that_breaks_a_variant(kind):
    assert explore(Bounds(cuts=0, statuses=0, pauses=1), kind).broken


@pytest.mark.xdist_group("trials-1")
def test_real_processes_follow_one_policy_under_faults():
    verdict = asyncio.run(policy.changes(1, sidecars=6, count=3))
    assert verdict.kept, verdict.broken
    assert verdict.counts["changes"] == 3 and verdict.counts["answers"] > 500


@pytest.mark.xdist_group("trials-2")
def test_the_rig_sees_two_policies_without_a_fleet():
    verdict = asyncio.run(policy.changes(1, sidecars=3, count=1, fleet=False))
    assert any(one.startswith("a1 ") or "after it held" in one for one in verdict.broken)


# Documents, records and files.


def body(**changed):
    settings = {k: v for k, v in SETTINGS.items() if k not in document.MEMBER_KEYS} | changed
    return {"settings": settings, "cover": {"categories": ["buy"]}}


def test_all_faults_of_a_policy_are_reported_at_once_with_their_keys():
    twice = [{"name": "look", "effect": "free", "dueTime": 1, "expiry": 0}] * 2
    wrong = body(categories=twice, locality="here", capz={}, caps={"mostHandOff": 1}) | {"spare": 1}
    faults = "; ".join(document.validation_errors(wrong, {}, 192))
    for part in (
        "spare: unknown", "settings.locality: specific to each sidecar",
        "settings.capz: unknown; did you mean caps",
        "settings.caps.mostHandOff: unknown; did you mean mostHandOffs",
        "categories[1].name: 'look' is a duplicate",
        "categories[0].expiry: 0 is not a positive number", "cover.categories[0]: 'buy' is no category",
    ):  # fmt: skip
        assert part in faults, part


def test_keys_that_the_platform_put_in_the_file_are_known():
    assert not document.validation_errors(body(resolution=3), {"resolution": 1}, 192)
    assert document.validation_errors(body(resolution=3), {}, 192) == ["settings.resolution: unknown"]


@pytest.mark.parametrize("wrong", [None, 3, [], "x", {}, {"settings": 1}, {"settings": {}, "cover": 0}])
def test_a_document_that_is_no_policy_has_faults(wrong):
    assert document.validation_errors(wrong, {}, 192)


def test_a_policy_too_large_for_the_memory_limit_has_a_fault():
    large = body(tenants=[{"name": f"t{i:040}", "share": 1.0} for i in range(200)])
    assert not document.validation_errors(large, {}, 192)
    assert "bytes, more than the limit of 4096 bytes" in document.validation_errors(large, {}, 16)[0]


def test_only_edits_of_a_file_conflict_with_the_policy_in_force():
    old, active_policy = body(), body(rules={"mustAskIn": 5})
    assert document.conflicting_edits(old, old, active_policy) == []
    (fault,) = document.conflicting_edits(old, body(rules={"mustAskIn": 7}), active_policy)
    assert fault == "settings.rules.mustAskIn: 7, but the policy in force has 5"
    assert document.conflicting_edits(old, active_policy, active_policy) == []


def test_unreadable_records_hide_no_others_and_raise_nothing():
    rng = random.Random(5)
    good = {
        "members/a.1": b'{"id":"a.1","name":"a","address":"x"}',
        "policy/now": msgspec.json.encode({"policy": {"version": 1}, "at": 1.0, "number": 2, "before": {}}),
        "policy/next": msgspec.json.encode({"policy": {"version": 2}, "at": 1, "made": 0, "author": "a.1"}),
        "policy/votes/3/a.1": b'""',
        "policy/past/1": b"{}",
        "names/a": b"1",
    }
    for _ in range(2000):
        records = StoreRecords()
        for key, value in good.items():
            data = bytearray(value)
            for _ in range(rng.randint(0, 2)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            records.put(key, StoreEntry(bytes(data), 3, 3))
        for key in [*good, "policy/past/x", "policy/votes/x/y", "policy/votes/"]:
            records.put(key, StoreEntry(b"\xff{", 3, 3))
            records.delete(key)


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b'{"fleet":"other"}', b'{"fleet":3}', b"\xff\xfe"])
def test_an_unusable_votes_file_counts_as_missing_and_is_logged(tmp_path, data):
    lines = []
    vote_store = VoteStore(str(tmp_path), "f", "n0", lambda event, **fields: lines.append(event))
    vote_store.path.write_bytes(data)
    assert vote_store.read() == StoredPolicy("f") and lines == ["policy.unreadable"]


def test_the_state_of_the_votes_file_says_why_it_cant_be_written(tmp_path):
    vote_store = VoteStore(str(tmp_path / "gone"), "f", "n0", lambda event, **fields: None)
    vote_store.write(StoredPolicy("f", ended_proposal=3))
    while vote_store.state is None:
        pass
    assert "No such file" in vote_store.state


# One real sidecar.


@pytest.fixture
def served():
    store = Served()
    yield store
    store.close()


class AdminClient:
    """A sidecar of a fleet, and a client of its admin address."""

    def __init__(self, make_harness, served, tmp_path, **more):
        part = part_at(served) | {"keep": str(tmp_path)} | more
        self.harness = make_harness(name="n0", fleet=part, settings=SETTINGS, mgmt=free_address())
        self.harness.wait_until(lambda: joined(self.harness))

    def call(self, request, content=None):
        """The status and the decoded answer of a call, such as `GET /_policy`."""
        harness = self.harness
        caller = harness.close_at_end(
            socket.create_connection(harness.context.admin_listener.sock.getsockname())
        )
        data = b"" if content is None else json.dumps(content).encode()
        head = f"{request} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(data)}\r\n\r\n"
        caller.sendall(head.encode() + data)
        response, answer = harness.read_message(caller)
        return response.status_code, json.loads(answer) if answer else None

    @property
    def policy_replica(self) -> PolicyReplica:
        return self.harness.context.fleet.policy_controller.policy_replica


@pytest.fixture
def admin(make_harness, served, tmp_path):
    return AdminClient(make_harness, served, tmp_path)


def policy_with_timeout(seconds=3):
    categories = [dict(category) for category in SETTINGS["categories"]]
    for category in categories:
        category["expiry"] = seconds * 1_000_000
    return body(categories=categories)


def test_a_proposed_policy_takes_effect_at_its_switch_time(admin):
    status, answer = admin.call("PUT /_policy/propose", {"policy": policy_with_timeout(), "switch_s": 1.7})
    assert status == 200 and answer["version"] == 1
    harness = admin.harness
    harness.wait_until(lambda: admin.policy_replica.decided_version == 1)
    assert admin.policy_replica.active_policy.version == 0 and harness.context.longest_timeout < 3
    harness.wait_until(lambda: admin.policy_replica.active_policy.version == 1)
    assert harness.context.longest_timeout == 3 and harness.context.loop.now() >= answer["at"]
    status, answer = admin.call("GET /_policy")
    assert (
        answer["in_force"]["version"] == 1 and answer["past"][0]["how"] == "decided" and not answer["doubt"]
    )


def test_an_invalid_proposal_is_rejected(admin):
    for wrong, status in (
        ({"policy": body(categories=[])}, 400), ({"policy": policy_with_timeout(), "switch_s": 0.1}, 400),
        ({"polic": 1}, 400), ({"policy": policy_with_timeout(), "base": 7}, 409),
        ({"policy": body(caps={"peers": False})}, 400),
    ):  # fmt: skip
        got, answer = admin.call("PUT /_policy/propose", wrong)
        assert got == status and answer["error"]
    assert admin.policy_replica.decided_version == 0 and admin.policy_replica.records.proposal is None


def test_a_second_proposal_is_rejected_and_the_first_can_be_dropped(admin, served):
    # A member that never votes keeps it open.
    other = {"id": "n9.ff", "name": "n9", "address": "127.0.0.1:1"}
    put = {"key": b64("/f/members/n9.ff"), "value": b64(json.dumps(other))}
    served.call(served.arbiter.put_encoded, put)
    assert admin.call("PUT /_policy/propose", {"policy": policy_with_timeout(), "switch_s": 60})[0] == 200
    admin.harness.wait_until(lambda: admin.policy_replica.records.proposal)
    assert admin.call("PUT /_policy/propose", {"policy": policy_with_timeout(4)})[0] == 409
    _, answer = admin.call("GET /_policy")
    assert answer["open"]["votes"]["n9"] == "nothing"
    assert admin.call("PUT /_policy/drop", {"id": "1"})[0] == 200
    admin.harness.wait_until(lambda: admin.policy_replica.records.proposal is None)
    assert admin.policy_replica.promise is None and admin.policy_replica.active_policy.version == 0


def b64(text):
    return base64.b64encode(text.encode()).decode()


def test_requests_are_rejected_while_it_is_not_known_whether_a_change_was_decided(admin, served):
    other = {"id": "n9.ff", "name": "n9", "address": "127.0.0.1:1"}
    served.call(served.arbiter.put_encoded, {"key": b64("/f/members/n9.ff"), "value": b64(json.dumps(other))})
    assert admin.call("PUT /_policy/propose", {"policy": policy_with_timeout(), "switch_s": 1.7})[0] == 200
    harness = admin.harness
    harness.wait_until(lambda: admin.policy_replica.promise and admin.policy_replica.records.votes)
    served.do(served.arbiter.take_down())
    harness.wait_until(lambda: admin.policy_replica.unavailable_reason() == "undecided")
    assert harness.read_status(harness.send_request("buy", b"one")) == 503
    served.do(served.arbiter.start())
    harness.wait_until(lambda: admin.policy_replica.promise is None)
    asked = harness.send_request("buy", b"one", x_trace_id="t2")
    harness.serve()
    assert harness.read_status(asked) == 200 and admin.policy_replica.active_policy.version == 0


def test_sighup_changes_only_the_settings_of_this_sidecar(admin):
    harness = admin.harness
    harness.reconfigure(settings=SETTINGS | {"rules": {"mustAskIn": 900000}})
    (line,) = harness.log_lines("config.unusable")
    assert "settings.rules.mustAskIn: 900000" in line["error"] and "propose a change instead" in line["error"]
    harness.reconfigure(settings=SETTINGS | {"locality": "elsewhere"})
    assert harness.context.balancer_config.zone == "elsewhere"


def test_a_process_that_was_down_starts_under_the_policy_in_force(admin, make_harness, served, tmp_path):
    assert admin.call("PUT /_policy/propose", {"policy": policy_with_timeout(), "switch_s": 1.6})[0] == 200
    admin.harness.wait_until(lambda: admin.policy_replica.active_policy.version == 1)
    part = part_at(served) | {"keep": str(tmp_path / "other")}
    late = make_harness(name="n1", fleet=part, settings=SETTINGS)
    late.wait_until(lambda: joined(late))
    assert late.context.longest_timeout == 3 and late.log_lines("policy.file_differs")


# The command.


def command(*given):
    done = subprocess.run(
        [sys.executable, "-m", "starlingwheel.cli", *given], cwd=ROOT, capture_output=True, text=True
    )
    assert "Traceback" not in done.stderr
    return done.returncode, done.stdout + done.stderr


def test_the_command_extracts_a_policy_from_a_configuration_and_checks_it(tmp_path):
    code, output = command("policy", "extract", "examples/fleet-0.json")
    assert code == 0 and "locality" not in json.loads(output)["settings"]
    # A policy taken from a file keeps what the file turns on.
    assert json.loads(output)["zones"] == {"regions": {"here": "home"}, "bears": {}}
    file = tmp_path / "policy.json"
    file.write_text(output)
    assert command("policy", "check", str(file))[0] == 0
    file.write_text(output.replace("mostHandOffs", "mostHandoffs"))
    code, output = command("policy", "check", str(file))
    assert code == 1 and "did you mean mostHandOffs" in output


@pytest.mark.parametrize(
    ("given", "code"),
    [
        (("propose", "/none", "--at", "127.0.0.1:1"), 1),
        (("show", "--at", "127.0.0.1:1"), 4),
        (("show", "--at", "nowhere"), 2),
        (("show",), 2),
        (("extract", "pyproject.toml"), 1),
    ],
)
def test_the_exit_code_of_the_command_says_what_failed(given, code):
    assert command("policy", *given)[0] == code


SWITCH_DELAY = "5"  # seconds, in which all vote and a second command is refused, also on a busy machine
LONG_SWITCH_DELAY = "60"  # seconds, in which nobody drops the proposal as late


def stop_without_leaving(rig, sidecar):
    """Stop a process whose entry stays in the store: once that has gone, the others decide without it."""
    sidecar.signal(signal.SIGSTOP)
    prefix = f"/trial/members/{sidecar.name}.".encode()
    (entry,) = [entry for key, entry in rig.arbiter.entries.items() if key.startswith(prefix)]
    rig.arbiter.put(entry.key.decode(), entry.value.decode())  # without a lease


@pytest.mark.xdist_group("trials-1")
def test_the_command_proposes_to_real_processes_and_prints_the_outcome(tmp_path):
    async def played():
        async with Rig(1, sidecars=3, upstreams=2, lease=1) as rig:
            file = tmp_path / "policy.json"
            file.write_text(json.dumps(policy.body("a1")))
            at = ("--at", f"{rig.sidecars[0].host}:{rig.sidecars[0].mgmt}")
            given = ("policy", "propose", str(file), "--switch", SWITCH_DELAY, *at)
            decided = await asyncio.to_thread(command, *given)
            early = await asyncio.to_thread(command, *given)
            while (await rig.sidecars[0].admin_call("GET", "/_policy"))[1]["in_force"]["version"] == 0:
                await asyncio.sleep(0.05)
            shown = await asyncio.to_thread(command, "policy", "show", *at)
            stop_without_leaving(rig, rig.sidecars[2])
            given = ("policy", "propose", str(file), "--switch", LONG_SWITCH_DELAY, "--no-wait", *at)
            open_ = await asyncio.to_thread(command, *given)
            dropped = await asyncio.to_thread(command, "policy", "drop", "2", *at)
            return decided, early, shown, open_, dropped

    decided, early, shown, open_, dropped = asyncio.run(played())
    assert decided[0] == 0 and "version 1 is decided" in decided[1]
    assert early[0] == 1 and "does not hold yet" in early[1]
    assert "past: version 1 decided" in shown[1]
    assert open_[0] == 0 and dropped[0] == 0 and "dropped" in dropped[1]
