"""The load on the shared services, and the cost of losing a group of sidecars."""

from __future__ import annotations

from math import exp
from typing import NamedTuple

from starlingwheel.fleet.zones.reporter import MAX_REPORT_INTERVAL_LEASES
from starlingwheel.net.fleet.etcd.lease_keeper import RENEWAL_FRACTION

from .figures import Figures
from .size import DAY, HEADER_SIZE, HTTP_FRAMING_SIZE, LEASE, FleetLoad


class Total(NamedTuple):
    """One cost of a shared service."""

    title: str
    formula: str
    value: float
    unit: str


class Loss(NamedTuple):
    """One cost of the loss of a group of sidecars."""

    group: str
    title: str
    formula: str
    value: float
    unit: str


def arbiter_rows(load: FleetLoad, figures: Figures) -> list[Total]:
    """Return the load on all machines of the coordination store together."""
    n, at = load.sidecars, figures.at
    report_rate = n / (MAX_REPORT_INTERVAL_LEASES * LEASE)
    votes = n * load.changes_per_day / DAY
    changes = load.changes_per_day / DAY
    member_bytes = at("member line", n) + HEADER_SIZE
    evidence_bytes, vote_bytes = at("evidence line", n) + HEADER_SIZE, at("vote line", n) + HEADER_SIZE
    keepalives = n / (RENEWAL_FRACTION * LEASE)
    text_bytes = 3 * load.policy_bytes * 4 / 3
    history_bytes = report_rate * at("evidence line", n) * 3 / 4 + votes * at("vote line", n) * 3 / 4
    return [
        Total("history kept until it is compacted", "values and keys of all writes", history_bytes * 3600,
              "B an hour"),
        Total("connections", f"{n} x 4 (lease, watch, strikes, writes)", 4.0 * n, "connections"),
        Total("keepalives", f"{n} / (a third of {LEASE:.0f} s)", keepalives, "calls/s"),
        Total("the same", f"x {HTTP_FRAMING_SIZE} B about", keepalives * HTTP_FRAMING_SIZE, "B/s"),
        Total("writes of evidence", f"{n} / {MAX_REPORT_INTERVAL_LEASES * LEASE:.0f} s", report_rate,
              "writes/s"),
        Total("writes of votes, mean", f"{n} x {load.changes_per_day:.0f} a day", votes, "writes/s"),
        Total("writes of votes, in the second after a proposal", f"{n}", float(n), "writes/s"),
        Total("evidence told", f"{report_rate:.0f}/s x {n} watchers", report_rate * n, "events/s"),
        Total("the same", f"x {evidence_bytes:.0f} B", report_rate * n * evidence_bytes, "B/s"),
        Total("votes told, mean", f"{votes:.0f}/s x {n} watchers", votes * n, "events/s"),
        Total("votes told, of one change", f"{n} x {n}", float(n) * n, "events"),
        Total("the same", f"x {vote_bytes:.0f} B", float(n) * n * vote_bytes, "B"),
        Total("policy texts told, mean", f"{load.changes_per_day:.0f} a day x {n} x {text_bytes:.0f} B",
         changes * n * text_bytes, "B/s"),
        Total("changes of members told",
         f"{load.view_changes_per_second * DAY:.0f} a day x {n} x {member_bytes:.0f} B",
         load.view_changes_per_second * n * member_bytes, "B/s"),
        Total("strikes after one killed process", f"{n - 1} links reset, each asks", float(n - 1), "writes"),
    ]  # fmt: skip


