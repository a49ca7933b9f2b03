"""A text of a member's state, by which the model compares states."""

from __future__ import annotations

from starlingwheel.fleet.replication.replicator import RequestReplicator
from starlingwheel.fleet.replication.request import ReplicatedRequest


def replicator_text(name: str, replicator: RequestReplicator) -> str:
    """Return a text that identifies the state of a member."""
    views, peers, records = replicator.views, replicator.peers, replicator.records
    synced = sorted(views.synced_digests.items())
    view_state = (views.view.digest, views.was_synced, len(views.history), synced)
    requests = [_request_text(request) for request in replicator.requests.values()]
    links = len(peers.linked), list(peers.dialing), list(peers.unreachable)
    return repr((name, view_state, links, records.held, records.awaiting_agreement, requests))


def _request_text(request: ReplicatedRequest) -> str:
    """Return a text that identifies a request as a member knows it."""
    client = request.dispatched_client
    ownership = request.state, request.owner, request.epoch, request.intents, request.replicas
    progress = (
        request.is_granted,
        request.is_dispatched,
        request.was_taken_over,
        request.was_released,
        request.is_stale,
        sorted(request.held_attempts),
    )
    waiting = (
        sorted(request.waiting_members),
        [waiter.number for waiter in request.waiting_clients],
        client and client.number,
    )
    informed = request.contact, request.informed_coordinator, request.granted_to_owner
    responses = request.response, request.unacknowledged_rejection
    return repr((ownership, progress, waiting, informed, responses))
