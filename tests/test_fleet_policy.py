"""The fleet's policy: atomic changes, variants that break them, validation, admin calls and the command."""

import asyncio
import base64
import json
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from conftest import SETTINGS, SidecarHarness
from test_fleet_wire import StoreThread, fleet_config, joined

from fakes.loopback import free_address
from starlingwheel.fleet.policy import document
from starlingwheel.fleet.policy.document import PolicyBody
from starlingwheel.fleet.policy.host import StoredPolicy
from starlingwheel.fleet.policy.replica import PolicyReplica
from starlingwheel.fleet.records import StoreEntry, StoreRecords
from starlingwheel.net.fleet.policy import VoteStore
from trials import policy
from trials.broken import POLICY_VARIANTS, ServesUndecided, TrustsLease, VoteNotBinding
from trials.emulated_policy import NO_FAULTS, simulate
from trials.model_policy import explore
from trials.model_policy_events import Bounds
from trials.policy_scenes import SCENARIOS
from trials.rig import ROOT, Cluster, Sidecar


@pytest.mark.parametrize("seed", range(12))
def test_under_all_faults_the_fleet_follows_one_policy(seed: int) -> None:
    """Under faults of every kind no two members serve under different policies."""
    outcome = simulate(seed)
    assert not outcome.violations and outcome.requests_accepted > 10_000 and not outcome.is_proposal_open


def test_without_faults_each_change_is_decided_unless_a_member_votes_no() -> None:
    """Without faults, a no vote is the only reason for which a proposal fails."""
    outcomes = [simulate(seed, faults=NO_FAULTS) for seed in range(4)]
    assert (
        sum(outcome.proposed for outcome in outcomes) == 24
        and sum(outcome.decided for outcome in outcomes) > 15
    )


def test_fifty_members_follow_one_policy() -> None:
    """With fifty members there are no violations, and a change is decided."""
    outcome = simulate(3, members=50, changes=2)
    assert not outcome.violations and outcome.decided


@pytest.mark.parametrize("scene", SCENARIOS)
def test_each_scenario_keeps_the_invariants(scene: str) -> None:
    """In scenarios of known races the replica keeps the invariants."""
    assert not SCENARIOS[scene]().violations()


@pytest.mark.parametrize("variant", POLICY_VARIANTS)
def test_each_broken_variant_is_detected_by_a_scenario(variant: type[PolicyReplica]) -> None:
    """The scenarios are strict enough: each deliberately broken replica fails in one of them."""
    assert any(scene(variant).violations() for scene in SCENARIOS.values())


@pytest.mark.parametrize(
    "bounds", [Bounds(cuts=0, statuses=0, watch_stalls=1), Bounds(cuts=0, statuses=0, pauses=1)]
)
def test_every_order_of_events_in_one_change_keeps_the_invariants(bounds: Bounds) -> None:
    """The model explores all orders of events in one change, of which some decide it and some drop it."""
    exploration = explore(bounds)
    assert exploration.complete and not exploration.violations and exploration.decided and exploration.dropped


@pytest.mark.parametrize("variant", [VoteNotBinding, ServesUndecided, TrustsLease])
def test_the_model_finds_the_order_of_events_that_breaks_a_variant(variant: type[PolicyReplica]) -> None:
    """The exploration is strict enough: it detects deliberately broken replicas."""
    assert explore(Bounds(cuts=0, statuses=0, pauses=1), variant).violations


@pytest.mark.xdist_group("trials-1")
def test_real_processes_follow_one_policy_under_faults() -> None:
    """Real sidecars change the policy three times under faults."""
    verdict = asyncio.run(policy.run_changes(1, sidecars=6, count=3))
    assert verdict.passed, verdict.violations
    assert verdict.counts["changes"] == 3 and verdict.counts["answers"] > 500


@pytest.mark.xdist_group("trials-2")
def test_the_trial_detects_two_policies_without_a_fleet() -> None:
    """The trial is strict enough: sidecars without a fleet serve under two policies at once."""
    verdict = asyncio.run(policy.run_changes(1, sidecars=3, count=1, fleet=False))
    assert any(
        violation.startswith("a1 ") or "after its policy was in force" in violation
        for violation in verdict.violations
    )


# Documents, records and files.


def body(**changed: object) -> PolicyBody:
    """Return a valid policy, with some settings changed."""
    settings = {k: v for k, v in SETTINGS.items() if k not in document.MEMBER_KEYS} | changed
    return {"settings": settings, "cover": {"categories": ["buy"]}}


