"""python -m starlingwheel.cli: the fleet's policy, zones and members, from a shell.

Exit codes: 0 done or decided, 1 refused, 2 wrong use, 3 dropped, 4 undecided or nobody can be reached.
"""

from __future__ import annotations

import click

from .admin_client import at_option, change
from .policy import policy
from .zones import zones


@click.group(epilog="Exit codes: 0 done or decided, 1 refused, 3 dropped, 4 undecided or out of reach.")
def main() -> None:
    """Starlingwheel from a shell."""


main.add_command(policy)
main.add_command(zones)


@main.command()
@click.argument("name")
@at_option
def retire(name: str, at: str) -> None:
    """Say that the sidecar NAME will not come back: majorities are counted without it."""
    change(at, "/_fleet/retire", {"id": name})
    click.echo(f"{name} is retired")


if __name__ == "__main__":
    main()
