"""Loopback addresses that no other process uses, even while nothing listens on them."""

from __future__ import annotations

import contextlib
import os
import random
import socket

RANDOM = random.SystemRandom()
PORTS = range(10_000, 32_000)  # outside the range of ephemeral ports


def loopback_host(number: int = 0) -> str:
    """Return one of 254 loopback hosts of this process.

    The hosts of two processes differ unless their process ids are equal modulo 57,344.
    """
    block = os.getpid() % (224 * 256)
    return f"127.{16 + block // 256}.{block % 256}.{number + 1}"


def free_ports(host: str, count: int) -> list[int]:
    """Return distinct free ports that the system does not assign to outgoing connections."""
    ports: list[int] = []
    while len(ports) < count:
        port = RANDOM.choice(PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((host, port))
            ports += [port] if port not in ports else []
    return ports


def free_address() -> str:
    """Return a free address, host:port, for a process to listen on."""
    host = loopback_host()
    return f"{host}:{free_ports(host, 1)[0]}"
