"""Intervals, timeouts and limits of the links between members."""

from __future__ import annotations

from ....fleet.frames import MAX_FRAME_SIZE

HEARTBEAT_INTERVAL = 0.1  # seconds between frames on an active link
MIN_IDLE_HEARTBEAT_INTERVAL = 1.0  # seconds between frames on an idle link, with few links
MAX_IDLE_HEARTBEAT_INTERVAL = 10.0  # seconds, however many links there are
IDLE_HEARTBEATS_PER_SECOND = 5  # on all idle links together, so that the cost does not grow with the fleet
# Seconds since our last frame after which a received frame is answered with a heartbeat: one TCP segment
# carries both the heartbeat and the acknowledgement.
HEARTBEAT_REPLY_AFTER = MIN_IDLE_HEARTBEAT_INTERVAL / 2
# Seconds between heartbeats with a policy status, multiplied by the number of links. `HEARTBEAT_INTERVAL` is
# the minimum: ten heartbeats a second in a small fleet.
POLICY_HEARTBEAT_INTERVAL_PER_LINK = 1 / 320
POLICY_REFRESH_INTERVAL = 0.5  # seconds between requests for the policy status of all linked members
MISSED_HEARTBEATS = 3.0  # intervals without a byte after which a link counts as lost
ACTIVE_PERIOD = 2.0  # seconds for which a link is active after a frame about a request
IDLE_LINK_TIMEOUT = 1.0  # seconds without a frame about a request until an idle link to another shard closes
HANDSHAKE_TIMEOUT = 1.0  # seconds for the connection and the hellos of both sides
MIN_REDIAL_DELAY = 0.02  # seconds before the first redial
MAX_REDIAL_DELAY = 0.5  # seconds: upper bound of the doubled delay
MAX_UNSENT_BYTES = 8 * MAX_FRAME_SIZE  # bytes buffered for a slow member
MAX_PENDING_LINKS = 64  # accepted connections without a hello
READ_SIZE = 65536  # bytes
