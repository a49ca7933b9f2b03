"""Frames between sidecars are decoded and encoded byte for byte as at commit b81049c."""

import json
from pathlib import Path

import msgspec
import pytest

from starlingwheel.net.fleet.links import FrameReader, encode_frame

FRAMES = json.loads(Path(__file__).with_name("frames.json").read_text())
TAGS = set(range(1, 16))
LENGTH_PREFIX = 4  # bytes


@pytest.mark.parametrize("name", FRAMES)
def test_a_recorded_frame_is_decoded_and_encoded_byte_for_byte(name: str) -> None:
    """Sidecars of both versions can run in the same fleet."""
    recorded = bytes.fromhex(FRAMES[name])
    (frame,) = FrameReader().read(recorded)
    assert encode_frame(frame) == recorded


def test_the_recorded_frames_contain_every_tag() -> None:
    """No type of frame is left out of the comparison."""
    bodies = [bytes.fromhex(frame)[LENGTH_PREFIX:] for frame in FRAMES.values()]
    assert {msgspec.msgpack.decode(body)[0] for body in bodies} == TAGS
