"""The clients of the coordination store: etcd through the JSON gateway of its v3 API, over HTTP/1.1.

`LeaseKeeper` registers this member, `StateWatcher` follows the fleet's records, `MemberEvictor` deletes the
entries of members whose process has ended, `StateWriter` writes due transactions. No request waits for them:
while etcd is unavailable or slow, or sends unusable replies, they retry with a backoff, and the fleet keeps
operating under its last view.
"""

from .lease_keeper import LeaseKeeper
from .member_evictor import MemberEvictor
from .session import EtcdSession
from .state_watcher import StateWatcher
from .state_writer import StateWriter

__all__ = ["EtcdSession", "LeaseKeeper", "MemberEvictor", "StateWatcher", "StateWriter"]
