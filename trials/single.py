"""One sidecar as real processes, with servers and an endpoint list in this process.

Several can share their servers and their endpoint list.
"""

from __future__ import annotations

import contextlib
import signal
import socket
import tempfile
from collections.abc import Callable
from pathlib import Path

from fakes.http1 import Handler
from fakes.loopback import free_ports, loopback_host

from .backends import Backends, Json
from .processes import SidecarProgram
from .rig import CAPS, MEMORY_FOLDER, ROOT

MICROSECONDS = 1_000_000  # in a second
BACKLOG = 1024  # connections that may wait at a passed socket


def request_class(name: str, effect: str, objective: float, timeout: float, **changed: object) -> Json:
    """Return the settings of a request class; times in seconds, `changed`: further keys."""
    times = {"dueTime": int(objective * MICROSECONDS), "expiry": int(timeout * MICROSECONDS)}
    return {"name": name, "effect": effect, "payoff": 1.0} | times | changed


class SingleSidecar:
    """A sidecar, its servers and its endpoint list; used by `async with`.

    `process` is the sidecar's only process or, with `passed_socket`, the latest one of those that replace
    each other on one listening socket.
    """

    def __init__(
        self,
        handler_for: Callable[[str], Handler],
        servers: int,
        categories: list[Json],
        root: Path = ROOT,
        passed_socket: bool = False,
        settings: Json | None = None,
        limits: Json | None = None,
        name: str = "n0",
        shared: Backends | None = None,
    ) -> None:
        """Create everything without starting it.

        `handler_for` returns the handler of the server of that name. `settings` and `limits` override parts
        of the configuration. With `shared`, servers and endpoint list are those, which others use too.
        """
        self.root, self.categories, self.name = root, categories, name
        self.settings, self.limits = settings or {}, limits or {}
        self.host = loopback_host(1)
        self.owns_backends = shared is None
        self.backends = shared or Backends(handler_for, servers)
        self.is_replaceable = passed_socket
        self.listener: socket.socket | None = None
        self.programs: list[SidecarProgram] = []

    @property
    def process(self) -> SidecarProgram:
        """The latest process."""
        return self.programs[-1]

    @property
    def address(self) -> str:
        """Where clients connect, host:port."""
        return self.process.address

    async def __aenter__(self) -> SingleSidecar:
        """Start the servers and a process; raises `RuntimeError` if it is not ready in time."""
        self.folder_owner = tempfile.TemporaryDirectory(prefix="trial-", dir=MEMORY_FOLDER)
        self.folder = Path(self.folder_owner.name)
        (self.folder / "tmp").mkdir()
        try:
            if self.owns_backends:
                await self.backends.start()
            if self.is_replaceable:
                self.listener = socket.create_server((self.host, 0), backlog=BACKLOG)
            self.start_process()
            await self.process.wait_until_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything."""
        for program in self.programs:
            program.signal(signal.SIGCONT)
            program.kill()
        self.close_listener()
        if self.owns_backends:
            await self.backends.stop()
        self.folder_owner.cleanup()

    def close_listener(self) -> None:
        """Close the passed socket here, so that it ends with the last process that has it."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def configuration(self) -> Json:
        """Return the configuration of the next process."""
        settings = {
            "categories": self.categories,
            "caps": CAPS,
            "rules": {"mustAskIn": 8 * MICROSECONDS, "drainGrace": MICROSECONDS // 2},
            "discovery": "ask",
            "replicasOfMe": 1,
            "slotNo": 0,
        }
        return {
            "name": self.name,
            "listen": self.address,
            "discovery": self.backends.discovery.server.address,
            "mgmt": f"{self.host}:{self.admin_port}",
            "limits": {"memory_mb": 192, "sockets": 1024} | self.limits,
            "seed": str(len(self.programs)),
            "known": {"version": 0, "full": True, "servers": list(self.backends.entries.values())},
            "settings": settings | self.settings,
        }

    def start_process(self) -> None:
        """Start the first process, or one more beside the former ones."""
        port, self.admin_port = free_ports(self.host, 2)
        address = f"{self.host}:{port}"
        environment = {"TMPDIR": str(self.folder / "tmp")}
        descriptors: list[int] = []
        if self.listener is not None:
            address = "{}:{}".format(*self.listener.getsockname())
            descriptors = [self.listener.fileno()]
            environment["EDGE_PASSED_SOCKET"] = str(descriptors[0])
        elif self.programs:
            address = self.address
        self.programs.append(
            SidecarProgram(f"{self.name}-{len(self.programs)}", address, self.folder, self.root)
        )
        self.process.start_process(self.configuration(), environment, descriptors=descriptors)

    async def replace_process(self) -> None:
        """Start a process beside the former one; once it takes clients, tell the former one to stop.

        Raises `RuntimeError` if the new one is not ready in time.
        """
        former = self.process
        self.start_process()
        await self.wait_until_taking_clients()
        former.signal(signal.SIGTERM)

    async def wait_until_taking_clients(self) -> None:
        """Ask the latest process at its operators' address, as clients share the other one."""
        await self.process.wait_until_ready(f"{self.host}:{self.admin_port}", "/_ready")

    def defects(self) -> list[Json]:
        """Return the log lines that report errors in the program itself."""
        with contextlib.suppress(OSError):
            return [line for p in self.programs for line in p.log_lines("defect", "module.defect")]
        return []
