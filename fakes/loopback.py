"""Loopback addresses that no other process uses, not even while nobody listens there."""

from __future__ import annotations

import contextlib
import os
import random
import socket

RANDOM = random.SystemRandom()
PORTS = range(10_000, 32_000)  # outside the range that the system picks ports from


def loopback_host(number: int = 0) -> str:
    """Return one of 254 loopback hosts; up to 57,344 processes, by their ids, have different ones."""
    block = os.getpid() % (224 * 256)
    return f"127.{16 + block // 256}.{block % 256}.{number + 1}"


def free_ports(host: str, count: int) -> list[int]:
    """Return different ports that nobody listens at and that no outgoing connection gets by chance."""
    found: list[int] = []
    while len(found) < count:
        port = RANDOM.choice(PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            found += [port] if port not in found else []
    return found


def free_address() -> str:
    """Return an address, host:port, for a process to listen at."""
    host = loopback_host()
    return f"{host}:{free_ports(host, 1)[0]}"