def test_all_errors_of_a_policy_are_reported_at_once_with_their_keys() -> None:
    """An operator sees every error in one attempt."""
    duplicates = [{"name": "look", "effect": "free", "dueTime": 1, "expiry": 0}] * 2
    wrong = body(categories=duplicates, locality="here", capz={}, caps={"mostHandOff": 1}) | {"spare": 1}
    errors = "; ".join(document.validation_errors(wrong, {}, 192))
    for part in (
        "spare: unknown", "settings.locality: specific to each sidecar",
        "settings.capz: unknown; did you mean caps",
        "settings.caps.mostHandOff: unknown; did you mean mostHandOffs",
        "categories[1].name: 'look' is a duplicate",
        "categories[0].expiry: 0 is not a positive number", "cover.categories[0]: 'buy' is not a category",
    ):  # fmt: skip
        assert part in errors, part


def test_keys_that_the_platform_has_added_to_the_file_are_known() -> None:
    """A key that the configuration file already has is no error."""
    assert not document.validation_errors(body(resolution=3), {"resolution": 1}, 192)
    assert document.validation_errors(body(resolution=3), {}, 192) == ["settings.resolution: unknown"]


@pytest.mark.parametrize("wrong", [None, 3, [], "x", {}, {"settings": 1}, {"settings": {}, "cover": 0}])
def test_an_invalid_document_has_errors(wrong: object) -> None:
    """A document of the wrong shape raises no exception."""
    assert document.validation_errors(wrong, {}, 192)


def test_a_policy_too_large_for_the_memory_limit_has_an_error() -> None:
    """The size limit depends on the memory limit of the sidecar."""
    large = body(tenants=[{"name": f"t{i:040}", "share": 1.0} for i in range(200)])
    assert not document.validation_errors(large, {}, 192)
    assert "bytes, more than the limit of 4096 bytes" in document.validation_errors(large, {}, 16)[0]


def test_only_edits_of_a_file_conflict_with_the_policy_in_force() -> None:
    """A file that is merely older than the policy in force can still be reloaded."""
    old, active_policy = body(), body(rules={"mustAskIn": 5})
    assert document.conflicting_edits(old, old, active_policy) == []
    (conflict,) = document.conflicting_edits(old, body(rules={"mustAskIn": 7}), active_policy)
    assert conflict == "settings.rules.mustAskIn: 7, but the policy in force has 5"
    assert document.conflicting_edits(old, active_policy, active_policy) == []


def test_unreadable_records_do_not_affect_others_and_raise_nothing() -> None:
    """Random corruptions of records in the store never raise an exception."""
    rng = random.Random(5)
    valid_records = {
        "members/a.1": b'{"id":"a.1","name":"a","address":"x"}',
        "policy/now": msgspec.json.encode({"policy": {"version": 1}, "at": 1.0, "number": 2, "before": {}}),
        "policy/next": msgspec.json.encode({"policy": {"version": 2}, "at": 1, "made": 0, "author": "a.1"}),
        "policy/votes/3/a.1": b'""',
        "policy/past/1": b"{}",
        "names/a": b"1",
    }
    for _ in range(2000):
        records = StoreRecords()
        for key, value in valid_records.items():
            data = bytearray(value)
            for _ in range(rng.randint(0, 2)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            records.put(key, StoreEntry(bytes(data), 3, 3))
        for key in [*valid_records, "policy/past/x", "policy/votes/x/y", "policy/votes/"]:
            records.put(key, StoreEntry(b"\xff{", 3, 3))
            records.delete(key)


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b'{"fleet":"other"}', b'{"fleet":3}', b"\xff\xfe"])
def test_an_unusable_votes_file_counts_as_missing_and_is_logged(tmp_path: Path, data: bytes) -> None:
    """A corrupt file does not prevent the start."""
    events: list[str] = []
    vote_store = VoteStore(str(tmp_path), "f", "n0", lambda event, **fields: events.append(event))
    vote_store.path.write_bytes(data)
    assert vote_store.read() == StoredPolicy("f") and events == ["policy.unreadable"]


def test_the_state_of_the_votes_file_tells_why_it_cannot_be_written(tmp_path: Path) -> None:
    """The state has the text of the operating system's error."""
    vote_store = VoteStore(str(tmp_path / "gone"), "f", "n0", lambda event, **fields: None)
    vote_store.write(StoredPolicy("f", ended_proposal=3))
    while vote_store.state is None:
        pass
    assert "No such file" in vote_store.state


# One real sidecar.


@pytest.fixture
def store() -> Iterator[StoreThread]:
    """Provide a fake coordination store."""
    started = StoreThread()
    yield started
    started.close()


MakeHarness = Callable[..., SidecarHarness]


