"""The endpoint list as one sidecar watches it: the whole list with each change, else empty lines."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

from .http1 import Request, Response, Server

KEEP_ALIVE_INTERVAL = 1.0  # seconds after which an empty line shows that the watch is alive


class EndpointListServer:
    """Discovery for one sidecar: each change sends the whole list."""

    def __init__(self, entries: Callable[[], list[dict[str, Any]]]) -> None:
        """`entries`: returns the list as it is now."""
        self.entries = entries
        self.version = 1
        self.changed = asyncio.Event()
        self.server = Server(self._answer)

    def change(self) -> None:
        """The list has changed: send it to all watches."""
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def _answer(self, request: Request) -> Response:
        if not request.target.startswith("/v1/endpoints"):
            return Response(404)
        if "watch=1" not in request.target:
            return Response(200, self._line())
        return Response(200, parts=self._lines())

    def _line(self) -> bytes:
        message = {"version": self.version, "full": True, "servers": self.entries()}
        return json.dumps(message).encode() + b"\n"

    async def _lines(self) -> AsyncIterator[bytes]:
        yield self._line()
        while True:
            version = self.version
            try:
                await asyncio.wait_for(self.changed.wait(), KEEP_ALIVE_INTERVAL)
            except TimeoutError:
                yield b"\n"
            if self.version != version:
                yield self._line()
