"""What one sidecar's part of the common work costs, role by role.

The constants come from the program's code: what is changed there is changed here.
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

from .bench import SEES
from .figures import Figures
from .fit import line
from .size import BURST, BYTES, CORE, DAY, HEADERS, IDLE_FLEET, LEASE, LINK_SOCKETS, Size


@dataclass(frozen=True)
class Row:
    """`unit`: of the value and the budget. `kind`: how the figure was come by. `carries`: what bounds it."""

    role: str
    what: str
    formula: str
    value: float
    unit: str
    budget: float
    kind: str
    carries: str

    @property
    def over(self) -> float:
        """Times the budget."""
        return self.value / self.budget


def idle_words(peers: float) -> float:
    """Messages a second that a member sends at rest, over all its links."""
    return min(peers / timing.MIN_IDLE_HEARTBEAT_INTERVAL, float(timing.IDLE_HEARTBEATS_PER_SECOND))


def wire(words: float, size: float) -> float:
    """Bytes sent a second, of so many messages each way: each is a segment, and acknowledged by another."""
    return words * (size + 2 * HEADERS)


def reached(fleet: float, rate: float, linger: float) -> float:
    """Members of so many that are reached at least once while a link stays. `rate`: messages a second."""
    return fleet * (1 - exp(-rate * linger / fleet))


def rows(size: Size, figures: Figures, cells: int = 1) -> list[Row]:
    """One sidecar's part for what is common, on an ordinary day, by role. `cells`: how many there are."""
    return [
        *_link_rows(size, figures, cells),
        *_request_rows(size, figures, cells),
        *_membership_rows(size, figures),
        *_policy_rows(size, figures),
        *_zone_rows(size, figures),
        *_other_rows(size),
    ]


def _link_rows(size: Size, figures: Figures, cells: int) -> list[Row]:
    peers = size.sidecars / cells - 1
    views = size.views / cells  # that change our own cell
    beat, synced = figures.at("frame beat"), figures.at("frame told")
    active_for = timing.ACTIVE_PERIOD + timing.MISSED_HEARTBEATS * timing.HEARTBEAT_INTERVAL
    quick = active_for / timing.HEARTBEAT_INTERVAL  # messages on a link after one of a request
    word_core = figures.at(BURST) / 1e4  # per cent of a core for one a second
    mesh = "cells" if cells > 1 else "a limit of words a second, none of sockets"
    role = "words to members"
    return [
        Row(role, "links at rest", "members of a cell - 1", peers, "sockets", LINK_SOCKETS, "read", mesh),
        Row(
            role, "beats at rest", f"{idle_words(peers):.0f}/s x (beat {beat:.0f} B + 2 x 52)",
            wire(idle_words(peers), beat), "B/s", BYTES, "read", "a limit of words a second",
        ),
        Row(
            role, "`Told` and what it quickens, mean of a day",
            f"{views * DAY:.0f} a day x {peers:.0f} links x (1 + {quick:.0f} words)",
            wire(views * peers, synced) + wire(views * peers * quick, beat), "B/s", BYTES, "read",
            _bounded_by(cells),
        ),
        Row(
            role, "processor time in the 2.3 s after a change of the view",
            f"{peers:.0f} links x 10/s x {word_core * 1e4:.0f} us",
            peers / timing.HEARTBEAT_INTERVAL * word_core, "% core", CORE,
            "extrapolated" if peers > IDLE_FLEET[-1].members else "measured", _bounded_by(cells),
        ),
    ]  # fmt: skip


def _bounded_by(cells: int) -> str:
    return "cells" if cells > 1 else "none yet"


def _request_rows(size: Size, figures: Figures, cells: int) -> list[Row]:
    n, at, named = size.sidecars, figures.at, size.named_rate
    per_cell = n / cells
    linger = size.in_hand + timing.IDLE_LINK_TIMEOUT
    # Those that we call and those that call us, alike: each named call has a coordinator and a replica.
    outside = 2 * reached(n - (per_cell - 1), 2 * named, linger) if cells > 1 else 0.0
    replicated = sum(at(f"frame {name}") for name in ("cover", "intend", "answered")) + 3 * 2 * HEADERS
    replicated += 3 * at("frame kept")
    placement = at("home", per_cell) + at("keepers", per_cell)  # microseconds
    role = "work in hand"
    return [
        Row(
            role, "links outside the cell while named work is in hand",
            f"2 x {named:.0f} named calls/s x 2 members, each for {linger:.2f} s, beyond the cell",
            outside, "sockets", LINK_SOCKETS, "paper",
            "none yet" if cells > 1 else "the mesh has them already",
        ),
        Row(
            role, "links outside the cell that are opened", "those / how long they stay",
            outside / linger, "a second", nan, "paper", "none yet" if cells > 1 else "",
        ),
        Row(
            role, "a name's home and keepers",
            f"{named:.0f}/s x ({at('home', per_cell):.0f} + {at('keepers', per_cell):.0f} us)",
            named * placement / 1e4, "% core", CORE, figures.kind("home", per_cell), _bounded_by(cells),
        ),
        Row(
            role, "frames of a named call",
            f"{named:.0f}/s x {replicated:.0f} B with headers, 256 B of body and answer", named * replicated,
            "B/s", nan, "read", "the price of cover, by the call",
        ),
    ]  # fmt: skip


