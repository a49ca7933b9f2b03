"""python -m starlingwheel.cli: the fleet's policy, from a shell.

Exit codes: 0 done or decided, 1 refused, 2 wrong use, 3 dropped, 4 undecided or nobody can be reached.
"""

from __future__ import annotations

import http.client
import json
import sys
import time
from typing import Any, NoReturn

import click

from ..fleet.policy import document as common
from ..net.lifecycle.config import ConfigError, load_config

DONE, REFUSED, DROPPED, UNDECIDED = 0, 1, 3, 4
LOOK = 0.2  # seconds between looks at how it goes
WITHIN = 3.0  # seconds for one call
AFTER = 2.0  # seconds past the switch time for which an end is waited for


def stop(code: int, text: str) -> NoReturn:
    click.echo(text, err=True)
    sys.exit(code)


def call(address: str, method: str, path: str, told: Any = None) -> tuple[int, Any]:
    """One operator's call; exits where it can't be made."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"{address!r} is no host:port", param_hint="--at")
    connection = http.client.HTTPConnection(host, int(port), timeout=WITHIN)
    try:
        connection.request(method, path, None if told is None else json.dumps(told))
        answer = connection.getresponse()
        said = answer.read()
        return answer.status, json.loads(said) if said else {}
    except (OSError, http.client.HTTPException, ValueError) as error:
        stop(UNDECIDED, f"{address}: {error}")
    finally:
        connection.close()


def order(address: str, path: str, told: Any, refused: tuple[int, ...] = (400, 409)) -> Any:
    """A call that changes something; exits with why where the answer is no."""
    status, said = call(address, "PUT", path, told)
    if status != 200:
        stop(REFUSED if status in refused else UNDECIDED, said.get("error", f"answered {status}"))
    return said


def read(path: str) -> Any:
    try:
        with open(path, "rb") as file:
            return json.load(file)
    except (OSError, ValueError) as error:
        stop(REFUSED, f"{path}: {error}")


@click.group(epilog="Exit codes: 0 done or decided, 1 refused, 3 dropped, 4 undecided or out of reach.")
def main() -> None:
    """Starlingwheel from a shell."""


@main.group()
def policy() -> None:
    """The one policy that all sidecars of a fleet follow.

    \b
    Examples:
      python -m starlingwheel.cli policy extract config.json > policy.json
      python -m starlingwheel.cli policy check policy.json
      python -m starlingwheel.cli policy propose policy.json --at 10.0.0.4:9100
      python -m starlingwheel.cli policy show --at 10.0.0.4:9100
    """


at = click.option("--at", required=True, help="Second address of any sidecar of the fleet, host:port.")


@policy.command()
@click.argument("file")
def extract(file: str) -> None:
    """Print the policy that a sidecar's configuration FILE holds."""
    try:
        config, _ = load_config({"EDGE_CONFIG": file})
    except ConfigError as unusable:
        stop(REFUSED, str(unusable))
    if config.fleet is None:
        stop(REFUSED, f"{file}: fleet: missing")
    body = common.common(config.settings, config.fleet.cover, config.fleet.zones)
    click.echo(json.dumps(body, indent=2))


@policy.command()
@click.argument("file")
@click.option("--memory-mb", default=192.0, help="Memory limit of the smallest sidecar.")
def check(file: str, memory_mb: float) -> None:
    """Tell all that is wrong with the policy in FILE by itself."""
    faults = common.faults(read(file), {}, memory_mb)
    if faults:
        stop(REFUSED, "\n".join(f"{file}: {fault}" for fault in faults))
    click.echo(f"{file}: fit")


