"""A zone of a whole fleet fails and returns, in emulated time: `fleet/zones`, no sockets.

Members draw zones, their own first, and set one aside after failures in a row, each alone; with a plan its
shares come on top. What upstreams and clients do is modelled plainly: this plays the fleet's decisions, not
the module's. Beside a plan stand each alone, and one that leaves and returns with full knowledge.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import inf
from typing import Any

import msgspec

from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.records import MEMBERS, StoreRecords, Transaction, ZonePlan
from starlingwheel.fleet.zones.health import ZoneAttemptResult, ZoneHealthTracker
from starlingwheel.fleet.zones.planner import ZonePlanner

from .emulated_policy import Arbiter

ZONES = ("north", "east", "south")
REGIONS = {"north": "up", "east": "up", "south": "down"}
GONE = "south"
LEASE, DUE, SERVICE, STEP = 2.0, 1.0, 0.08, 0.05
NEAR = 0.8  # part of a member's work that goes to its own zone
RATE = 6.0  # work items a second of a member
COPY = 0.3  # seconds after which one that is not exclusive goes elsewhere too
FAILS, LASTS, AFTER = 6.0, 8.0, 26.0
FALLS = 2.0  # times what a cold zone bears in half a second, at which it falls over
COLD = (0.25, 6.0)  # what it bears at first, and for how long it is cold


@dataclass(frozen=True)
class Case:
    """What the zones do meanwhile."""

    hurt: tuple[str, ...] = (GONE,)
    part: float = 1.0  # of what is sent there that fails
    silent: bool = True  # it is lost without a word, else told at once
    seen_by: str = ""  # only members of that zone meet it
    cold: bool = False
    bears: float = 3.0  # times its usual work that each zone bears
    helps: bool = True
    flaps: float = 0.0


CASES = {
    "hang": Case(),
    "errors": Case(silent=False),
    "third": Case(part=0.34, silent=False),
    "two": Case(hurt=("north", "east"), bears=6.0),
    "all": Case(hurt=ZONES, helps=False),
    "release": Case(hurt=ZONES, part=0.5, silent=False, helps=False),
    "cut": Case(seen_by="north", helps=False),
    "near-full": Case(part=0.5, silent=False, bears=1.15),
    "cold": Case(cold=True),
    "flap": Case(flaps=4.0),
}


class Host:
    """One member: what it sees and plans, and a plain sidecar."""

    def __init__(self, world: World, number: int) -> None:
        self.world, self.zone = world, ZONES[number % len(ZONES)]
        self.id = f"n{number}.0"
        self.zone_health = ZoneHealthTracker(DUE, world.now)
        self.zone_planner = world.kind(self.id, LEASE, REGIONS, world.known, self, self.zone_health)
        self.share: dict[str, float] = {}
        self.row: Counter[str] = Counter()
        self.aside: dict[str, tuple[float, float]] = {}  # until when, and the pause
        self.wrote_at, self.stopped_until = -inf, 0.0
        self.told = 0

    def shares(self, shares: Mapping[str, float], back: Iterable[str]) -> None:
        self.share = dict(shares)
        for zone in back:
            self.aside.pop(zone, None)
            self.row[zone] = 0

    def note(self, event: str, **fields: Any) -> None:
        pass

    def draw(self, but: str = "") -> str:
        rng = self.world.rng
        out = {zone for zone, share in self.share.items() if rng.random() >= share} | {but}
        out |= {zone for zone, (until, _) in self.aside.items() if self.world.now < until}
        able = [zone for zone in ZONES if zone not in out]
        if not able:
            return ""
        if self.zone in able and rng.random() < NEAR:
            return self.zone
        return rng.choice(able)

    def ended(self, zone: str, good: bool) -> None:
        if good:
            self.row[zone] = 0
            self.aside.pop(zone, None)
            return
        self.row[zone] += 1
        if self.row[zone] >= 3:
            pause = min(2 * self.aside.get(zone, (0.0, DUE / 4))[1], 2 * DUE)
            self.aside[zone] = (self.world.now + pause * self.world.rng.uniform(0.5, 1.5), pause)


class World:
    def __init__(
        self,
        seed: int,
        members: int,
        case: Case,
        how: str = "plan",
        kind: Callable[..., Any] = ZonePlanner,
        lasts: float = LASTS,
    ) -> None:
        """`how`: plan, alone, or known (leaves and returns with full knowledge)."""
        self.rng, self.case, self.how, self.kind, self.lasts = random.Random(seed), case, how, kind, lasts
        self.now, self.count = 0.0, 0
        usual = members * RATE / len(ZONES)
        self.bears = {zone: case.bears * usual for zone in ZONES}
        self.known = dict(self.bears) if case.bears < 1.5 else {}
        self.usual = usual
        self.queue: list[tuple[float, int, Callable[[], Any]]] = []
        self.arbiter = Arbiter()
        self.hosts = [Host(self, number) for number in range(members)]
        self.arbiter.revision += 1
        for host in self.hosts:
            member = Member(host.id, host.id, "", host.zone)
            self.arbiter.put(MEMBERS + host.id, msgspec.json.encode(member))
        self.records, self.upto = StoreRecords(), 0
        self.arrivals: dict[str, list[float]] = {zone: [] for zone in ZONES}
        self.taken: dict[str, list[float]] = {zone: [] for zone in ZONES}  # not turned away
        self.lost: list[float] = []  # hand-offs lost to a zone that fails, when
        self.served = self.work = self.turned = self.gone_served = self.gone_work = 0
        self.fell = 0
        self.plans: list[tuple[float, ZonePlan]] = []
        self.asked = 0

    def at(self, when: float, what: Callable[[], Any]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (when, self.count, what))

    # The zones.

    def fails(self, zone: str, host: Host) -> bool:
        case = self.case
        if zone not in case.hurt or not FAILS <= self.now < FAILS + self.lasts:
            return False
        if case.flaps and int((self.now - FAILS) / case.flaps) % 2:
            return False
        if case.seen_by and host.zone != case.seen_by:
            return False
        return self.rng.random() < case.part

    def full(self, zone: str) -> bool:
        """Turned away: more than it bears. A cold one falls over instead."""
        arrivals = self.taken[zone]
        back = FAILS + self.lasts
        bears, most = self.bears[zone], 1.0
        if self.case.cold and zone in self.case.hurt and back <= self.now < back + COLD[1]:
            bears *= COLD[0] + (1 - COLD[0]) * (self.now - back) / COLD[1]
            most = FALLS
        lately = sum(at > self.now - 0.5 for at in arrivals[-int(bears * most) - 8 :])
        if most > 1 and lately > most * bears / 2:
            self.fell += 1
        return lately > bears / 2

    # Work.

    def arrive(self, host: Host) -> None:
        self.at(self.now + self.rng.expovariate(RATE), lambda: self.arrive(host))
        self.work += 1
        during = FAILS <= self.now < FAILS + self.lasts
        self.gone_work += during
        exclusive = self.rng.random() < 0.25
        self.send(host, exclusive, 0, "", self.now, during, [False])

    def send(
        self, host: Host, exclusive: bool, tries: int, but: str, begun: float, during: bool, done: list[bool]
    ) -> None:
        zone = host.draw(but)
        if not zone or self.now > begun + 0.9 * DUE or done[0]:
            return
        if self.how == "known" and self.case.helps and zone in self.case.hurt and self.fails(zone, host):
            zone = next((z for z in ZONES if z not in self.case.hurt), zone)
        hand_off = object()
        host.zone_health.now = self.now
        host.zone_health.began(hand_off, zone)
        fails, full = self.fails(zone, host), self.full(zone)
        self.arrivals[zone].append(self.now)
        if fails or not full:
            self.taken[zone].append(self.now)

        def again(but: str) -> None:
            if tries < 2:
                self.send(host, exclusive, tries + 1, but, begun, during, done)

        def end(result: ZoneAttemptResult) -> None:
            host.zone_health.now = self.now
            host.zone_health.ended(hand_off, result)
            answered = result is ZoneAttemptResult.ANSWERED
            if result is not ZoneAttemptResult.REJECTED:
                host.ended(zone, answered)
            if answered and not done[0]:
                done[0] = True
                self.served += 1
                self.gone_served += during
            elif result is ZoneAttemptResult.REJECTED:
                self.turned += 1
                again(zone)
            elif result is ZoneAttemptResult.FAILED and not exclusive and not self.case.silent:
                again(zone)

        if fails:
            self.lost.append(self.now)
            self.at(self.now + (DUE if self.case.silent else 0.005), lambda: end(ZoneAttemptResult.FAILED))
            if self.case.silent and not exclusive:
                self.at(self.now + COPY, lambda: again(zone))
        elif full:
            self.at(self.now + 0.003, lambda: end(ZoneAttemptResult.REJECTED))
        else:
            took = SERVICE * self.rng.lognormvariate(0, 0.4)
            self.at(self.now + took, lambda: end(ZoneAttemptResult.ANSWERED))

    # The plan.

    def step(self) -> None:
        if self.how == "plan":
            self._watch()
            for host in self.hosts:
                self._plan(host)
        self.at(self.now + STEP, self.step)

    def _watch(self) -> None:
        """All see what was written up to the last step."""
        events = self.arbiter.events
        for revision, key, entry in events[self.upto :]:
            self.records.revision = revision
            if entry is None:
                self.records.erase(key)
            else:
                self.records.put(key, entry)
        if self.upto != len(events):
            self.upto = len(events)
            before = self.plans[-1][1] if self.plans else ZonePlan()
            if self.records.plan is not None and self.records.plan.epoch != before.epoch:
                self.plans.append((self.now, self.records.plan))
            snapshot = self.records.copy()
            for host in self.hosts:
                if self.now >= host.stopped_until:
                    host.zone_health.now = self.now
                    host.zone_planner.recorded(snapshot)

    def _plan(self, host: Host) -> None:
        if self.now < host.wrote_at or self.now < host.stopped_until:
            return
        host.zone_health.now = self.now
        due = host.zone_planner.due()
        if isinstance(due, Transaction):
            self.asked += 1
            self.arbiter.write(due)
            host.wrote_at = self.now + STEP
        else:
            host.wrote_at = min(due, self.now + DUE / 8)

    def play(self, after: float = AFTER) -> None:
        for host in self.hosts:
            self.at(self.rng.expovariate(RATE), lambda h=host: self.arrive(h))
        self.at(0.0, self.step)
        until = FAILS + self.lasts + after
        while self.queue and self.queue[0][0] <= until:
            self.now, _, what = heapq.heappop(self.queue)
            what()
        self.now = until

    # Verdicts.

    def counts(self) -> dict[str, Any]:
        back = FAILS + self.lasts
        left = next((at for at, plan in self.plans if plan.zones and at >= FAILS), None)
        whole = next((at for at, plan in self.plans if at > back and not plan.zones), None)
        usual = sum(FAILS - 3 <= at < FAILS for at in self.arrivals[GONE]) / 3
        full = next(
            (t for t in range(int(self.now - back)) if self._rate(GONE, back + t) >= 0.8 * usual), None
        )
        return {
            "served": round(self.served / self.work, 4),
            "served meanwhile": round(self.gone_served / max(1, self.gone_work), 4),
            "lost to the zone": len(self.lost), "left after": left and round(left - FAILS, 2),
            "whole after": whole and round(whole - back, 2), "full share after": full,
            "plans": len(self.plans),
            "fell": self.fell, "turned away": self.turned, "calls": self.asked,
        }  # fmt: skip

    def _rate(self, zone: str, at: float) -> int:
        return sum(at <= one < at + 1 for one in self.arrivals[zone])

    def broken(self) -> list[str]:
        told = []
        states = [(at, {z: one.state for z, one in plan.zones.items()}, plan) for at, plan in self.plans]
        for at, zones, _ in states:
            wrong = [z for z in zones if z not in self.case.hurt]
            if wrong or (zones and not self.case.helps):
                told.append(f"left where it does not help, at {at:.2f}: {zones}")
                break
            if len(zones) == len(ZONES):
                told.append(f"all left at {at:.2f}")
        if self.fell:
            told.append(f"pushed over {self.fell} times")
        spare = (self.case.bears - 1.0) * self.usual * (len(ZONES) - len(self.case.hurt))
        for at, zones, plan in states:
            moved = sum((1 - plan.zones[z].share) * self.usual for z in zones if zones[z] == "left")
            if self.case.part < 0.8 and moved > 2.0 * spare:
                told.append(
                    f"at {at:.2f} {moved:.0f} a second are moved, {spare:.0f} is what the others bear"
                )
                break
        ends = [*[at for at, _, _ in states], self.now][1:]
        for (at, zones, plan), end in zip(states, ends, strict=True):
            for zone, state in zones.items():
                share, begin = plan.zones[zone].share, at + 0.5
                if state != "returning" or end - begin < 0.5:
                    continue
                sent = sum(begin <= one < end for one in self.arrivals[zone])
                most = share * self.usual * (end - begin)
                if sent > 1.5 * most + 4 * most**0.5 + 4:
                    told.append(f"{sent} sent to {zone} at a share of {share:.2f}, {most:.0f} are its part")
        return told


def play(
    seed: int,
    members: int = 30,
    case: str = "hang",
    how: str = "plan",
    kind: Callable[..., Any] = ZonePlanner,
) -> tuple[dict[str, Any], list[str]]:
    """Counts, and what was broken."""
    world = World(seed, members, CASES[case], how, kind)
    world.play()
    return world.counts(), world.broken()
