"""All decisions of one sidecar: which upstream a work item goes to, when again, and when it is given up.

A host makes one `Balancer` and calls `listed`, `settle`, `probed` and `heard` with what it learns; a `Runner`
steps the generators that `work` and `chores` return. The interface stands in terms.py.

The design: `work` hands off to a server drawn by `_draw` (weight one over one plus load) and, where a repeat
does no harm, hands a copy to the next one once `_delay` has passed; the first to finish wins.

Beside it: 1 set-aside (failures in a row, doubling trickle, open connections go on), 2 cold budget, 3 fit (no
piling up; least worth deferred first), 4 near, open, known, few first (priced), 5 observed pace, 6 word from
elsewhere (load, silence, pace told by peers, by the list, or asked for, by price; warnings of errors).

What one event costs depends neither on the size of the fleet nor on the number of sidecars.
"""

from __future__ import annotations

import random
import zlib
from collections.abc import Sequence
from math import ceil, inf, log

from .estimators import Histogram, InFlightEstimator, LinearEstimator
from .lease import EndpointLease
from .terms import (
    CLIENT_DISCONNECTED,
    Attempt,
    AttemptEnded,
    AttemptOutcome,
    BalancerConfig,
    CancelAttempt,
    DecisionCoroutine,
    DeduplicationScope,
    Endpoint,
    EndpointState,
    FailRequest,
    HealthCheckEnded,
    RejectRequest,
    Request,
    RequestClass,
    ResponseStarted,
    RetrySafety,
    SendGossip,
    StartAttempt,
    StartHealthCheck,
    Wait,
    WatchEndpoints,
    WatchEvent,
)

HIGH = 0.98  # the percentile of healthy answers after which a copy goes out
ENOUGH = 32  # answers up to which those of a category are kept, however old
FEW = 6  # the same for the pace of one upstream
LEARNED = 50  # answers before the percentile is believed
UNLEARNED = 4.0  # of the due time: the delay until then
GIVE_UP = 0.98  # share of the due time after which an answer is not waited for
FIT = 0.42  # share of the due time that the expected answer may take, for the best payoff
LINE = 2.5  # work items at an upstream of mean size, for each that it does at a time, past which more wait
DAMPED = 0.1  # part of what the list tells of one upstream's load, against all, that is believed
LATE = 2.0  # times those two, where only the list tells of lines
LESS = 0.25  # power of the payoff by which the others get less of it
BY_CHANCE = 0.01  # a row of failures rarer than this, at the fleet's rate, sets an upstream aside
FAILING = 0.2  # errors a second that an upstream tells of, of its work items a second, that set it aside
TRUSTED = 4  # hand-offs at a time at which the trickle ends
SILENT = 3.0  # times the expected answer after which a silent upstream counts as failing
CAREFUL = 0.6  # share of the cold budget that is used
TURN = 2.0  # times the time in which a cold one falls for which a turn to send there stands open
SKIPPED = 2.0  # times the usual time from turn to turn, after a turn that was not used
STALE = 4.0  # shortest due times by which what was seen counts half
LOOKS = 12  # upstreams that a draw looks at, in the own zone and beyond it
SUBSET = 2  # upstreams of a side that are drawn from, where an open connection has a price and carries many
WIDE = 3  # times as many, from which they are taken while some are not ready
SPARED = 0.6  # part of the work that is left where the key is known, until it is learned
GAIN = 0.1  # share of a mean payoff that knowing the load of one that does one at a time may save
LONGEST = 256  # bytes that a message holds, and that its price is for
SEEN = 4.0  # answers elsewhere that weigh as much as the doubt about an upstream's times
AHEAD = 0.5  # what a work item ahead adds to an answer, as a part of that: it is half done by the mean
COUNT = 3  # bytes that a peer's count takes
KEPT = 0.75  # part of the time that idle connections are kept for which they are counted on
MESSAGE = 16  # bytes that a short message costs, as far as prices go
WARNING = 255  # told in place of a count: the upstream has failed a hand-off
LOST = 254  # told beside a count: the upstream has left a hand-off unanswered
UNSAID = 253  # told beside a count: a hand-off has ended there by itself, which tells nothing of it
TRIALS = 1 / 8  # part of the hand-offs that may fail at upstreams that were set aside
HEARD = 512.0  # messages heard from all peers in the shortest due time, at most
AT_ONCE = 4.0  # messages told without a pause


class EndpointStats:
    def __init__(self, listing: Endpoint, now: float, users: float) -> None:
        self.address = listing.address
        self.tag = zlib.crc32(listing.address.encode()) & 0xFFFF
        self.started: float | None = None
        self.pending: dict[Attempt, None] = {}
        self.report: tuple[float, float] | None = None
        self.service = 0.0
        self.answered = now
        self.passed = -inf
        self.size, self.place, self.users = 0.0, 0, users
        self.forget(now)
        self.update(listing, now)

    def forget(self, now: float) -> None:
        self.pace: Histogram | None = None
        self.flow = InFlightEstimator(now)
        self.sends: list[float] = []
        self.turn: float = now
        self.phase = self.cycle = 0.0  # while it is cold: since when our turn is, and until the next after it
        self.failures, self.pause, self.aside_until, self.trickle = 0, 0.0, -inf, inf
        self.unreached, self.hushed, self.warned_at = False, False, -inf
        self.spare: list[float] = []

    def update(self, listing: Endpoint, now: float, moving: bool = False) -> None:
        self.listing = listing
        # A size that moves is the true one over one plus what is held: the most ever listed is nearest to it.
        self.size = max(self.size, listing.size) if moving else listing.size
        self.held = self.size / max(listing.size, 1e-9) - 1
        if listing.started != self.started:
            # Guards against trusting what was learned of the process before the restart.
            self.started = listing.started
            self.forget(now)


