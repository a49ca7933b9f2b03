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
from .completeness import KnownKeys
from .config import START_ONLY, ConfigError, SidecarConfig, keep_start_only_fields, reload_config

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
STOP_SIGNALS = {signal.SIGTERM, signal.SIGINT}
RELOADABLE_FIELDS = {"discovery", "settings", "named"}  # in `SidecarConfig`; the others need a restart


class SignalHandler(Actor):
    """Receives signals as bytes on a socket pair, so that they are handled within a turn of the loop."""

    daemon = True

    def __init__(self, context: SidecarContext) -> None:
        """Open the socket pair; signals arrive on it once `begin` has been called."""
        self.context = context
        self.known_keys = KnownKeys().including(context.config.settings)
        self.receiver, self.sender = socket.socketpair()
        for sock in (self.receiver, self.sender):
            sock.setblocking(False)
        super().__init__(context.loop)

    def begin(self) -> None:
        """Handle signals from now on, starting with those that __main__.py blocked during the start."""
        # Without a handler a signal would end the process. The interpreter writes the signal's number to the
        # socket.
        for number in HANDLED_SIGNALS:
            signal.signal(number, lambda *_: None)
        signal.set_wakeup_fd(self.sender.fileno(), warn_on_full_buffer=False)
        self.loop.register(self.receiver.fileno(), self, READ)
        super().begin()
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    def run(self) -> Coroutine[None]:
        """Handle signals forever; a reload is handled before a stop that arrives with it."""
        while True:
            yield None
            numbers = set(self.receiver.recv(4096))
            if signal.SIGHUP in numbers:
                self._reload()
            if numbers & STOP_SIGNALS:
                if self.context.stop_requested_at is None:
                    self.context.stop_requested_at = self.loop.earliest_event_at
                self.context.shutdown.post(STOP)

    def _reload(self) -> None:
        """Read the configuration again; if it can't be used, the former one stays in force."""
        context = self.context
        try:
            config, balancer_config = reload_config(context.environment, context.config, self.known_keys)
            if context.fleet is not None:
                balancer_config = context.fleet.reload_config(config)
        except ConfigError as error:
            context.log("config.unusable", error=str(error))
            return
        self.known_keys = self.known_keys.including(config.settings)
        self._apply(config, balancer_config)

    def _apply(self, config: SidecarConfig, balancer_config: BalancerConfig) -> None:
        context, before = self.context, self.context.config
        changed = {
            name for name in config.__struct_fields__ if getattr(config, name) != getattr(before, name)
        }
        reloaded = changed & RELOADABLE_FIELDS
        # The other fields keep their values, so a change that needs a restart is logged again at each reload.
        context.config = msgspec.structs.replace(before, **{name: getattr(config, name) for name in reloaded})
        need_restart = changed - RELOADABLE_FIELDS - START_ONLY
        if "settings" in reloaded:
            balancer_config, fixed = keep_start_only_fields(balancer_config, context.balancer_config)
            need_restart |= {f"settings: {name}" for name in fixed}
            context.reload(balancer_config)
            context.log_contradictory_settings()
        applied = sorted(reloaded - {"named"})
        context.log("config.read", taken_over=applied, need_restart=sorted(need_restart))
        if "discovery" in reloaded:
            context.discovery.post(DiscoveryMoved(config.discovery))
