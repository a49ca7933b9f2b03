"""The module's actor where work is covered: it also hosts `Covering`, which lets its hand-offs go."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any

from ...decisions.terms import Condition, Effect, Fate, HandOff, Listing, Terms, WorkItem
from ...fleet.cover import DEFERRED, FINISHED, MIXED_UP, UNSENT, WRITTEN_OFF, Item, Word
from ...fleet.frames import Asked, Cover, Intent, Reply
from ...fleet.part import CoverPart, FleetPart
from ..mail import Final, Left, Taken
from ..memory.buffers import Body, Exhausted
from ..memory.flow import Flow
from ..memory.work import Answer, Errand, Job
from ..module import Module
from .hosting import Hosting
from .mail import Lapsed, Released

if TYPE_CHECKING:
    from ..lifecycle.start import Node
    from .policy import Ruling

COME_BACK = 1 / 8  # of a lease: when one is to come again who came while the policy was in doubt
LATEST = 0.98  # part of its patience after which a client that waits for another's answer is told
LONGEST_NAME = 256
ROOM = 1 / 8  # part of the memory limit for what is kept for others
TICKET = b"idempotency-key"
BAD = 400
KINDS = {FINISHED: "finished", DEFERRED: "deferred", WRITTEN_OFF: "written_off"}


class Nobody:
    """Stands where a client stood whose sidecar is lost: its answer is recorded, not written."""

    def post(self, mail: Any) -> None:
        if isinstance(mail, Final) and mail.answer:
            mail.answer.body.release()

    def has_left(self) -> bool:
        return False  # what goes on for it does so with nobody waiting


NOBODY = Nobody()


class CoveringModule(Hosting, Module):
    def __init__(
        self, node: Node, me: str, part: FleetPart, lapsed: Callable[[Lapsed], None], ruling: Ruling
    ) -> None:
        """`lapsed` is told when our own entry has gone from the view."""
        self.deferred = 0  # while it was not known which policy holds
        self.items: dict[WorkItem, Item] = {}
        room = int(node.config.limits.memory_mb * ROOM * 2**20)
        times = node.shortest, node.longest
        self.host(node.loop, me, part, ruling, lapsed, lambda: self.runner, times, room, node.log)
        Module.__init__(self, node)
        self.cover_by(part.cover)

    def cover_by(self, part: CoverPart) -> None:
        """What is covered from now on; items that there are stay so."""
        self.categories = frozenset(part.categories)
        self.header = part.name_header.encode()
        self.covering.count = part.keepers
        # Guards against forgetting what was taken under a longer expiry.
        self.covering.longest = max(self.covering.longest, self.node.longest)

    def retuned(self, terms: Terms) -> None:
        self.runner.retune(terms)  # in this turn: what comes next is taken under it

    def _handle(self, mail: Any) -> None:
        if not self.hosted(mail, self.runner.now):
            match mail:
                case Taken(job) if self._unruled(job):
                    pass
                case Taken(job) if (name := self._name(job)) is not None:
                    self._begin(job, name)
                case Left(job) if (item := self.items.get(job.wi)) is not None:
                    self._left(job, item)
                case None:
                    self.tick()
                    super()._handle(mail)
                case _:
                    super()._handle(mail)
        self.alarm_at = min(self.alarm_at, self.next_at(self.runner.now))

    def _unruled(self, job: Job) -> bool:
        """True: answered here, since it is not known which policy holds. Else it is taken under that one."""
        # A clock read in this turn may be from before a pause.
        self.following.now = self.loop.now()
        why = self.following.doubt()
        wi = job.wi
        category = self.node.categories.get(wi.category.name)
        if not why and category is not wi.category:
            # It was read under a policy that is over since.
            if category is None or category.effect is not wi.category.effect:
                why = "switched"
            else:
                wi.category, wi.patience = category, min(wi.patience, category.expiry)
        if why:
            self.deferred += 1
            self._answer_job(job, Reply(DEFERRED, COME_BACK * self.following.lease))
        return bool(why)

    # Requests with a name.

    def _name(self, job: Job) -> bytes | None:
        """What its client calls it; None: it is not covered."""
        if job.wi.category.name not in self.categories:
            return None
        given = {header.lower(): value for header, value in reversed(job.headers)}
        name = given.get(TICKET, given.get(self.header))
        if name is None:
            self.covering.counts["unnamed"] += 1
        elif isinstance(job.body, Flow):
            # A body that is passed on while it comes is kept nowhere.
            self.covering.counts["too_long"] += 1
            name = None
        return name

    def _begin(self, job: Job, name: bytes) -> None:
        if not 0 < len(name) <= LONGEST_NAME:
            self._answer_job(job, Reply(BAD))
            return
        wi, now = job.wi, self.runner.now
        category = wi.category
        body = b"".join(job.body.views())
        key = category.name.encode() + b"\0" + name
        mark = hashlib.blake2b(b"\0".join((job.method, job.target, body)), digest_size=8).digest()
        asked = Asked(job.method, job.target, [(bytes(n), bytes(v)) for n, v in job.headers], body, job.trace)
        until = now + wi.patience
        effect = category.effect.value
        told = Cover(
            key, self.me, 0, False, mark, category.name, effect, now, until, wi.repeat, asked, [],
            rules=category,
        )  # fmt: skip
        word, item = self.covering.begin(told, job, now + LATEST * wi.patience)
        match word:
            case Word.RUN:
                self._run_job(item, job)
            case Word.ANSWER:
                self._answer_job(job, item.reply)
            case Word.OTHER:
                self.node.log("cover.other", category=category.name)
                self._answer_job(job, Reply(MIXED_UP))
            case Word.WAIT:
                if job.owed:
                    self.items[wi] = item

    def _run_job(self, item: Item, job: Job) -> None:
        self.items[job.wi] = item
        self.jobs[job.wi] = job
        self.runner.take(job.wi)

    def _left(self, job: Job, item: Item) -> None:
        over = self.covering.left(item, job)
        if not over and job.wi in self.jobs and job.owed:
            # Whoever comes again under its name gets its answer: what is out goes on with nobody waiting.
            # Guards against sending on for one that has left: nothing more is begun, nor what is unwritten.
            job.client = NOBODY
            job.wi.most_hand_offs = 1
            for errand in [errand for errand in job.errands.values() if not errand.written]:
                self._drop(errand)
            return
        self.items.pop(job.wi, None)
        if job.wi in self.jobs:
            super()._handle(Left(job))
        else:
            job.owed = False
            job.body.release()

    # What the cover wants.

    def released(self, errand: Errand) -> None:
        if errand.connection is not None:
            errand.connection.post(Released(errand))

    def dropped(self, errand: Errand) -> None:
        self._drop(errand)

    def decide(self, item: Item) -> None:
        job = item.main
        category = item.rules or self.node.category(item.category, Effect(item.effect))
        if category is None:
            self._settled(item, Reply(WRITTEN_OFF))
            return
        now = self.runner.now
        wi = WorkItem(category, now, max(0.0, item.until - now), repeat=item.repeat)
        asked = item.asked
        body = Body(self.node.pool)
        try:
            body.add(asked.body)
        except Exhausted:
            body.release()
            self._settled(item, Reply(WRITTEN_OFF))
            return
        client = NOBODY if job is None else job.client
        new = Job(wi, client, asked.method, asked.target, asked.headers, body, asked.trace)
        if job is not None:
            # What its client says of the former one is said of this one.
            item.clients[new] = item.clients.pop(job)
            self.items.pop(job.wi, None)
            job.owed = False
            job.body.release()
            if getattr(client, "job", None) is job:
                client.job = new
        item.main = new
        self.items[wi] = item
        self.jobs[wi] = new
        before = [
            (Listing(i.upstream, i.zone, i.cell, 1.0, None, Condition.GONE), i.at, not i.fate)
            for i in item.intents
            if i.fate != UNSENT
        ]
        self.runner.take(wi, before)

    def _settled(self, item: Item, reply: Reply) -> None:
        """What can't even be decided on."""
        for client in list(item.clients):
            self._answer_job(client, reply)
        item.clients.clear()
        self.covering.answered(item, reply)

    def answer(self, item: Item, client: Job, reply: Reply) -> None:
        self._answer_job(client, reply)

    def _answer_job(self, job: Job, reply: Reply) -> None:
        self.items.pop(job.wi, None)
        deciding = job.wi in self.jobs
        if not deciding:
            job.body.release()
        self._give(job, self._made(reply), KINDS.get(reply.status, "written_off"))
        if deciding:
            self.runner.gone(job.wi)
            self._forget_if_closed(job)

    def _made(self, reply: Reply) -> Final:
        if reply.status != FINISHED:
            return Final(reply.status, come_back=reply.come_back)
        body = Body(self.node.pool)
        try:
            body.add(reply.body)
        except Exhausted:
            body.release()
            return Final(WRITTEN_OFF)
        return Final(FINISHED, Answer(body, reply.kind))

    # What the decisions want.

    def send(self, ho: HandOff, limit: float) -> None:
        super().send(ho, limit)
        errand, listing = self.jobs[ho.wi].errands[ho], ho.upstream.listing
        self.zoning.began(errand, listing.zone, self.runner.now)
        item = self.items.get(ho.wi)
        if item is None:
            return
        self.hold(errand, item, Intent(listing.address, listing.zone, listing.cell, self.runner.now))

    def _ended(self, errand: Errand, fate: Fate, report: dict[str, float], answer: Any) -> None:
        self.zoning.ended(errand, fate, self.runner.now)
        gate = self.unhold(errand)
        if gate is not None and (fate.never_ran or not (gate.open and errand.written)):
            self.covering.ended(gate.item, gate.number, fate.value)
        super()._ended(errand, fate, report, answer)

    def _final(self, job: Job, final: Final, how: str) -> None:
        item = self.items.pop(job.wi, None)
        if item is None:
            self._give(job, final, how)
            return
        until = item.clients.pop(job, inf)
        reply = Reply(final.status, final.come_back)
        if final.answer is not None:
            body = final.answer.body
            # One that is passed on while it comes can't be given to anybody else.
            whole = b"" if isinstance(body, Flow) else b"".join(body.views())
            reply = Reply(WRITTEN_OFF if isinstance(body, Flow) else FINISHED, 0.0, final.answer.kind, whole)
        given = self.covering.answered(item, reply)
        if given is None:
            job.owed = False
            if job.client is not NOBODY:
                self.covering.wait_on(item, job, until)
                self.items[job.wi] = item
            return
        if given is not reply and final.answer is None:
            final = self._made(given)
            how = KINDS.get(given.status, how)
        self._give(job, final, how)

    def _give(self, job: Job, final: Final, how: str) -> None:
        super()._final(job, final, how)
        # Guards against a second answer being taken for that of the next request on its connection.
        job.client = NOBODY
