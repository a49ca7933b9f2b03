"""Keeps the endpoint list of a sidecar current by one watch, which is reopened when it ends.

`DiscoveryClient` owns the calls to discovery and their schedule; `watch.py` reads the messages of one call.
Times are seconds on the loop's clock; constants given in intervals are multiples of `KEEPALIVE_INTERVAL`.
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
SILENCE_TIMEOUT = 1.5  # intervals without a byte after which a watch counts as dead
ANSWER_TIMEOUT = 2.0  # intervals for which a call may wait for its turn at discovery
INITIAL_BACKOFF = 1 / 16  # intervals before a new discovery is called again; doubled each time
REOPEN_WITHIN = 1 / 2  # intervals within which a watch that fell silent is reopened
# Intervals within which a watch that ended is reopened; the lease is shorter after an end than after silence.
REOPEN_ENDED_WITHIN = 1 / 4
# Intervals for which a call to an agent that pushes the list waits at first; doubled each time.
AGENT_ANSWER_TIMEOUT = 1 / 4
USE_KNOWN_LIST_AFTER = 6.0  # intervals after which a starting sidecar stops waiting for the agent's list
# Changes at discovery count as notified 3 intervals after they are made, whatever calls fail or hang.
SECOND_CALL_WITHIN = 11 / 4  # intervals within which two calls begin while none is answered, as one may hang
HANG_THRESHOLD = 5 / 8  # intervals before which an unanswered call does not count as hanging
# Intervals within which the call after the latest one begins: one more call still fits in before the limit.
FIRST_CALL_WITHIN = SECOND_CALL_WITHIN - HANG_THRESHOLD
JITTER = 1 / 4  # intervals by which calls begin earlier at random, so that not all sidecars call at once


class DiscoveryClient(Actor):
    """Keeps one watch in use, and switches to another discovery when a new configuration names one.

    While no call is answered, two calls begin within `SECOND_CALL_WITHIN`, whatever became of earlier ones. A
    second call is made in parallel only if the first one hangs; the call that is answered first is kept.
    """

    priority = True
    daemon = True

    def __init__(self, context: SidecarContext, known_list: DiscoveryMessage | None) -> None:
        """Start with `known_list`, the list in the configuration, which may be outdated."""
        self.context, self.known_list = context, known_list
        self.version = known_list.version if known_list else 0
        self.address = context.config.discovery
        self.current_watch: DiscoveryWatch | None = None  # the watch in use
        self.new_watch: DiscoveryWatch | None = None  # the watch at a new address, until its first message
        self.second_watch: DiscoveryWatch | None = None  # a second call in parallel to one that hangs
        self.switching = False  # a new configuration has named another address
        self.next_call_at = inf  # when the next call begins after a backoff
        self.backoff = 0.0
        self.last_call_at = inf  # when the last call began, or when a watch was last known to work
        self.latest_call_at = inf  # the latest time at which the next call begins
        # After this time an unanswered call counts as hanging.
        self.hang_threshold = HANG_THRESHOLD * KEEPALIVE_INTERVAL
        # A pushed list comes from an agent near by, whose changes count as notified immediately.
        self.list_is_pushed = not context.balancer_config.must_watch_endpoints
        self.initial_timeout_multiple = AGENT_ANSWER_TIMEOUT if self.list_is_pushed else ANSWER_TIMEOUT
        self.timeout_multiple = self.initial_timeout_multiple  # of `KEEPALIVE_INTERVAL`, for the next call
        # For an agent, backoffs are kept well within the drain grace, if the settings name one.
        grace = context.balancer_config.drain_grace / 4 if self.list_is_pushed else 0.0
        self.max_backoff = min(KEEPALIVE_INTERVAL, grace or KEEPALIVE_INTERVAL)
        self.use_known_list_at = inf  # when the list of the configuration is used if no other has arrived
        super().__init__(context.loop)

    def run(self) -> Coroutine[None]:
        """Handle messages from watches, the coordinator and the signal handler."""
        if self.list_is_pushed and self.current_watch is None and self.new_watch is None:
            # The decisions never request a pushed list, so its watch is opened here.
            self._begin_call()
        while True:
            match (yield min(self.next_call_at, self.latest_call_at, self.use_known_list_at)):
                case None if self.loop.now() >= self.use_known_list_at:
                    self.context.lease.assume_source_down()
                    self._post_first_list(self.known_list)
                case None:
                    self._begin_call()
                case WatchEndpoints() if self._is_idle():
                    self._begin_call()
                case DiscoveryMoved(address):
                    self._switch_address(address)
                case WatchAnswered(watch):
                    self._watch_answered(watch)
                case WatchMessage(watch, message):
                    self._receive_message(watch, message)
                case WatchEnded(watch):
                    self._watch_ended(watch)

    def _is_idle(self) -> bool:
        """Return whether no watch is in use and no call is scheduled."""
        return self.current_watch is None and not self.switching and self.next_call_at == inf

    def begin(self) -> None:
        """Start the lease, and give the decisions their first list."""
        self.context.lease.start(self.loop.now())
        if self.list_is_pushed and self.known_list is not None:
            # The agent's list counts as notified from the start. The known list may name endpoints that were
            # drained long ago, so it is not used while the agent may still answer.
            self.use_known_list_at = self.loop.now() + USE_KNOWN_LIST_AFTER * KEEPALIVE_INTERVAL
            self._post_first_list(None)
        else:
            self._post_first_list(self.known_list)
        super().begin()

    def _post_first_list(self, known_list: DiscoveryMessage | None) -> None:
        """Give the decisions their first list: the known one, or an empty one."""
        if known_list is not None:
            self.use_known_list_at = inf
        entries = self.context.overrides.apply_watch_message(True, known_list.endpoints if known_list else [])
        self.context.coordinator.post(EndpointsChanged(WatchEvent.SNAPSHOT, entries))

    # Making calls.

    @property
    def _pending_watch(self) -> DiscoveryWatch | None:
        """The call that awaits an answer; a new discovery is called while the old watch is still in use."""
        return self.new_watch if self.switching else self.current_watch

    @_pending_watch.setter
    def _pending_watch(self, watch: DiscoveryWatch | None) -> None:
        if self.switching:
            self.new_watch = watch
        else:
            self.current_watch = watch

    def _with_jitter(self, multiple: float) -> float:
        """Return this number of intervals in seconds, less a random jitter."""
        return KEEPALIVE_INTERVAL * (multiple - JITTER * self.context.rng.random())

    def _begin_call(self) -> None:
        now = self.loop.now()
        previous_call_at, self.last_call_at = min(self.last_call_at, now), now
        self.next_call_at = inf
        second_call_at = max(
            previous_call_at + self._with_jitter(SECOND_CALL_WITHIN), now + self.hang_threshold
        )
        self.latest_call_at = min(second_call_at, now + self._with_jitter(FIRST_CALL_WITHIN))
        watch = self._new_watch()
        self.context.log("list.call", address=self.address, version=watch.version)
        if self._pending_watch is None:
            self._pending_watch = watch
        else:
            # Changes that a hanging call holds back count as notified meanwhile, so a second call is made.
            self._close_watch(self.second_watch)
            self.second_watch = watch
            self.context.log("list.beside", address=self.address)
        watch.begin()

    def _new_watch(self) -> DiscoveryWatch:
        return DiscoveryWatch(
            self.context,
            self.address,
            # A new discovery is asked for the whole list: its versions need not match those of the old one.
            version=0 if self.switching else self.version,
            answer_timeout=KEEPALIVE_INTERVAL * self.timeout_multiple,
            silence_timeout=KEEPALIVE_INTERVAL * SILENCE_TIMEOUT,
        )

    def _close_watch(self, watch: DiscoveryWatch | None) -> None:
        if watch is not None:
            watch.post(CLOSE)

    def _switch_address(self, address: str) -> None:
        self.address, self.switching, self.backoff = address, True, INITIAL_BACKOFF * KEEPALIVE_INTERVAL
        self.last_call_at, self.timeout_multiple = inf, self.initial_timeout_multiple
        self.context.lease.begin_source_change(self.loop.now())
        for watch in (self.new_watch, self.second_watch):
            self._close_watch(watch)
        self.new_watch = self.second_watch = None
        self._begin_call()

    # Handling the results of calls.

    def _watch_answered(self, watch: DiscoveryWatch) -> None:
        if watch is self.second_watch:
            self._close_watch(self._pending_watch)
            self._pending_watch = watch
        elif watch is self._pending_watch:
            self._close_watch(self.second_watch)
        else:
            return
        self._adapt_hang_threshold(watch)
        self.second_watch, self.latest_call_at = None, inf

    def _adapt_hang_threshold(self, watch: DiscoveryWatch) -> None:
        """Raise the hang threshold after a slow answer.

        A call that waits its turn at a busy discovery does not hang, and no second call is made beside it.
        """
        waited = self.loop.now() - watch.opened_at
        self.hang_threshold = min(
            max(HANG_THRESHOLD * KEEPALIVE_INTERVAL, 2 * waited), ANSWER_TIMEOUT * KEEPALIVE_INTERVAL
        )

    def _receive_message(self, watch: DiscoveryWatch, message: DiscoveryMessage) -> None:
        if watch is self.new_watch:
            self.context.lease.complete_source_change()
            # The old watch stays in use until the first message of the new one.
            old, self.current_watch, self.new_watch, self.switching = self.current_watch, watch, None, False
            self._close_watch(old)
        if watch is not self.current_watch:
            return
        self.version, self.backoff = message.version, 0.0
        self.timeout_multiple = self.initial_timeout_multiple
        if not watch.has_renewed_lease:
            watch.renew_lease()  # the watch was not in use yet when the line was read
        if self.use_known_list_at < inf and not message.full:
            self._post_first_list(self.known_list)  # the message holds only the changes since that list
        self.use_known_list_at = inf
        entries = self.context.overrides.apply_watch_message(message.full, message.endpoints)
        self.context.coordinator.post(EndpointsChanged(message.event, entries))

    def _watch_ended(self, watch: DiscoveryWatch) -> None:
        now = self.loop.now()
        self._update_lease(watch, now)
        if watch in (self.second_watch, self._pending_watch):
            self._limit_next_call(watch, now)
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
            self._schedule_reopening(watch)

    def _limit_next_call(self, watch: DiscoveryWatch, now: float) -> None:
        """Set the latest time at which the next call begins."""
        if watch.answered or watch.reason is CloseReason.CONNECT_REFUSED:
            # All changes until then are known, or discovery could not be reached until then.
            self.last_call_at = watch.read_at if watch.reason is WatchEndReason.SILENT else now
            self.latest_call_at = now + self._with_jitter(FIRST_CALL_WITHIN)
        elif watch.reason is not WatchEndReason.SILENT:
            self._adapt_hang_threshold(watch)

    def _update_lease(self, watch: DiscoveryWatch, now: float) -> None:
        """Update the lease of the list after the end of a call or a watch."""
        lease = self.context.lease
        busy_agent = self.list_is_pushed and watch.error_status == HTTPStatus.SERVICE_UNAVAILABLE
        if busy_agent or watch.reason is CloseReason.CONNECT_REFUSED:
            lease.note_source_unreachable(now)
        elif watch is self.current_watch and watch.answered:
            if watch.reason is WatchEndReason.SILENT:
                lease.note_watch_silent(now)
            else:
                lease.note_watch_ended(now, reset=watch.reason is CloseReason.RESET)
        self.context.gate.update_lease_state()

    def _schedule_reopening(self, watch: DiscoveryWatch) -> None:
        """Schedule the next call after the last one has ended."""
        now = self.loop.now()
        if self.switching:
            # The new discovery may not have started yet, but its changes count as notified within seconds.
            self.next_call_at = now + self.backoff
            self.backoff = min(2 * self.backoff, KEEPALIVE_INTERVAL)
            if self.list_is_pushed:
                self.timeout_multiple = min(2 * self.timeout_multiple, ANSWER_TIMEOUT)
            return
        self.version = watch.version
        self.context.coordinator.post(EndpointsChanged(WatchEvent.FAILED, []))
        if self.list_is_pushed:
            self.timeout_multiple = min(2 * self.timeout_multiple, ANSWER_TIMEOUT)
            # The backoff is random, so that not all sidecars call again at the same time.
            self.backoff = min(2 * self.backoff or INITIAL_BACKOFF * KEEPALIVE_INTERVAL, self.max_backoff)
            self.next_call_at = now + self.backoff * (0.5 + self.context.rng.random())
        elif watch.answered:
            # The next call is not left to the decisions: they would spread the calls over the fleet's
            # interval, and changes missed until then would count as notified. A watch that ended is reopened
            # sooner than a silent one, as it may have ended instead of delivering a change. Silent watches
            # are detected at random times anyway.
            silent = watch.reason is WatchEndReason.SILENT
            within = REOPEN_WITHIN if silent else REOPEN_ENDED_WITHIN
            self.next_call_at = now + within * KEEPALIVE_INTERVAL * self.context.rng.random()
