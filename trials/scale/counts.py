"""The kernel's counters of a socket (TCP_INFO), a process (/proc) and the machine (sockstat)."""

from __future__ import annotations

import contextlib
import ctypes
import os
import socket
import struct
from enum import StrEnum
from pathlib import Path
from typing import Any

import msgspec

from ..processes import cpu_time

TCP_INFO = 11  # number of the socket option
TCP_INFO_SIZE = 256  # bytes
# Bytes of a segment's IPv4 and TCP headers with timestamps, as loopback and most networks send them.
HEADER_SIZE = 52
PIDFD_GETFD = 438  # number of the system call
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes
KIBIBYTE = 1024  # bytes
libc = ctypes.CDLL(None, use_errno=True)


class Traffic(msgspec.Struct):
    """Counts of a socket since its first segment, or their sum. Messages are segments that carry data."""

    bytes_out: int = 0
    bytes_in: int = 0
    messages_out: int = 0
    messages_in: int = 0
    segments_out: int = 0
    segments_in: int = 0

    def add(self, other: Traffic, sign: int = 1) -> None:
        """Add another count, or subtract it with a sign of -1."""
        self.bytes_out += sign * other.bytes_out
        self.bytes_in += sign * other.bytes_in
        self.messages_out += sign * other.messages_out
        self.messages_in += sign * other.messages_in
        self.segments_out += sign * other.segments_out
        self.segments_in += sign * other.segments_in


class SocketKind(StrEnum):
    """What a socket is connected to. The value is the field of a `Sample` that counts it."""

    LINK = "links"
    STORE = "store"


class Sample(msgspec.Struct):
    """The counts of one member or process at one moment, separately for links and calls of the store."""

    links: Traffic = msgspec.field(default_factory=Traffic)
    store: Traffic = msgspec.field(default_factory=Traffic)
    sockets: int = 0
    cpu_s: float = 0.0
    memory: int = 0  # bytes resident
    # Traffic by inode of the open sockets, of processes whose closed sockets cannot be counted.
    by_socket: dict[str, tuple[SocketKind, Traffic]] = {}


_buffer = ctypes.create_string_buffer(TCP_INFO_SIZE)
_length = ctypes.c_uint32(TCP_INFO_SIZE)


def socket_traffic(fd: int) -> Traffic | None:
    """Return the counts of a socket, or None if it is closed or not a TCP socket."""
    _length.value = TCP_INFO_SIZE
    if libc.getsockopt(fd, socket.IPPROTO_TCP, TCP_INFO, _buffer, ctypes.byref(_length)):
        return None
    raw = _buffer.raw
    (received,) = struct.unpack_from("<Q", raw, 128)
    segments_out, segments_in = struct.unpack_from("<II", raw, 136)
    data_in, data_out = struct.unpack_from("<II", raw, 152)
    (sent,) = struct.unpack_from("<Q", raw, 200)
    return Traffic(sent, received, data_out, data_in, segments_out, segments_in)


def resident_memory(pid: int | str = "self") -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_SIZE


def difference_of(before: Sample, after: Sample) -> Sample:
    """Return the difference of two samples, with the sockets and the memory of the later one.

    Of the sockets in `by_socket`, those that were closed between the samples are not counted.
    """
    difference = Sample(sockets=after.sockets, cpu_s=after.cpu_s - before.cpu_s, memory=after.memory)
    for kind in SocketKind:
        total = getattr(difference, kind)
        total.add(getattr(after, kind))
        total.add(getattr(before, kind), -1)
    for inode, (kind, counted) in after.by_socket.items():
        getattr(difference, kind).add(counted)
        if inode in before.by_socket:
            getattr(difference, kind).add(before.by_socket[inode][1], -1)
    return difference


def process_sample(pid: int, host: str, excluded_ports: set[int], store: tuple[str, int]) -> Sample:
    """Return a sample of another process of the same user.

    The links of the process are its sockets bound to `host` on ports other than `excluded_ports`. Closed
    sockets are not counted.
    """
    sample = Sample(cpu_s=cpu_time(pid), memory=resident_memory(pid))
    pidfd = os.pidfd_open(pid)
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                inode = os.readlink(f"/proc/{pid}/fd/{name}")
                if not inode.startswith("socket:"):
                    continue
                duplicate = libc.syscall(PIDFD_GETFD, pidfd, int(name), 0)
                if duplicate < 0:
                    continue
                with socket.socket(fileno=duplicate) as sock:
                    _count_socket(sample, inode, sock, host, excluded_ports, store)
    finally:
        os.close(pidfd)
    return sample


def _count_socket(
    sample: Sample,
    inode: str,
    sock: socket.socket,
    host: str,
    excluded_ports: set[int],
    store: tuple[str, int],
) -> None:
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        return
    local = sock.getsockname()
    try:
        peer: Any = sock.getpeername()
    except OSError:
        peer = None  # a listening socket
    counted = socket_traffic(sock.fileno())
    if counted is None:
        return
    if peer == store:
        sample.by_socket[inode] = SocketKind.STORE, counted
        sample.sockets += 1
    elif local[0] == host and local[1] not in excluded_ports:
        sample.by_socket[inode] = SocketKind.LINK, counted
        sample.sockets += 1


def kernel_memory() -> int:
    """Return the bytes that the kernel uses for TCP buffers on the whole machine."""
    for line in Path("/proc/net/sockstat").read_text().splitlines():
        if line.startswith("TCP:"):
            fields = line.split()
            return int(fields[fields.index("mem") + 1]) * PAGE_SIZE
    return 0


def machine_memory() -> tuple[int, int]:
    """Return the machine's total and available memory in bytes."""
    fields = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    total, available = (int(fields[name].split()[0]) for name in ("MemTotal", "MemAvailable"))
    return total * KIBIBYTE, available * KIBIBYTE
