"""The commands for the fleet's policy. Their docstrings are the help texts."""

from __future__ import annotations

import json
import time
from http import HTTPStatus
from typing import Any

import click

from ..fleet.policy import document
from ..net.lifecycle.config import ConfigError, load_config
from .admin_client import REJECTED, ExitCode, at_option, call, change, fail, get_from_fleet

POLL_INTERVAL = 0.2  # seconds between polls for the outcome of a proposal
WAIT_PAST_SWITCH = 2.0  # seconds after the switch time at which waiting for the outcome ends
# Most seconds between a proposal and its switch time; older entries of the history are other proposals.
MAX_LEAD = 3600


@click.group()
def policy() -> None:
    """Manage the policy that all sidecars of a fleet follow.

    \b
    Examples:
      python -m starlingwheel.cli policy extract config.json > policy.json
      python -m starlingwheel.cli policy check policy.json
      python -m starlingwheel.cli policy propose policy.json --at 10.0.0.4:9100
      python -m starlingwheel.cli policy show --at 10.0.0.4:9100
    """


def _read_json(path: str) -> Any:  # noqa: ANN401  # any JSON value
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        fail(ExitCode.REJECTED, f"{path}: {error}")


@policy.command()
@click.argument("file")
def extract(file: str) -> None:
    """Print the policy contained in a sidecar's configuration FILE."""
    try:
        config, _ = load_config({"EDGE_CONFIG": file})
    except ConfigError as error:
        fail(ExitCode.REJECTED, str(error))
    if config.fleet is None:
        fail(ExitCode.REJECTED, f"{file}: fleet: missing")
    body = document.policy_from_config(config.settings, config.fleet.replication, config.fleet.zones)
    click.echo(json.dumps(body, indent=2))


@policy.command()
@click.argument("file")
@click.option("--memory-mb", default=192.0, help="Memory limit of the smallest sidecar.")
def check(file: str, memory_mb: float) -> None:
    """Validate the policy in FILE and print every error."""
    errors = document.validation_errors(_read_json(file), {}, memory_mb)
    if errors:
        fail(ExitCode.REJECTED, "\n".join(f"{file}: {error}" for error in errors))
    click.echo(f"{file}: valid")


@policy.command()
@click.argument("file")
@at_option
@click.option("--switch", type=float, help="Seconds until it comes into force (default: three leases).")
@click.option("--base", type=int, help="The version that it is based on; rejected if another is in force.")
@click.option("--wait/--no-wait", default=True, help="Wait until the proposal is decided or dropped.")
def propose(file: str, at: str, switch: float | None, base: int | None, wait: bool) -> None:
    """Propose the policy in FILE and wait for the outcome."""
    body = {"policy": _read_json(file), "switch_s": switch, "base": base}
    proposal = change(at, "/_policy/propose", body, (*REJECTED, HTTPStatus.REQUEST_ENTITY_TOO_LARGE))
    version, switch_at = proposal["version"], proposal["at"]
    click.echo(f"version {version} is proposed; in force in {switch_at - time.time():.1f} s if decided")
    if wait:
        _wait_for_outcome(at, version, proposal["digest"], switch_at)


def _wait_for_outcome(at: str, version: int, digest: str, switch_at: float) -> None:
    """Print each new vote until the proposal is decided or dropped."""
    printed: dict[str, str] = {}
    while time.time() < switch_at + WAIT_PAST_SWITCH:
        _, state = call(at, "GET", "/_policy")
        for past in state["past"]:
            is_same = (past["version"], past["digest"]) == (version, digest)
            if not is_same or past["at"] <= switch_at - MAX_LEAD:
                continue
            if past["how"] == "decided":
                click.echo(f"version {version} is decided")
                return
            fail(ExitCode.DROPPED, f"version {version} was dropped: {past['why']}")
        for name, vote in (state["open"] or {}).get("votes", {}).items():
            if vote != "nothing" and printed.get(name) != vote:
                click.echo(f"{name}: {vote}")
                printed[name] = vote
        time.sleep(POLL_INTERVAL)
    fail(ExitCode.UNDECIDED, f"version {version} is neither decided nor dropped yet")


@policy.command()
@at_option
@click.option("--text", is_flag=True, help="Print only the complete policy in force.")
def show(at: str, text: bool) -> None:
    """Show the policy in force, the proposal, and the last changes."""
    state = get_from_fleet(at, "/_policy")
    if text:
        click.echo(json.dumps(state["in_force"]["body"], indent=2))
        return
    version = state["in_force"]["version"]
    click.echo(
        f"in force: version {version}" if version else "in force: the configuration file of each sidecar"
    )
    if state["decided"] and state["decided"] > version:
        switch_in = state["decided_at"] - time.time()
        click.echo(f"decided: version {state['decided']}, in force in {switch_in:.1f} s")
    if state["doubt"]:
        click.echo(f"in doubt at this sidecar: {state['doubt']}")
    if proposal := state["open"]:
        _show_proposal(proposal)
    for past in state["past"]:
        click.echo(f"past: version {past['version']} {past['how']} {past['why']}".rstrip())


def _show_proposal(proposal: dict[str, Any]) -> None:
    switch_in = proposal["at"] - time.time()
    click.echo(f"proposed: version {proposal['policy']['version']}, in force in {switch_in:.1f} s if decided")
    for name, vote in sorted(proposal["votes"].items()):
        click.echo(f"  {name}: {vote}")


@policy.command()
@click.argument("version")
@at_option
def drop(version: str, at: str) -> None:
    """Drop the proposed VERSION before it is decided."""
    change(at, "/_policy/drop", {"id": version})
    click.echo(f"version {version} was dropped")
