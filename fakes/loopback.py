"""Addresses of this process alone: what it lets go of, even for a moment, no other process takes."""

from __future__ import annotations

import contextlib
import os
import random
import socket

PORTS = random.SystemRandom()
BESIDE = range(10_000, 32_000)  # the system gives out others to who asks for any


def own_host(number: int = 0) -> str:
    """One of 254 loopback hosts, other ones in each process (of up to 57,344, by their ids)."""
    block = os.getpid() % (224 * 256)
    return f"127.{16 + block // 256}.{block % 256}.{number + 1}"


def free_ports(host: str, count: int) -> list[int]:
    """So many different ones that nobody listens at and no connection goes out from by chance."""
    found: list[int] = []
    while len(found) < count:
        port = PORTS.choice(BESIDE)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            found += [port] if port not in found else []
    return found


def free_address() -> str:
    """For a process that is started with it."""
    host = own_host()
    return f"{host}:{free_ports(host, 1)[0]}"
