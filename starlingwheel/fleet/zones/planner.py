"""Leaving a zone or region that fails by one plan of the whole fleet, and returning at a pace.

Each member notes how its own hand-offs to each zone end, over a short window, and says at the arbiter where
they fail while they do well elsewhere. More than half of the weight that reaches a zone from outside and
more than half from inside have to say so: a cut between two zones, or trouble of some members, is no lost
zone; a fault that all zones have alike shows nowhere as theirs. The plan lies at the arbiter: a share for
each zone that is not whole. Anybody in the view may write the next one, by compare-and-swap.

A zone that is left gets a trickle of trials; when they go well its share doubles step by step while the work
there goes well, and falls to nothing when not: each failed return doubles the pause before the next.

`Noting` is what a member sees, `Planning` its part of the plan. Neither does I/O.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from math import inf
from typing import Any, Protocol

import msgspec

from ..records import (
    MEMBERS,
    PLAN,
    SAID,
    StoreRecords,
    Transaction,
    ZoneHealth,
    ZonePlan,
    ZoneReport,
    ZoneState,
    equal,
)

WINDOW = 2.0  # shortest due times: what is older is not looked at
SILENT = 4.0  # times the usual answer after which one that has not come counts as silent
FEW = 4.0  # hand-offs that failed, or answers, below which nothing is said
ROW = 2  # failures, of which a quarter of all, after which a member says that a zone fails; one, if it is all
KEPT = 2.0  # windows without an answer for which it goes on saying so
SIDE = 0.1  # part of a zone's weight below which what one side sees of it is too little to tell
FAILING = 1 / 4  # part of the hand-offs there that fail, where a zone counts as failing
APART = 1 / 2  # of that, what fails elsewhere at most: else leaving moves the trouble
LOST = 0.8  # part of those that see it who see failures only, from which on all of it is left
USUAL = 8.0  # windows by which what was usual counts half
ROOM = 1.5  # times the most that a zone was seen to do well, that it is taken to bear
FADES = 0.99  # part of that which is left after each window
TRIAL = 1 / 20  # share of a zone that is left: trials, which tell whether it is back
FIRST = 1 / 8  # share that a return begins with
GROWS = 2.0  # times it, with each step that goes well
STEP = 1 / 2  # of a lease: a step
FORGET = 1 / 2  # of a lease, after which what trials have met in a zone that is left is forgotten
PAUSE = 1.0  # leases that a zone is left at least, doubled with each return that failed
LONGEST = 64.0  # leases, of such a pause
GOOD = 5.0  # answers of all trials that a return needs
STAYS = 2  # looks in a row in which they have to agree, or so many more than not
SAY = 1 / 4  # of a lease between two words of a member, at least
CROWD = 64  # members from which on they say less often what is no change: guards the arbiter
AGAIN = 4.0  # leases after which what is usual is said again
LATELY = 8.0  # leases for which a share counts as known lately
TURN, TURNS = 1 / 32, 16  # of a lease: for so long each waits for those before it


class OutcomeWindow:
    """Counts of one zone in two halves of a window."""

    __slots__ = ("now", "before", "turned", "row", "row_at", "good_at", "well_since", "failing_until")

    def __init__(self) -> None:
        self.row, self.row_at = 0, inf
        self.good_at = self.well_since = self.failing_until = -inf
        self.now: Counter[str] = Counter()
        self.before: Counter[str] = Counter()
        self.turned = -inf

    def failed(self, now: float) -> None:
        self.row, self.row_at = self.row + 1, min(self.row_at, now)

    def of(self, *what: str) -> float:
        return sum(self.now[one] + self.before[one] for one in what)


class ZoneHealthTracker:
    """What one member sees of its own hand-offs, by zone."""

    def __init__(self, window: float, now: float) -> None:
        """`window`: seconds."""
        self.window, self.now = window, now
        self.half_at, self.looked_at = now + window / 2, now
        self.zones: dict[str, OutcomeWindow] = {}
        self.pending: dict[Any, tuple[str, float]] = {}
        self.silent: set[Any] = set()
        self.usual, self.answers = 0.0, 0.0
        self.weight: dict[str, float] = {}
        self.tried: dict[str, tuple[int, int, int]] = {}  # epoch, and how trials have ended since
        # When the last trials of each have ended, and whether well.
        self.last: dict[str, deque[tuple[float, bool]]] = {}

    def _zone(self, zone: str) -> OutcomeWindow:
        return self.zones.setdefault(zone, OutcomeWindow())

    def began(self, hand_off: Any, zone: str) -> None:
        self.pending[hand_off] = (zone, self.now)
        self._zone(zone).now["begun"] += 1

    def ended(self, hand_off: Any, how: str) -> None:
        """`how`: good, bad, full (turned away, never ran) or none (tells nothing)."""
        known = self.pending.pop(hand_off, None)
        if known is None:
            return
        zone, at = known
        was_silent = hand_off in self.silent
        self.silent.discard(hand_off)
        window = self._zone(zone)
        if how == "good":
            took = self.now - at
            # A mean of what was answered anywhere: one zone's slowness is told by the others.
            self.usual += (took - self.usual) / min(self.answers + 1, 64)
            self.answers += 1
            window.now["late" if was_silent else "good"] += 1
            if window.row >= ROW:
                window.well_since = self.now
            window.row, window.row_at, window.good_at = 0, inf, self.now
        elif how == "full":
            window.now["full"] += 1
            window.turned = self.now
        elif how == "bad" and not was_silent:
            window.now["bad"] += 1
            window.failed(self.now)
        if zone in self.tried and how in ("good", "bad"):
            epoch, well, badly = self.tried[zone]
            self.tried[zone] = epoch, well + (how == "good"), badly + (how == "bad")
            self.last.setdefault(zone, deque(maxlen=int(GOOD))).append((round(self.now, 3), how == "good"))

    def follow(self, plan: ZonePlan) -> None:
        """Trials are counted from each step of the plan on."""
        for zone, told in plan.zones.items():
            if self.tried.get(zone, (0, 0, 0))[0] != told.epoch:
                self.tried[zone] = told.epoch, 0, 0
                self.last.pop(zone, None)
        for zone in [zone for zone in self.tried if zone not in plan.zones]:
            del self.tried[zone]

    def look(self) -> dict[str, ZoneHealth]:
        """What is to be said now; asked for every eighth of a window or sooner."""
        gap, self.looked_at = self.now - self.looked_at, self.now
        if gap > self.window / 4:
            # Guards against taking a pause of our own for the silence of others.
            moved = {one: (zone, min(at + gap, self.now)) for one, (zone, at) in self.pending.items()}
            self.pending = moved
        self._silent()
        while self.now >= self.half_at:
            self._turn()
            self.half_at += self.window / 2
            if self.half_at < self.now - self.window:
                self.half_at = self.now + self.window / 2  # after a pause nothing of before counts
        told: dict[str, ZoneHealth] = {}
        counts = {zone: self._counted(window) for zone, window in self.zones.items()}
        for zone, window in self.zones.items():
            others = [both for name, both in counts.items() if name != zone]
            total = sum(counted for counted, _ in others)
            elsewhere = sum(bad for _, bad in others) / total if total else 1.0
            counted, bad = counts[zone]
            part = bad / counted if counted else 0.0
            # One by one they see little of a zone that is not theirs: more than half of them have to say so.
            fails = (window.row and window.row >= counted) or (bad >= ROW and part >= FAILING)
            # Guards against taking for a zone's own what has begun everywhere, or is over elsewhere already:
            # somebody else was well before its failures in a row began, and has answered since.
            well = [w for n, w in self.zones.items() if n != zone and w.well_since <= window.row_at]
            answered = max((w.good_at for w in well), default=-inf)
            fails = fails and (not window.row or answered > window.row_at)
            if fails and elsewhere <= APART * part:
                window.failing_until = self.now + KEPT * self.window
            elif not window.row and part < FAILING:
                window.failing_until = -inf
            # Guards against one that sends nothing there any more having seen nothing.
            failing = self.now < window.failing_until
            part = max(part, FAILING) if failing else part
            rate = window.of("begun") / self.window
            full = window.turned > self.now - self.window and window.of("full") >= FEW
            weight = round(self.weight.get(zone, 0.0), 2)
            seen = ZoneHealth(
                weight, round(rate, 2), failing, round(part, 2), full, round(counted), round(bad), window.row
            )
            if zone in self.tried:
                seen.epoch, seen.tried_well, seen.tried_badly = self.tried[zone]
                seen.last = list(self.last.get(zone, ()))
            told[zone] = seen
        return told

    def _silent(self) -> None:
        """Guards against waiting for a zone that takes work and answers nothing until its time is out."""
        if self.answers < FEW:
            return
        span = max(SILENT * self.usual, self.window / 16)
        for hand_off, (zone, at) in self.pending.items():
            if at > self.now - span:
                break
            if hand_off not in self.silent:
                self.silent.add(hand_off)
                window = self._zone(zone)
                window.now["silent"] += 1
                window.failed(at + span)

    def _counted(self, window: OutcomeWindow) -> tuple[float, float]:
        """Hand-offs that tell something, and those of them that failed. One late is slow, not lost."""
        bad = window.of("bad") + max(0.0, window.of("silent") - 2 * window.of("late"))
        return bad + window.of("good", "late"), bad

    def _turn(self) -> None:
        for zone, window in self.zones.items():
            rate = window.now["begun"] / (self.window / 2)
            usual = self.weight.get(zone)
            counted, bad = self._counted(window)
            # What fails, or is left, is no measure of what is usual.
            if zone not in self.tried and (not counted or bad / counted < FAILING):
                self.weight[zone] = rate if usual is None else usual + (rate - usual) / (2 * USUAL)
            window.before, window.now = window.now, Counter()


class ZoneHost(Protocol):
    def shares(self, shares: Mapping[str, float], back: Iterable[str]) -> None:
        """The part of its hand-offs that each zone gets, whole unless named; `back`: those that return."""

    def note(self, event: str, **fields: Any) -> None:
        """For the log."""


class ZonePlanner:
    """One member's part of the fleet's plan."""

    def __init__(
        self,
        member_id: str,
        lease: float,
        regions: Mapping[str, str],
        bears: Mapping[str, float],
        host: ZoneHost,
        zone_health: ZoneHealthTracker,
    ) -> None:
        """`regions`: of each zone, by configuration; `bears`: hand-offs a second, where that is known."""
        self.member_id, self.lease, self.regions, self.bears = member_id, lease, dict(regions), dict(bears)
        self.host, self.zone_health = host, zone_health
        self.records = StoreRecords()
        self.plan = ZonePlan()
        self.plan_mod = 0
        self.said: dict[str, ZoneReport] = {}
        self.mine: dict[str, ZoneHealth] = {}
        self.mine_at = -inf
        self.most_at = -inf
        self.most: dict[str, float] = {}  # hand-offs a second of the fleet that each was seen to do well
        self.since: dict[int, float] = {}  # by epoch: when its plan became due
        self.recent: list[tuple[float, dict[str, float]]] = []  # shares that held lately, until when
        self.cut_off = False
        self.agreed: dict[str, int] = {}  # zones that fail by what all say: so many looks more than not
        self.forget_at, self.nowhere_until, self.look_at = inf, -inf, -inf

    # What the host tells.

    @property
    def now(self) -> float:
        """As the host has told it."""
        return self.zone_health.now

    def recorded(self, records: StoreRecords) -> None:
        self.records = records
        if records.plan_mod != self.plan_mod:
            self.plan_mod = records.plan_mod
            self._follow(records.plan or ZonePlan())

    def _follow(self, plan: ZonePlan) -> None:
        before, self.plan = self.plan, plan
        self.zone_health.follow(plan)
        self.recent.append((self.now, {name: zone.share for name, zone in before.zones.items()}))
        back = [
            name
            for name, zone in before.zones.items()
            if zone.state == "left" and (name not in plan.zones or plan.zones[name].state == "returning")
        ]
        self._share(back)
        self.forget_at = self.now + FORGET * self.lease
        for name in sorted(plan.zones.keys() | before.zones.keys()):
            zone, was = plan.zones.get(name), before.zones.get(name)
            if zone != was:
                state, share = (zone.state, zone.share) if zone else ("whole", 1.0)
                why = zone.why if zone else ""
                self.host.note("zone.plan", zone=name, state=state, share=round(share, 3), reason=why)

    def hears(self, well: bool) -> None:
        """Whether our lease holds: past it, another plan may be in force that we don't hear of."""
        if well == self.cut_off:
            self.cut_off = not well
            self._share([])

    def _share(self, back: Iterable[str]) -> None:
        """Guards against sending more to a zone than others do, by a plan that is old: the lowest lately."""
        shares = {name: zone.share for name, zone in self.plan.zones.items()}
        self.recent = [(at, was) for at, was in self.recent if at > self.now - LATELY * self.lease]
        if self.cut_off:
            for _, was in self.recent:
                shares = {name: min(shares.get(name, 1.0), was.get(name, 1.0)) for name in shares | was}
        self.host.shares(shares, back)

    # Evidence.

    def _sides(self, zone: str) -> list[tuple[list[str], list[str]]]:
        """Of outside and of inside: all members that have weight there, and those that say it fails."""
        sides = []
        for inside in (False, True):
            members = [m for m in self.records.members.values() if (m.zone == zone) == inside]
            reach = [m.id for m in members if self._weight(m.id, zone) > 0 and self._tells(m.id, zone)]
            sides.append((reach, [m for m in reach if self.said[m].zones[zone].failing]))
        return sides

    def _tells(self, member: str, zone: str) -> bool:
        """Whether it has seen anything of that zone lately."""
        seen = self.said[member].zones[zone]
        # Twice as long as between two words: guards against a side that is not heard for a moment.
        return seen.failing or (seen.counted > 0 and self.said[member].at > self.now - 2 * AGAIN * self.lease)

    def _seen(self, zone: str) -> list[ZoneHealth]:
        """What all have said of it."""
        return [said.zones[zone] for said in self.said.values() if zone in said.zones]

    def _weight(self, member: str, zone: str) -> float:
        seen = self.said[member].zones.get(zone) if member in self.said else None
        return seen.weight if seen is not None else 0.0

    def _agreed(self, zone: str) -> bool:
        """More than half of the weight that reaches it, on each side that there is, says that it fails."""
        sides = self._sides(zone)
        weights = [
            tuple(sum(self._weight(m, zone) for m in some) for some in (reach, failing))
            for reach, failing in sides
        ]
        whole = sum(reach for reach, _ in weights)
        bad = sum(seen.bad_counted for seen in self._seen(zone))
        if bad < FEW:
            return False
        told = [
            2 * failing > reach or self._pooled(zone, inside)
            for inside, (reach, failing) in enumerate(weights)
            if reach > SIDE * whole
        ]
        return bool(told) and all(told)

    def _pooled(self, zone: str, inside: int) -> bool:
        """What one side has seen lately, where each sees too little: so it is in most of its zones."""
        seen: dict[str, list[int]] = {}
        for member, said in self.said.items():
            home = self.records.members[member].zone
            if (
                (home == zone) == bool(inside)
                and zone in said.zones
                and said.at > self.now - self.zone_health.window
            ):
                counts = seen.setdefault(home, [0, 0])
                counts[0] += said.zones[zone].counted
                counts[1] += said.zones[zone].bad_counted
        told = [bad >= FAILING * counted for counted, bad in seen.values() if counted >= 2 * FEW]
        return 2 * sum(told) > max(1, len(seen))

    def _fleet(self) -> dict[str, tuple[float, float]]:
        """Of each zone: hand-offs a second of all, and the part that fails."""
        told: dict[str, list[tuple[float, float]]] = {}
        for said in self.said.values():
            for zone, seen in said.zones.items():
                told.setdefault(zone, []).append((seen.rate, seen.bad))
        return {
            zone: (sum(r for r, _ in all_), sum(r * b for r, b in all_) / max(1e-9, sum(r for r, _ in all_)))
            for zone, all_ in told.items()
        }

    def _room(self, but: Iterable[str], known: dict[str, tuple[float, float]]) -> float:
        """Hand-offs a second that the zones which stay could take beside what they have."""
        left, room = set(but), 0.0
        for zone, (rate, bad) in known.items():
            if zone in left or zone in self.plan.zones or bad >= FAILING:
                continue
            bears = self.bears.get(zone) or self.plan.bears.get(zone) or ROOM * self.most.get(zone, rate)
            room += max(0.0, bears - rate)
        return room

    # What is to be written at the arbiter.

    def due(self) -> Transaction | float:
        """What to write now, or when to ask again."""
        if self.member_id not in self.records.members:
            return inf
        left = [n for n, z in self.plan.zones.items() if z.state == "left" and z.share <= TRIAL]
        if left and self.now >= self.forget_at:
            # Guards against trials that nobody makes: what was learned of what failed stands in their way,
            # and the share of a zone that is left bounds them already.
            self.forget_at = self.now + FORGET * self.lease
            self._share(left)
        word = self._word()
        if word is not None:
            return word
        return self._next()

    def _word(self) -> Transaction | None:
        """What we see, where it differs from what we have said."""
        seen = self.zone_health.look()
        if self.now < self.mine_at + SAY * self.lease or not seen:
            return None
        old = self.now > self.mine_at + AGAIN * self.lease
        changed = {z: (s.failing, s.full) for z, s in seen.items()} != {
            z: (s.failing, s.full) for z, s in self.mine.items()
        }
        tried = any(
            s.epoch and (s.epoch, s.tried_well, s.tried_badly) != self._tried(z) for z, s in seen.items()
        )
        # Guards against being weighed by what was usual before there was work.
        grown = any(s.weight > 2 * self._said_weight(zone) + 0.1 for zone, s in seen.items())
        more = tried or grown or any(s.failing or s.bad_counted for s in seen.values())
        wait = SAY * self.lease * max(1.0, len(self.records.members) / CROWD)
        if not (old or changed or (more and self.now >= self.mine_at + wait)):
            return None
        self.mine, self.mine_at = seen, self.now
        key = SAID + self.member_id
        there = [equal(MEMBERS + self.member_id, "CREATE", self.records.members[self.member_id].term)]
        return Transaction(
            "zones.said", there, [(key, msgspec.json.encode(ZoneReport(self.now, seen)))], leased=True
        )

    def _said_weight(self, zone: str) -> float:
        return self.mine[zone].weight if zone in self.mine else 0.0

    def _tried(self, zone: str) -> tuple[int, int, int]:
        mine = self.mine.get(zone)
        return (mine.epoch, mine.tried_well, mine.tried_badly) if mine else (0, 0, 0)

    def _next(self) -> Transaction | float:
        """The next plan, if what is known calls for one."""
        # Guards against weighing what all have said anew with each word of a large fleet.
        if self.now < self.look_at:
            return self.look_at
        self.look_at = self.now + self.zone_health.window / 16
        members = self.records.members
        self.said = {member: said for member, said in self.records.said.items() if member in members}
        if self.now >= self.most_at:
            self.most_at = self.now + self.zone_health.window
            for name, (rate, bad) in self._fleet().items():
                if bad < FAILING * APART:
                    self.most[name] = max(self.most.get(name, 0.0) * FADES, rate)
        if not self.plan.zones and not any(z.failing for s in self.said.values() for z in s.zones.values()):
            return self.now + self.zone_health.window / 8
        known = self._fleet()
        zones, bears = dict(self.plan.zones), dict(self.plan.bears)
        again = inf
        epoch = self.plan.epoch + 1
        for name, zone in self.plan.zones.items():
            if zone.by_operator:
                continue
            if zone.state == "left":
                if zone.share > TRIAL and self._lost(name) and self._agreed(name):
                    zones[name] = self._left(name, zone.failed, TRIAL, epoch, "all of it fails")
                elif self.now < zone.next:
                    again = min(again, zone.next)
                elif self._tried_well(name, zone):
                    zones[name] = self._returning(zone, max(FIRST, zone.share), epoch, "trials went well")
            elif zone.state == "returning":
                if self._goes_badly(name, zone):
                    part = self._part(name, [name], known)
                    zones[name] = self._left(name, zone.failed + 1, 1 - part, epoch, "its return failed")
                elif self.now < zone.next:
                    again = min(again, zone.next)
                elif zone.share * GROWS >= 1:
                    del zones[name]
                elif self._goes_well(name, zone):
                    zones[name] = self._returning(zone, zone.share * GROWS, epoch, "its work goes well")
        zones |= self._leaving(zones, epoch, known)
        for name, (rate, _) in known.items():
            full = sum(seen.full for seen in self._seen(name))
            if 2 * full > len(self.said) and name not in bears and zones:
                bears[name] = rate
        if zones == self.plan.zones and bears == self.plan.bears:
            return min(again, self.now + self.zone_health.window / 8)
        return self._in_turn(ZonePlan(epoch, zones, bears))

    def _returning(self, zone: ZoneState, share: float, epoch: int, why: str) -> ZoneState:
        until = self.now + STEP * self.lease
        return ZoneState(share, "returning", epoch, self.now, until, why, zone.failed, zone.region)

    def _left(self, name: str, failed: int, share: float, epoch: int, why: str) -> ZoneState:
        pause = min(PAUSE * 2**failed, LONGEST) * self.lease
        region = self.regions.get(name, "")
        return ZoneState(max(share, TRIAL), "left", epoch, self.now, self.now + pause, why, failed, region)

    def _leaving(
        self, zones: dict[str, ZoneState], epoch: int, known: dict[str, tuple[float, float]]
    ) -> dict[str, ZoneState]:
        """Zones that are to be left now: with their region where most of that fails."""
        agreed = {name for name in known if name not in zones and self._agreed(name)}
        # Guards against leaving for a moment in which much stood still.
        score = {name: self.agreed.get(name, 0) + (1 if name in agreed else -1) for name in known}
        self.agreed = {name: min(times, STAYS) for name, times in score.items() if times > 0}
        failing = [name for name in agreed if self.agreed[name] >= STAYS]
        if not failing:
            return {}
        for region in {self.regions[name] for name in failing if name in self.regions}:
            inside = [name for name in known if self.regions.get(name) == region]
            gone = [name for name in inside if name in failing or name in zones]
            quiet = [n for n in inside if n not in gone and known[n][1] >= FAILING]
            if 2 * len(gone) > len(inside) and len(gone) + len(quiet) == len(inside):
                failing += quiet
        stay = [n for n in known if n not in failing and n not in zones and known[n][1] < FAILING]
        # Guards against moving the trouble: where work would go it has to do much better, as all see it.
        best = min((known[name][1] for name in stay), default=inf)
        failing = [name for name in failing if best <= APART * known[name][1]]
        if not stay or not failing:
            # Guards against leaving the one that is slowest to be well again once a fault of all is over.
            self.nowhere_until = self.now + 2 * KEPT * self.zone_health.window
        if self.now < self.nowhere_until:
            return {}
        parts = {name: self._part(name, failing, known) for name in failing}
        return {
            name: self._left(name, 0, 1 - part, epoch, f"{known[name][1]:.0%} fails")
            for name, part in parts.items()
            if part > 0
        }

    def _part(self, name: str, failing: list[str], known: dict[str, tuple[float, float]]) -> float:
        """How much of it is left: what the others can take; all, where it does nothing anyway."""
        if self._lost(name):
            return 1.0
        needed = sum(self._usual(one) for one in failing)
        return min(1.0, self._room(failing, known) / needed) if needed else 0.0

    def _lost(self, zone: str) -> bool:
        """Nearly all that see anything of it see nothing but failures."""
        weights = [
            (self._weight(member, zone), said.zones[zone].row >= ROW)
            for member, said in self.said.items()
            if zone in said.zones and self._tells(member, zone)
        ]
        counts = self._seen(zone)
        # Guards against rows of failures that come up by chance where each has set it aside.
        most = sum(s.bad_counted for s in counts) >= LOST * sum(s.counted for s in counts)
        return most and sum(w for w, lost in weights if lost) >= LOST * sum(w for w, _ in weights) > 0

    def _usual(self, zone: str) -> float:
        return sum(self._weight(member, zone) for member in self.said)

    def _trials(self, name: str, zone: ZoneState) -> tuple[int, int]:
        seen = [s for s in self._seen(name) if s.epoch == zone.epoch]
        return sum(s.tried_well for s in seen), sum(s.tried_badly for s in seen)

    def _tried_well(self, name: str, zone: ZoneState) -> bool:
        """Of the last trials of all. Guards against what failed before it was back counting against it."""
        last = sorted(one for seen in self._seen(name) if seen.epoch == zone.epoch for one in seen.last)[
            -int(GOOD) :
        ]
        region = [z for z in self.plan.zones.values() if zone.region and z.region == zone.region]
        same = all(z.state != "left" or self.now >= z.next for z in region)
        return same and len(last) == GOOD and all(well for _, well in last)

    def _goes_well(self, name: str, zone: ZoneState) -> bool:
        well, badly = self._trials(name, zone)
        return well >= GOOD and badly <= FAILING * APART * (well + badly)

    def _goes_badly(self, name: str, zone: ZoneState) -> bool:
        well, badly = self._trials(name, zone)
        return badly >= FEW and badly >= FAILING * (well + badly)

    def _in_turn(self, plan: ZonePlan) -> Transaction | float:
        """Anybody may write it: one after another, so that they don't all do it at once."""
        ranks = sorted(self.records.members)
        turn = (ranks.index(self.member_id) + plan.epoch) % len(ranks)
        since = self.since.setdefault(plan.epoch, self.now)
        if len(self.since) > 8:
            del self.since[next(iter(self.since))]
        at = since + min(turn, TURNS) * TURN * self.lease
        if self.now < at:
            return at
        return self.written(plan)

    def written(self, plan: ZonePlan) -> Transaction:
        return Transaction(
            "zones.plan", [equal(PLAN, "MOD", self.plan_mod)], [(PLAN, msgspec.json.encode(plan))]
        )

    # Operators.

    def say(self, name: str, what: str, why: str) -> Transaction | None:
        """`what`: leave, return or hold. None: there is nothing to change."""
        zones, epoch = dict(self.plan.zones), self.plan.epoch + 1
        zone = zones.get(name)
        if what == "leave":
            left = self._left(name, 0, TRIAL, epoch, why)
            zones[name] = msgspec.structs.replace(left, share=0.0, by_operator=True)
        elif what == "hold":
            held = zone or ZoneState(1.0, "held", epoch, self.now, inf, why)
            zones[name] = msgspec.structs.replace(
                held, state="held", epoch=epoch, why=why, by_operator=True, next=self.now
            )
        elif zone is None:
            return None
        else:
            zones[name] = msgspec.structs.replace(
                self._returning(zone, FIRST, epoch, why), failed=0, by_operator=False
            )
        return self.written(ZonePlan(epoch, zones, self.plan.bears))
