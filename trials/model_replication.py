"""Explores a model of one replicated request in every order of events within bounds.

The invariant is that a request that is not idempotent runs at most once. States are copied, and compared by
their text; `Bounds` limits which faults happen, not the order of events. Frames of one link arrive in order
or not at all. All else happens in any order: new views, ends of links, new links, writes of attempts,
responses of endpoints, retries of clients and changes of the shard count.
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
    """Pickles a model without its views, which never change."""

    def __init__(self, file: io.BytesIO, views: list[MembershipView]) -> None:
        super().__init__(file, pickle.HIGHEST_PROTOCOL)
        self.view_numbers = {id(view): number for number, view in enumerate(views)}

    def persistent_id(self, obj: object) -> int | None:
        """Return the number of a view of the model, or None for an object that is copied."""
        return self.view_numbers.get(id(obj)) if isinstance(obj, MembershipView) else None


class _Unpickler(pickle.Unpickler):
    """Unpickles a copy of a model, which shares the views of the original."""

    def __init__(self, file: io.BytesIO, views: list[MembershipView]) -> None:
        super().__init__(file)
        self.views = views

    def persistent_load(self, pid: int) -> MembershipView:
        """Return the view with this number."""
        return self.views[pid]


def _copy(model: Model) -> Model:
    """Return a copy of a state that shares its views. Pickling takes half the time of `copy.deepcopy`."""
    file = io.BytesIO()
    _Pickler(file, model.views).dump(model)
    file.seek(0)
    return _Unpickler(file, model.views).load()


def explore(
    retry_safety: str, bounds: Bounds, replicator_type: Callable[..., Any] = RequestReplicator
) -> Exploration[Event]:
    """Explore all orders within the bounds for a request with this value of `RetrySafety`."""
    return search(Model(retry_safety, replicator_type).initialize(bounds), _copy, bounds.max_states)
