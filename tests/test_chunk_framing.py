"""Chunked bodies that can't be read any more are recognised by their first wrong byte."""

import random

import h11
import pytest

from starlingwheel.net.http.chunk_framing import is_readable_so_far

HEAD = b"HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n"
SOUND = [
    b"5\r\nhello\r\n0\r\n\r\n",
    b'A;name=value;other="~~ x"\r\n0123456789\r\n0\r\n\r\n',
    b"00000000000000000003 \t\r\nabc\r\n000\r\nX-Checksum: 77~~\r\nSecond:\r\n folded\r\n\r\n",
    b"3\r\nabc\r\n0\r\nA: b\nC: d\r\n\r\n",
    b"1\r\n\r\r\n2\r\n\r\n\r\n0\r\n\r\n",
]
UNSOUND = [
    b"~", b"\x16\x03\x01", b"5 5", b"-1", b"0x5", b";a", b"\r\n", b"5\rx", b"5\n", b"123456789012345678901",
    b"5\r\nhello\r\nxyz", b"5\r\nhello\r\n5\r\nhello\r\n ", b"0\r\n: x", b"0\r\n\x00", b"0\r\nA b",
    b"0\r\nA: b\r\n\x01",
]  # fmt: skip


def read_in_pieces(content: bytes, sizes: list[int]) -> bool:
    """Return whether a response that comes in pieces was readable after each of them."""
    http = h11.Connection(h11.CLIENT)
    http.send(h11.Request(method="GET", target="/", headers=[("host", "a")]))
    http.send(h11.EndOfMessage())
    http.receive_data(HEAD)
    assert isinstance(http.next_event(), h11.Response)
    start = 0
    for size in sizes:
        http.receive_data(content[start : start + size])
        start += size
        while (event := http.next_event()) is not h11.NEED_DATA:
            if isinstance(event, h11.EndOfMessage):
                return True
        if not is_readable_so_far(http):
            return False
    return True


@pytest.mark.parametrize("content", SOUND)
def test_a_sound_body_is_readable_after_each_of_its_pieces(content: bytes) -> None:
    """Wherever it is divided."""
    assert read_in_pieces(content, [1] * len(content))
    rng = random.Random(1)
    for _ in range(200):
        assert read_in_pieces(content, [rng.randint(1, 9) for _ in content])


@pytest.mark.parametrize("content", UNSOUND)
def test_a_wrong_byte_is_recognised_without_the_end_of_its_line(content: bytes) -> None:
    """An endpoint may send no more for as long as its connection stays open."""
    try:
        assert not read_in_pieces(content, [1] * len(content))
        assert not read_in_pieces(content, [len(content)])
    except h11.RemoteProtocolError:
        pass  # h11 has recognised it itself
