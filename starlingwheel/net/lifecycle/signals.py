"""Signals: the word to stop, and the word that the file of the configuration is another one."""

from __future__ import annotations

import signal
import socket

import msgspec

from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..loop import READ
from ..messages import STOP, DiscoveryMoved
from .config import START_ONLY, ConfigError, keep_start_only_fields, reload_config

TOLD = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
TAKEN_OVER = {"discovery", "settings", "named"}


class SignalHandler(Actor):
    daemon = True

    def __init__(self, context: SidecarContext) -> None:
        self.context = context
        self.ours, self.theirs = socket.socketpair()
        for end in (self.ours, self.theirs):
            end.setblocking(False)
        super().__init__(context.loop)

    def begin(self) -> None:
        # Guards against a signal ending the process; its number comes by the socket.
        for number in TOLD:
            signal.signal(number, lambda *_: None)
        signal.set_wakeup_fd(self.theirs.fileno(), warn_on_full_buffer=False)
        self.loop.register(self.ours.fileno(), self, READ)
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
                self.context.shutdown.post(STOP)

    def _renew(self) -> None:
        """Read the configuration again, whole. One that can't be used leaves the one before in force."""
        try:
            config, terms = reload_config(self.context.environment, self.context.config)
            if self.context.fleet is not None:
                terms = self.context.fleet.renewed(config)
        except ConfigError as unusable:
            self.context.log("config.unusable", error=str(unusable))
            return
        before = self.context.config
        differs = {
            name for name in config.__struct_fields__ if getattr(config, name) != getattr(before, name)
        }
        taken = differs & TAKEN_OVER
        # What is in force stays to be compared with: a change that waits for a restart is told each time.
        self.context.config = msgspec.structs.replace(
            before, **{name: getattr(config, name) for name in taken}
        )
        need_restart = differs - TAKEN_OVER - START_ONLY
        if "settings" in taken:
            terms, changed = keep_start_only_fields(terms, self.context.balancer_config)
            need_restart |= {f"settings: {name}" for name in changed}
            self.context.reload(terms)
            self.context.log_mixed_settings()
        told = sorted(taken - {"named"})
        self.context.log("config.read", taken_over=told, need_restart=sorted(need_restart))
        if "discovery" in taken:
            self.context.discovery.post(DiscoveryMoved(config.discovery))
