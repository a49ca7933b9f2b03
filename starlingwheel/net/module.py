"""The module's actor, the runner's second `Door`: mail into events for the decisions, commands into mail.

It adds no decision of its own.
"""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Any

from ..decisions.runner import Runner
from ..decisions.terms import Fate, HandOff, News, Outcome, WorkItem
from .actor import Actor, Coroutine
from .mail import SUBSCRIBE, Carry, Drop, Ended, Final, Heard, Left, Listed, Moved, Retuned, Taken, Whole
from .memory.work import Errand, Job
from .wire.upstream import Upstream

if TYPE_CHECKING:
    from .lifecycle.start import Node

DEFERRED = 503
WRITTEN_OFF = 504


class Module(Actor):
    lasting = True
    # Guards against the mail of many peers piling up before one that is given as much a turn as each of them.
    at_once = 64

    def __init__(self, node: Node) -> None:
        self.node = node
        self.runner = Runner(node.terms, node.chance, self, node.loop.now(), node.lease)
        self.upstreams: dict[str, Upstream] = {}
        self.jobs: dict[WorkItem, Job] = {}
        self.alarm_at = self.restart_at = inf
        self.begun = self.listed = False
        self.counts = {"finished": 0, "deferred": 0, "written_off": 0, "left": 0}
        self.slowest = 0.0
        super().__init__(node.loop)

    def run(self) -> Coroutine[None]:
        while True:
            mail = yield min(self.alarm_at, self.restart_at)
            now = self.loop.now()
            self.runner.at(now)
            try:
                self._handle(mail)
            except Exception as error:
                self.node.log.defect("module.defect", error)
                if job := getattr(mail, "job", None) or getattr(getattr(mail, "errand", None), "job", None):
                    self._give_up(job)
            self.slowest = max(self.slowest, self.loop.now() - now)

    def _handle(self, mail: Any) -> None:
        match mail:
            case None:
                self._due()
            case Taken(job):
                self.jobs[job.wi] = job
                self.runner.take(job.wi)
            case Whole(job):
                # Its time counts from now on.
                job.wi.arrived = self.runner.now
                self.runner.whole(job.wi, list(job.errands))
            case Ended(errand, fate, report, answer):
                self._ended(errand, fate, report, answer)
            case Left(job):
                if job.owed:
                    job.owed = False
                    self.counts["left"] += 1
                    self.runner.gone(job.wi)
                    self._forget_if_closed(job)
            case Listed(news, entries):
                self._listed(news, entries)
            case Retuned(terms):
                self.runner.retune(terms)
            case Heard(peer, body):
                self.runner.heard(peer, body)

    def _due(self) -> None:
        if self.restart_at <= self.runner.now:
            self.restart_at = inf
            self.runner.start()
        if self.alarm_at <= self.runner.now:
            self.alarm_at = inf
            self.runner.tick()

    def _ended(self, errand: Errand, fate: Fate, report: dict[str, float], answer: Any) -> None:
        took = self.loop.now() - errand.sent
        if errand.ho is None:
            self.runner.probed(errand.upstream.address, fate, took, report)
            return
        job = errand.job
        del job.errands[errand.ho]
        if not fate.never_ran:
            job.may_have_run = True
            job.risky_since = min(job.risky_since, errand.sent)
        if answer is not None:
            if job.owed:
                self._final(job, Final(200, answer), "finished")
            else:
                answer.body.release()
        try:
            self.runner.outcome(Outcome(errand.ho, fate, took, not job.owed, report))
        finally:
            self._forget_if_closed(job)

    def _listed(self, news: News, entries: list[Any]) -> None:
        if news is News.WHOLE:
            named = {entry.id for entry in entries}
            for gone in [known for known in self.upstreams if known not in named]:
                self.upstreams.pop(gone).post(Moved(None))
        for entry in entries:
            if entry.state == "left":
                if known := self.upstreams.pop(entry.id, None):
                    known.post(Moved(None))
            elif known := self.upstreams.get(entry.id):
                known.post(Moved(entry))
            else:
                self.upstreams[entry.id] = Upstream(self.node, entry)
                self.upstreams[entry.id].begin()
        self.listed = self.listed or bool(self.upstreams)
        self.runner.listed(news, [entry.listing() for entry in entries])
        if not self.begun:
            # Guards against a list that nobody watches: the standing chores begin with the first word of it.
            self.begun = True
            self.runner.start()

    # The door.

    def send(self, ho: HandOff, limit: float) -> None:
        job = self.jobs[ho.wi]
        carrier = self.upstreams.get(ho.upstream.address) if self.node.gate.may_repeat(job) else None
        until = ho.sent + limit
        if job.coming:
            # Guards against taking the time that its client needs to send it for its upstream's.
            ho.sent = inf
        errand = job.errands[ho] = Errand(ho.upstream, carrier, ho.sent, until, ho, job)
        self._carry(errand)

    def _carry(self, errand: Errand) -> None:
        if errand.carrier:
            errand.carrier.post(Carry(errand))
        else:
            self.post(Ended(errand, Fate.UNSENT))

    def cancel(self, ho: HandOff) -> None:
        self._drop(self.jobs[ho.wi].errands.get(ho))

    def _drop(self, errand: Errand | None) -> None:
        if errand and errand.carrier:
            errand.carrier.post(Drop(errand))

    def defer(self, wi: WorkItem, come_back: float) -> None:
        job = self.jobs[wi]
        if not self.node.gate.may_reject(job):
            self.write_off(wi)
            return
        self.node.gate.note_rejected()
        self._final(job, Final(DEFERRED, come_back=come_back), "deferred")
        self._forget_if_closed(job)

    def write_off(self, wi: WorkItem) -> None:
        job = self.jobs[wi]
        self._final(job, Final(WRITTEN_OFF), "written_off")
        self._forget_if_closed(job)

    def subscribe(self) -> None:
        self.node.list.post(SUBSCRIBE)

    def probe(self, upstream: Any) -> None:
        now = self.loop.now()
        carrier = self.upstreams.get(upstream.address)
        self._carry(Errand(upstream, carrier, now, now + self.node.shortest / 2))

    def tell(self, body: bytes) -> None:
        # Guards against peers hearing two counts of one sidecar: of two processes the last one tells.
        if self.node.datagrams is not None and not (self.node.stopping and self.node.passed):
            self.node.datagrams.tell(body)

    def alarm(self, at: float) -> None:
        self.alarm_at = min(self.alarm_at, at)

    def defect(self, wi: WorkItem | None, error: Exception) -> None:
        self.node.log.defect("module.defect", error)
        if wi is None:
            # Guards against a defect in a standing chore leaving the list unwatched for good.
            self.restart_at = self.runner.now + self.node.shortest
        elif job := self.jobs.get(wi):
            self._give_up(job)

    # The work in hand.

    def _final(self, job: Job, final: Final, how: str) -> None:
        job.owed = False
        self.counts[how] += 1
        job.client.post(final)

    def _give_up(self, job: Job) -> None:
        """Guards against a defect keeping a client waiting: what can't be decided is written off."""
        if job.owed:
            self.node.log("work.given_up", trace=job.trace.decode("latin-1"), category=job.wi.category.name)
            self._final(job, Final(WRITTEN_OFF), "written_off")
        for errand in job.errands.values():
            self._drop(errand)
        self._forget_if_closed(job)

    def _forget_if_closed(self, job: Job) -> None:
        if not job.owed and not job.errands and self.jobs.pop(job.wi, None):
            job.body.release()
