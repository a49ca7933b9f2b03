"""Links between members: one TCP connection for each pair, which carries frames."""

from .errors import LinkEndReason, LinkRejectedError
from .frame_reader import FrameReader, encode_frame
from .manager import LinkManager
from .member_query import MemberQuery
from .peer_link import PeerLink

__all__ = [
    "FrameReader",
    "LinkEndReason",
    "LinkManager",
    "LinkRejectedError",
    "MemberQuery",
    "PeerLink",
    "encode_frame",
]
