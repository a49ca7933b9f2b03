"""Intervals, timeouts and limits of the links between members."""

from __future__ import annotations

from ....fleet.frames import MAX_FRAME_SIZE

HEARTBEAT_INTERVAL = 0.1  # seconds between frames on an active link
MIN_IDLE_HEARTBEAT_INTERVAL = 1.0  # seconds between frames on an idle link, with few links
MAX_IDLE_HEARTBEAT_INTERVAL = 10.0  # seconds, however many links there are
IDLE_HEARTBEATS_PER_SECOND = 5  # over all idle links: the cost does not grow with the fleet
# Seconds without a frame of our own after which a frame is answered by a heartbeat: one TCP segment
# acknowledges it too.
HEARTBEAT_REPLY_AFTER = MIN_IDLE_HEARTBEAT_INTERVAL / 2
# Seconds a link between heartbeats with a policy status: ten heartbeats a second in a small fleet.
POLICY_HEARTBEAT_INTERVAL_PER_LINK = 1 / 320
POLICY_REFRESH_INTERVAL = 0.5  # seconds between requests for the policy status of all linked members
MISSED_HEARTBEATS = 3.0  # intervals without a byte after which a link counts as lost
ACTIVE_PERIOD = 2.0  # seconds after a frame about a request for which a link is active
IDLE_LINK_TIMEOUT = 1.0  # seconds without such a frame after which an idle link to another shard closes
HANDSHAKE_TIMEOUT = 1.0  # seconds within which a link connects and both sides have sent a hello
MIN_REDIAL_DELAY = 0.02  # seconds before the first redial
MAX_REDIAL_DELAY = 0.5  # seconds at which the doubling ends
MAX_UNSENT_BYTES = 8 * MAX_FRAME_SIZE  # bytes that wait for a slow member
MAX_PENDING_LINKS = 64  # accepted connections that have sent no hello yet
READ_SIZE = 65536  # bytes
