"""Signals: the word to stop, and the word that the file of the configuration is another one."""

from __future__ import annotations

import signal
import socket
from typing import TYPE_CHECKING

import msgspec

from ..actor import Actor, Coroutine
from ..loop import READ
from ..mail import STOP, Relocated
from .config import Unusable, configured

if TYPE_CHECKING:
    from .start import Node

TOLD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
TAKEN_OVER = {"discovery"}
START_ONLY = {"seed", "known"}  # for the next start: new each time, and of no use to one that has its list


class Signals(Actor):
    lasting = True

    def __init__(self, node: Node) -> None:
        self.node = node
        self.ours, self.theirs = socket.socketpair()
        for end in (self.ours, self.theirs):
            end.setblocking(False)
        super().__init__(node.loop)

    def begin(self) -> None:
        # Guards against a signal ending the process; its number comes by the socket.
        for number in TOLD:
            signal.signal(number, lambda *_: None)
        signal.set_wakeup_fd(self.theirs.fileno(), warn_on_full_buffer=False)
        self.loop.watch(self.ours.fileno(), self, READ)
        super().begin()

    def run(self) -> Coroutine[None]:
        while True:
            yield None
            numbers = set(self.ours.recv(4096))
            if signal.SIGHUP in numbers:
                self._renew()
            if numbers & {signal.SIGTERM, signal.SIGINT}:
                self.node.stopper.post(STOP)

    def _renew(self) -> None:
        """Read the configuration again, whole. One that can't be used leaves the one before in force."""
        try:
            config, _ = configured(self.node.environment)
        except Unusable as unusable:
            self.node.log("config.unusable", error=str(unusable))
            return
        before = self.node.config
        changed = {
            name for name in config.__struct_fields__ if getattr(config, name) != getattr(before, name)
        }
        taken = changed & TAKEN_OVER
        # What is in force stays to be compared with: a change that waits for a restart is told each time.
        self.node.config = msgspec.structs.replace(before, **{name: getattr(config, name) for name in taken})
        self.node.log(
            "config.read", taken_over=sorted(taken), need_restart=sorted(changed - TAKEN_OVER - START_ONLY)
        )
        if "discovery" in taken:
            self.node.list.post(Relocated(config.discovery))