@policy.command()
@click.argument("file")
@at
@click.option(
    "--switch", type=float, help="Seconds from now on after which it holds (default: three leases)."
)
@click.option("--base", type=int, help="The version that it was made from; refused if another one holds.")
@click.option("--wait/--no-wait", default=True, help="Wait until it is decided or dropped.")
def propose(file: str, at: str, switch: float | None, base: int | None, wait: bool) -> None:
    """Propose the policy in FILE and wait for its end."""
    proposal = {"policy": read(file), "switch_s": switch, "base": base}
    told = order(at, "/_policy/propose", proposal, (400, 409, 413))
    version, digest, holds_at = told["version"], told["digest"], told["at"]
    click.echo(f"version {version} is proposed; it holds in {holds_at - time.time():.1f} s if it is decided")
    if not wait:
        return
    seen: dict[str, str] = {}
    while time.time() < holds_at + AFTER:
        _, now = call(at, "GET", "/_policy")
        for past in now["past"]:
            if (past["version"], past["digest"]) == (version, digest) and past["at"] > holds_at - 3600:
                if past["how"] == "decided":
                    click.echo(f"version {version} is decided")
                    return
                stop(DROPPED, f"version {version} was dropped: {past['why']}")
        for name, said in (now["open"] or {}).get("votes", {}).items():
            if said != "nothing" and seen.get(name) != said:
                click.echo(f"{name}: {said}")
                seen[name] = said
        time.sleep(LOOK)
    stop(UNDECIDED, f"version {version}: nobody has decided or dropped it yet")


@policy.command()
@at
@click.option("--text", is_flag=True, help="Print the policy in force, whole, and nothing else.")
def show(at: str, text: bool) -> None:
    """Tell what holds, what is proposed, and the last changes."""
    status, now = call(at, "GET", "/_policy")
    if status != 200:
        stop(REFUSED, f"{at}: answered {status}: no fleet")
    if text:
        click.echo(json.dumps(now["in_force"]["body"], indent=2))
        return
    version = now["in_force"]["version"]
    click.echo(f"in force: version {version}" if version else "in force: each by its own file")
    if now["decided"] and now["decided"] > version:
        click.echo(f"decided: version {now['decided']}, holds in {now['decided_at'] - time.time():.1f} s")
    if now["doubt"]:
        click.echo(f"in doubt here: {now['doubt']}")
    if open_ := now["open"]:
        click.echo(
            f"proposed: version {open_['policy']['version']}, to hold in {open_['at'] - time.time():.1f} s"
        )
        for name, said in sorted(open_["votes"].items()):
            click.echo(f"  {name}: {said}")
    for past in now["past"]:
        click.echo(f"past: version {past['version']} {past['how']} {past['why']}".rstrip())


@policy.command()
@click.argument("version")
@at
def drop(version: str, at: str) -> None:
    """Drop the proposed VERSION before it is decided."""
    order(at, "/_policy/drop", {"id": version})
    click.echo(f"version {version} was dropped")


@main.group()
def zones() -> None:
    """The fleet's plan for zones that fail, or are to be left."""


@zones.command(name="show")
@at
def show_zones(at: str) -> None:
    """Tell which zones are not whole, and why."""
    status, now = call(at, "GET", "/_zones")
    if status != 200:
        stop(REFUSED, f"{at}: answered {status}: no fleet")
    if not now["plan"]["zones"]:
        click.echo("all zones are whole")
    for name, zone in sorted(now["plan"]["zones"].items()):
        word = ", by an operator" if zone["by_operator"] else ""
        click.echo(f"{name}: {zone['state']}, share {zone['share']:.3f}: {zone['why']}{word}")


def word(at: str, zone: str, what: str, why: str) -> None:
    order(at, f"/_zones/{what}", {"zone": zone} | ({"why": why} if why else {}))
    click.echo(f"{zone}: {what}")


why = click.option("--why", default="", help="The reason, for those who look at it.")


@zones.command()
@click.argument("zone")
@why
@at
def leave(zone: str, why: str, at: str) -> None:
    """Send nothing more to ZONE, until it is returned to."""
    word(at, zone, "leave", why)


@zones.command(name="return")
@click.argument("zone")
@why
@at
def return_(zone: str, why: str, at: str) -> None:
    """Begin to return to ZONE, by the ramp."""
    word(at, zone, "return", why)


@zones.command()
@click.argument("zone")
@why
@at
def hold(zone: str, why: str, at: str) -> None:
    """Keep the share of ZONE as it is."""
    word(at, zone, "hold", why)


@main.command()
@click.argument("name")
@at
def retire(name: str, at: str) -> None:
    """Say that the sidecar NAME will not come back: majorities are counted without it."""
    order(at, "/_fleet/retire", {"id": name})
    click.echo(f"{name} is retired")


if __name__ == "__main__":
    main()
