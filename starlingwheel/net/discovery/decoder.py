"""Decodes the body of a watch, a stream of JSON objects, into messages.

An object lies on one line or, indented, on several. Empty lines between objects show that the watch is alive.
"""

from __future__ import annotations

import re

import msgspec

from .messages import DiscoveryMessage

MAX_MESSAGE_SIZE = 4 << 20  # bytes
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class MessageTooLongError(Exception):
    """A line, or an object over several lines, is longer than `MAX_MESSAGE_SIZE`."""


class UnreadableMessageError(Exception):
    """Input that is not a message; the text of the exception says why."""


class MessageDecoder:
    """Splits the body into lines and joins lines into messages."""

    def __init__(self) -> None:
        """Start with no input."""
        self._line = b""  # the last line, which has not ended yet
        self._object = b""  # the lines of an object that has not ended yet
        self._open_brackets = 0  # number of brackets that are open in `_object`

    @property
    def within_object(self) -> bool:
        """Whether an object is open after the last complete line."""
        return bool(self._object)

    @property
    def unread_bytes(self) -> int:
        """The number of bytes received of an incomplete message."""
        return len(self._object) + len(self._line)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received data and return the lines that are now complete.

        Raises `MessageTooLongError`.
        """
        *lines, self._line = (self._line + data).split(b"\n")
        if len(self._line) > MAX_MESSAGE_SIZE:
            raise MessageTooLongError
        return lines

    def decode_line(self, line: bytes) -> DiscoveryMessage | None:
        """Return the message that ends with this line, or None if none does.

        Raises `UnreadableMessageError` and `MessageTooLongError`.
        """
        text = line.strip()
        if not text:
            if self._object:
                raise UnreadableMessageError("an empty line within an object")
            return None
        if text.startswith(b"{") and text.endswith(b"}"):
            try:
                message = msgspec.json.decode(text, type=DiscoveryMessage)
            except (msgspec.DecodeError, UnicodeDecodeError):
                pass  # `_continue_object` determines whether this is part of an indented object or unreadable
            else:
                if self._object:
                    raise UnreadableMessageError("an object within another")
                return message
        return self._continue_object(text)

    def _continue_object(self, text: bytes) -> DiscoveryMessage | None:
        outside_strings = JSON_STRING.sub(b"", text)
        self._open_brackets += outside_strings.count(b"{") + outside_strings.count(b"[")
        self._open_brackets -= outside_strings.count(b"}") + outside_strings.count(b"]")
        self._object += text
        if len(self._object) > MAX_MESSAGE_SIZE:
            raise MessageTooLongError
        if self._open_brackets > 0:
            return None
        complete, self._object, self._open_brackets = self._object, b"", 0
        try:
            return msgspec.json.decode(complete, type=DiscoveryMessage)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise UnreadableMessageError(str(error)) from error