def discovery_rows(load: FleetLoad, entry: float = 76.0) -> list[Total]:
    """Return the load on discovery. `entry`: bytes of one endpoint in a whole list, as measured."""
    n, service = load.sidecars, load.sidecars / load.services
    base_spread = max(load.endpoint_list_max_age / 32, load.latency_objective / 4)
    spread = min(base_spread * max(1.0, service / 16), max(base_spread, load.endpoint_list_max_age / 2))
    spread_over_fleet = min(base_spread * max(1.0, n / 16), max(base_spread, load.endpoint_list_max_age / 2))
    return [
        Total("watches open", "one each", float(n), "connections"),
        Total("empty lines", "one in 2 s each", n / 2, "lines/s"),
        Total("changes told, of the whole fleet to all", f"3 x {load.restarts_per_day:.0f} a day x {n}",
         3 * load.restarts_per_day / DAY * n, "lines/s"),
        Total("the same, when a zone goes", f"{load.sidecars_per_zone} x {n} x 120 B",
         load.sidecars_per_zone * n * 120.0, "B"),
        Total("whole lists after an outage of discovery, whole fleet listed", f"{n} x {n} x {entry:.0f} B",
         n * n * entry, "B"),
        Total("the same, only the upstreams of one service listed", f"{n} x {service:.1f} x {entry:.0f} B",
         n * service * entry, "B"),
        Total("spread of those calls, by the replicas of the caller's own service", "`_follow_list`", spread,
              "s"),
        Total("the same, if it were by all who ask", "paper", spread_over_fleet, "s"),
    ]  # fmt: skip


def operator_rows(load: FleetLoad, figures: Figures) -> list[Total]:
    """Return the sizes of the responses to operators' commands."""
    n, at = load.sidecars, figures.at
    evidence_bytes = at("evidence, as told to operators")
    return [
        Total("`GET /_zones`", f"{n} x {evidence_bytes:.0f} B", n * evidence_bytes, "B"),
        Total("`GET /_policy` with a change open", f"{n} x {at('vote and word, as told to operators'):.0f} B",
         n * at("vote and word, as told to operators"), "B"),
        Total("`GET /_fleet`", f"{n} x {at('member, as told to operators'):.0f} B",
         n * at("member, as told to operators"), "B"),
        Total("proposals",
         f"{load.changes_per_day:.0f} a day, one in {DAY / load.changes_per_day:.0f} s; one open at a time",
         DAY / load.changes_per_day, "s between two"),
    ]  # fmt: skip


def losses(load: FleetLoad, figures: Figures, shard_count: int = 1) -> list[Loss]:
    """Return what the loss of a rack, a zone and a region costs each remaining member."""
    groups = (
        ("rack", load.rack_size),
        ("zone", load.sidecars_per_zone),
        ("region", load.sidecars_per_region),
    )
    return [loss for name, lost in groups for loss in _loss(name, lost, load, figures, shard_count)]


def _loss(name: str, lost: int, load: FleetLoad, figures: Figures, shard_count: int) -> list[Loss]:
    n, at = load.sidecars, figures.at
    remaining = n - lost
    peers = n / shard_count - 1
    return [
        Loss(name, "sidecars gone", f"of {n}", float(lost), "sidecars"),
        Loss(name, "changes of the view, if each lease ends by itself", "one each", float(lost), "views"),
        Loss(name, "processor time for them, of each that stays", f"{lost} x {at('member event', n):.0f} us",
             lost * at("member event", n) / 1e6, "s"),
        Loss(name, "links that end at each that stays", f"{lost}/{n} of {peers:.0f}", lost / n * peers,
             "links"),
        Loss(name, "words of `Told`, of each that stays",
             f"{lost} views x {remaining / n * peers:.0f} links", lost * remaining / n * peers, "words"),
        Loss(name, "on return: ranges that are read", f"{lost} x {at('whole range', n) / 1e6:.2f} MB",
             lost * at("whole range", n), "B"),
        Loss(name, "on return: events told", f"2 x {lost} x {n}", 2.0 * lost * n, "events"),
        Loss(name, "on return: links dialled", f"{lost} x {peers:.0f}", lost * peers, "links"),
    ]  # fmt: skip


def unchanged_view_probability(load: FleetLoad, seconds: float) -> float:
    """Return the probability that the view does not change for `seconds` on an ordinary day."""
    return exp(-load.view_changes_per_second * seconds)
