"""Admin calls from the command line: each makes one HTTP request, and exits with a message where it fails."""

from __future__ import annotations

import enum
import http.client
import json
import sys
from http import HTTPStatus
from typing import Any, NoReturn

import click

CALL_TIMEOUT = 3.0  # seconds
REJECTED = (HTTPStatus.BAD_REQUEST, HTTPStatus.CONFLICT)


class ExitCode(enum.IntEnum):
    """How a command ended; 2, wrong use, is click's own."""

    DONE = 0
    REJECTED = 1
    DROPPED = 3
    UNDECIDED = 4  # or nobody can be reached


def fail(code: ExitCode, text: str) -> NoReturn:
    """Exit with a message on standard error."""
    click.echo(text, err=True)
    sys.exit(code)


def call(address: str, method: str, path: str, body: object = None) -> tuple[int, Any]:
    """Make one call and return the status and the decoded body of its response."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"{address!r} is no host:port", param_hint="--at")
    connection = http.client.HTTPConnection(host, int(port), timeout=CALL_TIMEOUT)
    try:
        connection.request(method, path, None if body is None else json.dumps(body))
        response = connection.getresponse()
        text = response.read()
        return response.status, json.loads(text) if text else {}
    except (OSError, http.client.HTTPException, ValueError) as error:
        fail(ExitCode.UNDECIDED, f"{address}: {error}")
    finally:
        connection.close()


def change(
    address: str, path: str, body: object, rejected: tuple[HTTPStatus, ...] = REJECTED
) -> dict[str, Any]:
    """Make a call that changes something; exit with the reason where it is rejected, or fails otherwise.

    `rejected`: the statuses that mean the former.
    """
    status, response = call(address, "PUT", path, body)
    if status != HTTPStatus.OK:
        code = ExitCode.REJECTED if status in rejected else ExitCode.UNDECIDED
        fail(code, response.get("error", f"answered {status}"))
    return response


def get_of_fleet(address: str, path: str) -> dict[str, Any]:
    """Make a call that only a member of a fleet answers."""
    status, response = call(address, "GET", path)
    if status != HTTPStatus.OK:
        fail(ExitCode.REJECTED, f"{address}: answered {status}: no fleet")
    return response


at_option = click.option("--at", required=True, help="Second address of any sidecar of the fleet, host:port.")
