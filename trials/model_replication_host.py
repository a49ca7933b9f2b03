"""Carries out in the model what a member decides about its replicated request. See `model_replication`."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING, NamedTuple

from starlingwheel.fleet.frames import Frame, RecordedResponse
from starlingwheel.fleet.replication.request import ReplicatedRequest

if TYPE_CHECKING:
    from .model_replication_state import Model


class UnsentAttempt(NamedTuple):
    """An attempt that was released and is not sent yet: its member, and the number of its intent."""

    member: str
    number: int


class Client:
    """One attempt of a client."""

    def __init__(self, number: int) -> None:
        """`number`: of the attempts before."""
        self.number, self.status = number, 0  # 0: no response yet

    def __repr__(self) -> str:
        """Number and status, as the text of a state has them."""
        return f"c{self.number}:{self.status}"


class ModelHost:
    """Carries out what a member's replicator decides, in the model."""

    def __init__(self, model: Model, name: str) -> None:
        """`name`: of the member."""
        self.model, self.name = model, name

    def dial(self, member: str) -> bool:
        """Open a link to a member of another shard."""
        self.model.dialling.add((self.name, member))
        return True

    def send_frame(self, member: str, frame: Frame) -> bool:
        """Send a frame to a member. False: there is no link to it now."""
        if (self.name, member) not in self.model.links:
            return False
        self.model.queues[self.name, member].append(copy.deepcopy(frame))
        return True

    def release_intent(self, request: ReplicatedRequest, number: int) -> None:
        """The attempt of that intent may be written."""
        self.model.unsent.append(UnsentAttempt(self.name, number))

    def cancel_intent(self, request: ReplicatedRequest, number: int) -> None:
        """The attempt of that intent must never be written: in the model it never was."""

    def dispatch(self, request: ReplicatedRequest) -> None:
        """Dispatch a request with its history."""
        self.model.start_attempt(self.name, request)

    def respond(self, request: ReplicatedRequest, client: Client, response: RecordedResponse) -> None:
        """Give the final response to a client that waits here."""
        client.status = client.status or response.status

    def log_event(self, event: str, **fields: object) -> None:
        """The model writes no log."""
