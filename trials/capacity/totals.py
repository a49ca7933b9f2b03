"""What the shared services bear, and what a loss costs."""

from __future__ import annotations

from math import exp
from typing import NamedTuple

from starlingwheel.fleet.zones.reporter import MAX_REPORT_INTERVAL_LEASES
from starlingwheel.net.fleet.etcd.lease_keeper import RENEWAL_FRACTION

from .figures import Figures
from .size import DAY, FRAMING, HEADERS, LEASE, Size


class Total(NamedTuple):
    """One figure of a shared service."""

    what: str
    formula: str
    value: float
    unit: str


class Loss(NamedTuple):
    """One figure of the loss of a group of sidecars."""

    group: str
    what: str
    formula: str
    value: float
    unit: str


def arbiter_rows(size: Size, figures: Figures) -> list[Total]:
    """What the coordination store's machines do, all together."""
    n, at = size.sidecars, figures.at
    report_rate = n / (MAX_REPORT_INTERVAL_LEASES * LEASE)
    votes = n * size.changes / DAY
    changes = size.changes / DAY
    member = at("member line", n) + HEADERS
    evidence, vote = at("evidence line", n) + HEADERS, at("vote line", n) + HEADERS
    keepalives = n / (RENEWAL_FRACTION * LEASE)
    text = 3 * size.policy * 4 / 3
    history = report_rate * at("evidence line", n) * 3 / 4 + votes * at("vote line", n) * 3 / 4
    return [
        Total("history kept until it is compacted", "values and keys of all writes", history * 3600,
              "B an hour"),
        Total("connections", f"{n} x 4 (lease, watch, strikes, writes)", 4.0 * n, "connections"),
        Total("keepalives", f"{n} / (a third of {LEASE:.0f} s)", keepalives, "calls/s"),
        Total("the same", f"x {FRAMING} B about", keepalives * FRAMING, "B/s"),
        Total("writes of evidence", f"{n} / {MAX_REPORT_INTERVAL_LEASES * LEASE:.0f} s", report_rate,
              "writes/s"),
        Total("writes of votes, mean", f"{n} x {size.changes:.0f} a day", votes, "writes/s"),
        Total("writes of votes, in the second after a proposal", f"{n}", float(n), "writes/s"),
        Total("evidence told", f"{report_rate:.0f}/s x {n} watchers", report_rate * n, "events/s"),
        Total("the same", f"x {evidence:.0f} B", report_rate * n * evidence, "B/s"),
        Total("votes told, mean", f"{votes:.0f}/s x {n} watchers", votes * n, "events/s"),
        Total("votes told, of one change", f"{n} x {n}", float(n) * n, "events"),
        Total("the same", f"x {vote:.0f} B", float(n) * n * vote, "B"),
        Total("policy texts told, mean", f"{size.changes:.0f} a day x {n} x {text:.0f} B", changes * n * text,
         "B/s"),
        Total("changes of members told", f"{size.views * DAY:.0f} a day x {n} x {member:.0f} B",
         size.views * n * member, "B/s"),
        Total("strikes after one killed process", f"{n - 1} links reset, each asks", float(n - 1), "writes"),
    ]  # fmt: skip


def discovery_rows(size: Size, entry: float = 76.0) -> list[Total]:
    """What discovery bears by our calls. `entry`: bytes of one endpoint in a whole list, as measured."""
    n, service = size.sidecars, size.sidecars / size.services
    often = max(size.endpoint_list_max_age / 32, size.due / 4)
    spread = min(often * max(1.0, service / 16), max(often, size.endpoint_list_max_age / 2))
    by_all = min(often * max(1.0, n / 16), max(often, size.endpoint_list_max_age / 2))
    return [
        Total("watches open", "one each", float(n), "connections"),
        Total("empty lines", "one in 2 s each", n / 2, "lines/s"),
        Total("changes told, of the whole fleet to all", f"3 x {size.restarts:.0f} a day x {n}",
         3 * size.restarts / DAY * n, "lines/s"),
        Total("the same, when a zone goes", f"{size.zone} x {n} x 120 B", size.zone * n * 120.0, "B"),
        Total("whole lists after an outage of discovery, whole fleet listed", f"{n} x {n} x {entry:.0f} B",
         n * n * entry, "B"),
        Total("the same, only the upstreams of one service listed", f"{n} x {service:.1f} x {entry:.0f} B",
         n * service * entry, "B"),
        Total("spread of those calls, by the replicas of the caller's own service", "`_follow_list`", spread,
              "s"),
        Total("the same, if it were by all who ask", "paper", by_all, "s"),
    ]  # fmt: skip


def operator_rows(size: Size, figures: Figures) -> list[Total]:
    """What operators' commands read."""
    n, at = size.sidecars, figures.at
    each = at("evidence, as told to operators")
    return [
        Total("`GET /_zones`", f"{n} x {each:.0f} B", n * each, "B"),
        Total("`GET /_policy` with a change open", f"{n} x {at('vote and word, as told to operators'):.0f} B",
         n * at("vote and word, as told to operators"), "B"),
        Total("`GET /_fleet`", f"{n} x {at('member, as told to operators'):.0f} B",
         n * at("member, as told to operators"), "B"),
        Total("proposals", f"{size.changes:.0f} a day, one in {DAY / size.changes:.0f} s; one open at a time",
         DAY / size.changes, "s between two"),
    ]  # fmt: skip


def losses(size: Size, figures: Figures, cells: int = 1) -> list[Loss]:
    """What the loss of a rack, a zone and a region costs each member that stays."""
    groups = (("rack", size.rack), ("zone", size.zone), ("region", size.region))
    return [loss for name, gone in groups for loss in _loss(name, gone, size, figures, cells)]


def _loss(name: str, gone: int, size: Size, figures: Figures, cells: int) -> list[Loss]:
    n, at = size.sidecars, figures.at
    remaining = n - gone
    peers = n / cells - 1
    return [
        Loss(name, "sidecars gone", f"of {n}", float(gone), "sidecars"),
        Loss(name, "changes of the view, if each lease ends by itself", "one each", float(gone), "views"),
        Loss(name, "processor time for them, of each that stays", f"{gone} x {at('member event', n):.0f} us",
             gone * at("member event", n) / 1e6, "s"),
        Loss(name, "links that end at each that stays", f"{gone}/{n} of {peers:.0f}", gone / n * peers,
             "links"),
        Loss(name, "words of `Told`, of each that stays",
             f"{gone} views x {remaining / n * peers:.0f} links", gone * remaining / n * peers, "words"),
        Loss(name, "on return: ranges that are read", f"{gone} x {at('whole range', n) / 1e6:.2f} MB",
             gone * at("whole range", n), "B"),
        Loss(name, "on return: events told", f"2 x {gone} x {n}", 2.0 * gone * n, "events"),
        Loss(name, "on return: links dialled", f"{gone} x {peers:.0f}", gone * peers, "links"),
    ]  # fmt: skip


def view_stays(size: Size, seconds: float) -> float:
    """The probability that the view does not change for so long, on an ordinary day."""
    return exp(-size.views * seconds)
