"""Breadth-first search of a model's states, in every order of its events, for a violated invariant."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

EventT = TypeVar("EventT")


class State(Protocol[EventT]):
    """A state of a model."""

    def events(self) -> Iterable[EventT]:
        """Return all events that may happen in this state."""

    def apply(self, event: EventT) -> None:
        """Apply an event and its immediate consequences."""

    def violation(self) -> str:
        """Return the invariant that was violated on the way to this state, or an empty string."""

    def key(self) -> str:
        """Return a text that identifies the state: states with the same text have the same future."""


StateT = TypeVar("StateT", bound=State)


class Violation(NamedTuple, Generic[EventT]):
    """A violated invariant, and the events that led to it."""

    invariant: str
    history: list[EventT]


@dataclass
class Exploration(Generic[EventT]):
    """The result of a search."""

    states: int
    complete: bool  # all states within the bounds were visited
    violations: list[Violation[EventT]] = field(default_factory=list)


def search(
    initial: StateT,
    copy: Callable[[StateT], StateT],
    max_states: int,
    visit: Callable[[StateT], None] = lambda state: None,
) -> Exploration:
    """Search breadth-first, so that the first history found to violate an invariant is a shortest one.

    `visit` is called with each state before its events are tried.
    """
    seen = {initial.key()}
    pending: deque[tuple[StateT, list[Any]]] = deque([(initial, [])])  # with the events that led there
    while pending:
        state, history = pending.popleft()
        visit(state)
        for event in list(state.events()):
            successor = copy(state)
            successor.apply(event)
            if violated := successor.violation():
                return Exploration(len(seen), False, [Violation(violated, [*history, event])])
            key = successor.key()
            if key in seen:
                continue
            if len(seen) >= max_states:
                return Exploration(len(seen), False)
            seen.add(key)
            pending.append((successor, [*history, event]))
    return Exploration(len(seen), True)