def _membership_rows(size: Size, figures: Figures) -> list[Row]:
    n, at = size.sidecars, figures.at
    at_no_members, _, _ = line(
        (one.members, one.bytes_sent + HEADERS * one.segments_sent) for one in IDLE_FLEET
    )
    role = "membership"
    return [
        Row(
            role, "keepalive, watch at rest",
            "what the line through the measured fleet is at no members", at_no_members, "B/s", BYTES,
            "extrapolated", "one connection each, every third of a lease",
        ),
        Row(
            role, "a change of the view",
            f"{size.views * DAY:.0f} a day x {at('member event', n):.0f} us",
            size.views * at("member event", n) / 1e4, "% core", CORE, figures.kind("member event", n),
            "few a day",
        ),
        Row(
            role, "entries that a start reads", f"3 x {n} of {MAX_ENTRIES} that are believed",
            3.0 * n, "entries", MAX_ENTRIES, "read", "none yet",
        ),
        Row(
            role, "bytes that a start reads", "members, names, evidence of zones",
            at("whole range", n), "B", MAX_REPLY_SIZE, figures.kind("whole range", n), "none yet",
        ),
    ]  # fmt: skip


def _policy_rows(size: Size, figures: Figures) -> list[Row]:
    n, at = size.sidecars, figures.at
    vote_rate = n * size.changes / DAY
    texts = 3 * size.policy * 4 / 3 * size.changes / DAY
    role = "policy"
    return [
        Row(
            role, "votes that are heard",
            f"{n} x {size.changes:.0f} a day x {at('vote line', n):.0f} B",
            vote_rate * (at("vote line", n) + HEADERS), "B/s", BYTES, "read", "none yet",
        ),
        Row(
            role, "votes, processor time", f"{vote_rate:.0f}/s x {at('vote event', n):.0f} us",
            vote_rate * at("vote event", n) / 1e4, "% core", CORE, figures.kind("vote event", n), "none yet",
        ),
        Row(
            role, "texts that are heard",
            f"{size.changes:.0f} a day x 3 x {size.policy} B (proposal, decision, the one before), base64",
            texts, "B/s", BYTES, "paper", "48 KiB at most each; none yet for that size",
        ),
        Row(
            role, "proposal to switch, unless told", f"{DEFAULT_SWITCH_DELAY:.0f} leases of {LEASE:.0f} s",
            DEFAULT_SWITCH_DELAY * LEASE, "s", size.force, "read", "a shorter lease, or `--switch`",
        ),
        Row(
            role, "members that a decision compares", f"of {MAX_COMPARED_MEMBERS}", float(n), "members",
            MAX_COMPARED_MEMBERS, "read", "none yet",
        ),
    ]  # fmt: skip


def _zone_rows(size: Size, figures: Figures) -> list[Row]:
    n, at = size.sidecars, figures.at
    reports = n / (MAX_REPORT_INTERVAL_LEASES * LEASE)  # a second
    weighed = 16 / (WINDOW_OBJECTIVES * size.due)  # times a second
    role = "zones"
    return [
        Row(
            role, "evidence that is heard",
            f"{reports:.0f}/s x {at('evidence line', n):.0f} B, of {SEES} zones each",
            reports * (at("evidence line", n) + HEADERS), "B/s", BYTES, "read", "none yet",
        ),
        Row(
            role, "evidence, processor time", f"{reports:.0f}/s x {at('evidence event', n):.0f} us",
            reports * at("evidence event", n) / 1e4, "% core", CORE, figures.kind("evidence event", n),
            "none yet",
        ),
        Row(
            role, "evidence that is weighed", f"{weighed:.0f}/s x {at('evidence weighed', n):.0f} us",
            weighed * at("evidence weighed", n) / 1e4, "% core", CORE, figures.kind("evidence weighed", n),
            "none yet",
        ),
    ]  # fmt: skip


def _other_rows(size: Size) -> list[Row]:
    replicas = size.sidecars / size.services
    return [
        Row(
            "its list", "changes of the whole fleet's list",
            f"3 x {size.restarts:.0f} a day x 120 B", 3 * size.restarts / DAY * (120 + HEADERS), "B/s", BYTES,
            "paper", "a watch of one list; several lists: none yet",
        ),
        Row(
            "words to peers", "messages heard, where `caps.peers` is on",
            f"at most {MESSAGES_PER_OBJECTIVE:.0f} in the shortest due time, {size.due:.0f} s",
            min(MESSAGES_PER_OBJECTIVE / size.due, 2 * size.rate * (replicas - 1)) * (28 + 9),
            "B/s", BYTES, "read",
            "MESSAGES_PER_OBJECTIVE, HTTP unaffected; of one service's replicas only",
        ),
    ]  # fmt: skip
