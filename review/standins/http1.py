"""A small HTTP/1.1 reader and writer on asyncio streams, for the stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """One request or response: its start line, its headers by lower-case name, and its body."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


class EndOfStreamError(Exception):
    """The connection ended before a whole message."""


async def _line(reader: asyncio.StreamReader) -> bytes:
    line = await reader.readline()
    if not line.endswith(b"\n"):
        raise EndOfStreamError
    return line.rstrip(b"\r\n")


async def read_head(reader: asyncio.StreamReader, first: bytes = b"") -> Message:
    """Read a start line, whose `first` bytes were read before, and headers. Raises `EndOfStreamError`."""
    message = Message((first + await _line(reader)).decode("latin-1"))
    while line := await _line(reader):
        name, _, value = line.decode("latin-1").partition(":")
        message.headers[name.strip().lower()] = value.strip()
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body that the headers announce. Raises `EndOfStreamError`."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while size := int((await _line(reader)).split(b";")[0], 16):
                parts.append(await reader.readexactly(size))
                await _line(reader)
            while await _line(reader):
                pass
            message.body = b"".join(parts)
        else:
            message.body = await reader.readexactly(int(message.headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise EndOfStreamError from error


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a Content-Length as bytes."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body or not start.startswith("GET"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
