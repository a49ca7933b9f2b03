"""Conversion between the responses that replicas record and those that clients get."""

from __future__ import annotations

from ...fleet.frames import RecordedResponse
from ...fleet.replication.request import FAILED, FINISHED
from ..messages import FinalResponse
from ..state.body_stream import BodyStream
from ..state.buffers import BufferedBody, BufferPool, BuffersExhaustedError
from ..state.requests import PendingRequest, UpstreamResponse


class DisconnectedClient:
    """Stands in for a client that is gone or whose sidecar is lost: its response is recorded, not written."""

    pending: PendingRequest | None = None

    def post(self, message: object) -> None:
        """Discard a message for the client and release its response."""
        if isinstance(message, FinalResponse) and message.response:
            message.response.body.release()

    def has_disconnected(self) -> bool:
        """Return False, so that attempts continue without a client."""
        return False


DISCONNECTED_CLIENT = DisconnectedClient()


def buffered_body(content: bytes, buffer_pool: BufferPool) -> BufferedBody | None:
    """Return the bytes as a body; None: there are no buffers left for it."""
    body = BufferedBody(buffer_pool)
    try:
        body.add(content)
    except BuffersExhaustedError:
        body.release()
        return None
    return body


def final_response(response: RecordedResponse, buffer_pool: BufferPool) -> FinalResponse:
    """Return a recorded response as a client gets it."""
    if response.status != FINISHED:
        return FinalResponse(response.status, retry_after=response.retry_after)
    body = buffered_body(response.body, buffer_pool)
    if body is None:
        return FinalResponse(FAILED)
    return FinalResponse(FINISHED, UpstreamResponse(body, response.content_type))


def recorded_response(final: FinalResponse) -> RecordedResponse:
    """Return a response of the scheduler as replicas record it."""
    if final.response is None:
        return RecordedResponse(final.status, final.retry_after)
    body = final.response.body
    if isinstance(body, BodyStream):
        # A body that is forwarded while it arrives is not buffered, so no other client can get it.
        return RecordedResponse(FAILED, 0.0, final.response.content_type, b"")
    return RecordedResponse(FINISHED, 0.0, final.response.content_type, b"".join(body.views()))
