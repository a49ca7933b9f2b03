"""Input of an HTTP/2 connection, parsed in small parts so that many tiny frames hold up nobody else."""

from __future__ import annotations

import h2.connection
import h2.events
import h2.exceptions

from .errors import CloseReason, ConnectionLostError
from .http2_preface import PrefaceCheck

PART_SIZE = 2048  # bytes parsed at a time; the shortest frame has 9


class FrameInput:
    """Received bytes that have not been parsed yet."""

    def __init__(self, http: h2.connection.H2Connection) -> None:
        """Pass parts of the input to `http`."""
        self.http = http
        self.preface = PrefaceCheck()
        self.unparsed = memoryview(b"")

    @property
    def is_empty(self) -> bool:
        """Whether all that was received has been parsed."""
        return not self.unparsed

    def add(self, data: bytes) -> None:
        """Take what one read has brought, once the input is empty.

        Raises `ConnectionLostError` for a peer that does not speak HTTP/2.
        """
        self.preface.check(data)
        self.unparsed = memoryview(data)

    def next_events(self) -> list[h2.events.Event]:
        """Parse a part of the input and return its events. Raises `ConnectionLostError` if malformed."""
        part, self.unparsed = self.unparsed[:PART_SIZE], self.unparsed[PART_SIZE:]
        try:
            return self.http.receive_data(bytes(part))
        except h2.exceptions.ProtocolError as error:
            raise ConnectionLostError(CloseReason.MALFORMED) from error
