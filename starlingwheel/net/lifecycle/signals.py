"""Signals: SIGTERM and SIGINT stop the sidecar, SIGHUP reloads its configuration."""

from __future__ import annotations

import signal
import socket

import msgspec

from ...decisions.config import BalancerConfig
from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..loop import READ
from ..messages import STOP, DiscoveryMoved
from .config import START_ONLY, ConfigError, SidecarConfig, keep_start_only_fields, reload_config

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
STOP_SIGNALS = {signal.SIGTERM, signal.SIGINT}
RELOADABLE_FIELDS = {"discovery", "settings", "named"}  # of `SidecarConfig`; the others need a restart


class SignalHandler(Actor):
    """Receives signals as bytes on a socket pair, so that they are handled in a turn of the loop."""

    daemon = True

    def __init__(self, context: SidecarContext) -> None:
        """Open the socket pair; signals arrive on it from `begin` on."""
        self.context = context
        self.ours, self.theirs = socket.socketpair()
        for end in (self.ours, self.theirs):
            end.setblocking(False)
        super().__init__(context.loop)

    def begin(self) -> None:
        """Handle signals from now on, those that arrived during the start first (__main__.py)."""
        # Without a handler of its own a signal would end the process; its number is written to the socket.
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda *_: None)
        signal.set_wakeup_fd(self.theirs.fileno(), warn_on_full_buffer=False)
        self.loop.register(self.ours.fileno(), self, READ)
        super().begin()
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    def run(self) -> Coroutine[None]:
        """Handle signals, for ever: a reload goes before a stop that arrives with it."""
        while True:
            yield None
            numbers = set(self.ours.recv(4096))
            if signal.SIGHUP in numbers:
                self._reload()
            if numbers & STOP_SIGNALS:
                self.context.shutdown.post(STOP)

    def _reload(self) -> None:
        """Read the whole configuration again; one that can't be used leaves the former one in force."""
        context = self.context
        try:
            config, balancer_config = reload_config(context.environment, context.config)
            if context.fleet is not None:
                balancer_config = context.fleet.reload_config(config)
        except ConfigError as error:
            context.log("config.unusable", error=str(error))
            return
        self._apply(config, balancer_config)

    def _apply(self, config: SidecarConfig, balancer_config: BalancerConfig) -> None:
        context, before = self.context, self.context.config
        changed = {
            name for name in config.__struct_fields__ if getattr(config, name) != getattr(before, name)
        }
        reloaded = changed & RELOADABLE_FIELDS
        # The other fields keep their values: a change that needs a restart is logged at each reload.
        context.config = msgspec.structs.replace(before, **{name: getattr(config, name) for name in reloaded})
        need_restart = changed - RELOADABLE_FIELDS - START_ONLY
        if "settings" in reloaded:
            balancer_config, fixed = keep_start_only_fields(balancer_config, context.balancer_config)
            need_restart |= {f"settings: {name}" for name in fixed}
            context.reload(balancer_config)
            context.log_contradictory_settings()
        taken_over = sorted(reloaded - {"named"})
        context.log("config.read", taken_over=taken_over, need_restart=sorted(need_restart))
        if "discovery" in reloaded:
            context.discovery.post(DiscoveryMoved(config.discovery))
