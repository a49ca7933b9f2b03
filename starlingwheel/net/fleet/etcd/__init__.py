"""The client of the coordination store: etcd through the JSON gateway of its v3 API, over HTTP/1.1.

`LeaseKeeper` registers this member, `StateWatcher` follows the fleet's records, `MemberEvictor` deletes the
entries of members whose process has ended, `StateWriter` writes what is due. No request waits for them: while
etcd is unavailable, slow or answers unusably, they retry with a backoff, and the fleet goes on under its last
view.
"""

from .errors import EtcdError, EtcdFailure, EtcdUnavailableError, UnusableReplyError
from .http_connection import MAX_REPLY_SIZE as LONGEST
from .lease_keeper import RENEWAL_FRACTION as RENEW
from .lease_keeper import LeaseKeeper
from .member_evictor import MemberEvictor
from .messages import (
    Event,
    KeepAliveReply,
    KeyValue,
    LeaseGranted,
    RangeReply,
    TransactionReply,
    WatchEvents,
    WatchLine,
)
from .messages import decode_reply as read
from .messages import encode_base64 as b64
from .messages import parse_number as number
from .session import EtcdSession
from .state_watcher import MAX_ENTRIES as MOST
from .state_watcher import StateWatcher
from .state_writer import StateWriter

__all__ = [
    "LONGEST",
    "MOST",
    "RENEW",
    "EtcdError",
    "EtcdFailure",
    "EtcdSession",
    "EtcdUnavailableError",
    "Event",
    "KeepAliveReply",
    "KeyValue",
    "LeaseGranted",
    "LeaseKeeper",
    "MemberEvictor",
    "RangeReply",
    "StateWatcher",
    "StateWriter",
    "TransactionReply",
    "UnusableReplyError",
    "WatchEvents",
    "WatchLine",
    "b64",
    "number",
    "read",
]
