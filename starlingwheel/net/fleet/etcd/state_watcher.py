"""Watches the fleet's records in the store."""

from __future__ import annotations

from base64 import b64decode
from collections.abc import Callable
from typing import Any

import h11

from ....fleet.records import MEMBERS_PREFIX, SHARDS_KEY, StoreEntry, StoreRecords
from ...actor import Coroutine
from ..messages import StoreRead, ViewChanged
from .errors import (
    EtcdFailure,
    EtcdUnavailableError,
    UnexpectedStatusError,
    UnusableReplyError,
)
from .http_connection import HTTP_OK
from .messages import (
    RANGE_PATH,
    WATCH_PATH,
    KeyRange,
    KeyValue,
    RangeReply,
    WatchCreate,
    WatchEvents,
    WatchLine,
    WatchRequest,
    decode_reply,
    encode_base64,
    parse_number,
    prefix_end,
)
from .session import EtcdSession

MAX_LINE_SIZE = 1 << 20  # bytes of one line of a watch
MAX_ENTRIES = 16_000  # entries read; a member has up to four: itself, its name, zone report and vote
QUIET_LEASES = 3.0  # leases without a line after which a watch is restarted


class StateWatcher(EtcdSession):
    """Reads all records of the fleet, then applies each change to them in order."""

    def __init__(self, *session: Any, notify: Callable[[object], None]) -> None:  # noqa: ANN401
        """`session`: arguments of `EtcdSession`. `notify` gets each `ViewChanged` and `StoreRead`."""
        super().__init__(*session)
        self.notify = notify
        self.records = StoreRecords()
        self.revision = 0  # all changes up to it are known; 0: the records have not been read

    def run_until_failure(self) -> Coroutine[None]:
        """Read all records unless they are known, then watch."""
        keys = KeyRange(encode_base64(self.fleet_prefix), encode_base64(prefix_end(self.fleet_prefix)))
        if not self.revision:
            yield from self._read_all(keys)
        # The watch begins after the known revision, so that no change is missed.
        create = WatchCreate(keys.key, keys.range_end, str(self.revision + 1))
        yield from self.connection.send(WATCH_PATH, WatchRequest(create), self.call_deadline())
        yield from self._watch()

    def _read_all(self, keys: KeyRange) -> Coroutine[None]:
        reply = yield from self.call(RANGE_PATH, keys, RangeReply)
        if len(reply.kvs) > MAX_ENTRIES:
            raise UnusableReplyError(EtcdFailure.TOO_MANY_ENTRIES)
        self.records = StoreRecords(self.records.shard_count if self.records.revision else 0)
        for pair in reply.kvs:
            self.put_record(pair)
        self.revision = parse_number(reply.header.revision)
        self._publish(gap=True, view_changed=True)

    def _watch(self) -> Coroutine[None]:
        """Apply the lines of an open watch until it ends by an exception."""
        unfinished = b""
        while True:
            deadline = self.loop.now() + QUIET_LEASES * self.lease
            event = yield from self.connection.next_event(deadline, EtcdFailure.WATCH_QUIET)
            if isinstance(event, h11.Response) and event.status_code != HTTP_OK:
                raise UnexpectedStatusError(event.status_code)
            if isinstance(event, h11.EndOfMessage):
                raise EtcdUnavailableError(EtcdFailure.WATCH_ENDED)
            if isinstance(event, h11.Data):
                *lines, unfinished = (unfinished + bytes(event.data)).split(b"\n")
                if len(unfinished) > MAX_LINE_SIZE:
                    raise UnusableReplyError(EtcdFailure.REPLY_TOO_LONG)
                self._apply_lines(lines)

    def _apply_lines(self, lines: list[bytes]) -> None:
        for line in lines:
            if line.strip():
                self.apply_events(decode_reply(line, WatchLine).result)

    def apply_events(self, received: WatchEvents) -> None:
        """Apply the changes of one line of a watch, and publish them.

        Raises `UnusableReplyError` if the watch was canceled; all records are then read again.
        """
        if received.canceled:
            self.revision = 0
            compacted = received.compact_revision != "0"
            reason = EtcdFailure.WATCH_COMPACTED if compacted else EtcdFailure.WATCH_CANCELED
            raise UnusableReplyError(reason)
        self.record_success()
        last_revision, view_changed = "", False
        for event in received.events:
            if view_changed and event.kv.mod_revision != last_revision:
                # Each change of the members or shards is published by itself, because another member may
                # already act on the view between two changes.
                self._publish(gap=False, view_changed=True)
                view_changed = False
            last_revision = event.kv.mod_revision
            self.revision = max(self.revision, parse_number(last_revision))
            key = self._record_key(event.kv)
            view_changed = view_changed or key.startswith(MEMBERS_PREFIX) or key == SHARDS_KEY
            if event.type == "DELETE":
                self.records.delete(key)
            else:
                self.put_record(event.kv)
        if received.events:
            self._publish(gap=False, view_changed=view_changed)

    def put_record(self, pair: KeyValue) -> None:
        """Apply one entry. An unreadable entry is logged and does not affect the others."""
        key = self._record_key(pair)
        try:
            value = b64decode(pair.value, validate=True)
        except ValueError:
            value = b""
        entry = StoreEntry(value, parse_number(pair.create_revision), parse_number(pair.mod_revision))
        reason = self.records.put(key, entry)
        if reason:
            self.log("arbiter.entry", key=key, reason=reason)

    def _record_key(self, pair: KeyValue) -> str:
        try:
            key = b64decode(pair.key, validate=True).decode()
        except ValueError as error:
            raise UnusableReplyError(EtcdFailure.REPLY_UNREADABLE) from error
        if not key.startswith(self.fleet_prefix):
            raise UnusableReplyError(EtcdFailure.UNREQUESTED_KEY)
        return key.removeprefix(self.fleet_prefix)

    def _publish(self, gap: bool, view_changed: bool) -> None:
        self.records.revision = self.revision
        if view_changed:
            self.notify(ViewChanged(self.records.view(), gap))
        self.notify(StoreRead(self.records.copy(), gap))
