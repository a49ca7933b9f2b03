"""One request and three members, every order of events within bounds: the promise *once*, explored.

States are copied and told apart by their text; what is bounded is what may go wrong (`Bounds`), no order.
Frames of one link arrive in order or not at all, everything else in any order: views, ends of links, links
that come up, writes of attempts, responses of endpoints, retries of clients, changes of the cells.
"""

from __future__ import annotations

import copy
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from starlingwheel.fleet.replication.replicator import RequestReplicator

from .model_state import QUIET, Bounds, Event, Model

__all__ = ["QUIET", "Bounds", "Explored", "explore"]


@dataclass
class Explored:
    """What an exploration has found."""

    states: int
    whole: bool  # no state was left out
    broken: list[tuple[str, list[Event]]]  # promises that were not kept, with the histories


def explore(effect: str, bounds: Bounds, replicator_type: Callable[..., Any] = RequestReplicator) -> Explored:
    """All orders, breadth first; the first history that breaks a promise is the shortest."""
    first = Model(effect, replicator_type).begin(bounds)
    seen = {first.key()}
    waiting: deque[tuple[Model, list[Event]]] = deque([(first, [])])
    while waiting:
        model, history = waiting.popleft()
        for event in list(model.events()):
            following = copy.deepcopy(model, {id(view): view for view in model.views})
            following.do(event)
            if fault := following.broken():
                return Explored(len(seen), False, [(fault, [*history, event])])
            key = following.key()
            if key not in seen:
                if len(seen) >= bounds.states:
                    return Explored(len(seen), False, [])
                seen.add(key)
                waiting.append((following, [*history, event]))
    return Explored(len(seen), True, [])
