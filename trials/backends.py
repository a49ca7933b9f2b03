"""The servers and the discovery that the sidecars of a trial share, in the trial's process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from fakes.endpoint_list import EndpointListServer
from fakes.http1 import Handler, Server

Json = dict[str, Any]
FORMER_DISCOVERY_TIME = 1.5  # seconds for which a discovery that has moved keeps its open connections


class Backends:
    """Servers and an endpoint list; `start` and `stop` bound their use."""

    def __init__(
        self,
        handler_for: Callable[[str], Handler],
        servers: int,
        entry_fields: Callable[[str], Json] = lambda name: {},
    ) -> None:
        """Create everything without starting it.

        `handler_for` returns the handler of the server of that name. `entry_fields` returns further fields of
        a server's first entry in the list.
        """
        self.entry_fields = entry_fields
        self.servers = {f"s{number}": Server(handler_for(f"s{number}")) for number in range(servers)}
        self.entries: dict[str, Json] = {}
        self.discoveries = [self._new_discovery()]  # the one in use is the last
        self.closing: set[asyncio.Task[None]] = set()

    def _new_discovery(self) -> EndpointListServer:
        return EndpointListServer(lambda: list(self.entries.values()))

    @property
    def discovery(self) -> EndpointListServer:
        """The discovery in use."""
        return self.discoveries[-1]

    async def start(self) -> None:
        """Start the servers and discovery, and list the servers."""
        await self.discovery.server.start()
        for name, server in self.servers.items():
            await server.start()
            self.entries[name] = self.entry(name, **self.entry_fields(name))

    async def stop(self) -> None:
        """Stop everything."""
        for task in self.closing:
            task.cancel()
        for discovery in self.discoveries:
            await discovery.server.stop()
        for server in self.servers.values():
            await server.stop()

    def entry(self, name: str, **changed: object) -> Json:
        """Return a server's entry in the endpoint list."""
        return {"id": name, "addr": self.servers[name].address, "zone": "", "state": "active"} | changed

    def list_endpoints(self, *entries: Json) -> None:
        """Replace or add entries of the endpoint list, and send the list."""
        self.entries |= {entry["id"]: entry for entry in entries}
        for discovery in self.discoveries:
            discovery.change()

    async def move_discovery(self) -> None:
        """Start another discovery; the former one takes no new connection and closes the open ones later."""
        former, new = self.discovery, self._new_discovery()
        new.version = former.version
        await new.server.start()
        self.discoveries.append(new)
        former.server.stop_listening()
        task = asyncio.create_task(self._close_later(former))
        self.closing.add(task)
        task.add_done_callback(self.closing.discard)

    @staticmethod
    async def _close_later(discovery: EndpointListServer) -> None:
        await asyncio.sleep(FORMER_DISCOVERY_TIME)
        await discovery.server.stop()