class AdminClient:
    """A sidecar of a fleet, and a client of its admin address."""

    def __init__(
        self, make_harness: MakeHarness, store: StoreThread, tmp_path: Path, **fleet_settings: object
    ) -> None:
        """Start the sidecar and wait until it has joined. `fleet_settings`: fields of the key `fleet`."""
        config = fleet_config(store) | {"keep": str(tmp_path)} | fleet_settings
        self.harness = make_harness(name="n0", fleet=config, settings=SETTINGS, mgmt=free_address())
        self.harness.wait_until(lambda: joined(self.harness))

    def call(self, request: str, content: object = None) -> tuple[int, Any]:
        """Return the status and the decoded answer of a call, such as `GET /_policy`."""
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
        """The replica of the sidecar."""
        return self.harness.context.fleet.policy_controller.policy_replica


@pytest.fixture
def admin(make_harness: MakeHarness, store: StoreThread, tmp_path: Path) -> AdminClient:
    """Provide a sidecar of a fleet with one member."""
    return AdminClient(make_harness, store, tmp_path)


def policy_with_timeout(seconds: int = 3) -> PolicyBody:
    """Return a policy with this timeout in all categories."""
    categories = [dict(category) for category in SETTINGS["categories"]]
    for category in categories:
        category["expiry"] = seconds * 1_000_000
    return body(categories=categories)


def test_a_proposed_policy_takes_effect_at_its_switch_time(admin: AdminClient) -> None:
    """Until the switch time the decided policy is not in force."""
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


def test_an_invalid_proposal_is_rejected(admin: AdminClient) -> None:
    """A rejected proposal leaves no record in the store."""
    for wrong, status in (
        ({"policy": body(categories=[])}, 400), ({"policy": policy_with_timeout(), "switch_s": 0.1}, 400),
        ({"polic": 1}, 400), ({"policy": policy_with_timeout(), "base": 7}, 409),
        ({"policy": body(caps={"peers": False})}, 400),
    ):  # fmt: skip
        answered_status, answer = admin.call("PUT /_policy/propose", wrong)
        assert answered_status == status and answer["error"]
    assert admin.policy_replica.decided_version == 0 and admin.policy_replica.records.proposal is None


def test_a_second_proposal_is_rejected_and_the_first_can_be_dropped(
    admin: AdminClient, store: StoreThread
) -> None:
    """A member that never votes keeps the first proposal open."""
    other = {"id": "n9.ff", "name": "n9", "address": "127.0.0.1:1"}
    put = {"key": encode_text("/f/members/n9.ff"), "value": encode_text(json.dumps(other))}
    store.call(store.etcd.put_encoded, put)
    assert admin.call("PUT /_policy/propose", {"policy": policy_with_timeout(), "switch_s": 60})[0] == 200
    admin.harness.wait_until(lambda: admin.policy_replica.records.proposal)
    assert admin.call("PUT /_policy/propose", {"policy": policy_with_timeout(4)})[0] == 409
    _, answer = admin.call("GET /_policy")
    assert answer["open"]["votes"]["n9"] == "nothing"
    assert admin.call("PUT /_policy/drop", {"id": "1"})[0] == 200
    admin.harness.wait_until(lambda: admin.policy_replica.records.proposal is None)
    assert admin.policy_replica.promise is None and admin.policy_replica.active_policy.version == 0


def encode_text(text: str) -> str:
    """Return a text in base64, as etcd's API encodes keys and values."""
    return base64.b64encode(text.encode()).decode()


def test_requests_are_rejected_while_it_is_not_known_whether_a_change_was_decided(
    admin: AdminClient, store: StoreThread
) -> None:
    """The store fails after the vote, so the voter cannot learn how the proposal ended."""
    other = {"id": "n9.ff", "name": "n9", "address": "127.0.0.1:1"}
    store.call(
        store.etcd.put_encoded,
        {"key": encode_text("/f/members/n9.ff"), "value": encode_text(json.dumps(other))},
    )
    assert admin.call("PUT /_policy/propose", {"policy": policy_with_timeout(), "switch_s": 1.7})[0] == 200
    harness = admin.harness
    harness.wait_until(lambda: admin.policy_replica.promise and admin.policy_replica.records.votes)
    store.run(store.etcd.take_down())
    harness.wait_until(lambda: admin.policy_replica.unavailable_reason() == "undecided")
    assert harness.read_status(harness.send_request("buy", b"one")) == 503
    store.run(store.etcd.start())
    harness.wait_until(lambda: admin.policy_replica.promise is None)
    client = harness.send_request("buy", b"one", x_trace_id="t2")
    harness.serve()
    assert harness.read_status(client) == 200 and admin.policy_replica.active_policy.version == 0


