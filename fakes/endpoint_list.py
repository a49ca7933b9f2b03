"""A fake discovery service for one sidecar: a watch sends the whole list at each change."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from typing import Any

from .http1 import Request, Response, Server

KEEP_ALIVE_INTERVAL = 1.0  # seconds between the empty lines that keep a watch alive


class EndpointListServer:
    """Serves the endpoint list; each change sends the whole list to all watches."""

    def __init__(self, entries: Callable[[], list[dict[str, Any]]]) -> None:
        """Create the server. `entries`: returns the current list."""
        self.entries = entries
        self.version = 1
        self.changed = asyncio.Event()
        self.server = Server(self._answer)

    def change(self) -> None:
        """Send the list, which has changed, to all watches."""
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def _answer(self, request: Request) -> Response:
        if not request.target.startswith("/v1/endpoints"):
            return Response(404)
        if "watch=1" not in request.target:
            return Response(200, self._encode_list())
        return Response(200, parts=self._watch_lines())

    def _encode_list(self) -> bytes:
        message = {"version": self.version, "full": True, "servers": self.entries()}
        return json.dumps(message).encode() + b"\n"

    async def _watch_lines(self) -> AsyncIterator[bytes]:
        yield self._encode_list()
        while True:
            version = self.version
            try:
                await asyncio.wait_for(self.changed.wait(), KEEP_ALIVE_INTERVAL)
            except TimeoutError:
                yield b"\n"
            if self.version != version:
                yield self._encode_list()
