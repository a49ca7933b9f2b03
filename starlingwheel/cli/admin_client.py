"""Admin calls of the command line: each sends one HTTP request and exits with a message if it fails."""

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
    """Exit codes of the commands; click itself exits with 2 on a usage error."""

    DONE = 0
    REJECTED = 1
    DROPPED = 3
    UNDECIDED = 4  # or the sidecar is unreachable


def fail(code: ExitCode, text: str) -> NoReturn:
    """Print a message to standard error and exit."""
    click.echo(text, err=True)
    sys.exit(code)


def call(address: str, method: str, path: str, body: object = None) -> tuple[int, Any]:
    """Send one request; return the status and the decoded body of the response."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise click.BadParameter(f"{address!r} is not of the form host:port", param_hint="--at")
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
    """Send a PUT request and return the body of the response; exit with the reason if it does not succeed.

    `rejected`: the statuses that exit with `ExitCode.REJECTED`; other errors exit with `ExitCode.UNDECIDED`.
    """
    status, response = call(address, "PUT", path, body)
    if status != HTTPStatus.OK:
        code = ExitCode.REJECTED if status in rejected else ExitCode.UNDECIDED
        fail(code, response.get("error", f"status {status}"))
    return response


def get_from_fleet(address: str, path: str) -> dict[str, Any]:
    """Send a GET request that only a member of a fleet answers."""
    status, response = call(address, "GET", path)
    if status != HTTPStatus.OK:
        fail(ExitCode.REJECTED, f"{address}: status {status}: not a member of a fleet")
    return response


at_option = click.option("--at", required=True, help="Admin address of any sidecar of the fleet, host:port.")
