"""The encoding of frames: a length prefix and a MessagePack body."""

from __future__ import annotations

import msgspec

from ....fleet.frames import MAX_FRAME_SIZE, Frame
from .errors import LinkEndReason, LinkRejectedError

LENGTH_PREFIX_SIZE = 4  # bytes, big endian

encoder = msgspec.msgpack.Encoder()
decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the encoding of a frame, with its length prefix."""
    body = encoder.encode(frame)
    return len(body).to_bytes(LENGTH_PREFIX_SIZE, "big") + body


class FrameReader:
    """Decodes a stream of bytes into frames."""

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self.buffer = bytearray()

    def read(self, data: bytes) -> list[Frame]:
        """Return the frames that `data` completes. Raises `LinkRejectedError` for an invalid frame."""
        self.buffer += data
        frames = []
        while len(self.buffer) >= LENGTH_PREFIX_SIZE:
            length = int.from_bytes(self.buffer[:LENGTH_PREFIX_SIZE], "big")
            if length == 0:
                raise LinkRejectedError(LinkEndReason.FRAME_EMPTY)
            if length > MAX_FRAME_SIZE:
                raise LinkRejectedError(LinkEndReason.FRAME_TOO_LONG)
            end = LENGTH_PREFIX_SIZE + length
            if len(self.buffer) < end:
                break
            frames.append(self._decode(bytes(self.buffer[LENGTH_PREFIX_SIZE:end])))
            del self.buffer[:end]
        return frames

    def _decode(self, body: bytes) -> Frame:
        try:
            return decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError, OverflowError) as error:
            raise LinkRejectedError(LinkEndReason.FRAME_UNREADABLE) from error
