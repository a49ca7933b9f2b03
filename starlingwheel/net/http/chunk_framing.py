"""Recognises a chunked body that can't be read any more, before the line that shows it is complete.

h11 checks the line with the size of a chunk, and the lines of a trailer, once their ends have come. An
endpoint that sends something else and then nothing would be waited for until the deadline.
"""

from __future__ import annotations

import re

import h11
from h11._readers import ChunkedReader

# Beginnings of a line with the size of a chunk (RFC 9112, 7.1), with as many digits as h11 takes.
CHUNK_SIZE_BEGINNING = re.compile(rb"[0-9A-Fa-f]{0,20}(?:(?<=[0-9A-Fa-f])[ \t]*(?:;[^\r\n]*)?\r?)?")
LINE_END = re.compile(rb"\r?\n")
# Lines of a trailer, of which the last one may be incomplete.
FIELD_NAME = rb"[-!#$%&'*+.^_`|~0-9A-Za-z]+"
FIELD_LINE = re.compile(rb"(?:" + FIELD_NAME + rb":|[ \t]).*")
FIELD_LINE_BEGINNING = re.compile(rb"(?:" + FIELD_NAME + rb"(?::[^\r\n]*)?|[ \t][^\r\n]*)?\r?")


def is_readable_so_far(http: h11.Connection) -> bool:
    """Return whether the unread bytes of a message may still become a chunk or a trailer.

    To be called when h11 needs more data. True for a message that is not chunked.
    """
    reader = http._reader  # noqa: SLF001  # nothing public tells a chunk's line from a trailer's
    if not isinstance(reader, ChunkedReader):
        return True
    unread = http.trailing_data[0]
    if not reader._reading_trailer:  # noqa: SLF001
        return CHUNK_SIZE_BEGINNING.fullmatch(unread) is not None
    *lines, last = LINE_END.split(unread)
    is_last_possible = FIELD_LINE_BEGINNING.fullmatch(last) is not None
    return is_last_possible and all(FIELD_LINE.fullmatch(line) for line in lines)
