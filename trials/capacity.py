"""What a fleet of some size costs, role by role: the arithmetic behind docs/CAPACITY.md.

`python -m trials capacity --measure` times the program's own code in this process, at several sizes, and
prints a line of JSON for each figure. `python -m trials capacity` reads those lines and prints the tables in
markdown. Each figure says what it is: measured, extrapolated (a fit past its last size), read (worked out
from the code's constants and the sizes of its messages, never run at that size), published, or paper.

The constants come from the code itself: what is changed there is changed here.
"""

from __future__ import annotations

import argparse
import base64
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from math import exp, log, nan
from pathlib import Path
from typing import Any

import msgspec

from starlingwheel.decisions.balancer import Balancer
from starlingwheel.decisions.config import BalancerConfig, RequestClass, RetrySafety
from starlingwheel.decisions.events import WatchEvent
from starlingwheel.decisions.gossip import MESSAGES_PER_OBJECTIVE
from starlingwheel.decisions.model import Endpoint, EndpointState
from starlingwheel.fleet.frames import (
    AttemptIntent,
    AttemptIntentFrame,
    Frame,
    HeartbeatFrame,
    RecordedRequest,
    RecordedResponse,
    ReplicaStateFrame,
    ReplicateFrame,
    ResponseFrame,
    ViewSyncedFrame,
)
from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.fleet.policy import replica as policy
from starlingwheel.fleet.policy.replica import PolicyReplica, PolicyStatus
from starlingwheel.fleet.records import (
    Policy,
    PolicyDecision,
    PolicyProposal,
    StoreRecords,
    ZoneHealth,
    ZoneReport,
)
from starlingwheel.fleet.zones import planner as zones
from starlingwheel.net.fleet import etcd as arbiter
from starlingwheel.net.fleet import links
from starlingwheel.net.loop import Loop
from starlingwheel.net.state.buffers import BufferPool

from . import call_tree

ROOT = Path(__file__).parent.parent
MICRO = ROOT / "journal" / "capacity" / "micro.jsonl"
TREE = ROOT / "journal" / "capacity" / "call-tree.jsonl"
SCALE = ROOT / "journal" / "scale"
BURST = "word to a member, of many"
MARKS = {
    name: (f"<!-- {name}: tables by `python -m trials capacity --write` -->", f"<!-- {name}: end -->")
    for name in ("capacity", "call-tree")
}
SIZES = (25, 50, 200, 400, 800, 1600)
CELL = 32  # members of a cell, at most, for what is timed with cells
DAY = 86400.0
HEADERS = 52  # bytes: IPv4, TCP with its timestamps
FRAMING = 350  # bytes of an HTTP/1.1 call of the arbiter and its answer beside their bodies, about
LEASE = 3.0
FLEET = "fleet"


@dataclass(frozen=True)
class Size:
    """What is coming, by the operators' table."""

    sidecars: int = 1600
    services: int = 310
    calls: float = 550_000.0  # a second
    depth: int = 7
    regions: int = 3
    zones: int = 11
    changes: float = 2700.0  # of configuration, a day
    force: float = 9.0  # seconds within which one is in force
    restarts: float = 260.0  # a day
    machines_lost: float = 3.0  # a day
    rack: int = 40  # sidecars of a rack: assumed, nobody has told it
    named: float = 0.25  # part of the calls that have a name: assumed
    policy: int = 4096  # bytes of a policy as text: assumed
    in_hand: float = 0.25  # seconds that a named call is in hand: assumed
    due: float = 1.0  # shortest due time, seconds: assumed
    endpoint_list_max_age: float = 8.0  # seconds within which the list must be asked for again: assumed

    @property
    def rate(self) -> float:
        return self.calls / self.sidecars

    @property
    def views(self) -> float:
        """Changes of the view, a second: each restart is a loss and an entry."""
        return 2 * self.restarts / DAY

    @property
    def zone(self) -> int:
        return round(self.sidecars / self.zones)

    @property
    def region(self) -> int:
        return round(self.sidecars / self.regions)


BYTES, CORE, MEMORY, SOCKETS = 3000.0, 1.3, 256.0, 512.0  # a second; per cent; MB; the lower of the limits

# A fleet of real processes at rest, main 1343230: members, bytes sent a second, segments out a second, per
# cent of a core, sockets, MB. Payload by the kernel's own counts, each figure a member.
REST = (
    (5, 413.0, 10.0, 0.43, 6.8, 23.0),
    (10, 710.0, 20.0, 0.46, 11.9, 23.0),
    (15, 1001.0, 29.0, 0.49, 16.3, 23.0),
    (18, 1179.0, 35.0, 0.60, 19.1, 23.0),
)


def line(points: Iterable[tuple[float, float]]) -> tuple[float, float, float]:
    """A straight line by least squares: what it is at none, what each adds, the largest residual."""
    points = list(points)
    n = len(points)
    x, y = sum(p[0] for p in points) / n, sum(p[1] for p in points) / n
    slope = sum((px - x) * (py - y) for px, py in points) / sum((px - x) ** 2 for px, _ in points)
    at_none = y - slope * x
    return at_none, slope, max(abs(at_none + slope * px - py) for px, py in points)


def power(points: Iterable[tuple[float, float]]) -> float:
    """The exponent of growth: 0 is flat, 1 is by the size, 2 is by its square."""
    return line((log(x), log(y)) for x, y in points)[1]


