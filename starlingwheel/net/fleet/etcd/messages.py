"""Requests and replies of etcd's v3 API as its JSON gateway encodes them.

The field names are the protocol's. Keys and values are in base64, 64-bit numbers are strings, and fields that
are zero or false are omitted.
"""

from __future__ import annotations

from base64 import b64encode
from typing import TypeVar

import msgspec

from .errors import EtcdFailure, UnusableReplyError

RANGE_PATH = "/v3/kv/range"
TRANSACTION_PATH = "/v3/kv/txn"
WATCH_PATH = "/v3/watch"
LEASE_GRANT_PATH = "/v3/lease/grant"
LEASE_KEEPALIVE_PATH = "/v3/lease/keepalive"
MAX_NUMBER_DIGITS = 19  # decimal digits of a signed 64-bit number

T = TypeVar("T")


# Requests


class LeaseGrantRequest(msgspec.Struct):
    """Requests a lease of `TTL` seconds."""

    TTL: str


class KeepAliveRequest(msgspec.Struct):
    """Renews a lease."""

    ID: str


class KeyRange(msgspec.Struct):
    """The keys from `key` up to `range_end`."""

    key: str
    range_end: str


class WatchCreate(msgspec.Struct):
    """Requests all changes in a range of keys from a revision on."""

    key: str
    range_end: str
    start_revision: str


class WatchRequest(msgspec.Struct):
    """Opens a watch."""

    create_request: WatchCreate


class Comparison(msgspec.Struct, omit_defaults=True):
    """A condition of a transaction on one key, or on all keys of a range."""

    key: str
    target: str
    result: str
    mod_revision: str = ""
    create_revision: str = ""
    range_end: str = ""


class PutRequest(msgspec.Struct, omit_defaults=True):
    """Writes one entry."""

    key: str
    value: str
    lease: str | None = None


class DeleteRequest(msgspec.Struct, omit_defaults=True):
    """Deletes one entry, or all entries of a range."""

    key: str
    range_end: str = ""


class Operation(msgspec.Struct, omit_defaults=True):
    """One operation of a transaction."""

    request_put: PutRequest | None = None
    request_delete_range: DeleteRequest | None = None


class TransactionRequest(msgspec.Struct, omit_defaults=True):
    """Executes `success` if all comparisons are true, otherwise `failure`."""

    compare: list[Comparison]
    success: list[Operation]
    failure: list[Operation] = []


# Replies


class ReplyHeader(msgspec.Struct):
    """The part common to all replies."""

    revision: str = "0"


class KeyValue(msgspec.Struct):
    """One entry of the store."""

    key: str = ""
    value: str = ""
    create_revision: str = "0"
    mod_revision: str = "0"


class RangeReply(msgspec.Struct):
    """The entries of a range of keys."""

    header: ReplyHeader
    kvs: list[KeyValue] = []
    count: str = "0"


class LeaseGranted(msgspec.Struct):
    """A lease and its time to live in seconds."""

    ID: str
    TTL: str = "0"


class KeepAliveReply(msgspec.Struct):
    """The renewed lease; a `TTL` of 0 means that it has expired."""

    result: LeaseGranted


class TransactionReply(msgspec.Struct):
    """Whether the comparisons of a transaction were true."""

    header: ReplyHeader
    succeeded: bool = False


class Event(msgspec.Struct):
    """One change of an entry, by its type PUT or DELETE."""

    kv: KeyValue
    type: str = "PUT"


class WatchEvents(msgspec.Struct):
    """The changes of one or more revisions, in order."""

    header: ReplyHeader | None = None
    events: list[Event] = []
    created: bool = False
    canceled: bool = False
    compact_revision: str = "0"


class WatchLine(msgspec.Struct):
    """One line of a watch stream."""

    result: WatchEvents


def encode_base64(text: str | bytes) -> str:
    """Return a key or a value in the API's encoding."""
    return b64encode(text.encode() if isinstance(text, str) else text).decode()


def prefix_end(prefix: str) -> str:
    """Return the end of the range of all keys that begin with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def parse_number(text: str) -> int:
    """Return a 64-bit number from its text. Raises `UnusableReplyError`."""
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_NUMBER_DIGITS:
        raise UnusableReplyError(EtcdFailure.INVALID_NUMBER)
    return int(text)


def decode_reply(data: bytes, kind: type[T]) -> T:
    """Decode a reply as a struct of type `kind`. Raises `UnusableReplyError`."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise UnusableReplyError(EtcdFailure.REPLY_UNREADABLE) from error
