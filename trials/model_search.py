"""Breadth-first search of a model's states: every order of its events, until one breaks a promise."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, Generic, NamedTuple, Protocol, TypeVar

EventT = TypeVar("EventT")


class State(Protocol[EventT]):
    """One state of a model."""

    def events(self) -> Iterable[EventT]:
        """All events that may happen in this state."""

    def apply(self, event: EventT) -> None:
        """Have the event happen, with all that follows from it."""

    def violation(self) -> str:
        """The promise that was broken on the way to this state; empty: none."""

    def key(self) -> str:
        """The text of a state: two of one text go on alike."""


StateT = TypeVar("StateT", bound=State)


class Violation(NamedTuple, Generic[EventT]):
    """A promise that was broken, and the events that led there."""

    promise: str
    history: list[EventT]


@dataclass
class Exploration(Generic[EventT]):
    """What a search has found."""

    states: int
    complete: bool  # all states within the bounds were seen
    violations: list[Violation[EventT]] = field(default_factory=list)


def search(
    first: StateT,
    copy: Callable[[StateT], StateT],
    max_states: int,
    visit: Callable[[StateT], None] = lambda state: None,
) -> Exploration:
    """Search breadth first, so that the first history that breaks a promise is the shortest.

    `visit` is called with each state before its events are tried.
    """
    seen = {first.key()}
    waiting: deque[tuple[StateT, list[Any]]] = deque([(first, [])])  # with the events that led there
    while waiting:
        state, history = waiting.popleft()
        visit(state)
        for event in list(state.events()):
            following = copy(state)
            following.apply(event)
            if violated := following.violation():
                return Exploration(len(seen), False, [Violation(violated, [*history, event])])
            key = following.key()
            if key in seen:
                continue
            if len(seen) >= max_states:
                return Exploration(len(seen), False)
            seen.add(key)
            waiting.append((following, [*history, event]))
    return Exploration(len(seen), True)
