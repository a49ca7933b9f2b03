"""What discovery says: the entries of the list, and one line of a watch."""

from __future__ import annotations

from typing import Literal

import msgspec

from ...decisions.terms import Condition, Listing, News

CONDITIONS = {"active": Condition.READY, "leaving": Condition.DRAINING, "left": Condition.GONE}


class Entry(msgspec.Struct, frozen=True):
    """One upstream as discovery gives it."""

    id: str
    addr: str = ""
    zone: str = ""
    cell: int = 0
    state: Literal["active", "leaving", "left"] = "active"
    weight: float = 1.0
    started_ms: float | None = 0

    def listing(self) -> Listing:
        # The id is the same at every sidecar, the address is not: the decisions know the id alone.
        return Listing(
            address=self.id,
            zone=self.zone,
            cell=self.cell,
            size=self.weight,
            started=self.started_ms / 1000 if self.started_ms else None,
            condition=CONDITIONS[self.state],
        )


class Word(msgspec.Struct, frozen=True):
    """One line of a watch."""

    version: int
    full: bool = False
    servers: list[Entry] = []

    @property
    def news(self) -> News:
        return News.WHOLE if self.full else News.CHANGES
