"""One request and three members, every order of events within bounds: the promise *once*, explored.

States are copied and told apart by their text; what is bounded is what may go wrong (`Bounds`), no order.
Frames of one link arrive in order or not at all, everything else in any order: views, ends of links, links
that come up, writes of attempts, responses of endpoints, retries of clients, changes of the shards.
"""

from __future__ import annotations

import io
import pickle
from collections.abc import Callable
from typing import Any

from starlingwheel.fleet.membership import MembershipView
from starlingwheel.fleet.replication.replicator import RequestReplicator

from .model_replication_events import Bounds, Event
from .model_replication_state import Model
from .model_search import Exploration, search


class _Pickler(pickle.Pickler):
    """Leaves the views of a model, which never change, out of a copy."""

    def __init__(self, file: io.BytesIO, views: list[MembershipView]) -> None:
        super().__init__(file, pickle.HIGHEST_PROTOCOL)
        self.numbers = {id(view): number for number, view in enumerate(views)}

    def persistent_id(self, obj: object) -> int | None:
        """The number of a view of the model; None: it is copied."""
        return self.numbers.get(id(obj)) if isinstance(obj, MembershipView) else None


class _Unpickler(pickle.Unpickler):
    """Puts the views of a model into its copy."""

    def __init__(self, file: io.BytesIO, views: list[MembershipView]) -> None:
        super().__init__(file)
        self.views = views

    def persistent_load(self, pid: int) -> MembershipView:
        """The view of that number."""
        return self.views[pid]


def _copy(model: Model) -> Model:
    """A copy of a state, which shares its views. Pickling takes half the time of `copy.deepcopy`."""
    file = io.BytesIO()
    _Pickler(file, model.views).dump(model)
    file.seek(0)
    return _Unpickler(file, model.views).load()


def explore(
    effect: str, bounds: Bounds, replicator_type: Callable[..., Any] = RequestReplicator
) -> Exploration[Event]:
    """All orders within the bounds. `effect`: value of the request's `RetrySafety`."""
    return search(Model(effect, replicator_type).begin(bounds), _copy, bounds.max_states)
