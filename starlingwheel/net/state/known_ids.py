"""The endpoint ids that were ever listed, as far as they are remembered.

All ids that are in use are remembered, and of the others a limited number, the latest ones. Each change costs
a constant time on average, however many ids there are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import islice

MAX_UNUSED_IDS = 2048  # ids that are remembered though they are not in use


class KnownIds:
    """An ordered set of ids, of which unused ones are forgotten in the end."""

    def __init__(self) -> None:
        """Start without any id."""
        self._ids: dict[str, None] = {}  # in the order of listing
        self._unused: dict[str, None] = {}  # a subset, in the order in which they went out of use

    def __contains__(self, endpoint_id: str) -> bool:
        """Return whether the id is remembered."""
        return endpoint_id in self._ids

    def __len__(self) -> int:
        """Return the number of remembered ids."""
        return len(self._ids)

    def to_list(self) -> list[str]:
        """Return the ids in the order of listing."""
        return list(self._ids)

    def use(self, endpoint_id: str) -> bool:
        """Remember an id that is in use; return whether it was not remembered before."""
        is_new = endpoint_id not in self._ids
        self._ids[endpoint_id] = None
        self._unused.pop(endpoint_id, None)
        return is_new

    def add_unused(self, ids: Iterable[str]) -> None:
        """Remember ids that are not known to be in use; ids that are remembered already stay as they are."""
        for endpoint_id in ids:
            if endpoint_id not in self._ids:
                self._ids[endpoint_id] = self._unused[endpoint_id] = None

    def release(self, endpoint_id: str) -> None:
        """Record that an id has gone out of use; does nothing if it is not remembered."""
        if endpoint_id in self._ids:
            self._unused[endpoint_id] = None

    def forget_unused(self, is_kept: Callable[[str], bool]) -> None:
        """Forget the ids above the limit that have been unused for longest, but for those to be kept."""
        excess = max(0, len(self._unused) - MAX_UNUSED_IDS)
        for endpoint_id in list(islice(self._unused, excess)):
            del self._unused[endpoint_id]
            if is_kept(endpoint_id):
                self._unused[endpoint_id] = None  # as the latest one
            else:
                del self._ids[endpoint_id]
