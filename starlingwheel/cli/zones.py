"""The commands for zones. Their docstrings are the help texts."""

from __future__ import annotations

import click

from .admin_client import at_option, change, get_from_fleet


@click.group()
def zones() -> None:
    """Manage the fleet's plan for zones that fail or are taken out of use."""


@zones.command(name="show")
@at_option
def show_zones(at: str) -> None:
    """Show the zones with reduced traffic, and the reasons."""
    planned = get_from_fleet(at, "/_zones")["plan"]["zones"]
    if not planned:
        click.echo("all zones are in full use")
    for name, zone in sorted(planned.items()):
        by_operator = ", by an operator" if zone["by_operator"] else ""
        click.echo(f"{name}: {zone['state']}, share {zone['share']:.3f}: {zone['why']}{by_operator}")


def _change_plan(at: str, zone: str, action: str, reason: str) -> None:
    change(at, f"/_zones/{action}", {"zone": zone} | ({"why": reason} if reason else {}))
    click.echo(f"{zone}: {action}")


reason_option = click.option("--why", "reason", default="", help="The reason, shown with the plan.")


@zones.command()
@click.argument("zone")
@reason_option
@at_option
def leave(zone: str, reason: str, at: str) -> None:
    """Stop sending to ZONE until `return` is called."""
    _change_plan(at, zone, "leave", reason)


@zones.command(name="return")
@click.argument("zone")
@reason_option
@at_option
def return_to(zone: str, reason: str, at: str) -> None:
    """Start to return to ZONE, with a ramp."""
    _change_plan(at, zone, "return", reason)


@zones.command()
@click.argument("zone")
@reason_option
@at_option
def hold(zone: str, reason: str, at: str) -> None:
    """Keep the share of ZONE at its present value."""
    _change_plan(at, zone, "hold", reason)
