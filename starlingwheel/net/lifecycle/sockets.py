"""Sockets that a sidecar listens on: bound to an address, or passed in by the process that starts it."""

from __future__ import annotations

import socket

from ..address import split_host_port
from .config import ConfigError

LISTEN_BACKLOG = 512


def adopt_listening_socket(descriptor: str) -> socket.socket:
    """Return the listening socket of a descriptor that was passed to this process.

    Raises `ConfigError` if the descriptor is not an open listening socket.
    """
    try:
        sock = socket.socket(fileno=int(descriptor))
        listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except (OSError, ValueError) as error:
        raise ConfigError(f"EDGE_PASSED_SOCKET: {descriptor!r}: {error}") from error
    if not listening:
        sock.detach()
        raise ConfigError(f"EDGE_PASSED_SOCKET: {descriptor!r} is not a listening socket")
    return sock


def bind_socket(
    kind: socket.SocketKind, address: str, reuse_address: bool = False, reuse_port: bool = False
) -> socket.socket:
    """Bind a socket to "host:port"; a stream socket listens, and may always reuse its address.

    With `reuse_address` or `reuse_port`, another process of this sidecar may be bound to the address too.
    Raises `ConfigError` if the address can't be bound.
    """
    sock = socket.socket(socket.AF_INET, kind)
    if reuse_port:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    if kind is socket.SOCK_STREAM or reuse_address:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(split_host_port(address))
    except OSError as error:
        sock.close()
        raise ConfigError(f"{address}: {error.strerror}") from error
    if kind is socket.SOCK_STREAM:
        sock.listen(LISTEN_BACKLOG)
    return sock
