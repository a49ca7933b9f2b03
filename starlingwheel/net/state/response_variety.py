"""Which request classes have responses that differ from one another, by the responses received so far."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

MIN_DIFFERENT = 8  # responses in a row, each unlike the one before it, from which on a class has varied ones


@dataclass(frozen=True, slots=True)
class ResponseContent:
    """What is compared of a complete response. Headers may differ in the copy of a response."""

    status: int
    length: int  # bytes of the body
    prefix: bytes  # the first bytes of the body


class ResponseVariety:
    """Counts, for each request class, the last responses that differ; health checks are a class too.

    Equal responses to different requests can't be told from copies by their content.
    """

    def __init__(self) -> None:
        """Start without any response."""
        self._latest: dict[str, ResponseContent] = {}
        self._different: dict[str, int] = {}

    def add(self, class_name: str, content: ResponseContent) -> None:
        """Add a response to a request of the class."""
        if self._latest.get(class_name) == content:
            self.add_equal(class_name)
        else:
            self._latest[class_name] = content
            self._different[class_name] = self._different.get(class_name, 0) + 1

    def add_equal(self, class_name: str) -> None:
        """Add a response that equals an earlier one."""
        self._different[class_name] = 0

    def is_varied(self, class_name: str) -> bool:
        """Return whether two responses of the class are unlikely to be equal."""
        return self._different.get(class_name, 0) >= MIN_DIFFERENT

    def differs(self, class_name: str, contents: Collection[ResponseContent]) -> bool:
        """Return whether the latest response of the class is known, and is none of the contents."""
        latest = self._latest.get(class_name)
        return latest is not None and latest not in contents
