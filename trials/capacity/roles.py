"""The cost of one sidecar's part in the fleet's common work, by role.

The constants are imported from the program, so a change there changes the results. The tables call the shards
of the fleet cells.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, nan

from starlingwheel.decisions.gossip import MESSAGES_PER_OBJECTIVE
from starlingwheel.fleet.policy.replica import DEFAULT_SWITCH_DELAY
from starlingwheel.fleet.policy.transactions import MAX_COMPARED_MEMBERS
from starlingwheel.fleet.zones.health import WINDOW_OBJECTIVES
from starlingwheel.fleet.zones.reporter import MAX_REPORT_INTERVAL_LEASES
from starlingwheel.net.fleet.etcd.http_connection import MAX_REPLY_SIZE
from starlingwheel.net.fleet.etcd.state_watcher import MAX_ENTRIES
from starlingwheel.net.fleet.links import timing

from .bench import ZONES_PER_REPORT
from .figures import Figures
from .fit import fit_line
from .size import (
    BYTES_BUDGET,
    CORE_BUDGET,
    DAY,
    HEADER_SIZE,
    IDLE_FLEET,
    LEASE,
    LINK_SOCKET_BUDGET,
    MESSAGE_COST_FIGURE,
    FleetLoad,
)


@dataclass(frozen=True)
class Row:
    """One cost of a sidecar.

    `unit`: of the value and of the budget. `budget`: NaN if there is none. `source`: where the figure comes
    from (measured, extrapolated, read or paper). `bounded_by`: what keeps the cost from growing.
    """

    role: str
    title: str
    formula: str
    value: float
    unit: str
    budget: float
    source: str
    bounded_by: str

    @property
    def budget_ratio(self) -> float:
        """The value as a multiple of the budget."""
        return self.value / self.budget


def idle_messages(peers: float) -> float:
    """Return the heartbeats a second that an idle member sends over all its links."""
    return min(peers / timing.MIN_IDLE_HEARTBEAT_INTERVAL, float(timing.IDLE_HEARTBEATS_PER_SECOND))


def wire_bytes(messages: float, size: float) -> float:
    """Return the bytes sent a second for `messages` messages a second each way.

    Each message is one segment and is acknowledged by another.
    """
    return messages * (size + 2 * HEADER_SIZE)


def expected_members_reached(fleet: float, rate: float, link_lifetime: float) -> float:
    """Return the expected number of distinct members to which on-demand links are open.

    `fleet`: members that a request may need. `rate`: requests a second. `link_lifetime`: seconds that a link
    stays open after a request.
    """
    return fleet * (1 - exp(-rate * link_lifetime / fleet))


def sidecar_rows(load: FleetLoad, figures: Figures, shard_count: int = 1) -> list[Row]:
    """Return the costs of one sidecar on an ordinary day, by role. `shard_count`: of the fleet."""
    return [
        *_link_rows(load, figures, shard_count),
        *_request_rows(load, figures, shard_count),
        *_membership_rows(load, figures),
        *_policy_rows(load, figures),
        *_zone_rows(load, figures),
        *_other_rows(load),
    ]


def _link_rows(load: FleetLoad, figures: Figures, shard_count: int) -> list[Row]:
    peers = load.sidecars / shard_count - 1
    views = load.view_changes_per_second / shard_count  # a second, those that change the sidecar's own shard
    beat, synced = figures.at("frame beat"), figures.at("frame told")
    active_for = timing.ACTIVE_PERIOD + timing.MISSED_HEARTBEATS * timing.HEARTBEAT_INTERVAL
    active_beats = active_for / timing.HEARTBEAT_INTERVAL  # heartbeats on a link that has become active
    core_percent = figures.at(MESSAGE_COST_FIGURE) / 1e4  # percent of a core for one message a second
    links_bounded_by = "cells" if shard_count > 1 else "a limit of words a second, none of sockets"
    role = "words to members"
    return [
        Row(
            role, "links at rest", "members of a cell - 1", peers, "sockets", LINK_SOCKET_BUDGET, "read",
            links_bounded_by,
        ),
        Row(
            role, "beats at rest", f"{idle_messages(peers):.0f}/s x (beat {beat:.0f} B + 2 x 52)",
            wire_bytes(idle_messages(peers), beat), "B/s", BYTES_BUDGET, "read", "a limit of words a second",
        ),
        Row(
            role, "`Told` and what it quickens, mean of a day",
            f"{views * DAY:.0f} a day x {peers:.0f} links x (1 + {active_beats:.0f} words)",
            wire_bytes(views * peers, synced) + wire_bytes(views * peers * active_beats, beat), "B/s",
            BYTES_BUDGET, "read", _bounded_by(shard_count),
        ),
        Row(
            role, "processor time in the 2.3 s after a change of the view",
            f"{peers:.0f} links x 10/s x {core_percent * 1e4:.0f} us",
            peers / timing.HEARTBEAT_INTERVAL * core_percent, "% core", CORE_BUDGET,
            "extrapolated" if peers > IDLE_FLEET[-1].members else "measured", _bounded_by(shard_count),
        ),
    ]  # fmt: skip


def _bounded_by(shard_count: int) -> str:
    return "cells" if shard_count > 1 else "none yet"


def _request_rows(load: FleetLoad, figures: Figures, shard_count: int) -> list[Row]:
    n, at, named_rate = load.sidecars, figures.at, load.named_calls_per_sidecar
    shard_size = n / shard_count
    link_lifetime = load.named_call_duration + timing.IDLE_LINK_TIMEOUT
    # Links of incoming and outgoing calls are counted. Each named call has a coordinator and a replica.
    outside_links = (
        2 * expected_members_reached(n - (shard_size - 1), 2 * named_rate, link_lifetime)
        if shard_count > 1
        else 0.0
    )
    frame_bytes = sum(at(f"frame {name}") for name in ("cover", "intend", "answered")) + 3 * 2 * HEADER_SIZE
    frame_bytes += 3 * at("frame kept")
    placement = at("home", shard_size) + at("keepers", shard_size)  # microseconds
    role = "work in hand"
    return [
        Row(
            role, "links outside the cell while named work is in hand",
            f"2 x {named_rate:.0f} named calls/s x 2 members, each for {link_lifetime:.2f} s,"
            " beyond the cell",
            outside_links, "sockets", LINK_SOCKET_BUDGET, "paper",
            "none yet" if shard_count > 1 else "the mesh has them already",
        ),
        Row(
            role, "links outside the cell that are opened", "those / how long they stay",
            outside_links / link_lifetime, "a second", nan, "paper", "none yet" if shard_count > 1 else "",
        ),
        Row(
            role, "a name's home and keepers",
            f"{named_rate:.0f}/s x ({at('home', shard_size):.0f} + {at('keepers', shard_size):.0f} us)",
            named_rate * placement / 1e4, "% core", CORE_BUDGET, figures.source("home", shard_size),
            _bounded_by(shard_count),
        ),
        Row(
            role, "frames of a named call",
            f"{named_rate:.0f}/s x {frame_bytes:.0f} B with headers, 256 B of body and answer",
            named_rate * frame_bytes,
            "B/s", nan, "read", "the price of cover, by the call",
        ),
    ]  # fmt: skip


def _membership_rows(load: FleetLoad, figures: Figures) -> list[Row]:
    n, at = load.sidecars, figures.at
    idle_bytes, _, _ = fit_line(
        (fleet.members, fleet.bytes_sent + HEADER_SIZE * fleet.segments_sent) for fleet in IDLE_FLEET
    )
    role = "membership"
    return [
        Row(
            role, "keepalive, watch at rest",
            "what the line through the measured fleet is at no members", idle_bytes, "B/s", BYTES_BUDGET,
            "extrapolated", "one connection each, every third of a lease",
        ),
        Row(
            role, "a change of the view",
            f"{load.view_changes_per_second * DAY:.0f} a day x {at('member event', n):.0f} us",
            load.view_changes_per_second * at("member event", n) / 1e4, "% core", CORE_BUDGET,
            figures.source("member event", n), "few a day",
        ),
        Row(
            role, "entries that a start reads", f"3 x {n} of {MAX_ENTRIES} that are believed",
            3.0 * n, "entries", MAX_ENTRIES, "read", "none yet",
        ),
        Row(
            role, "bytes that a start reads", "members, names, evidence of zones",
            at("whole range", n), "B", MAX_REPLY_SIZE, figures.source("whole range", n), "none yet",
        ),
    ]  # fmt: skip


def _policy_rows(load: FleetLoad, figures: Figures) -> list[Row]:
    n, at = load.sidecars, figures.at
    vote_rate = n * load.changes_per_day / DAY
    policy_bytes_per_second = 3 * load.policy_bytes * 4 / 3 * load.changes_per_day / DAY
    role = "policy"
    return [
        Row(
            role, "votes that are heard",
            f"{n} x {load.changes_per_day:.0f} a day x {at('vote line', n):.0f} B",
            vote_rate * (at("vote line", n) + HEADER_SIZE), "B/s", BYTES_BUDGET, "read", "none yet",
        ),
        Row(
            role, "votes, processor time", f"{vote_rate:.0f}/s x {at('vote event', n):.0f} us",
            vote_rate * at("vote event", n) / 1e4, "% core", CORE_BUDGET,
            figures.source("vote event", n), "none yet",
        ),
        Row(
            role, "texts that are heard",
            f"{load.changes_per_day:.0f} a day x 3 x {load.policy_bytes} B"
            " (proposal, decision, the one before), base64",
            policy_bytes_per_second, "B/s", BYTES_BUDGET, "paper",
            "48 KiB at most each; none yet for that size",
        ),
        Row(
            role, "proposal to switch, unless told", f"{DEFAULT_SWITCH_DELAY:.0f} leases of {LEASE:.0f} s",
            DEFAULT_SWITCH_DELAY * LEASE, "s", load.policy_deadline, "read", "a shorter lease, or `--switch`",
        ),
        Row(
            role, "members that a decision compares", f"of {MAX_COMPARED_MEMBERS}", float(n), "members",
            MAX_COMPARED_MEMBERS, "read", "none yet",
        ),
    ]  # fmt: skip


def _zone_rows(load: FleetLoad, figures: Figures) -> list[Row]:
    n, at = load.sidecars, figures.at
    reports = n / (MAX_REPORT_INTERVAL_LEASES * LEASE)  # a second
    evaluations = 16 / (WINDOW_OBJECTIVES * load.latency_objective)  # times a second
    role = "zones"
    return [
        Row(
            role, "evidence that is heard",
            f"{reports:.0f}/s x {at('evidence line', n):.0f} B, of {ZONES_PER_REPORT} zones each",
            reports * (at("evidence line", n) + HEADER_SIZE), "B/s", BYTES_BUDGET, "read", "none yet",
        ),
        Row(
            role, "evidence, processor time", f"{reports:.0f}/s x {at('evidence event', n):.0f} us",
            reports * at("evidence event", n) / 1e4, "% core", CORE_BUDGET,
            figures.source("evidence event", n), "none yet",
        ),
        Row(
            role, "evidence that is weighed", f"{evaluations:.0f}/s x {at('evidence weighed', n):.0f} us",
            evaluations * at("evidence weighed", n) / 1e4, "% core", CORE_BUDGET,
            figures.source("evidence weighed", n), "none yet",
        ),
    ]  # fmt: skip


def _other_rows(load: FleetLoad) -> list[Row]:
    replicas = load.sidecars / load.services
    return [
        Row(
            "its list", "changes of the whole fleet's list",
            f"3 x {load.restarts_per_day:.0f} a day x 120 B",
            3 * load.restarts_per_day / DAY * (120 + HEADER_SIZE), "B/s", BYTES_BUDGET, "paper",
            "a watch of one list; several lists: none yet",
        ),
        Row(
            "words to peers", "messages heard, where `caps.peers` is on",
            f"at most {MESSAGES_PER_OBJECTIVE:.0f} in the shortest due time, {load.latency_objective:.0f} s",
            min(MESSAGES_PER_OBJECTIVE / load.latency_objective, 2 * load.calls_per_sidecar * (replicas - 1))
            * (28 + 9),
            "B/s", BYTES_BUDGET, "read",
            "MESSAGES_PER_OBJECTIVE, HTTP unaffected; of one service's replicas only",
        ),
    ]  # fmt: skip
