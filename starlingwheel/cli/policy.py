"""The commands about the fleet's policy. Their docstrings are the help texts."""

from __future__ import annotations

import json
import time
from http import HTTPStatus
from typing import Any

import click

from ..fleet.policy import document
from ..net.lifecycle.config import ConfigError, load_config
from .admin_client import REJECTED, ExitCode, at_option, call, change, fail, get_of_fleet

POLL_INTERVAL = 0.2  # seconds, for the end of a proposal
WAIT_PAST_SWITCH = 2.0  # seconds past the switch time for which its end is waited for
MAX_LEAD = 3600  # seconds that a proposal may be ahead; older entries of the history belong to others


@click.group()
def policy() -> None:
    """The one policy that all sidecars of a fleet follow.

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
    """Print the policy that a sidecar's configuration FILE holds."""
    try:
        config, _ = load_config({"EDGE_CONFIG": file})
    except ConfigError as unusable:
        fail(ExitCode.REJECTED, str(unusable))
    if config.fleet is None:
        fail(ExitCode.REJECTED, f"{file}: fleet: missing")
    body = document.policy_from_config(config.settings, config.fleet.replication, config.fleet.zones)
    click.echo(json.dumps(body, indent=2))


@policy.command()
@click.argument("file")
@click.option("--memory-mb", default=192.0, help="Memory limit of the smallest sidecar.")
def check(file: str, memory_mb: float) -> None:
    """Tell all that is wrong with the policy in FILE by itself."""
    faults = document.validation_errors(_read_json(file), {}, memory_mb)
    if faults:
        fail(ExitCode.REJECTED, "\n".join(f"{file}: {fault}" for fault in faults))
    click.echo(f"{file}: fit")


@policy.command()
@click.argument("file")
@at_option
@click.option(
    "--switch", type=float, help="Seconds from now on after which it holds (default: three leases)."
)
@click.option("--base", type=int, help="The version that it was made from; refused if another one holds.")
@click.option("--wait/--no-wait", default=True, help="Wait until it is decided or dropped.")
def propose(file: str, at: str, switch: float | None, base: int | None, wait: bool) -> None:
    """Propose the policy in FILE and wait for its end."""
    body = {"policy": _read_json(file), "switch_s": switch, "base": base}
    proposal = change(at, "/_policy/propose", body, (*REJECTED, HTTPStatus.REQUEST_ENTITY_TOO_LARGE))
    version, holds_at = proposal["version"], proposal["at"]
    click.echo(f"version {version} is proposed; it holds in {holds_at - time.time():.1f} s if it is decided")
    if wait:
        _wait_for_end(at, version, proposal["digest"], holds_at)


def _wait_for_end(at: str, version: int, digest: str, holds_at: float) -> None:
    """Print each new vote until the proposal is decided or dropped."""
    printed: dict[str, str] = {}
    while time.time() < holds_at + WAIT_PAST_SWITCH:
        _, state = call(at, "GET", "/_policy")
        for past in state["past"]:
            same = (past["version"], past["digest"]) == (version, digest)
            if not same or past["at"] <= holds_at - MAX_LEAD:
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
    fail(ExitCode.UNDECIDED, f"version {version}: nobody has decided or dropped it yet")


@policy.command()
@at_option
@click.option("--text", is_flag=True, help="Print the policy in force, whole, and nothing else.")
def show(at: str, text: bool) -> None:
    """Tell what holds, what is proposed, and the last changes."""
    state = get_of_fleet(at, "/_policy")
    if text:
        click.echo(json.dumps(state["in_force"]["body"], indent=2))
        return
    version = state["in_force"]["version"]
    click.echo(f"in force: version {version}" if version else "in force: each by its own file")
    if state["decided"] and state["decided"] > version:
        holds_in = state["decided_at"] - time.time()
        click.echo(f"decided: version {state['decided']}, holds in {holds_in:.1f} s")
    if state["doubt"]:
        click.echo(f"in doubt here: {state['doubt']}")
    if proposal := state["open"]:
        _show_proposal(proposal)
    for past in state["past"]:
        click.echo(f"past: version {past['version']} {past['how']} {past['why']}".rstrip())


def _show_proposal(proposal: dict[str, Any]) -> None:
    holds_in = proposal["at"] - time.time()
    click.echo(f"proposed: version {proposal['policy']['version']}, to hold in {holds_in:.1f} s")
    for name, vote in sorted(proposal["votes"].items()):
        click.echo(f"  {name}: {vote}")


@policy.command()
@click.argument("version")
@at_option
def drop(version: str, at: str) -> None:
    """Drop the proposed VERSION before it is decided."""
    change(at, "/_policy/drop", {"id": version})
    click.echo(f"version {version} was dropped")
