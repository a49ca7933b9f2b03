"""One link to a member: its handshake, heartbeats and frames."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import msgspec

from ....fleet.frames import Frame, HeartbeatFrame, HelloFrame, LinkIdleFrame, PolicyQueryFrame
from ...actor import Actor, Coroutine
from ...loop import READ, WRITE, SocketReady
from ...messages import CLOSE
from ..messages import POLICY_STATUS_NEEDED, PROBE_LINK, REQUEST_POLICY_STATUS, FrameReceived, SendFrame
from .activity import LinkActivity
from .errors import LinkEndReason, LinkRejectedError
from .frame_connection import FrameConnection
from .frame_reader import encode_frame
from .timing import HANDSHAKE_TIMEOUT, HEARTBEAT_INTERVAL

if TYPE_CHECKING:
    from .manager import LinkManager


class PeerLink(Actor):
    """One connection to a member, from the handshake to its end."""

    priority = True
    messages_per_turn = 32

    def __init__(self, manager: LinkManager, sock: socket.socket, member: str) -> None:
        """`member`: the member that this side dials; empty for an accepted connection."""
        self.manager = manager
        self.member = member
        self.dialed = bool(member)
        self.hello_received = False
        self.shard_count = manager.view.shard_count  # as sent in our hello
        self.connection = FrameConnection(manager.loop, self, sock)
        self.activity = LinkActivity(self.connection, lambda: len(manager.links))
        self.early_frames: list[Frame] = []  # frames received with the hello
        self.closing_idle = False  # we have announced that we close the link as idle
        self.end_reported = False  # the manager knows that the link has ended
        if self.dialed:
            manager.dialer.dialing[member] = self
        else:
            manager.pending[self] = None
        super().__init__(manager.loop)

    def run(self) -> Coroutine[None]:
        """Serve the link until it ends, and report the reason to the manager."""
        reason: str = LinkEndReason.STOPPED
        try:
            yield from self._perform_handshake()
            self.manager.link_established(self)
            yield from self._exchange_frames()
        except LinkRejectedError as rejected:
            reason = rejected.reason
            if self.closing_idle:
                self._report_end(reason)
                yield from self.connection.shut_down(self.loop.now() + HANDSHAKE_TIMEOUT)
        except OSError:
            reason = LinkEndReason.CONNECTION_RESET
        except Exception:
            reason = LinkEndReason.INTERNAL_ERROR
            raise
        finally:
            self.connection.close()
            if not self.end_reported:
                self._report_end(reason)

    def _report_end(self, reason: str) -> None:
        self.end_reported = True
        self.manager.link_ended(self, self.member, reason)

    # The handshake.

    def _perform_handshake(self) -> Coroutine[None]:
        """Exchange hellos.

        A link that this side has dialed counts as established once the other side has sent a second frame,
        which shows that it has accepted our hello.
        """
        deadline = self.loop.now() + HANDSHAKE_TIMEOUT
        if self.dialed:
            yield from self._connect(deadline)
        hello = msgspec.structs.replace(self.manager.hello, shard_count=self.shard_count)
        self.connection.send(encode_frame(hello))
        self.connection.watch(READ)
        while not self.hello_received or (self.dialed and not self.early_frames):
            message = yield deadline
            if not isinstance(message, SocketReady):
                self._check_handshake(message, deadline, LinkEndReason.NO_HELLO)
                continue
            for frame in self.connection.receive():
                yield from self._receive_in_handshake(frame, deadline)

    def _connect(self, deadline: float) -> Coroutine[None]:
        self.connection.watch(WRITE)
        while not isinstance(message := (yield deadline), SocketReady):
            self._check_handshake(message, deadline, LinkEndReason.CONNECT_TIMEOUT)
        self.connection.check_connected()

    def _receive_in_handshake(self, frame: Frame, deadline: float) -> Coroutine[None]:
        if self.hello_received:
            self.early_frames.append(frame)
            return
        if isinstance(frame, PolicyQueryFrame) and not self.dialed:
            yield from self._answer_query(frame, deadline)
        if not isinstance(frame, HelloFrame):
            raise LinkRejectedError(LinkEndReason.NO_HELLO)
        self.hello_received = True
        self.member = self.manager.identify(self, frame)

    def _check_handshake(self, message: object, deadline: float, timeout_reason: LinkEndReason) -> None:
        """Raise `LinkRejectedError` if the link is closed, or for `timeout_reason` after the deadline."""
        if message is CLOSE:
            replaced = self.member in self.manager.links
            raise LinkRejectedError(LinkEndReason.REPLACED if replaced else LinkEndReason.NOT_NEEDED)
        if message is None and self.loop.now() >= deadline:
            raise LinkRejectedError(timeout_reason)

    def _answer_query(self, query: PolicyQueryFrame, deadline: float) -> Coroutine[None]:
        """Send the policy state known here to a member that may be in no view, and end the link.

        Always raises `LinkRejectedError`.
        """
        self.manager.check_compatible(query.fleet, query.version)
        if self.manager.request_policy_status():
            answers_at = self.loop.now() + HEARTBEAT_INTERVAL
            while self.loop.now() < answers_at:
                yield answers_at
        for frame in self.manager.answer_query(query):
            self.connection.send(encode_frame(frame))
        yield from self.connection.flush_until(deadline)
        raise LinkRejectedError(LinkEndReason.POLICY_QUERY_ANSWERED)

    # The established link.

    def _exchange_frames(self) -> Coroutine[None]:
        """Send and receive frames until the link ends by `LinkRejectedError` or `OSError`."""
        now = self.loop.now()
        self.activity.begin(now)
        if not self.dialed:
            self._send_heartbeat(now)  # shows the dialing side that its hello was accepted
        self._handle_frames(self.early_frames)
        while True:
            now, idle = self.loop.now(), self._is_idle
            lost_at = self.activity.lost_at(now, idle)
            if now >= lost_at:
                raise LinkRejectedError(LinkEndReason.PEER_SILENT)
            heartbeat_at = self.activity.heartbeat_at(now, idle)
            if now >= heartbeat_at:
                self._send_heartbeat(now)
                idle = self._is_idle
                heartbeat_at = self.activity.heartbeat_at(now, idle)
            close_at = self.activity.close_at(idle)
            if now >= close_at and not self.mailbox:
                self._close_idle(now)
                heartbeat_at = self.activity.heartbeat_at(now, self._is_idle)
            self._handle_message((yield min(heartbeat_at, lost_at, close_at)))

    def _handle_message(self, message: object) -> None:
        now = self.loop.now()
        if isinstance(message, SendFrame):
            self.activity.record_request_frame(now)
            self.connection.send(message.data)
        elif message is POLICY_STATUS_NEEDED:
            self.activity.need_policy(now)
        elif message is PROBE_LINK or message is REQUEST_POLICY_STATUS:
            self._send_heartbeat(now, request_status=message is REQUEST_POLICY_STATUS)
        elif isinstance(message, SocketReady):
            if message.mask & WRITE:
                self.connection.flush()
            if message.mask & ~WRITE:
                self._handle_frames(self.connection.receive())
        elif message is CLOSE:
            raise LinkRejectedError(LinkEndReason.REPLACED)

    def _handle_frames(self, frames: list[Frame]) -> None:
        for frame in frames:
            if isinstance(frame, HelloFrame):
                raise LinkRejectedError(LinkEndReason.SECOND_HELLO)
            if isinstance(frame, LinkIdleFrame):
                raise LinkRejectedError(LinkEndReason.IDLE)
            if isinstance(frame, HeartbeatFrame):
                self._handle_heartbeat(frame)
            else:
                self.activity.record_request_frame(self.loop.now())
            self.manager.notify(FrameReceived(self.member, frame))
        if frames and self.activity.should_reply(self.loop.now()):
            self._send_heartbeat(self.loop.now())

    def _handle_heartbeat(self, frame: HeartbeatFrame) -> None:
        self.activity.record_heartbeat_received(frame, self.loop.now())
        if frame.requests_policy_status:
            self._send_heartbeat(self.loop.now(), with_status=True)

    def _send_heartbeat(self, now: float, with_status: bool = False, request_status: bool = False) -> None:
        """Send a heartbeat.

        `with_status`: it contains our policy status. `request_status`: it asks for the other side's status.
        """
        policy_needed = with_status or now < self.activity.policy_needed_until
        heartbeat = self.manager.make_heartbeat(self.member, policy_needed)
        if request_status:
            heartbeat = msgspec.structs.replace(heartbeat, requests_policy_status=True)
        self.activity.record_heartbeat_sent(heartbeat, now)
        self.connection.send(encode_frame(heartbeat))

    @property
    def _is_idle(self) -> bool:
        """Whether the link leads to another shard and neither side needs it."""
        return self.activity.both_idle and self.manager.is_in_other_shard(self.member)

    def _close_idle(self, now: float) -> None:
        """End the link by `LinkRejectedError`, unless it has been needed since the last heartbeat."""
        if not self.manager.make_heartbeat(self.member, False).idle:
            self.activity.last_request_frame = now
            self.activity.local_idle = False
            return
        self.connection.send(encode_frame(LinkIdleFrame()))
        self.closing_idle = True
        raise LinkRejectedError(LinkEndReason.IDLE)
