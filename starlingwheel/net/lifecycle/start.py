"""Start: the configuration, the actors of one sidecar, and the loop round them."""

from __future__ import annotations

import gc
import os
import random
import resource
import socket
import sys
from collections.abc import Mapping
from math import inf
from typing import Any

import msgspec

from ...decisions.terms import News, Terms
from ..actor import Actor
from ..loop import Loop
from ..mail import Listed
from ..memory.buffers import SIZE, Pool
from ..memory.connections import Ledger
from ..module import Module
from ..wire.address import split
from ..wire.client import BACKLOG, Listener
from ..wire.datagrams import Datagrams
from ..wire.discovery import List
from ..wire.upstream import Connection
from .config import Config, Unusable, configured
from .log import Log
from .signals import Signals
from .stop import Pulse, Stopper

COLLECT = 10_000  # objects more than were freed, after which cycles are looked for
BUFFERS = 1 / 3  # part of the memory limit that buffers may take


class Node:
    """One sidecar: what its actors share."""

    def __init__(self, config: Config, terms: Terms, environment: Mapping[str, str], log_fd: int = 1) -> None:
        self.config, self.terms, self.environment = config, terms, environment
        self.categories = {c.name: c for c in terms.categories}
        self.customers = {c.name: c for c in terms.customers}
        self.shortest = min(c.due_time for c in terms.categories)
        self.longest = max(c.expiry for c in terms.categories)
        self.loop = Loop(self.defect)
        self.log = Log(self.loop.now, log_fd)
        self.loop.each_turn = self.log.flush
        self.pool = Pool(int(config.limits.memory_mb * BUFFERS * 2**20 / SIZE))
        self.ledger = Ledger(config.limits.sockets)
        self.in_hand: set[bytes] = set()  # the traces of what clients wait for
        self.resets_until = -inf  # until then connections to upstreams are taken to break at any time
        self.stopping = False
        self.datagrams: Datagrams | None = None
        self.connection: Any = Connection
        if terms.streams > 1:
            from ..wire.streams import Shared  # costs a start without it no import

            self.connection = Shared
        self.chance = random.Random(config.seed)
        self.list = List(self, config.known.version if config.known else 0)
        self.module = Module(self)
        self.listener = Listener(self, self._bound(socket.SOCK_STREAM, config.listen))
        if config.peer_listen and terms.peers_allowed:
            self.datagrams = Datagrams(self, self._bound(socket.SOCK_DGRAM, config.peer_listen))
        self.pulse = Pulse(self)
        self.stopper = Stopper(self)
        self.signals = Signals(self)

    def _bound(self, kind: socket.SocketKind, address: str) -> socket.socket:
        sock = socket.socket(socket.AF_INET, kind)
        if kind is socket.SOCK_STREAM:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(split(address))
        except OSError as error:
            sock.close()
            raise Unusable(f"{address}: {error.strerror}") from error
        if kind is socket.SOCK_STREAM:
            sock.listen(BACKLOG)
        return sock

    def begin(self) -> None:
        if self.datagrams is not None:
            self.datagrams.begin()
        for actor in (self.signals, self.list, self.module, self.listener, self.pulse, self.stopper):
            actor.begin()
        # What was known last may be old, or nothing; the decisions begin with it and ask for the list.
        self.module.post(Listed(News.WHOLE, self.config.known.servers if self.config.known else []))
        limits = msgspec.structs.asdict(self.config.limits)
        times = {"shortest_ms": self.shortest * 1000, "longest_ms": self.longest * 1000}
        name, listen = self.config.name, self.config.listen
        self.log("start", name=name, listen=listen, pid=os.getpid(), **limits, **times)

    def defect(self, actor: Actor, error: Exception) -> None:
        self.log.defect("defect", error, actor=type(actor).__name__)


def main() -> int:
    try:
        config, terms = configured(os.environ)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = config.limits.sockets
        if hard == resource.RLIM_INFINITY or hard >= wanted:
            resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
        node = Node(config, terms, os.environ)
    except Unusable as error:
        print(f"starlingwheel: {error}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT)  # nearly all is freed without the collector
    node.begin()
    node.loop.run()
    node.loop.close()
    node.log("end")
    node.log.flush()
    return 0