def test_sighup_changes_only_the_settings_of_this_sidecar(admin: AdminClient) -> None:
    """A reloaded file cannot change the policy of the fleet."""
    harness = admin.harness
    harness.reconfigure(settings=SETTINGS | {"rules": {"mustAskIn": 900000}})
    (line,) = harness.log_lines("config.unusable")
    assert "settings.rules.mustAskIn: 900000" in line["error"] and "propose a change instead" in line["error"]
    harness.reconfigure(settings=SETTINGS | {"locality": "elsewhere"})
    assert harness.context.balancer_config.zone == "elsewhere"


def test_a_process_that_was_down_starts_under_the_policy_in_force(
    admin: AdminClient, make_harness: MakeHarness, store: StoreThread, tmp_path: Path
) -> None:
    """The configuration file of the process still has the policy from before the change."""
    assert admin.call("PUT /_policy/propose", {"policy": policy_with_timeout(), "switch_s": 1.6})[0] == 200
    admin.harness.wait_until(lambda: admin.policy_replica.active_policy.version == 1)
    config = fleet_config(store) | {"keep": str(tmp_path / "other")}
    late = make_harness(name="n1", fleet=config, settings=SETTINGS)
    late.wait_until(lambda: joined(late))
    assert late.context.longest_timeout == 3 and late.log_lines("policy.file_differs")


# The command.


def command(*arguments: str) -> tuple[int, str]:
    """Run the command, and return its exit code and output."""
    completed = subprocess.run(
        [sys.executable, "-m", "starlingwheel.cli", *arguments], cwd=ROOT, capture_output=True, text=True
    )
    assert "Traceback" not in completed.stderr
    return completed.returncode, completed.stdout + completed.stderr


def test_the_command_extracts_a_policy_from_a_configuration_and_checks_it(tmp_path: Path) -> None:
    """The extracted policy is valid, and a misspelt key in it is reported."""
    code, output = command("policy", "extract", "examples/fleet-0.json")
    assert code == 0 and "locality" not in json.loads(output)["settings"]
    # An extracted policy keeps the features that the file enables.
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
def test_the_exit_code_of_the_command_tells_what_failed(given: tuple[str, ...], code: int) -> None:
    """Scripts distinguish wrong input, wrong usage and an unreachable sidecar."""
    assert command("policy", *given)[0] == code


SWITCH_DELAY = "5"  # seconds: enough for all votes and a rejected second proposal, even on a busy machine
LONG_SWITCH_DELAY = "60"  # seconds, during which no member drops the proposal as late


def stop_without_leaving(cluster: Cluster, sidecar: Sidecar) -> None:
    """Stop a process but keep its entry in the store, without which the others would decide alone."""
    sidecar.signal(signal.SIGSTOP)
    prefix = f"/trial/members/{sidecar.name}.".encode()
    (entry,) = [entry for key, entry in cluster.store.entries.items() if key.startswith(prefix)]
    cluster.store.put(entry.key.decode(), entry.value.decode())  # without a lease


@pytest.mark.xdist_group("trials-1")
def test_the_command_proposes_to_real_processes_and_prints_the_outcome(tmp_path: Path) -> None:
    """The command proposes, shows and drops a policy of three sidecars."""

    async def run_commands() -> tuple[tuple[int, str], ...]:
        async with Cluster(1, sidecars=3, upstreams=2, lease=1) as cluster:
            file = tmp_path / "policy.json"
            file.write_text(json.dumps(policy.policy_body("a1")))
            at = ("--at", f"{cluster.sidecars[0].host}:{cluster.sidecars[0].admin_port}")
            given = ("policy", "propose", str(file), "--switch", SWITCH_DELAY, *at)
            decided = await asyncio.to_thread(command, *given)
            rejected = await asyncio.to_thread(command, *given)
            while (await cluster.sidecars[0].admin_call("GET", "/_policy"))[1]["in_force"]["version"] == 0:
                await asyncio.sleep(0.05)
            shown = await asyncio.to_thread(command, "policy", "show", *at)
            stop_without_leaving(cluster, cluster.sidecars[2])
            given = ("policy", "propose", str(file), "--switch", LONG_SWITCH_DELAY, "--no-wait", *at)
            open_ = await asyncio.to_thread(command, *given)
            dropped = await asyncio.to_thread(command, "policy", "drop", "2", *at)
            return decided, rejected, shown, open_, dropped

    decided, rejected, shown, open_, dropped = asyncio.run(run_commands())
    assert decided[0] == 0 and "version 1 is decided" in decided[1]
    assert rejected[0] == 1 and "is decided but not in force yet" in rejected[1]
    assert "past: version 1 decided" in shown[1]
    assert open_[0] == 0 and dropped[0] == 0 and "dropped" in dropped[1]
