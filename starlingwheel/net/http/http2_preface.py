"""The check that an endpoint speaks HTTP/2, by the first bytes that it sends."""

from __future__ import annotations

from .errors import CloseReason, ConnectionLostError

SETTINGS_FRAME = b"\x04"  # the type of the first frame that an endpoint sends
FRAME_TYPE_OFFSET = 3  # position of the type in a frame's header, in bytes


class PrefaceCheck:
    """Checks the type of the first frame of one connection."""

    def __init__(self) -> None:
        """Begin before the first byte."""
        self.first_bytes = b""

    def check(self, data: bytes) -> None:
        """Raise `ConnectionLostError` for input that is not HTTP/2.

        h2 would take the beginning of such input for the length of a frame, and wait for the rest of it.
        """
        if len(self.first_bytes) <= FRAME_TYPE_OFFSET:
            self.first_bytes += data[: FRAME_TYPE_OFFSET + 1]
            if self.first_bytes[FRAME_TYPE_OFFSET : FRAME_TYPE_OFFSET + 1] not in (b"", SETTINGS_FRAME):
                raise ConnectionLostError(CloseReason.MALFORMED)
