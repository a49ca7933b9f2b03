"""Links between members: one TCP connection a pair, which carries frames."""

from .errors import LinkEndReason, LinkRejectedError
from .frame_reader import FrameReader, encode_frame
from .manager import LinkManager
from .member_query import MemberQuery
from .peer_link import PeerLink
from .timing import ACTIVE_PERIOD as STAKE
from .timing import HEARTBEAT_INTERVAL as BEAT
from .timing import IDLE_HEARTBEATS_PER_SECOND as A_SECOND
from .timing import IDLE_LINK_TIMEOUT as REST
from .timing import MAX_IDLE_HEARTBEAT_INTERVAL, MIN_IDLE_HEARTBEAT_INTERVAL
from .timing import MISSED_HEARTBEATS as SILENCE

IDLE = (MIN_IDLE_HEARTBEAT_INTERVAL, MAX_IDLE_HEARTBEAT_INTERVAL)

__all__ = [
    "A_SECOND",
    "BEAT",
    "IDLE",
    "REST",
    "SILENCE",
    "STAKE",
    "FrameReader",
    "LinkEndReason",
    "LinkManager",
    "LinkRejectedError",
    "MemberQuery",
    "PeerLink",
    "encode_frame",
]
