"""The host of a replicator in the model of one replicated request. See `model_replication`."""

from __future__ import annotations

import copy
from typing import TYPE_CHECKING, NamedTuple

from starlingwheel.fleet.frames import Frame, RecordedResponse
from starlingwheel.fleet.replication.request import ReplicatedRequest

if TYPE_CHECKING:
    from .model_replication_state import Model


class UnsentAttempt(NamedTuple):
    """A released attempt that is not sent yet: its member, and the number of its intent."""

    member: str
    number: int


class Client:
    """A client's request at one member. A retry is another `Client`."""

    def __init__(self, number: int) -> None:
        """Create a client without a response; `number` is the count of clients before it."""
        self.number, self.status = number, 0  # 0: no response yet

    def __repr__(self) -> str:
        """Return the number and status, as the text of a state contains them."""
        return f"c{self.number}:{self.status}"


class ModelHost:
    """The host of a member's replicator, which changes the state of the model."""

    def __init__(self, model: Model, name: str) -> None:
        """Create the host of the member `name`."""
        self.model, self.name = model, name

    def dial(self, member: str) -> bool:
        """Start to open a link to a member of another shard."""
        self.model.dialling.add((self.name, member))
        return True

    def send_frame(self, member: str, frame: Frame) -> bool:
        """Send a frame to a member; return False if there is no link to it now."""
        if (self.name, member) not in self.model.links:
            return False
        self.model.queues[self.name, member].append(copy.deepcopy(frame))
        return True

    def release_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Add the attempt of an intent to those that may be sent."""
        self.model.unsent_attempts.append(UnsentAttempt(self.name, number))

    def cancel_intent(self, request: ReplicatedRequest, number: int) -> None:
        """Do nothing: the attempt of the intent must not be written, and in the model it never was."""

    def dispatch(self, request: ReplicatedRequest) -> None:
        """Dispatch a request with its recorded intents."""
        self.model.start_attempt(self.name, request)

    def respond(self, request: ReplicatedRequest, client: Client, response: RecordedResponse) -> None:
        """Give the final response to a client that waits at this member."""
        client.status = client.status or response.status

    def log_event(self, event: str, **fields: object) -> None:
        """Discard the log event."""
