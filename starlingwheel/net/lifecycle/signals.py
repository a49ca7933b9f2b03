"""Signals: the word to stop, and the word that the file of the configuration is another one."""

from __future__ import annotations

import signal
import socket
from typing import TYPE_CHECKING

import msgspec

from ..actor import Actor, Coroutine
from ..loop import READ
from ..mail import STOP, DiscoveryMoved
from .config import START_ONLY, ConfigError, keep_start_only_fields, reload_config

if TYPE_CHECKING:
    from .start import Node

TOLD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
TAKEN_OVER = {"discovery", "settings", "named"}


class SignalHandler(Actor):
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
        # Those that came during the start are heard now (__main__.py).
        signal.pthread_sigmask(signal.SIG_UNBLOCK, TOLD)

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
            config, terms = reload_config(self.node.environment, self.node.config)
            if self.node.fleet is not None:
                terms = self.node.fleet.renewed(config)
        except ConfigError as unusable:
            self.node.log("config.unusable", error=str(unusable))
            return
        before = self.node.config
        differs = {
            name for name in config.__struct_fields__ if getattr(config, name) != getattr(before, name)
        }
        taken = differs & TAKEN_OVER
        # What is in force stays to be compared with: a change that waits for a restart is told each time.
        self.node.config = msgspec.structs.replace(before, **{name: getattr(config, name) for name in taken})
        need_restart = differs - TAKEN_OVER - START_ONLY
        if "settings" in taken:
            terms, changed = keep_start_only_fields(terms, self.node.terms)
            need_restart |= {f"settings: {name}" for name in changed}
            self.node.retune(terms)
            self.node.tell_mixed()
        told = sorted(taken - {"named"})
        self.node.log("config.read", taken_over=told, need_restart=sorted(need_restart))
        if "discovery" in taken:
            self.node.list.post(DiscoveryMoved(config.discovery))