class Balancer:
    def __init__(
        self, terms: BalancerConfig, chance: random.Random, now: float, lease: EndpointLease | None = None
    ) -> None:
        """`lease`: how long the list may be acted on; without one its host answers for that."""
        self.chance, self.now = chance, now
        self.lease = lease or EndpointLease(terms.drain_grace, pushed=not terms.must_watch_endpoints)
        self.upstreams: dict[str, EndpointStats] = {}
        self.near, self.far = list[EndpointStats](), list[EndpointStats]()
        self.cells = dict[int, float]()
        self.latency = Histogram(0.25, 1.4, 16, 2000)
        self.beyond = dict[str, Histogram]()
        self.met, self.unmet = Histogram(0.1, 1.4, 14, 400, now), Histogram(0.1, 1.4, 14, 400, now)
        self.typical: dict[str, Histogram] = {}
        self.mean_size = 1.0
        self.reported, self.reports, self.reported_at = 0.0, 0.0, now
        self.held, self.busy, self.at_once, self.ahead = 0.0, 0.0, 1.0, LinearEstimator()
        self.told: dict[tuple[int, int], tuple[float, int]] = {}
        self.counted, self.heard_at = dict[int, int](), -inf
        self.flow, self.elsewhere = InFlightEstimator(now), 0.0
        self.untold, self.unwarned = dict[EndpointStats, None](), dict[EndpointStats, None]()
        self.shares: dict[str, float] = {}  # part of the draws that a zone is in, where that is not all
        self.lost, self.trials = dict[EndpointStats, int](), 1.0
        self.tagged, self.suspects = dict[int, EndpointStats](), dict[EndpointStats, None]()
        self.may_tell, self.told_at = AT_ONCE, now
        self.lately, self.noted_at = 0.0, now
        self.out, self.bad, self.outcomes = 0, 0.0, 1.0
        self.retune(terms)

    def retune(self, terms: BalancerConfig) -> None:
        """All that follows from the terms; what was learned stays, by the names of the categories."""
        self.terms, self.stale_plan = terms, True
        self.lease.set_grace(terms.drain_grace)
        due = [c.latency_objective for c in terms.request_classes]
        self.shortest, self.longest = min(due), max(due)
        self.renewal = 2 * STALE * self.shortest
        self.best_payoff = max(c.priority_weight for c in terms.request_classes)
        self.mean_payoff = sum(c.priority_weight for c in terms.request_classes) / len(terms.request_classes)
        names, self.patience = {c.name for c in terms.request_classes}, dict[str, float]()
        self.typical = {name: times for name, times in self.typical.items() if name in names}
        self.subset = SUBSET if terms.open_connection_price and terms.streams_per_connection > 1 else 0
        self.width, self.salt = WIDE * self.subset, terms.sidecar_index * 2654435761 & 0xFFFFFFFF
        # Where only the list tells of lines, all see them late and alike: they are longer, and vary more.
        self.fit, self.line = (x * (LATE if terms.weights_are_live else 1) for x in (FIT, LINE))
        self.tells, self.asks = self._cheapest()
        self.trial = TRIALS / max(1.0, terms.sidecars / 16) if self.tells else TRIALS  # all see how one ends

    # The ordinary path.

    def work(self, request: Request) -> DecisionCoroutine:
        due = (
            request.request_class.latency_objective + request.request_class.objective_per_cost * request.cost
        )
        stake = (request.request_class.priority_weight / self.best_payoff) ** LESS
        name = request.request_class.name
        first = self.patience[name] = max(
            self.patience.get(name, 0.0), request.time_left * (not request.is_retry)
        )
        if request.is_retry and request.time_left < first * GIVE_UP:
            # Guards against work for a client whose earlier tries have used up the due time.
            due -= request.request_class.timeout - request.time_left
        if due <= 0:
            due, stake = request.time_left, stake * request.request_class.late_priority_weight
        handed: list[Attempt] = [*request.earlier_attempts]
        request.preferred_cell = self._home(request.key)
        copies, delays = 0, 1
        questions = self._questions(request.request_class)
        wanted: bool | None = not handed or self._may_send(request, handed) or None
        while wanted is not None:
            # Guards against late answers, worth a part, taking the room of those that can still come in time.
            until = request.arrived_at + min(due * GIVE_UP, request.time_left)
            if wanted:
                if questions and not handed:
                    upstream = yield from self._ask(request, due, stake, questions, until)
                    if upstream is CLIENT_DISCONNECTED:
                        return
                else:
                    upstream = self._draw(request, handed, due, stake)
                wanted = False
                if upstream is not None and self.now < until and self.lease.allows(self.now):
                    attempt = yield StartAttempt(upstream, until - self.now, self._load(upstream))
                    if request.arrived_at < inf:
                        self.begun(attempt)
                    self.trials = min(1.0, self.trials + self.trial) - (upstream.trickle < inf)
                    if self._warmth(upstream) < 1:
                        upstream.sends.append(self.now)
                        upstream.phase -= upstream.cycle
                    if upstream.spare and self.terms.streams_per_connection == 1:
                        upstream.spare.pop()
                    handed.append(attempt)
                    yield from self._tell()
                elif not any(h.pending for h in handed):
                    break
            may_copy = copies < 1 and self._repeatable(request, handed)
            copy_at = handed[-1].started_at + delays * self._delay(request) if may_copy else inf
            event = yield Wait(min(copy_at, until))
            if event is CLIENT_DISCONNECTED:
                yield from self._drop(handed)
                return
            if isinstance(event, ResponseStarted):
                yield from self._drop([h for h in handed if h is not event.attempt])
                while event.attempt.pending:
                    yield Wait(None)
                return
            if event is None or isinstance(event, HealthCheckEnded):
                if self.now >= until:
                    break
                if self.now >= copy_at:
                    # Guards against copies of what is merely heavy: later ones passed it at its server.
                    wanted = handed[-1].endpoint.passed < handed[-1].started_at and not self._crowded()
                    # Guards against a copy after repeats are forgotten: the wait for it may have been long.
                    wanted = wanted and self._may_send(request, handed)
                    copies, delays = copies + wanted, delays + 1
                continue
            yield from self._tell()
            if event.request_answered:
                yield from self._drop(handed)
                return
            if not any(h.pending for h in handed):
                wanted = self.now < until and self._may_send(request, handed)
                if not wanted:
                    break
        yield from self._drop(handed)
        if self._may_defer(request, handed):
            # Guards against clients deferred together coming back together.
            relief = request.request_class.latency_objective / 4 * (0.5 + self.chance.random())
            yield RejectRequest(min(self.terms.max_retry_after, relief))
        else:
            yield FailRequest()

    def begun(self, attempt: Attempt) -> None:
        """All of it has come. Guards against taking upstreams for busy with what is on its way there."""
        attempt.endpoint.pending[attempt] = None
        if self.tells:
            self.untold[attempt.endpoint] = None
        self.out += 1

    def _drop(self, handed: list[Attempt]) -> DecisionCoroutine:
        for attempt in handed:
            if attempt.pending and self.terms.cancel_allowed:
                yield CancelAttempt(attempt)

    def _delay(self, request: Request) -> float:
        learned = self.latency.percentile(HIGH) * self._typical(request.request_class)
        return (
            learned if self.latency.total >= LEARNED else UNLEARNED * request.request_class.latency_objective
        )

    def _crowded(self) -> bool:
        """No copies while all are slow or full: there is no spare room to absorb them."""
        ready = self._ready()
        elsewhere = self.elsewhere if self._peers_heard() else self._mean_elsewhere() * ready
        return elsewhere + self.out > self.line * 2 / 3 * ready

    # Rule 2.

    def _may_send(self, request: Request, handed: list[Attempt]) -> bool:
        if len(handed) >= request.max_attempts:
            return False
        risky = next((h for h in handed if h.may_have_run), None)
        if risky is None or request.request_class.retry_safety is RetrySafety.IDEMPOTENT:
            return True
        return (
            request.request_class.retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY
            and self.now < risky.started_at + request.request_class.deduplication_window * GIVE_UP
        )

    def _repeatable(self, request: Request, handed: list[Attempt]) -> bool:
        may = (
            self.terms.hedging_allowed
            and request.request_class.retry_safety is not RetrySafety.NON_IDEMPOTENT
        )
        return may and bool(handed) and handed[-1].pending and self._may_send(request, handed)

    def _may_defer(self, request: Request, handed: list[Attempt]) -> bool:
        if request.request_class.retry_safety is RetrySafety.IDEMPOTENT or not any(
            h.may_have_run for h in handed
        ):
            return True
        return (
            request.request_class.retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY
            and request.request_class.deduplication_scope is DeduplicationScope.ALL
        )

    # The plan.

    def _draw(
        self,
        request: Request,
        handed: list[Attempt],
        due: float,
        stake: float,
        but: Sequence[EndpointStats] = (),
        full: bool = False,
    ) -> EndpointStats | None:
        if not self.lease.allows(self.now):
            return None  # any of them may have been told to drain by now
        if stake == 0 and self._crowded():
            return None  # work that is worth nothing takes no room of work that is
        used = {*but, *(h.endpoint for h in handed)}
        risky = next((h.endpoint.listing for h in handed if h.may_have_run), None)
        kind = (
            request.request_class.deduplication_scope
            if risky is not None and request.request_class.retry_safety is RetrySafety.IDEMPOTENT_WITH_KEY
            else DeduplicationScope.ALL
        )
        left = (due - (self.now - request.arrived_at)) * self.fit * stake
        typical = self._typical(request.request_class)
        worth = request.request_class.priority_weight / self.mean_payoff
        near_enough, open_enough = (
            due / -log(min(max(price / worth, 1e-9), 0.5))
            for price in (self.terms.cross_zone_price, self.terms.connection_setup_price)
        )
        self._plan_afresh()
        if self.near and self.far:
            # Guards against crossing for an answer that would come no sooner.
            near_enough = max(near_enough, typical * min(map(self._way, self.beyonds)))
        self._forget_old_counts()
        choice: list[tuple[EndpointStats, float, float]] = []
        out = {zone for zone, share in self.shares.items() if self.chance.random() >= share}
        for side in (self.near, self.far):
            pool = [u for u in side if u.listing.zone not in out] if out else side
            if kind is not DeduplicationScope.ALL:
                pool = [u for u in pool if getattr(u.listing, kind.value) == getattr(risky, kind.value)]
            looked = pool if self.subset or len(pool) <= LOOKS else self.chance.sample(pool, LOOKS)
            if request.preferred_cell is not None and looked is not pool:
                looked = list(
                    dict.fromkeys([u for u in pool if u.listing.cell == request.preferred_cell] + looked)
                )
            found: list[tuple[EndpointStats, float, float]] = []
            seen = 0
            for u in looked:
                if self.subset and (seen == self.subset or u.place >= self.width):
                    break
                if u in used or not self._trusted(u, request) or not self._within_cold_budget(u):
                    continue
                seen += 1
                load = self._load(u)
                # Guards against a sidecar that hears of nothing because it refuses everything: it tries with
                # what it has once nothing of its own is out, unless the list tells it unasked.
                strict = load >= 1 and (self.out or self.terms.weights_are_live) and not full
                fits = load < self.line * max(1.0, 1 / self._small(u)) ** 0.5
                times = self._times(u, request)
                expected = typical * times * self._stretch(u, load)
                fits = fits and expected <= left
                if strict and not fits:
                    continue
                # Guards against one that is slow or loses answers for us alone: trials, while others fit.
                weight = self._warmth(u) / ((1 + load * self.at_once) * times) * (1 if fits else TRIALS)
                found.append((u, weight, expected))
            scale = len(pool) / (len(found) if self.subset else len(looked)) if found else 0.0
            choice += [(u, weight * scale, expected) for u, weight, expected in found]
            near = [c for c in choice if c[2] <= near_enough] if side is self.near else []
            if near and (
                request.preferred_cell is None
                or any(c[0].listing.cell == request.preferred_cell for c in near)
            ):
                choice = near
                break
        if not choice:
            # Guards against all being set aside for good: nothing is sent then that would earn a trial.
            self.trials = min(1.0, self.trials + self.trial)
            return None
        if known := [c for c in choice if c[0].listing.cell == request.preferred_cell]:
            # Guards against a popular key filling its cell: one that takes longer than the others do is left.
            others = [c for c in choice if c[0].listing.cell != request.preferred_cell]
            close = [c for c in others if c[0].listing.zone == self.terms.zone and c[2] <= near_enough]
            others = close or others
            usual = sum(c[2] for c in others) / len(others) if others else inf
            choice = [c for c in known if c[2] <= usual] or others
        if self.terms.connection_setup_price and not self.subset:
            # Guards against paying for a new connection where one that is open and free does as well.
            choice = [c for c in choice if self._open(c[0]) and c[2] <= open_enough] or choice
        return self.chance.choices([c[0] for c in choice], [c[1] for c in choice])[0]

    def _home(self, key: str) -> int | None:
        """The cell that all sidecars pick for a key, by rendezvous hashing.

        Guards against each upstream doing the whole work for every key. When a cell goes only its keys move.
        """
        self._plan_afresh()
        if not (key and self.terms.key_affinity and self.cells):
            return None
        mark = zlib.crc32(key.encode())

        def turn(cell: int) -> float:
            mixed = ((mark ^ zlib.crc32(b"%d" % cell)) * 0x9E3779B97F4A7C15 >> 24) & 0xFFFFFFFF
            return -log((mixed + 1) / 2**32) / max(self.cells[cell], 1e-9)

        return min(self.cells, key=turn)

    def _spared(self, u: EndpointStats, request: Request) -> float:
        """The part of the time that is left where the key is known; learned against that elsewhere."""
        if u.listing.cell != request.preferred_cell:
            return 1.0
        met, unmet = (times.aged(self.now, self.renewal, ENOUGH) for times in (self.met, self.unmet))
        return min(1.0, met.mean(prior=SPARED, doubt=ENOUGH / 2) / unmet.mean(prior=1.0, doubt=ENOUGH / 2))

    def _ready(self) -> int:
        self._plan_afresh()
        return len(self.near) + len(self.far)

    def _order(self, u: EndpointStats) -> tuple[int, str]:
        return zlib.crc32(u.address.encode(), self.salt) if self.subset else 0, u.address

    def _plan_afresh(self) -> None:
        if self.stale_plan:
            self.stale_plan = False
            # Guards against more connections than upstreams accept: each draws from the first of its order.
            every = sorted(self.upstreams.values(), key=self._order)
            ready = [u for u in every if u.listing.condition is EndpointState.READY]
            self.tagged = {u.tag: u for u in self.upstreams.values()}
            self.counted = {tag: n for tag, n in self.counted.items() if n}
            self.near = [u for u in ready if u.listing.zone == self.terms.zone]
            self.far = [u for u in ready if u.listing.zone != self.terms.zone]
            self.cells = {}
            for u in ready:
                self.cells[u.listing.cell] = self.cells.get(u.listing.cell, 0.0) + u.size
            for side in (self.near, self.far) if self.subset else ():
                # Of all sidecars these may send to one upstream of the side: the mean, and chance beyond it.
                users = self.terms.sidecars * min(1.0, self.width / max(1, len(side)))
                users = min(self.terms.sidecars, users + 3 * users**0.5)
                for place, u in enumerate(side):
                    u.place, u.users = place, users
            self.beyonds = list({u.listing.zone: u for u in self.far}.values())
            self.mean_size = sum(u.size for u in every) / len(every) if every else 1.0

    # What others have out: peers tell of it, or the upstreams are asked.

    def _cheapest(self) -> tuple[bool, bool]:
        """Whether peers tell each other of every hand-off, or the first two of a plan are asked."""
        terms = self.terms
        heard = 2 * MESSAGE * (terms.sidecars - 1) / LONGEST * terms.gossip_price
        questions = sum(min(2, self._paid_for(c)) for c in terms.request_classes) / len(terms.request_classes)
        asked = terms.health_check_price * questions
        most = asked if terms.health_checks_allowed and not terms.load_reported_in_responses else GAIN
        tells = terms.gossip_allowed and terms.sidecars > 1 and heard <= most
        return tells, terms.health_checks_allowed and not tells

    def _paid_for(self, category: RequestClass, crowd: float = 0.0) -> int:
        # Guards against work of little payoff, sent blindly, filling the lines of a crowded fleet.
        gain = GAIN / self.at_once * max(1.0, crowd) * category.priority_weight / self.mean_payoff
        return int(gain / max(self.terms.health_check_price, 1e-9))

    def _questions(self, category: RequestClass) -> int:
        # Guards against asking where answers tell, and several go on at a time or it can't be learned.
        learned = self.at_once < 2 and self.ahead.n + self.busy > 0
        asks = self.asks and (learned or not self.terms.load_reported_in_responses)
        return min(1 if self.subset else 3, self._paid_for(category, self._mean_elsewhere())) if asks else 0

    def _ask(self, request: Request, due: float, stake: float, most: int, until: float) -> DecisionCoroutine:
        """Ask the first few of the plan, one at a time, until one is free; that one gets the work item."""
        asked: list[EndpointStats] = []
        good: list[EndpointStats] = []
        # In a crowded fleet none is free: one with less than the others have is enough.
        enough = max(1.0, self._mean_elsewhere())
        waiting = 0
        # Guards against asking on while the client's patience runs out.
        until = min(until, self.now + due * stake / 4)
        while self.now < until and not any(self._load(u) < enough for u in good):
            if (
                not waiting
                and len(asked) < most
                and (u := self._draw(request, [], due, stake, asked, full=True))
            ):
                if u.report is not None and u.report[1] > self.now - self.shortest / 2 and self._load(u) < 1:
                    return u  # as good as asked
                asked.append(u)
                waiting += 1
                yield StartHealthCheck(u)
            elif not waiting:
                break
            event = yield Wait(until if len(asked) == most else min(until, self.now + self.shortest / 32))
            if event is CLIENT_DISCONNECTED:
                return CLIENT_DISCONNECTED
            yield from self._tell()
            # Guards against waiting for those that hang: the next are asked beside them.
            waiting = 0 if event is None else waiting - 1
            if (
                isinstance(event, HealthCheckEnded)
                and event.outcome is AttemptOutcome.SUCCESS
                and self._is_ready(event.endpoint)
            ):
                good.append(event.endpoint)
        # Guards against all that were asked for while there was room for one taking it.
        if not (good := [u for u in good if self._within_cold_budget(u)]):
            return self._draw(request, [], due, stake, asked)
        best = min(good, key=lambda u: self._expected(u, request, self._load(u)))
        load = self._load(best)
        fits = load < self.line or self._expected(best, request, load) < due * self.fit * stake
        return best if fits else self._draw(request, [], due, stake, asked) if self.subset else None

    def _open(self, u: EndpointStats) -> bool:
        return bool(u.spare) and u.spare[-1] > self.now - KEPT * self.terms.idle_timeout

    def _is_ready(self, u: EndpointStats) -> bool:
        """Guards against handing off to one that has left the list since it was asked."""
        return self.upstreams.get(u.address) is u and u.listing.condition is EndpointState.READY

    def _expected(self, u: EndpointStats, request: Request, load: float) -> float:
        return self._typical(request.request_class) * self._times(u, request) * self._stretch(u, load)

    def _stretch(self, u: EndpointStats, load: float) -> float:
        """How many times as long it takes as at an idle, warm one nearby: way and warmth are no work."""
        return self._way(u) * (1 + AHEAD * load) / self._warmth(u)

    def _way(self, u: EndpointStats) -> float:
        if not self.near or u.listing.zone == self.terms.zone:
            return 1.0
        if (times := self.beyond.get(u.listing.zone)) is None:
            times = self.beyond[u.listing.zone] = Histogram(0.25, 1.4, 12, 400, self.now)
        return times.aged(self.now, self.renewal).mean(prior=1.0, doubt=8)

    def _tell(self) -> DecisionCoroutine:
        """Tell the peers what has changed of what we have out, within our part of what each may hear."""
        if not self.untold and not self.unwarned and not self.lost:
            return
        rate = HEARD / self.shortest / self.terms.sidecars
        self.may_tell = min(AT_ONCE, self.may_tell + (self.now - self.told_at) * rate)
        self.told_at = self.now
        if self.may_tell >= 1:
            self.may_tell -= 1
            told = [(u.tag, WARNING) for u in self.unwarned]
            told += [(u.tag, word) for u, word in self.lost.items()]
            told += [(u.tag, min(len(u.pending), UNSAID - 1)) for u in self.untold]
            for said in (self.unwarned, self.lost, self.untold):
                said.clear()
            yield SendGossip(
                b"".join(tag.to_bytes(2, "big") + bytes([n]) for tag, n in told[: LONGEST // COUNT])
            )

    def heard(self, peer: int, body: bytes) -> None:
        if not 0 <= peer < self.terms.sidecars:
            return
        self._plan_afresh()
        lost: set[int] = set()
        for i in range(0, len(body) - COUNT + 1, COUNT):
            tag, n = int.from_bytes(body[i : i + 2], "big"), body[i + 2]
            u = self.tagged.get(tag)
            if n >= UNSAID:
                if n != WARNING:
                    lost.add(tag)
                elif u is not None:
                    self._warned(u)
                # One that is slow or full goes on answering somebody.
                if u is not None and n == LOST and u.answered < self.now - self.shortest / 2:
                    self._set_aside(u, hushed=True)
                continue
            _, before = self.told.pop((peer, tag), (0.0, 0))
            if n < before and tag not in lost and u is not None:
                self._answered_elsewhere(u)
            if n:
                self.told[peer, tag] = (self.now, n)
            if u is not None:
                self._flowed(u, 0 if tag in lost else max(0, before - n))
            self.counted[tag] = self.counted.get(tag, 0) + n - before
            self.elsewhere, self.heard_at = self.elsewhere + n - before, self.now

    def _peers_heard(self) -> bool:
        return self.heard_at > self.now - self.shortest

    def _forget_old_counts(self) -> None:
        """Guards against counting for ever what a killed or cut-off sidecar last had out."""
        while self.told:
            (peer, tag), (at, n) = next(iter(self.told.items()))
            if at > self.now - self.longest:
                return
            del self.told[peer, tag]
            self.counted[tag] -= n
            self.elsewhere -= n

    def _flowed(self, u: EndpointStats, answers: float = 0.0) -> None:
        half = STALE * self.shortest
        u.flow.add(self.now, half, self.counted.get(u.tag, 0), answers)
        self.flow.add(self.now, half, self.elsewhere, answers)

    def _told_pace(self, u: EndpointStats) -> float:
        """Its times against all's by peers' counts: guards against each sidecar having to find it slow."""
        if not self._peers_heard() or self.flow.answers < SEEN:
            return 1.0
        self._flowed(u)
        mean = self.flow.out / self.flow.answers
        time = (u.flow.out + SEEN * mean) / (u.flow.answers + SEEN)
        line = u.flow.out / (u.flow.span or 1.0)
        usual = self.flow.out / self.flow.span / max(1, self._ready())
        alone = time / mean * (1 + AHEAD * usual) / (1 + AHEAD * line)
        return alone * self._warmth(u) / self._small(u)

    def _typical(self, category: RequestClass) -> float:
        # Guards against a quiet sidecar knowing nothing but what it saw in the last few due times.
        if (times := self.typical.get(category.name)) is None:
            times = self.typical[category.name] = Histogram(category.latency_objective / 64, 1.5, 14, 400)
        return times.aged(self.now, self.renewal, ENOUGH).mean(prior=category.latency_objective / 8, doubt=4)

    def _small(self, u: EndpointStats) -> float:
        """How many of it make one of mean size."""
        return (self.mean_size / max(u.size, 1e-9)) ** (0.5 if self.terms.weights_are_live else 1)

    def _times(self, u: EndpointStats, request: Request) -> float:
        """Its times, for this work item, against those of a usual upstream of mean size."""
        return self._slowness(u) * self._small(u) * self._spared(u, request)

    def _load(self, u: EndpointStats) -> float:
        return self._elsewhere(u) + len(u.pending) / self.at_once

    def _elsewhere(self, u: EndpointStats) -> float:
        """The last report, pulled to the mean as it ages; with peers' counts, those."""
        if self._peers_heard():
            return self.counted.get(u.tag, 0) / self.at_once
        mean = self._mean_elsewhere()
        if self.terms.weights_are_live:
            # Guards against all sidecars, which read the same, filling what was free and leaving the full.
            return mean + (u.held - mean) * DAMPED * self._faded(self.reported_at)
        value, at = u.report or (mean * self.at_once, self.now)
        return mean + (value / self.at_once - mean) * 0.5 ** ((self.now - at) / self.shortest)

    def _mean_elsewhere(self) -> float:
        """Guards against a mean that feeds on itself: only what was reported counts, and less with age."""
        faded = self._faded(self.reported_at)
        return self.reported * faded / (0.5 + self.reports * faded) / self.at_once

    def _faded(self, since: float) -> float:
        return 0.5 ** ((self.now - since) / STALE / self.shortest)

    def _read(self, u: EndpointStats, report: dict[str, float]) -> None:
        held, busy = report.get("held"), report.get("busy")
        if held is not None and busy is not None:
            # Guards against taking upstreams that do several work items at a time for full: of those held, as
            # many as it can do at a time make up the part of it that is busy. Found from below.
            self.held, self.busy = self.held + min(held, self.at_once), self.busy + busy
            if self.busy > ENOUGH / 8:
                self.at_once = max(1.0, self.held / self.busy)
                self.held, self.busy = self.held / 2, self.busy / 2
        u.service = report.get("service", u.service)
        for figure in ("held", "waiting", "busy"):
            if figure in report and not self.terms.weights_are_live:
                value, faded = max(0.0, report[figure]), self._faded(self.reported_at)
                self.reported = self.reported * faded + value
                self.reports, self.reported_at = self.reports * faded + 1, self.now
                u.report = (value, self.now)
                return

    def _slowness(self, u: EndpointStats) -> float:
        """Its times against those of its like; two answers' weight of doubt."""
        told = self._told_pace(u)
        few = 0 if self.tells else FEW
        return told if u.pace is None else u.pace.aged(self.now, self.renewal, few).mean(prior=told, doubt=2)

    # Health: failures in a row set an upstream aside; a trickle that doubles brings it back.

    def _trusted(self, u: EndpointStats, request: Request) -> bool:
        if u.unreached:
            # Guards against an upstream that takes no new connections but still serves those it has.
            u.spare = [since for since in u.spare if since > self.now - self.terms.idle_timeout]
            if u.spare:
                return True
        if self.now < u.aside_until:
            return False
        if (
            u in self.suspects
            and request.request_class.retry_safety is RetrySafety.NON_IDEMPOTENT
            and self._suspect(u)
        ):
            return False
        # Guards against upstreams that take work and answer nothing: no outcome ever tells of them.
        if u.pending and self._silence(next(iter(u.pending))) > self.shortest / 4:
            return False
        if u.trickle < inf:
            # Guards against most hand-offs being trials where much of a fleet is gone; a good one is free.
            spent = u.trickle == 1 and self.trials < 0
            return (
                not spent
                and len(u.pending) < u.trickle
                and request.request_class.retry_safety is not RetrySafety.NON_IDEMPOTENT
            )
        return True

    def _silence(self, attempt: Attempt) -> float:
        """How much longer its upstream has answered nothing than it should have taken."""
        expected, u = self._typical(attempt.request.request_class) * (1 + attempt.load), attempt.endpoint
        # Guards against holding against a process what the one before it at that address left unanswered.
        return self.now - max(attempt.started_at, u.answered, u.started or -inf) - SILENT * expected

    def _warned(self, u: EndpointStats) -> None:
        """A hand-off has failed there, ours or a peer's: guards against each having to find out itself."""
        for old in [s for s in self.suspects if not self._suspect(s)]:
            del self.suspects[old]
        # Guards against a fault common to all leaving nobody to send to.
        if 2 * len(self.suspects) < self._ready():
            u.warned_at = self.now
            self.suspects[u] = None

    def _suspect(self, u: EndpointStats) -> bool:
        """Only exclusive work can't be sent again after an error; other work goes there and tells on."""
        return self.now < u.warned_at + STALE * self.shortest

    def _note(self, u: EndpointStats, bad: bool, hushed: bool = False, told: bool = False) -> None:
        self.lately, self.noted_at = self.lately * self._faded(self.noted_at) + 1, self.now
        self.bad, self.outcomes = self.bad + bad, self.outcomes + 1
        if self.outcomes > max(8 * self._ready(), self.lately, 8):
            self.bad, self.outcomes = self.bad / 2, self.outcomes / 2
        if not bad:
            u.failures = 0
            if u.trickle < inf:
                self.trials += 1
                u.trickle = u.trickle * 2 if u.trickle < TRUSTED else inf
            u.unreached = u.unreached and u.trickle < inf
            return
        u.failures += 1
        # Guards against setting all aside for a fault common to all, or ours. The unreached go on as before.
        chance = (BY_CHANCE if u.unreached else self.bad / self.outcomes) ** u.failures
        # Guards against rows that are bound to come up where one upstream gets many hand-offs in a due time.
        chance *= max(1.0, self.lately / (STALE * self._ready() + 1))
        if chance <= BY_CHANCE or u.trickle < inf or told:
            self._set_aside(u, hushed)

    def _answered_elsewhere(self, u: EndpointStats) -> None:
        u.answered = self.now
        if u.hushed and not u.unreached:
            # Guards against each of many quiet sidecars having to find out for itself that it is back.
            u.failures, u.aside_until, u.trickle, u.hushed = 0, -inf, inf, False

    def _set_aside(self, u: EndpointStats, hushed: bool) -> None:
        u.pause = min(2 * u.pause, 2 * self.shortest) if u.trickle < inf else self.shortest / 2
        # Guards against all sidecars that heard of it trying it again in the same moment.
        u.aside_until = self.now + u.pause * (0.5 + self.chance.random())
        u.trickle, u.hushed = 1, hushed

    def returned(self, zone: str) -> None:
        """The fleet returns there. Guards against each keeping to what it learned while the zone failed."""
        self.beyond.pop(zone, None)
        for u in self.upstreams.values():
            if u.listing.zone == zone:
                u.pace, u.failures, u.pause, u.aside_until, u.trickle = None, 0, 0.0, -inf, inf

    def settle(self, outcome: AttemptEnded) -> None:
        attempt, u = outcome.attempt, outcome.attempt.endpoint
        self.out -= u.pending.pop(attempt, 0) is None
        if self.tells:
            self.untold[u] = None
        if outcome.outcome is AttemptOutcome.REJECTED:
            u.report = (self.line * self.at_once, self.now)
        if outcome.outcome in (AttemptOutcome.SUCCESS, AttemptOutcome.ERROR, AttemptOutcome.REJECTED):
            # Where a connection carries many, one that answers is open for whatever comes next.
            u.spare = [*(u.spare if self.terms.streams_per_connection == 1 else ()), self.now]
        elif self.terms.streams_per_connection > 1 and outcome.outcome in (
            AttemptOutcome.RESET,
            AttemptOutcome.CONNECT_FAILED,
        ):
            u.spare = []
        u.unreached = outcome.outcome is AttemptOutcome.CONNECT_FAILED or (
            u.unreached and outcome.outcome is AttemptOutcome.SUCCESS
        )
        self._read(u, outcome.load_report)
        # Guards against a quiet sidecar having to see for itself the row of failures that others have seen.
        told = outcome.load_report.get("failing", 0.0) > FAILING * outcome.load_report.get("served", 0.0)
        hushed = (
            outcome.outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.TIMED_OUT)
            and self._silence(attempt) > 0
        )
        if self.tells and outcome.outcome not in (
            AttemptOutcome.SUCCESS,
            AttemptOutcome.ERROR,
            AttemptOutcome.REJECTED,
        ):
            # Guards against each of many sidecars losing a hand-off of its own to what has fallen silent.
            lost = hushed or outcome.outcome in (AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED)
            self.lost[u] = LOST if lost else self.lost.get(u, UNSAID)
        match outcome.outcome:
            case AttemptOutcome.SUCCESS:
                self._learn(attempt, outcome.duration)
                u.answered, u.passed = self.now, max(u.passed, attempt.started_at)
                self._note(u, bad=told, told=told)
            case AttemptOutcome.ERROR | AttemptOutcome.RESET | AttemptOutcome.CONNECT_FAILED:
                self._note(u, bad=True, hushed=outcome.outcome is AttemptOutcome.CONNECT_FAILED, told=told)
                # Guards against faults that any upstream has alike keeping exclusive work from half of them.
                others = max(0.0, self.bad - u.failures) / self.outcomes
                rare = 2 * self.lately * others**u.failures < self._ready()
                told = (
                    outcome.outcome is AttemptOutcome.CONNECT_FAILED or self.now < u.warned_at + self.shortest
                )
                if self.terms.gossip_allowed and rare and not told:
                    self.unwarned[u] = None
                    self._warned(u)
            case AttemptOutcome.CANCELLED | AttemptOutcome.TIMED_OUT:
                self._learn(attempt, outcome.duration, unfinished=True)
                if hushed:
                    self._note(u, bad=True, hushed=True)

    def _learn(self, attempt: Attempt, took: float, unfinished: bool = False) -> None:
        u, cat = attempt.endpoint, attempt.request.request_class
        usual, way, stretch = self._typical(cat), self._way(u), self._stretch(u, attempt.load)
        spared = self._spared(u, attempt.request)
        each = took / (stretch * self._small(u) * spared)
        if u.service:
            # Guards against taking upstreams that do several at a time for full, where reports tell what they
            # hold and not how busy they are: what a work item ahead adds tells how many they do.
            self.ahead.add(attempt.load * self.at_once, each * stretch / way / usual)
            self.at_once = max(1.0, AHEAD / self.ahead.growth(AHEAD))
        # Guards against a slow upstream, or a way that loses, of which only the quick answers are ever seen.
        if unfinished and (self.tells or each / usual <= self._slowness(u)):
            return
        if self.near and u.listing.zone != self.terms.zone:
            self.beyond[u.listing.zone].add(each * way / (usual * self._slowness(u)))
        if unfinished:
            if u.pace is not None:
                u.pace.add(each / usual)
            return
        if attempt.request.preferred_cell is not None:
            times = self.met if u.listing.cell == attempt.request.preferred_cell else self.unmet
            times.add(each * spared / (usual * self._slowness(u)))
        if u.pace is None:
            u.pace = Histogram(0.25, 2.0, 7, 24, self.now)
        u.pace.add(each / usual)
        self.typical[cat.name].add(each)
        self.latency.add(took / self._typical(cat))

    # Cold upstreams.

    def _warmth(self, u: EndpointStats) -> float:
        """The least share of its capacity that an upstream has by now."""
        if u.started is None or self.now >= u.started + self.terms.slow_start_duration:
            return 1.0
        age = max(0.0, self.now - u.started) / self.terms.slow_start_duration
        return self.terms.slow_start_initial_fraction + (1 - self.terms.slow_start_initial_fraction) * age

    def _within_cold_budget(self, u: EndpointStats) -> bool:
        warmth = self._warmth(u)
        if warmth >= 1 or u.place >= self.width > 0:
            return warmth >= 1
        each = max(self._typical(c) for c in self.terms.request_classes) * self._small(u) / self.at_once
        most, users = self.terms.overload_factor * warmth / each, u.users * self.terms.process_count
        rate, fall = CAREFUL * most / users, self.terms.overload_window
        span = max(fall, 1 / rate)
        u.phase, u.turn = (u.phase or -SKIPPED * self.chance.random()) + (self.now - u.turn) / span, self.now
        if not users - 2 > most * fall > 0:
            u.cycle = 0.0
            return sum(at > self.now - span for at in u.sends) + 1 <= rate * span + 1e-9
        # Guards against many sidecars that each send the first of their part at once, at the start or after
        # a quiet time: each has turns at random, and the longer one stands open the later the next one is.
        u.phase -= SKIPPED * max(0, ceil((u.phase - TURN * fall / span) / SKIPPED))
        u.cycle = max(1.0, SKIPPED / (1 + TURN) * (1 + u.phase * span / fall))
        return u.phase >= 0

    def listed(self, news: WatchEvent, listings: list[Endpoint]) -> None:
        if news is WatchEvent.FAILED:
            return
        if news is WatchEvent.SNAPSHOT:
            named = {entry.address for entry in listings}
            for address in [a for a in self.upstreams if a not in named]:
                del self.upstreams[address]
        moving = self.terms.weights_are_live
        self.stale_plan = self.stale_plan or not moving or news is WatchEvent.SNAPSHOT
        for entry in listings:
            known = self.upstreams.get(entry.address)
            if known is None or entry.condition is EndpointState.GONE:
                self.stale_plan = True
                self.upstreams.pop(entry.address, None)
                if entry.condition is not EndpointState.GONE:
                    self.upstreams[entry.address] = EndpointStats(entry, self.now, self.terms.sidecars)
            else:
                said, before = (entry.condition, entry.started), (known.listing.condition, known.started)
                self.stale_plan |= said != before
                known.update(entry, self.now, moving)
        if moving:
            # What is not listed anew has not changed: it counts as said again.
            self.reported_at, self.reports = self.now, len(self.upstreams)
            self.reported = sum(u.held for u in self.upstreams.values())

    def probed(self, address: str, fate: AttemptOutcome, took: float, report: dict[str, float]) -> None:
        if (u := self.upstreams.get(address)) is None:
            return
        self._read(u, report)
        if fate is AttemptOutcome.SUCCESS:
            u.answered = self.now
        elif fate is AttemptOutcome.REJECTED:
            u.report = (self.line * self.at_once, self.now)
        else:
            self._note(u, bad=True)

    def chores(self) -> list[DecisionCoroutine]:
        return [self._follow_list()] if self.terms.must_watch_endpoints else []

    def _follow_list(self) -> DecisionCoroutine:
        often = max(self.terms.endpoint_list_max_age / 32, self.shortest / 4)
        # Guards against all sidecars asking the list at once, at the start and after its outages.
        spread = min(
            often * max(1.0, self.terms.sidecars / 16), max(often, self.terms.endpoint_list_max_age / 2)
        )
        patience = spread
        until = self.now + self.chance.random() * spread
        while True:
            while self.now < until:
                yield Wait(until)
            yield WatchEndpoints()
            while (yield Wait(None)) is not WatchEvent.FAILED:
                patience = spread
            until = self.now + patience * (0.5 + self.chance.random())
            patience = min(2 * patience, max(8 * often, spread))