# What is timed: the program's own code, at several sizes, in this process.


def members(count: int, zones_: int = 11) -> list[Member]:
    return [
        Member(f"orders-{i:04d}.{i * 7919:012x}", f"orders-{i:04d}", f"10.{i % 11}.{i // 250}.{i % 250}:7950",
               f"zone-{i % zones_}", 0, 1000 + i)
        for i in range(count)
    ]  # fmt: skip


def word(member: Member) -> PolicyStatus:
    return PolicyStatus(
        member.id, member.name, 1780000000.123456, 41, "0123456789abcdef", float("inf"), 41, 123456, True
    )


def frames() -> dict[str, Frame]:
    """One of each that counts, as they are said."""
    me, at = members(1)[0], 1780000000.123456
    key, mark = b"order\x00" + b"k" * 32, b"m" * 8
    headers = [(b"host", b"orders.internal"), (b"x-qos", b"order"), (b"x-expires-in-ms", b"1900")]
    headers += [(b"x-work-name", b"k" * 32), (b"x-trace-id", b"t" * 32), (b"content-type", b"text/plain")]
    asked = RecordedRequest(b"POST", b"/order/1", headers, b"b" * 256, b"t" * 32)
    rules = RequestClass("order", RetrySafety.NON_IDEMPOTENT, 1.0, 8.0, 2.0)
    return {
        "beat": HeartbeatFrame(1 << 54, False, word(me)),
        "told": ViewSyncedFrame(1 << 54),
        "cover": ReplicateFrame(
            key, me.id, 0, True, mark, "order", "exclusive", at, at, False, asked, [], False, rules
        ),
        "intend": AttemptIntentFrame(key, 0, 0, AttemptIntent("10.0.0.1:8080", "zone-1", 3, at)),
        "kept": ReplicaStateFrame(key, 0, "new", 1),
        "answered": ResponseFrame(key, 0, RecordedResponse(200, 0.0, b"application/json", b"a" * 256)),
    }


def timed(what: Callable[[], Any], least: float = 0.15) -> float:
    """Microseconds of processor time each, the best of three."""
    best = float("inf")
    for _ in range(3):
        times, begun = 0, time.process_time()
        while time.process_time() < begun + least / 3:
            what()
            times += 1
        best = min(best, (time.process_time() - begun) / times)
    return best * 1e6


class Quiet:
    """A door that nothing comes through."""

    def check(self, body: Any) -> str:
        return ""

    def keep(self, kept: Any) -> None: ...

    def kept(self) -> str | None:
        return ""

    def rule(self, policy_: Any) -> None: ...

    def ask(self, member: str) -> None: ...

    def note(self, event: str, **fields: Any) -> None: ...

    def shares(self, shares: Any, back: Any) -> None: ...


def b64(data: bytes | str) -> str:
    return base64.b64encode(data if isinstance(data, bytes) else data.encode()).decode()


def event(key: str, value: bytes, mod: int) -> bytes:
    """A line of a watch with one event, as the gateway writes it."""
    head = {"cluster_id": "14841639068965178418", "member_id": "10276657743932975437", "raft_term": "3"}
    pair = {"key": b64(f"/{FLEET}/{key}"), "value": b64(value), "create_revision": str(mod)}
    pair |= {"mod_revision": str(mod), "version": "1", "lease": "7587862094990423573"}
    told = {"result": {"header": head | {"revision": str(mod)}, "events": [{"kv": pair}]}}
    return json.dumps(told, separators=(",", ":")).encode()


def seen(rng: random.Random) -> ZoneHealth:
    return ZoneHealth(round(rng.uniform(1, 60), 2), round(rng.uniform(1, 60), 2), counted=90, row=0)


SEES = 5  # zones that a member hands off to: a service has five upstreams on the mean


def said(member: int, zones_: int = SEES) -> ZoneReport:
    rng = random.Random(member)
    return ZoneReport(1780000000.123456, {f"zone-{z}": seen(rng) for z in range(zones_)})


