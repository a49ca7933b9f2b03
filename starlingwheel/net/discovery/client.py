"""Keeps the endpoint list of a sidecar current: one watch in use, opened again when it ends.

Owns the calls to discovery and their schedule; what one call reads comes from `watch.py`. Times are seconds
on the loop's clock; constants that are multiples are multiples of `KEEPALIVE_INTERVAL`.
"""

from __future__ import annotations

from http import HTTPStatus
from math import inf

from ...decisions.events import WatchEvent
from ..actor import Actor, Coroutine
from ..context import SidecarContext
from ..http.errors import CloseReason
from ..messages import (
    CLOSE,
    DiscoveryMoved,
    EndpointsChanged,
    WatchAnswered,
    WatchEnded,
    WatchEndpoints,
    WatchMessage,
)
from .messages import DiscoveryMessage
from .watch import DiscoveryWatch, WatchEndReason

KEEPALIVE_INTERVAL = 2.0  # seconds: discovery writes at least an empty line this often to each watch
SILENCE_TIMEOUT = 1.5  # times that, without a byte, after which a watch counts as dead
ANSWER_TIMEOUT = 2.0  # times that, for which a call waits for its turn at discovery
INITIAL_BACKOFF = 1 / 16  # times that, before a new discovery is called again; doubled each time
REOPEN_WITHIN = 1 / 2  # times that, within which a watch that fell silent is opened again
REOPEN_ENDED_WITHIN = 1 / 4  # the same for one that ended, after which the lease is shorter
# Times that, for which a call to an agent that pushes the list waits at first; doubled each time.
AGENT_ANSWER_TIMEOUT = 1 / 4
USE_KNOWN_AFTER = 6.0  # times that, after which a start does without the agent's list
# The changes that discovery has count as notified 3 times that later, whatever call fails or hangs.
SECOND_CALL_WITHIN = 11 / 4  # times that, within which two calls begin while none is answered: one may hang
HANG_THRESHOLD = 5 / 8  # times that, before which an unanswered call does not count as hanging
FIRST_CALL_WITHIN = SECOND_CALL_WITHIN - HANG_THRESHOLD  # leaves time for one more call
JITTER = 1 / 4  # times that, by which these come sooner at random, so that not all sidecars call at once


