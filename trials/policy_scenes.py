"""Scenes of a policy change in emulated time: one fault each, which a timetable would meet only by chance."""

from __future__ import annotations

from starlingwheel.fleet.policy.replica import DEFAULT_SWITCH_DELAY, PolicyReplica

from .emulated_policy import BEGIN, LEASE, EmulatedMember, ReplicaType, World

SWITCH_DELAY = DEFAULT_SWITCH_DELAY * LEASE  # seconds
TICK = 0.001  # seconds, where a scene waits for something
VOTES = "policy/votes"


def _begun(members: int, replica_type: ReplicaType, trace: bool) -> tuple[World, list[EmulatedMember]]:
    world = World(7, members, replica_type, trace)
    world.until(BEGIN)
    return world, list(world.members.values())


def _proposed(world: World, author: EmulatedMember, unfit: str = "n99") -> float:
    """A change by that member, which the `unfit` one can't follow; its switch time."""
    author.policy_replica.now = author.clock()
    body = {"settings": {"number": 1, "not": [unfit]}, "cover": {}}
    assert world.store.write(author.policy_replica.propose(body, SWITCH_DELAY)[0])
    return world.now + SWITCH_DELAY


def _isolate(world: World, some: list[EmulatedMember], until: float, leased: bool = False) -> None:
    """Cut these off from the others and from the store; `leased`: it still renews their leases."""
    for member in some:
        (world.stalled if leased else world.cut)[member.name] = until
        for other in world.members.values():
            if other not in some:
                world.apart[member.name, other.name] = world.apart[other.name, member.name] = until


def minority(replica_type: ReplicaType = PolicyReplica, trace: bool = False) -> World:
    """Most are cut off and go on; the few others have the store."""
    world, members = _begun(8, replica_type, trace)
    _isolate(world, members[:5], 20.0)
    world.until(6.0)
    world.until(_proposed(world, members[7]) + 4.0)
    return world


def unseen(replica_type: ReplicaType = PolicyReplica, trace: bool = False) -> World:
    """One votes yes and sees no more of the proposal, though its lease is renewed."""
    world, members = _begun(5, replica_type, trace)
    switch_at = _proposed(world, members[0])
    voter = members[3]
    while not any(key.endswith(voter.id) for key in world.store.entries if key.startswith(VOTES)):
        world.until(world.now + TICK)
    _isolate(world, [voter], 30.0, leased=True)
    world.until(switch_at + 3.0)
    return world


def slept(replica_type: ReplicaType = PolicyReplica, trace: bool = False) -> World:
    """One is paused before its vote, until after the switch time."""
    world, members = _begun(5, replica_type, trace)
    members[3].paused_until = BEGIN + SWITCH_DELAY + 1.0
    world.until(_proposed(world, members[0]) + 3.0)
    return world


def alone(replica_type: ReplicaType = PolicyReplica, trace: bool = False) -> World:
    """One has enough statuses of the others once its lease is over, then none."""
    world, members = _begun(5, replica_type, trace)
    world.cut[members[3].name] = 40.0
    world.until(6.0)
    _isolate(world, members[3:4], 40.0)
    world.until(_proposed(world, members[0]) + 3.0)
    return world


def late(replica_type: ReplicaType = PolicyReplica, trace: bool = False) -> World:
    """A decision is on its way while a member enters that can't follow it and is cut off."""
    world, members = _begun(5, replica_type, trace)
    world.write_delays["decide"] = 0.4
    switch_at = _proposed(world, members[0], "n9")
    while sum(key.startswith(VOTES) for key in world.store.entries) < 5:
        world.until(world.now + TICK)
    world.until(world.now + 0.15)
    world.write_delays["vote"] = 50.0
    world.start("n9")
    (entered,) = [member for member in world.members.values() if member.name == "n9"]
    while entered.id not in entered.records.members:
        world.until(world.now + TICK)
    _isolate(world, [entered], 30.0, leased=True)
    world.until(switch_at + 3.0)
    return world


SCENES = {scene.__name__: scene for scene in (minority, unseen, slept, alone, late)}