class Bench:
    """A member's own code at the arbiter's end, in a fleet of so many; no socket is opened."""

    def __init__(self, count: int) -> None:
        self.count, self.members = count, members(count)
        self.now = 1780000000.0
        loop = Loop(lambda *_: None)
        self.recorded: Any = None
        self.state_watcher = arbiter.StateWatcher(
            loop, ["127.0.0.1:1"], LEASE, BufferPool(0), lambda *_, **__: None, random.Random(1), FLEET,
            tell=self._tell,
        )  # fmt: skip
        me = self.members[0]
        self.member_id = me.id
        body = {"settings": {"categories": []}, "cover": {}}
        held = Policy(41, "d" * 16, body)
        change = PolicyProposal(Policy(42, "e" * 16, body), self.now + 9, self.now, me.id)
        records = self.state_watcher.records = StoreRecords()
        records.members = {m.id: m for m in self.members}
        records.names = {m.name: m.term for m in self.members}
        records.now, records.now_mod = PolicyDecision(held, self.now, 5, held), 6
        records.next, records.next_mod = msgspec.structs.replace(change, number=7), 7
        records.votes = {m.id: "" for m in self.members[: count // 2]}
        records.said = {m.id: said(i) for i, m in enumerate(self.members)}
        self.state_watcher.revision = records.revision = 10_000
        self.policy_replica = PolicyReplica(
            me.id, me.name, LEASE, Quiet(), self.now, policy.StoredPolicy(FLEET)
        )
        self.policy_replica.sure, self.policy_replica.vote = True, (7, "")
        self.policy_replica.renewed(self.now + LEASE, 1)
        zone_health = zones.ZoneHealthTracker(2.0, self.now)
        self.zone_planner = zones.ZonePlanner(me.id, LEASE, {}, {}, Quiet(), zone_health)
        self.revision = 10_000
        loop.close()

    def _tell(self, message: Any) -> None:
        if hasattr(message, "records"):
            self.recorded = message.records
            self.policy_replica.recorded(message.records, False)
            self.zone_planner.recorded(message.records)
            self.policy_replica.due()

    def _heard(self, text: bytes) -> None:
        self.state_watcher._seen(arbiter.read(text, arbiter.WatchLine).result)

    def vote(self) -> None:
        self.revision += 1
        voter = self.members[self.revision % (self.count - 1)].id
        if len(self.state_watcher.records.votes) == self.count:
            del self.state_watcher.records.votes[self.members[-1].id]  # one is always missing
        self._heard(event(f"policy/votes/7/{voter}", b'""', self.revision))

    def evidence(self) -> None:
        self.revision += 1
        number = self.revision % self.count
        value = msgspec.json.encode(self.state_watcher.records.said[self.members[number].id])
        self._heard(event(f"zones/said/{self.members[number].id}", value, self.revision))

    def entry(self) -> None:
        """A member enters: a view is built."""
        self.revision += 1
        member = self.members[self.revision % self.count]
        self._heard(event(f"members/{member.id}", msgspec.json.encode(member), self.revision))

    def weigh(self) -> None:
        """What a member makes of all evidence, eight times a second or so, in calm."""
        self.zone_planner.look_at = -1.0
        self.zone_planner._next()

    def whole(self) -> bytes:
        """What a start reads: members, names, evidence of zones, policy."""
        pairs = [(f"members/{m.id}", msgspec.json.encode(m)) for m in self.members]
        pairs += [(f"names/{m.name}", b"1") for m in self.members]
        records = self.state_watcher.records
        pairs += [(f"zones/said/{m}", msgspec.json.encode(told)) for m, told in records.said.items()]
        pairs += [("policy/now", msgspec.json.encode(records.now))]
        kvs = [json.loads(event(key, value, 1))["result"]["events"][0]["kv"] for key, value in pairs]
        told = {"header": {"revision": "1"}, "kvs": kvs, "count": str(len(kvs))}
        return json.dumps(told, separators=(",", ":")).encode()

    def read_whole(self, data: bytes) -> None:
        ranged = arbiter.read(data, arbiter.RangeReply)
        self.state_watcher.records = StoreRecords()
        for pair in ranged.kvs:
            self.state_watcher._put(pair)


def balancer(count: int) -> Balancer:
    terms = BalancerConfig(
        request_classes=[RequestClass("look", RetrySafety.IDEMPOTENT, 1.0, 1.0, 2.0)],
        zone="here",
        sidecars=5,
        must_watch_endpoints=False,
        endpoint_list_max_age=8.0,
        slow_start_initial_fraction=1.0,
        slow_start_duration=0.0,
        overload_factor=2.0,
        overload_window=2.0,
        max_attempts=3,
        cross_zone_price=0.0,
    )
    made = Balancer(terms, random.Random(1), 0.0)
    made.update_endpoints(WatchEvent.SNAPSHOT, [listing(i) for i in range(count)])
    return made


def listing(i: int, condition: EndpointState = EndpointState.READY) -> Endpoint:
    return Endpoint(f"10.0.{i // 250}.{i % 250}:8080", "here", 0, 1.0, None, condition)


def measure(sizes: Iterable[int] = SIZES, least: float = 0.15) -> Iterator[dict[str, Any]]:
    """Each figure at each size; microseconds of processor time, or bytes."""
    for name, frame in frames().items():
        yield {"figure": f"frame {name}", "size": 0, "bytes": len(links.encode_frame(frame))}
    me = members(1)[0]
    for name, told in (
        ("evidence", {me.name: msgspec.to_builtins(said(0).zones)}),
        ("vote and word", [{me.name: "yes"}, me.name, {me.name: {"version": 41, "age_s": 0.123}}]),
        ("member", [msgspec.structs.asdict(me), me.id]),
    ):
        yield {"figure": f"{name}, as told to operators", "size": 0, "bytes": len(msgspec.json.encode(told))}
    for count in sizes:
        rng = random.Random(count)
        tracemalloc.start()
        bench = Bench(count)
        memory, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        yield {"figure": "memory of view and records", "size": count, "bytes": memory}
        everybody = bench.members
        view = MembershipView(everybody)
        ids = {m.id for m in everybody}

        def home(view: MembershipView = view, rng: random.Random = rng) -> None:
            view.home(rng.randbytes(32))

        cells = 1
        while count > cells * CELL:
            cells *= 2
        cut = MembershipView(everybody, cells)

        def home_in_cell(view: MembershipView = cut, rng: random.Random = rng) -> None:
            view.home(rng.randbytes(32))

        def keepers(view: MembershipView = view, rng: random.Random = rng, ids: set[str] = ids) -> None:
            view.keepers(rng.randbytes(32), everybody[0].id, 1, ids)  # noqa: B023

        made = balancer(count)

        def change(made: Balancer = made, rng: random.Random = rng, count: int = count) -> None:
            condition = rng.choice((EndpointState.READY, EndpointState.DRAINING))
            made.update_endpoints(WatchEvent.DELTA, [listing(rng.randrange(count), condition)])
            made.endpoints.refresh()

        whole = bench.whole()
        for figure, what in (
            ("home", home),
            (f"home, in cells of {CELL} at most", home_in_cell),
            ("keepers", keepers),
            ("view", lambda everybody=everybody: MembershipView(everybody)),
            (f"view, in cells of {CELL} at most", lambda e=everybody, c=cells: MembershipView(e, c)),
            ("list change, decided", change),
            ("vote event", bench.vote),
            ("evidence event", bench.evidence),
            ("member event", bench.entry),
            ("evidence weighed", bench.weigh),
            ("whole range read", lambda bench=bench, whole=whole: bench.read_whole(whole)),
        ):
            yield {"figure": figure, "size": count, "us": round(timed(what, least), 2)}
        records = bench.state_watcher.records
        some = next(iter(records.said.values()))
        yield {"figure": "whole range", "size": count, "bytes": len(whole), "entries": 3 * count + 1}
        one = event(f"zones/said/{bench.member_id}", msgspec.json.encode(some), 123456789)
        yield {"figure": "evidence line", "size": count, "bytes": len(one)}
        one = event(f"zones/said/{bench.member_id}", msgspec.json.encode(said(0, 11)), 123456789)
        yield {"figure": "evidence line, 11 zones", "size": count, "bytes": len(one)}
        one = event(f"policy/votes/123456/{bench.member_id}", b'""', 123456789)
        yield {"figure": "vote line", "size": count, "bytes": len(one)}
        one = event(f"members/{bench.member_id}", msgspec.json.encode(everybody[0]), 123456789)
        yield {"figure": "member line", "size": count, "bytes": len(one)}


class Figures:
    """What was measured, by name; a figure past its last size is extrapolated by the line of its last two."""

    def __init__(self, lines: Iterable[dict[str, Any]]) -> None:
        self.points: dict[str, dict[int, float]] = {}
        self.is_bytes: dict[str, bool] = {}
        for one in lines:
            self.is_bytes[one["figure"]] = "bytes" in one
            value = one.get("us", one.get("bytes"))
            if value is not None:
                self.points.setdefault(one["figure"], {})[one["size"]] = float(value)

    def at(self, name: str, size: float = 0) -> float:
        """NaN: it was not measured."""
        points = self.points.get(name)
        if not points:
            return nan
        if len(points) == 1:
            return next(iter(points.values()))
        if size in points:
            return points[int(size)]
        known = sorted(points.items())
        above = next((i for i, (x, _) in enumerate(known) if x > size), len(known) - 1)
        (x0, y0), (x1, y1) = known[max(0, above - 1)], known[max(1, above)]
        return y0 + (y1 - y0) * (size - x0) / (x1 - x0)

    def kind(self, name: str, size: float) -> str:
        points = self.points.get(name, {})
        if not points:
            return "not measured"
        return "extrapolated" if size > max(points) and len(points) > 1 else "measured"


def read_lines(path: Path) -> list[dict[str, Any]]:
    if not path.exists():
        return []
    return [json.loads(text) for text in path.read_text().splitlines() if text.startswith("{")]


# The rows: what one role costs at a size.


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
    """Words a second that a member says at rest, over all its links."""
    idle = links.IDLE[0] if isinstance(links.IDLE, tuple) else links.IDLE
    return min(peers / idle, float(links.A_SECOND))


def wire(words: float, size: float) -> float:
    """Bytes sent a second, of so many words each way: each is a segment, and acknowledged by another."""
    return words * (size + 2 * HEADERS)


def reached(fleet: float, rate: float, linger: float) -> float:
    """Members among so many that are reached at least once while a link stays, at so many words a second."""
    return fleet * (1 - exp(-rate * linger / fleet))


def rows(size: Size, figures: Figures, cells: int = 1) -> list[Row]:
    """One sidecar's part for what is common, on an ordinary day, by role. `cells`: how many there are."""
    n, at = size.sidecars, figures.at
    per_cell = n / cells
    peers = per_cell - 1
    beat, told = at("frame beat"), at("frame told")
    quick = (links.STAKE + links.SILENCE * links.BEAT) / links.BEAT  # words on a link after one about work
    word_core = at(BURST) / 1e4  # per cent of a core for one a second
    mesh = "cells" if cells > 1 else "a limit of words a second, none of sockets"
    home_kind = figures.kind("home", per_cell)
    rest_none, rest_slope, _ = line((m, sent + HEADERS * segments) for m, sent, segments, *_ in REST)
    named = size.rate * size.named
    said_rate = n / (zones.AGAIN * LEASE)
    vote_rate = n * size.changes / DAY
    texts = 3 * size.policy * 4 / 3 * size.changes / DAY
    weighed = 16 / (zones.WINDOW * size.due)
    linger = size.in_hand + links.REST
    # Those that we call and those that call us, alike: each named call has a home and a keeper.
    outside = 2 * reached(n - peers, 2 * named, linger) if cells > 1 else 0.0
    views = size.views / cells  # that change our own cell
    covered = sum(at(f"frame {name}") for name in ("cover", "intend", "answered")) + 3 * 2 * HEADERS
    covered += 3 * at("frame kept")
    work = "cells" if cells > 1 else "none yet"
    return [
        Row("words to members", "links at rest", "members of a cell - 1", peers, "sockets", 64, "read", mesh),
        Row(
            "words to members", "beats at rest", f"{idle_words(peers):.0f}/s x (beat {beat:.0f} B + 2 x 52)",
            wire(idle_words(peers), beat), "B/s", BYTES, "read", "a limit of words a second",
        ),
        Row(
            "words to members", "`Told` and what it quickens, mean of a day",
            f"{views * DAY:.0f} a day x {peers:.0f} links x (1 + {quick:.0f} words)",
            wire(views * peers, told) + wire(views * peers * quick, beat), "B/s", BYTES, "read",
            work,
        ),
        Row(
            "words to members", "processor time in the 2.3 s after a change of the view",
            f"{peers:.0f} links x 10/s x {word_core * 1e4:.0f} us", peers / links.BEAT * word_core, "% core",
            CORE, "extrapolated" if peers > 18 else "measured", work,
        ),
        Row(
            "work in hand", "links outside the cell while named work is in hand",
            f"2 x {named:.0f} named calls/s x 2 members, each for {linger:.2f} s, beyond the cell",
            outside, "sockets", 64, "paper", "none yet" if cells > 1 else "the mesh has them already",
        ),
        Row(
            "work in hand", "links outside the cell that are opened", "those / how long they stay",
            outside / linger, "a second", nan, "paper", "none yet" if cells > 1 else "",
        ),
        Row(
            "work in hand", "a name's home and keepers",
            f"{named:.0f}/s x ({at('home', per_cell):.0f} + {at('keepers', per_cell):.0f} us)",
            named * (at("home", per_cell) + at("keepers", per_cell)) / 1e4, "% core", CORE, home_kind, work,
        ),
        Row(
            "work in hand", "frames of a named call",
            f"{named:.0f}/s x {covered:.0f} B with headers, 256 B of body and answer", named * covered, "B/s",
            nan, "read", "the price of cover, by the call",
        ),
        Row(
            "membership", "keepalive, watch at rest",
            "what the line through the measured fleet is at no members", rest_none, "B/s", BYTES,
            "extrapolated", "one connection each, every third of a lease",
        ),
        Row(
            "membership", "a change of the view",
            f"{size.views * DAY:.0f} a day x {at('member event', n):.0f} us",
            size.views * at("member event", n) / 1e4, "% core", CORE, figures.kind("member event", n),
            "few a day",
        ),
        Row(
            "membership", "entries that a start reads", f"3 x {n} of {arbiter.MOST} that are believed",
            3.0 * n, "entries", arbiter.MOST, "read", "none yet",
        ),
        Row(
            "membership", "bytes that a start reads", "members, names, evidence of zones",
            at("whole range", n), "B", arbiter.LONGEST, figures.kind("whole range", n), "none yet",
        ),
        Row(
            "policy", "votes that are heard",
            f"{n} x {size.changes:.0f} a day x {at('vote line', n):.0f} B",
            vote_rate * (at("vote line", n) + HEADERS), "B/s", BYTES, "read", "none yet",
        ),
        Row(
            "policy", "votes, processor time", f"{vote_rate:.0f}/s x {at('vote event', n):.0f} us",
            vote_rate * at("vote event", n) / 1e4, "% core", CORE, figures.kind("vote event", n), "none yet",
        ),
        Row(
            "policy", "texts that are heard",
            f"{size.changes:.0f} a day x 3 x {size.policy} B (proposal, decision, the one before), base64",
            texts, "B/s", BYTES, "paper", "48 KiB at most each; none yet for that size",
        ),
        Row(
            "policy", "proposal to switch, unless told", f"{policy.AHEAD:.0f} leases of {LEASE:.0f} s",
            policy.AHEAD * LEASE, "s", size.force, "read", "a shorter lease, or `--switch`",
        ),
        Row(
            "policy", "members that a decision compares", f"of {policy.COMPARED}", float(n), "members",
            policy.COMPARED, "read", "none yet",
        ),
        Row(
            "zones", "evidence that is heard",
            f"{said_rate:.0f}/s x {at('evidence line', n):.0f} B, of {SEES} zones each",
            said_rate * (at("evidence line", n) + HEADERS), "B/s", BYTES, "read", "none yet",
        ),
        Row(
            "zones", "evidence, processor time", f"{said_rate:.0f}/s x {at('evidence event', n):.0f} us",
            said_rate * at("evidence event", n) / 1e4, "% core", CORE, figures.kind("evidence event", n),
            "none yet",
        ),
        Row(
            "zones", "evidence that is weighed", f"{weighed:.0f}/s x {at('evidence weighed', n):.0f} us",
            weighed * at("evidence weighed", n) / 1e4, "% core", CORE, figures.kind("evidence weighed", n),
            "none yet",
        ),
        Row(
            "its list", "changes of the whole fleet's list",
            f"3 x {size.restarts:.0f} a day x 120 B", 3 * size.restarts / DAY * (120 + HEADERS), "B/s", BYTES,
            "paper", "a watch of one list; several lists: none yet",
        ),
        Row(
            "words to peers", "messages heard, where `caps.peers` is on",
            f"at most {MESSAGES_PER_OBJECTIVE:.0f} in the shortest due time, {size.due:.0f} s",
            min(MESSAGES_PER_OBJECTIVE / size.due, 2 * size.rate * (n / size.services - 1)) * (28 + 9),
            "B/s", BYTES, "read",
            "MESSAGES_PER_OBJECTIVE, HTTP unaffected; of one service's replicas only",
        ),
    ]  # fmt: skip


def arbiter_rows(size: Size, figures: Figures) -> list[tuple[str, str, float, str]]:
    """What the arbiter's machines do, all together: what, formula, a second, of what."""
    n, at = size.sidecars, figures.at
    said_rate = n / (zones.AGAIN * LEASE)
    votes = n * size.changes / DAY
    changes = size.changes / DAY
    member = at("member line", n) + HEADERS
    evidence, vote = at("evidence line", n) + HEADERS, at("vote line", n) + HEADERS
    keep = n / (arbiter.RENEW * LEASE)
    text = 3 * size.policy * 4 / 3
    history = said_rate * at("evidence line", n) * 3 / 4 + votes * at("vote line", n) * 3 / 4
    return [
        ("history kept until it is compacted", "values and keys of all writes", history * 3600, "B an hour"),
        ("connections", f"{n} x 4 (lease, watch, strikes, writes)", 4.0 * n, "connections"),
        ("keepalives", f"{n} / (a third of {LEASE:.0f} s)", keep, "calls/s"),
        ("the same", f"x {FRAMING} B about", keep * FRAMING, "B/s"),
        ("writes of evidence", f"{n} / {zones.AGAIN * LEASE:.0f} s", said_rate, "writes/s"),
        ("writes of votes, mean", f"{n} x {size.changes:.0f} a day", votes, "writes/s"),
        ("writes of votes, in the second after a proposal", f"{n}", float(n), "writes/s"),
        ("evidence told", f"{said_rate:.0f}/s x {n} watchers", said_rate * n, "events/s"),
        ("the same", f"x {evidence:.0f} B", said_rate * n * evidence, "B/s"),
        ("votes told, mean", f"{votes:.0f}/s x {n} watchers", votes * n, "events/s"),
        ("votes told, of one change", f"{n} x {n}", float(n) * n, "events"),
        ("the same", f"x {vote:.0f} B", float(n) * n * vote, "B"),
        ("policy texts told, mean", f"{size.changes:.0f} a day x {n} x {text:.0f} B", changes * n * text,
         "B/s"),
        ("changes of members told", f"{size.views * DAY:.0f} a day x {n} x {member:.0f} B",
         size.views * n * member, "B/s"),
        ("strikes after one killed process", f"{n - 1} links reset, each asks", float(n - 1), "writes"),
    ]  # fmt: skip


def discovery_rows(size: Size, entry: float = 76.0) -> list[tuple[str, str, float, str]]:
    """What discovery bears by our calls. `entry`: bytes of one upstream in a whole list, as measured."""
    n, service = size.sidecars, size.sidecars / size.services
    often = max(size.endpoint_list_max_age / 32, size.due / 4)
    spread = min(often * max(1.0, service / 16), max(often, size.endpoint_list_max_age / 2))
    by_all = min(often * max(1.0, n / 16), max(often, size.endpoint_list_max_age / 2))
    return [
        ("watches open", "one each", float(n), "connections"),
        ("empty lines", "one in 2 s each", n / 2, "lines/s"),
        ("changes told, of the whole fleet to all", f"3 x {size.restarts:.0f} a day x {n}",
         3 * size.restarts / DAY * n, "lines/s"),
        ("the same, when a zone goes", f"{size.zone} x {n} x 120 B", size.zone * n * 120.0, "B"),
        ("whole lists after an outage of discovery, whole fleet listed", f"{n} x {n} x {entry:.0f} B",
         n * n * entry, "B"),
        ("the same, only the upstreams of one service listed", f"{n} x {service:.1f} x {entry:.0f} B",
         n * service * entry, "B"),
        ("spread of those calls, by the replicas of the caller's own service", "`_follow_list`", spread, "s"),
        ("the same, if it were by all who ask", "paper", by_all, "s"),
    ]  # fmt: skip


def operator_rows(size: Size, figures: Figures) -> list[tuple[str, str, float, str]]:
    """What operators' commands read."""
    n, at = size.sidecars, figures.at
    each = at("evidence, as told to operators")
    return [
        ("`GET /_zones`", f"{n} x {each:.0f} B", n * each, "B"),
        ("`GET /_policy` with a change open", f"{n} x {at('vote and word, as told to operators'):.0f} B",
         n * at("vote and word, as told to operators"), "B"),
        ("`GET /_fleet`", f"{n} x {at('member, as told to operators'):.0f} B",
         n * at("member, as told to operators"), "B"),
        ("proposals", f"{size.changes:.0f} a day, one in {DAY / size.changes:.0f} s; one open at a time",
         DAY / size.changes, "s between two"),
    ]  # fmt: skip


def losses(size: Size, figures: Figures, cells: int = 1) -> list[tuple[str, str, str, float, str]]:
    """A rack, a zone, a region: event, what, formula, value, unit."""
    n, at = size.sidecars, figures.at
    told = []
    for name, gone in (("rack", size.rack), ("zone", size.zone), ("region", size.region)):
        left = n - gone
        peers = n / cells - 1
        told += [
            (name, "sidecars gone", f"of {n}", float(gone), "sidecars"),
            (name, "changes of the view, if each lease ends by itself", "one each", float(gone), "views"),
            (name, "processor time for them, of each that stays", f"{gone} x {at('member event', n):.0f} us",
             gone * at("member event", n) / 1e6, "s"),
            (name, "links that end at each that stays", f"{gone}/{n} of {peers:.0f}", gone / n * peers,
             "links"),
            (name, "words of `Told`, of each that stays", f"{gone} views x {left / n * peers:.0f} links",
             gone * left / n * peers, "words"),
            (name, "on return: ranges that are read", f"{gone} x {at('whole range', n) / 1e6:.2f} MB",
             gone * at("whole range", n), "B"),
            (name, "on return: events told", f"2 x {gone} x {n}", 2.0 * gone * n, "events"),
            (name, "on return: links dialled", f"{gone} x {peers:.0f}", gone * peers, "links"),
        ]  # fmt: skip
    return told


def holds(size: Size, seconds: float) -> float:
    """How likely it is that the view does not change for so long, on an ordinary day."""
    return exp(-size.views * seconds)


# The tables.


def number(value: float) -> str:
    if value != value:
        return "not measured"
    if abs(value) >= 1e8:
        return f"{value / 1e6:,.0f} million"
    if abs(value) >= 1e6:
        return f"{value / 1e6:,.1f} million"
    if abs(value) >= 100 or value == int(value):
        return f"{value:,.0f}"
    return f"{value:.2f}" if abs(value) < 10 else f"{value:.1f}"


def table(head: list[str], lines: Iterable[Iterable[str]]) -> str:
    told: list[Iterable[str]] = [head, ["---"] * len(head), *lines]
    return "\n".join("| " + " | ".join(one) + " |" for one in told)


def times(row: Row) -> str:
    return f"{row.over:,.0f}" if row.over >= 10 else "" if row.over != row.over else f"{row.over:.2f}"


def side_by_side(size: Size, figures: Figures, cells: int) -> str:
    """One cell, and many."""
    head = ["role", "what", "formula, one cell", "one cell", f"{cells} cells", "budget"]
    head += ["times the budget, one cell", f"{cells} cells", "figure", f"what carries it, {cells} cells"]
    lines = []
    for one, many in zip(rows(size, figures), rows(size, figures, cells), strict=True):
        budget = f"{number(one.budget)} {one.unit}" if one.budget == one.budget else "none told"
        lines.append(
            [one.role, one.what, one.formula, f"{number(one.value)} {one.unit}",
             f"{number(many.value)} {many.unit}", budget, times(one), times(many), one.kind, many.carries]
        )  # fmt: skip
    return table(head, lines)


def missing(told: list[Row]) -> list[Row]:
    """What is over its budget, the most first."""
    return sorted((r for r in told if r.over > 1), key=lambda r: -r.over)


def order(told: list[Row]) -> str:
    return table(
        ["times its budget", "role", "what", "at this size", "figure", "what carries it"],
        ([times(r), r.role, r.what, f"{number(r.value)} {r.unit}", r.kind, r.carries] for r in missing(told)),
    )


def micro(figures: Figures) -> Iterator[str]:
    names = [n for n, points in figures.points.items() if len(points) > 1]
    some = sorted({s for name in names for s in figures.points[name]})
    units = {n: "B" if figures.is_bytes.get(n) else "us" for n in names}
    yield table(
        ["figure", "unit", *map(str, some), "grows by the power of"],
        (
            [name, units[name], *(number(figures.points[name].get(s, nan)) for s in some),
             f"{power(figures.points[name].items()):.2f}"]
            for name in names
        ),
    )  # fmt: skip
    alone = [(n, points[0]) for n, points in figures.points.items() if list(points) == [0]]
    told = (f"{name} {value:.0f} {'B' if figures.is_bytes[name] else 'us'}" for name, value in alone)
    yield "\n" + ", ".join(told) + "."


def burst(lines: list[dict[str, Any]]) -> float:
    """Microseconds of processor time of a word said and one heard, of many: by the scale run's restarts.

    Without such lines: by the line through the fleet at rest, where each wakes its process alone.
    """
    some = sorted(
        1e6 * one["core"] / one["messages_out"]
        for one in lines
        if one.get("phase") == "restart" and one.get("role") == "alone" and one.get("messages_out")
    )
    if some:
        return some[len(some) // 2]
    return 1e4 * line((m, core) for m, _, _, core, _, _ in REST)[1]


SCALED = {
    "wire_out": "sent with headers, B/s",
    "core": "% core",
    "sockets": "sockets",
}
PHASES = ("rest", "work", "restart", "lost", "policy")


def scaled(lines: list[dict[str, Any]], role: str = "alone") -> str:
    """What the scale run measured of a member, by phase and figure; the last size predicted from the others.

    The mean of the seeds of a size. `role`: members with a loop of their own, as processes have. `run` in a
    line: before or after what was built, by the name of its file.
    """
    points: dict[tuple[str, str, str], dict[int, list[float]]] = {}
    for one in lines:
        if one.get("role") == role and one.get("phase") in PHASES:
            for figure in SCALED:
                if figure in one:
                    run = f"{one.get('run', '')}, " if one.get("run") else ""
                    run += f"cells of {one['cell_size']}" if one["cell_size"] else "one cell"
                    kind = (one["phase"], run, SCALED[figure])
                    value = float(one[figure]) * (100 if figure == "core" else 1)
                    points.setdefault(kind, {}).setdefault(one["size"], []).append(value)
    sizes = sorted({size for known in points.values() for size in known})
    told = []
    for (phase, run, figure), known in sorted(points.items(), key=lambda one: PHASES.index(one[0][0])):
        means = {size: sum(values) / len(values) for size, values in sorted(known.items())}
        growth = predicted = ""
        if len(means) > 1 and min(means.values()) > 0:
            growth = f"{power(means.items()):.2f}"
        if len(means) > 2:
            *before, (last, value) = means.items()
            at_none, slope, _ = line(before)
            predicted = f"{number(at_none + slope * last)} ({(at_none + slope * last) / value - 1:+.0%})"
        told.append(
            [phase, run, figure,
             *(number(means[size]) if size in means else "" for size in sizes), growth, predicted]
        )  # fmt: skip
    head = ["phase", "run", "figure", *map(str, sizes), "grows by the power of"]
    return table([*head, "the largest, predicted from the smaller by a line"], told)


def plain(told: list[tuple[str, str, float, str]]) -> str:
    return table(
        ["what", "formula", "at this size"], ([w, f, f"{number(v)} {unit}"] for w, f, v, unit in told)
    )


def report(size: Size, figures: Figures, cells: int, scale: list[dict[str, Any]]) -> Iterator[str]:
    yield f"### A sidecar's part at {size.sidecars} members\n"
    yield side_by_side(size, figures, cells)
    yield "\nOver the budget with one cell, the most first:\n"
    yield order(rows(size, figures))
    yield f"\nWith {cells} cells:\n"
    yield order(rows(size, figures, cells))
    if scale:
        yield "\n### Measured by the scale run, a member, by the number of members\n"
        yield scaled(scale)
    yield "\n### What the code takes, in this process\n"
    yield from micro(figures)
    yield "\n### The arbiter's machines, all together\n"
    yield plain(arbiter_rows(size, figures))
    yield "\n### Discovery\n"
    yield plain(discovery_rows(size))
    yield "\n### Operators\n"
    yield plain(operator_rows(size, figures))
    yield "\n### Losses, and the return\n"
    yield table(
        ["event", "what", "formula, one cell", "one cell", f"{cells} cells"],
        (
            [one[0], one[1], one[2], f"{number(one[3])} {one[4]}", f"{number(many[3])} {many[4]}"]
            for one, many in zip(losses(size, figures), losses(size, figures, cells), strict=True)
        ),
    )
    another = 1 - exp(-size.changes / DAY * size.force)
    yield (
        "\nOn paper, for changes and restarts that come by chance: the view does not change for"
        f" {size.force:.0f} s with {holds(size, size.force):.1%}; a change meets another one open with"
        f" {another:.1%}."
    )


def written(page: str, begin: str, end: str, text: str) -> str:
    """A page with what stands between two marks replaced. Raises `ValueError` where there are none."""
    before, found, rest = page.partition(begin)
    _, closed, after = rest.partition(end)
    if not found or not closed:
        raise ValueError(f"no {begin} and {end} in the page")
    return f"{before}{begin}\n\n{text}\n\n{end}{after}"


def main(given: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m trials capacity", description=__doc__)
    parser.add_argument("--measure", action="store_true", help="time the program's code; lines of JSON")
    parser.add_argument("--sizes", default=",".join(map(str, SIZES)), help="for --measure")
    parser.add_argument("--figures", type=Path, default=MICRO, help="lines of a former --measure")
    parser.add_argument("--sidecars", type=int, default=Size.sidecars)
    parser.add_argument("--cells", type=int, default=64, help="how many, beside one (default: 64)")
    parser.add_argument("--write", type=Path, help="put the tables into a page, between its marks")
    parser.add_argument("--scale", type=Path, default=SCALE, help="a folder of lines of `trials.scale`")
    parser.add_argument("--tree", type=Path, default=TREE, help="lines of `call-tree`, for the page")
    told = parser.parse_args(given)
    sizes = [int(one) for one in told.sizes.split(",") if one.isdigit()]
    if not sizes or min(sizes) < 2 or max(sizes) > 10_000 or told.sidecars < 2 or told.cells < 1:
        print("sizes are whole numbers from 2 to 10000; sidecars from 2, cells from 1", file=sys.stderr)
        return 2
    if told.measure:
        for one in measure(sizes):
            print(json.dumps(one), flush=True)
        return 0
    lines = read_lines(told.figures)
    if not lines:
        print(f"{told.figures}: no figures there; --measure prints them", file=sys.stderr)
        return 2
    scale = [
        one | {"run": "before" if "before" in path.name else "after"}
        for path in sorted(told.scale.glob("*.jsonl"))
        for one in read_lines(path)
    ]
    figures = Figures([*lines, {"figure": BURST, "size": 0, "us": round(burst(scale), 1)}])
    text = "\n".join(report(Size(sidecars=told.sidecars), figures, told.cells, scale))
    if told.write is None:
        print(text)
        return 0
    try:
        page = written(told.write.read_text(), *MARKS["capacity"], text)
        tree = call_tree.table(read_lines(told.tree))
        told.write.write_text(written(page, *MARKS["call-tree"], tree))
    except (OSError, ValueError) as error:
        print(f"{told.write}: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