class DiscoveryClient(Actor):
    """Keeps one watch in use, and moves to another discovery when a new configuration names one.

    While none is answered, two calls begin within `SECOND_CALL_WITHIN`, whatever became of those before. The
    second one begins beside the first only where that hangs; the first to be answered stays.
    """

    priority = True
    daemon = True

    def __init__(self, context: SidecarContext, known: DiscoveryMessage | None) -> None:
        """`known`: the list that the configuration gives, which may be old."""
        self.context, self.known = context, known
        self.version = known.version if known else 0
        self.address = context.config.discovery
        self.current_watch: DiscoveryWatch | None = None  # the one in use
        self.new_watch: DiscoveryWatch | None = None  # at a new address, until its first message
        self.second_watch: DiscoveryWatch | None = None  # a second call, where the first one hangs
        self.moving = False  # to the address of a new configuration
        self.next_call_at = inf  # when the next call begins after a backoff
        self.backoff = 0.0
        self.last_call_at = inf  # when the last call began, or a watch was last known to be in use
        self.latest_call_at = inf  # when the next call begins at the latest
        # After this time an unanswered call counts as hanging.
        self.hang_threshold = HANG_THRESHOLD * KEEPALIVE_INTERVAL
        # Where the list is pushed its agent is near by, and its changes count as notified at once.
        self.list_is_pushed = not context.balancer_config.must_watch_endpoints
        self.initial_timeout_multiple = AGENT_ANSWER_TIMEOUT if self.list_is_pushed else ANSWER_TIMEOUT
        self.timeout_multiple = self.initial_timeout_multiple  # of `KEEPALIVE_INTERVAL`, for the next call
        # For an agent backoffs end well within the grace for drains, where the settings name one.
        grace = context.balancer_config.drain_grace / 4 if self.list_is_pushed else 0.0
        self.max_backoff = min(KEEPALIVE_INTERVAL, grace or KEEPALIVE_INTERVAL)
        self.use_known_at = inf  # when the list of the configuration is used for lack of another
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Handle the messages of watches, of the coordinator and of the signal handler."""
        if self.list_is_pushed and self.current_watch is None and self.new_watch is None:
            # The decisions never ask for a list that is pushed, so its watch is opened here.
            self._call()
        while True:
            match (yield min(self.next_call_at, self.latest_call_at, self.use_known_at)):
                case None if self.loop.now() >= self.use_known_at:
                    self.context.lease.do_without()
                    self._begin_with(self.known)
                case None:
                    self._call()
                case WatchEndpoints() if self._is_idle():
                    self._call()
                case DiscoveryMoved(address):
                    self._move_to(address)
                case WatchAnswered(watch):
                    self._watch_answered(watch)
                case WatchMessage(watch, message):
                    self._receive_message(watch, message)
                case WatchEnded(watch):
                    self._watch_ended(watch)

    def _is_idle(self) -> bool:
        """No watch is in use, and no call is due."""
        return self.current_watch is None and not self.moving and self.next_call_at == inf

    def begin(self) -> None:
        """Start the lease, and the decisions with the list of the configuration."""
        self.context.lease.start(self.loop.now())
        if self.list_is_pushed and self.known is not None:
            # The agent's list counts as notified from the first moment. The known list may name endpoints
            # that have long been drained, so it is not used while the agent may yet answer.
            self.use_known_at = self.loop.now() + USE_KNOWN_AFTER * KEEPALIVE_INTERVAL
            self._begin_with(None)
        else:
            self._begin_with(self.known)
        super().begin()

    def _begin_with(self, known: DiscoveryMessage | None) -> None:
        """Give the decisions a first list: the known one, or an empty one."""
        if known is not None:
            self.use_known_at = inf
        entries = self.context.overrides.listed(True, known.endpoints if known else [])
        self.context.coordinator.post(EndpointsChanged(WatchEvent.SNAPSHOT, entries))

    # Calls.

    @property
    def _pending_watch(self) -> DiscoveryWatch | None:
        """The call to be answered. A new discovery is called while the old watch is still in use."""
        return self.new_watch if self.moving else self.current_watch

    @_pending_watch.setter
    def _pending_watch(self, watch: DiscoveryWatch | None) -> None:
        if self.moving:
            self.new_watch = watch
        else:
            self.current_watch = watch

    def _with_jitter(self, multiple: float) -> float:
        """Return that multiple of `KEEPALIVE_INTERVAL`, or a little less."""
        return KEEPALIVE_INTERVAL * (multiple - JITTER * self.context.rng.random())

    def _call(self) -> None:
        now = self.loop.now()
        before, self.last_call_at = min(self.last_call_at, now), now
        self.next_call_at = inf
        second_call_at = max(before + self._with_jitter(SECOND_CALL_WITHIN), now + self.hang_threshold)
        self.latest_call_at = min(second_call_at, now + self._with_jitter(FIRST_CALL_WITHIN))
        watch = self._new_watch()
        self.context.log("list.call", address=self.address, version=watch.version)
        if self._pending_watch is None:
            self._pending_watch = watch
        else:
            # What a hanging call holds back counts as notified meanwhile, so a second one is made.
            self._close(self.second_watch)
            self.second_watch = watch
            self.context.log("list.beside", address=self.address)
        watch.begin()

    def _new_watch(self) -> DiscoveryWatch:
        return DiscoveryWatch(
            self.context,
            self.address,
            # A new discovery is asked for the whole list: its versions need not be those of the old one.
            version=0 if self.moving else self.version,
            answer_timeout=KEEPALIVE_INTERVAL * self.timeout_multiple,
            silence_timeout=KEEPALIVE_INTERVAL * SILENCE_TIMEOUT,
        )

    def _close(self, watch: DiscoveryWatch | None) -> None:
        if watch is not None:
            watch.post(CLOSE)

    def _move_to(self, address: str) -> None:
        self.address, self.moving, self.backoff = address, True, INITIAL_BACKOFF * KEEPALIVE_INTERVAL
        self.last_call_at, self.timeout_multiple = inf, self.initial_timeout_multiple
        self.context.lease.move_source(self.loop.now())
        for watch in (self.new_watch, self.second_watch):
            self._close(watch)
        self.new_watch = self.second_watch = None
        self._call()

    # What becomes of a call.

    def _watch_answered(self, watch: DiscoveryWatch) -> None:
        if watch is self.second_watch:
            self._close(self._pending_watch)
            self._pending_watch = watch
        elif watch is self._pending_watch:
            self._close(self.second_watch)
        else:
            return
        self._adapt_hang_threshold(watch)
        self.second_watch, self.latest_call_at = None, inf

    def _adapt_hang_threshold(self, watch: DiscoveryWatch) -> None:
        """A call that waits its turn at a busy discovery does not hang: no second one is made beside it."""
        waited = self.loop.now() - watch.opened_at
        self.hang_threshold = min(
            max(HANG_THRESHOLD * KEEPALIVE_INTERVAL, 2 * waited), ANSWER_TIMEOUT * KEEPALIVE_INTERVAL
        )

    def _receive_message(self, watch: DiscoveryWatch, message: DiscoveryMessage) -> None:
        if watch is self.new_watch:
            self.context.lease.moved_source()
            # The old watch stays in use until the first message of the new one.
            before, self.current_watch, self.new_watch, self.moving = self.current_watch, watch, None, False
            self._close(before)
        if watch is not self.current_watch:
            return
        self.version, self.backoff = message.version, 0.0
        self.timeout_multiple = self.initial_timeout_multiple
        if not watch.has_proven:
            watch.prove()  # it was not in use yet when the line was read
        if self.use_known_at < inf and not message.full:
            self._begin_with(self.known)  # the message tells what changed since, perhaps nothing
        self.use_known_at = inf
        entries = self.context.overrides.listed(message.full, message.endpoints)
        self.context.coordinator.post(EndpointsChanged(message.event, entries))

    def _watch_ended(self, watch: DiscoveryWatch) -> None:
        now = self.loop.now()
        self._update_lease(watch, now)
        if watch in (self.second_watch, self._pending_watch):
            self._schedule_after(watch, now)
        if watch is self.second_watch:
            self.second_watch = None
        elif watch is not self._pending_watch:
            if watch is self.current_watch:
                self.current_watch = None
        elif self.second_watch is not None:
            self._pending_watch = self.second_watch
            self.second_watch = None
        else:
            self._pending_watch = None
            self._reopen(watch)

    def _schedule_after(self, watch: DiscoveryWatch, now: float) -> None:
        """Set when the next call begins at the latest."""
        if watch.answered or watch.reason is CloseReason.CONNECT_REFUSED:
            # Its changes until then are known, or discovery could not be reached until then.
            self.last_call_at = watch.read_at if watch.reason is WatchEndReason.SILENT else now
            self.latest_call_at = now + self._with_jitter(FIRST_CALL_WITHIN)
        elif watch.reason is not WatchEndReason.SILENT:
            self._adapt_hang_threshold(watch)

    def _update_lease(self, watch: DiscoveryWatch, now: float) -> None:
        """Tell the lease what the end of a call or a watch means for the list."""
        lease = self.context.lease
        busy_agent = self.list_is_pushed and watch.error_status == HTTPStatus.SERVICE_UNAVAILABLE
        if busy_agent or watch.reason is CloseReason.CONNECT_REFUSED:
            lease.miss_source(now)
        elif watch is self.current_watch and watch.answered:
            if watch.reason is WatchEndReason.SILENT:
                lease.fall_silent(now)
            else:
                lease.end_watch(now, reset=watch.reason is CloseReason.RESET)
        self.context.gate.note_state()

    def _reopen(self, watch: DiscoveryWatch) -> None:
        """Schedule the next call: none is on its way now."""
        now = self.loop.now()
        if self.moving:
            # The new discovery may not be up yet, but its changes count as notified within seconds.
            self.next_call_at = now + self.backoff
            self.backoff = min(2 * self.backoff, KEEPALIVE_INTERVAL)
            if self.list_is_pushed:
                self.timeout_multiple = min(2 * self.timeout_multiple, ANSWER_TIMEOUT)
            return
        self.version = watch.version
        self.context.coordinator.post(EndpointsChanged(WatchEvent.FAILED, []))
        if self.list_is_pushed:
            self.timeout_multiple = min(2 * self.timeout_multiple, ANSWER_TIMEOUT)
            # Random, so that not all sidecars call again at the same moment.
            self.backoff = min(2 * self.backoff or INITIAL_BACKOFF * KEEPALIVE_INTERVAL, self.max_backoff)
            self.next_call_at = now + self.backoff * (0.5 + self.context.rng.random())
        elif watch.answered:
            # The decisions would spread their calls over the fleet's interval, and what is missed until then
            # would count as notified. A silent watch is found at random times anyway; one that ended may have
            # ended in place of telling a change.
            silent = watch.reason is WatchEndReason.SILENT
            within = REOPEN_WITHIN if silent else REOPEN_ENDED_WITHIN
            self.next_call_at = now + within * KEEPALIVE_INTERVAL * self.context.rng.random()
