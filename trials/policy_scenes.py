"""Scenarios of a policy change in emulated time, each with a fault that random ones would rarely produce."""

from __future__ import annotations

from starlingwheel.fleet.policy.replica import DEFAULT_SWITCH_DELAY, PolicyReplica

from .emulated_policy import FIRST_CHANGE_AT, LEASE, EmulatedMember, ReplicaType, World

SWITCH_DELAY = DEFAULT_SWITCH_DELAY * LEASE  # seconds
TICK = 0.001  # seconds between two checks of a condition that a scenario waits for
VOTES_PREFIX = "policy/votes"


def _start_world(members: int, replica_type: ReplicaType, trace: bool) -> tuple[World, list[EmulatedMember]]:
    world = World(7, members, replica_type, trace)
    world.run_until(FIRST_CHANGE_AT)
    return world, list(world.members.values())


def _propose(world: World, proposer: EmulatedMember, unfit: str = "n99") -> float:
    """Propose a change at a member and return its switch time; the member named `unfit` cannot apply it."""
    proposer.policy_replica.now = proposer.clock()
    body = {"settings": {"number": 1, "not": [unfit]}, "cover": {}}
    assert world.store.write(proposer.policy_replica.propose(body, SWITCH_DELAY)[0])
    return world.now + SWITCH_DELAY


def _isolate(world: World, isolated: list[EmulatedMember], until: float, lease_renewed: bool = False) -> None:
    """Cut members off from the others and the store; `lease_renewed`: they keep their leases."""
    for member in isolated:
        (world.watch_stalled_until if lease_renewed else world.store_cut_until)[member.name] = until
        for other in world.members.values():
            if other not in isolated:
                world.link_cut_until[member.name, other.name] = until
                world.link_cut_until[other.name, member.name] = until


def majority_cut_off(replica_type: ReplicaType = PolicyReplica, trace: bool = False) -> World:
    """Cut a majority off from the store and the minority, which reaches the store and proposes a change."""
    world, members = _start_world(8, replica_type, trace)
    _isolate(world, members[:5], 20.0)
    world.run_until(6.0)
    world.run_until(_propose(world, members[7]) + 4.0)
    return world


def watch_stalled_after_vote(replica_type: ReplicaType = PolicyReplica, trace: bool = False) -> World:
    """Stall a member's watch after its yes vote, while its lease is still renewed."""
    world, members = _start_world(5, replica_type, trace)
    switch_at = _propose(world, members[0])
    voter = members[3]
    while not any(key.endswith(voter.id) for key in world.store.entries if key.startswith(VOTES_PREFIX)):
        world.run_until(world.now + TICK)
    _isolate(world, [voter], 30.0, lease_renewed=True)
    world.run_until(switch_at + 3.0)
    return world


def paused_before_vote(replica_type: ReplicaType = PolicyReplica, trace: bool = False) -> World:
    """Pause a member before its vote until after the switch time."""
    world, members = _start_world(5, replica_type, trace)
    members[3].paused_until = FIRST_CHANGE_AT + SWITCH_DELAY + 1.0
    world.run_until(_propose(world, members[0]) + 3.0)
    return world


def cut_off_after_lease(replica_type: ReplicaType = PolicyReplica, trace: bool = False) -> World:
    """Cut a member off from the store, and later, when its lease has expired, from the other members."""
    world, members = _start_world(5, replica_type, trace)
    world.store_cut_until[members[3].name] = 40.0
    world.run_until(6.0)
    _isolate(world, members[3:4], 40.0)
    world.run_until(_propose(world, members[0]) + 3.0)
    return world


def decision_delayed(replica_type: ReplicaType = PolicyReplica, trace: bool = False) -> World:
    """Delay a decision until a member has joined that cannot apply the policy, and cut that member off."""
    world, members = _start_world(5, replica_type, trace)
    world.write_delays["decide"] = 0.4
    switch_at = _propose(world, members[0], "n9")
    while sum(key.startswith(VOTES_PREFIX) for key in world.store.entries) < 5:
        world.run_until(world.now + TICK)
    world.run_until(world.now + 0.15)
    world.write_delays["vote"] = 50.0
    world.start("n9")
    (joined_member,) = [member for member in world.members.values() if member.name == "n9"]
    while joined_member.id not in joined_member.records.members:
        world.run_until(world.now + TICK)
    _isolate(world, [joined_member], 30.0, lease_renewed=True)
    world.run_until(switch_at + 3.0)
    return world


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        majority_cut_off,
        watch_stalled_after_vote,
        paused_before_vote,
        cut_off_after_lease,
        decision_delayed,
    )
}
