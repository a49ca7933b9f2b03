"""Command `python -m starlingwheel.cli`: manages a fleet's policy, zones and members.

Exit codes: 0 done or decided, 1 rejected, 2 usage error, 3 dropped, 4 undecided or sidecar unreachable.
"""

from __future__ import annotations

import click

from .admin_client import at_option, change
from .policy import policy
from .zones import zones


@click.group(epilog="Exit codes: 0 done or decided, 1 rejected, 3 dropped, 4 undecided or unreachable.")
def main() -> None:
    """Manage a Starlingwheel fleet."""


main.add_command(policy)
main.add_command(zones)


@main.command()
@click.argument("name")
@at_option
def retire(name: str, at: str) -> None:
    """Retire the sidecar NAME, which will not return: majorities are counted without it."""
    change(at, "/_fleet/retire", {"id": name})
    click.echo(f"{name} is retired")


if __name__ == "__main__":
    main()
