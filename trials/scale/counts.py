"""What the kernel counts for a socket (TCP_INFO), a process (/proc) and the machine (sockstat)."""

from __future__ import annotations

import contextlib
import ctypes
import os
import socket
import struct
from pathlib import Path
from typing import Any

import msgspec

TCP_INFO, SIZE = 11, 256
HEADERS = 52  # bytes of a segment's IPv4 and TCP headers with timestamps, as loopback and most networks send
PIDFD_GETFD = 438  # system call
PAGE = os.sysconf("SC_PAGE_SIZE")
TICK = os.sysconf("SC_CLK_TCK")
libc = ctypes.CDLL(None, use_errno=True)


class Traffic(msgspec.Struct):
    """Since a socket's first segment, or summed up over sockets. Messages: segments that carry data."""

    bytes_out: int = 0
    bytes_in: int = 0
    messages_out: int = 0
    messages_in: int = 0
    segments_out: int = 0
    segments_in: int = 0

    def add(self, other: Traffic, sign: int = 1) -> None:
        self.bytes_out += sign * other.bytes_out
        self.bytes_in += sign * other.bytes_in
        self.messages_out += sign * other.messages_out
        self.messages_in += sign * other.messages_in
        self.segments_out += sign * other.segments_out
        self.segments_in += sign * other.segments_in


class Sample(msgspec.Struct):
    """One member, or one process, at one moment. Bytes of links and of the arbiter's calls apart."""

    links: Traffic = msgspec.field(default_factory=Traffic)
    arbiter: Traffic = msgspec.field(default_factory=Traffic)
    sockets: int = 0
    cpu_s: float = 0.0
    memory: int = 0  # bytes resident
    each: dict[str, tuple[str, Traffic]] = {}  # by socket, where one that has ended is not seen


_buffer = ctypes.create_string_buffer(SIZE)
_length = ctypes.c_uint32(SIZE)


def traffic(fd: int) -> Traffic | None:
    """None: that is no TCP socket, or is closed."""
    _length.value = SIZE
    if libc.getsockopt(fd, socket.IPPROTO_TCP, TCP_INFO, _buffer, ctypes.byref(_length)):
        return None
    raw = _buffer.raw
    (received,) = struct.unpack_from("<Q", raw, 128)
    segments_out, segments_in = struct.unpack_from("<II", raw, 136)
    data_in, data_out = struct.unpack_from("<II", raw, 152)
    (sent,) = struct.unpack_from("<Q", raw, 200)
    return Traffic(sent, received, data_out, data_in, segments_out, segments_in)


def resident(pid: int | str = "self") -> int:
    """Bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


def used(pid: int) -> float:
    """Processor time of a process so far, seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICK


def since(before: Sample, after: Sample) -> Sample:
    """What happened between the two, of sockets that are still open."""
    told = Sample(sockets=after.sockets, cpu_s=after.cpu_s - before.cpu_s, memory=after.memory)
    for kind in ("links", "arbiter"):
        total = getattr(told, kind)
        total.add(getattr(after, kind))
        total.add(getattr(before, kind), -1)
    for inode, (kind, counted) in after.each.items():
        getattr(told, kind).add(counted)
        if inode in before.each:
            getattr(told, kind).add(before.each[inode][1], -1)
    return told


def process(pid: int, host: str, not_ports: set[int], arbiter: tuple[str, int]) -> Sample:
    """Another process of ours: its links are the sockets of `host` but for `not_ports`.

    What its sockets have counted that have ended is not seen.
    """
    sample = Sample(cpu_s=used(pid), memory=resident(pid))
    pidfd = os.pidfd_open(pid)
    try:
        for name in os.listdir(f"/proc/{pid}/fd"):
            with contextlib.suppress(OSError):
                inode = os.readlink(f"/proc/{pid}/fd/{name}")
                if not inode.startswith("socket:"):
                    continue
                copy = libc.syscall(PIDFD_GETFD, pidfd, int(name), 0)
                if copy < 0:
                    continue
                with socket.socket(fileno=copy) as sock:
                    _assigned(sample, inode, sock, host, not_ports, arbiter)
    finally:
        os.close(pidfd)
    return sample


def _assigned(
    sample: Sample, inode: str, sock: socket.socket, host: str, not_ports: set[int], arbiter: tuple[str, int]
) -> None:
    if sock.family != socket.AF_INET or sock.type != socket.SOCK_STREAM:
        return
    ours = sock.getsockname()
    try:
        peer: Any = sock.getpeername()
    except OSError:
        peer = None  # it listens
    counted = traffic(sock.fileno())
    if counted is None:
        return
    if peer == arbiter:
        sample.each[inode] = "arbiter", counted
        sample.sockets += 1
    elif ours[0] == host and ours[1] not in not_ports:
        sample.each[inode] = "links", counted
        sample.sockets += 1


def kernel_memory() -> int:
    """Bytes that the kernel holds for TCP buffers, of the whole machine."""
    for line in Path("/proc/net/sockstat").read_text().splitlines():
        if line.startswith("TCP:"):
            fields = line.split()
            return int(fields[fields.index("mem") + 1]) * PAGE
    return 0


def machine_memory() -> tuple[int, int]:
    """Bytes in all, and free to be taken."""
    told = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    return tuple(int(told[name].split()[0]) * 1024 for name in ("MemTotal", "MemAvailable"))  # type: ignore[return-value]
