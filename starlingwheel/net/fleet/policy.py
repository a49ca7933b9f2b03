"""The host of the fleet's policy: what it checks, keeps, puts in force and asks others for."""

from __future__ import annotations

import contextlib
import os
import random
import threading
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import Any

import msgspec

from ...decisions.config import BalancerConfig
from ...fleet.config import FleetConfig, ReplicationConfig, ZonesConfig
from ...fleet.frames import (
    RELAYED,
    DecisionFrame,
    DecisionRequestFrame,
    Frame,
    PolicyQueryFrame,
    PolicyStatusFrame,
)
from ...fleet.policy import document as common
from ...fleet.policy.replica import PolicyReplica, StoredPolicy
from ...fleet.policy.statuses import STATUS_LIFETIME
from ...fleet.records import Policy, PolicyDecision
from ..actor import Actor, Coroutine
from ..lifecycle.config import ConfigError, SidecarConfig, balancer_config_of, keep_start_only_fields
from .links import LinkManager, MemberQuery
from .messages import CHECK_LINKS, REGISTER_AGAIN

AT_ONCE = 16  # members asked in one go
EACH = 1 / 16  # of the time for which a word counts: how often it is seen who is to be asked
AGAIN = 3 / 4  # of the same: so old is the youngest word of a cell, or of a name, when it is asked for anew
SLOW = 1 / 4  # of the same: so long an answer is waited for before another one is asked
TOLD = 8  # differences that are named in one line of the log
decoder = msgspec.json.Decoder(StoredPolicy)


class VoteStore:
    """The file that outlives a process: the policy in force, and the vote that still binds."""

    def __init__(self, folder: str, fleet: str, name: str, log: Callable[..., None]) -> None:
        """`folder` empty: nothing is kept."""
        self.path = Path(folder, f"starlingwheel-{fleet}-{name}.json") if folder else None
        self.fleet, self.log = fleet, log
        self.data = b""  # as it is to be
        self.waiting = threading.Event()
        self.written: bytes | None = None  # as it is on the disk
        self.fault = ""
        if self.path is not None:
            threading.Thread(target=self._run, daemon=True).start()

    def read(self) -> StoredPolicy:
        """What is there; what can't be used is as if it were not there."""
        if self.path is None:
            return StoredPolicy(self.fleet)
        try:
            kept = decoder.decode(self.path.read_bytes())
            if kept.fleet != self.fleet:
                raise ValueError(f"of the fleet {kept.fleet!r}")
            if kept.decision is not None:
                for policy in (kept.decision.policy, kept.decision.before):
                    if policy.body is not None and common.digest(policy.body) != policy.digest:
                        raise ValueError("its digest is another one's")
        except FileNotFoundError:
            return StoredPolicy(self.fleet)
        except (OSError, ValueError, msgspec.DecodeError) as error:
            self.log("policy.unreadable", error=str(error))
            return StoredPolicy(self.fleet)
        return kept

    def write(self, kept: StoredPolicy) -> None:
        if self.path is not None:
            self.data = msgspec.json.encode(kept)
            self.waiting.set()

    def _run(self) -> None:
        """Its own thread: guards against a slow disk holding up the loop."""
        while True:
            self.waiting.wait()
            self.waiting.clear()
            data = self.data
            if data == self.written:
                continue
            beside = self.path.with_suffix(f".{os.getpid()}")
            try:
                with open(beside, "wb") as file:
                    file.write(data)
                    file.flush()
                    # Guards against a vote that is forgotten when the machine goes down with the process.
                    os.fsync(file.fileno())
                os.replace(beside, self.path)
                self.written, self.fault = data, ""
            except OSError as error:
                with contextlib.suppress(OSError):
                    beside.unlink()
                self.fault = error.strerror or "not written"

    @property
    def state(self) -> str | None:
        """Empty: the last is on the disk; None: not yet; else why it is not."""
        if self.path is None or self.written == self.data:
            return ""
        return self.fault or None


class PolicyController:
    """The door of `Following`, and what a sidecar makes of the policy."""

    def __init__(
        self,
        config: SidecarConfig,
        part: FleetConfig,
        member_id: str,
        now: float,
        terms: Callable[[], BalancerConfig],
        retune: Callable[[BalancerConfig], None],
        log: Callable[..., None],
    ) -> None:
        """`terms`: those in force; `retune`: puts others in force, in one turn."""
        self.config, self.part, self.terms, self.retune, self.log = config, part, terms, retune, log
        self.keeper = VoteStore(part.keep, part.name, config.name, log)
        self.policy_replica = PolicyReplica(
            member_id, config.name, float(part.lease_s), self, now, self.keeper.read()
        )
        self.file = common.common(config.settings, part.cover, part.zones)
        self.module: Any = None  # whose links the words go over

    # The door.

    def check(self, body: common.Body) -> str:
        faults = common.faults(body, self.config.settings, self.config.limits.memory_mb)
        if not faults:
            try:
                terms = self._terms(body, self.config)
            except ConfigError as unusable:
                return str(unusable)
            faults = [f"{name}: needs a restart" for name in keep_start_only_fields(terms, self.terms())[1]]
        return "; ".join(faults)

    def keep(self, kept: StoredPolicy) -> None:
        self.keeper.write(kept)

    def kept(self) -> str | None:
        return self.keeper.state

    def rule(self, policy: Policy) -> None:
        if policy.body is None or self.module is None:
            return
        self.retune(keep_start_only_fields(self._terms(policy.body, self.config), self.terms())[0])
        self.module.retuned(self.terms())
        self.module.cover_by(msgspec.convert(policy.body["cover"], ReplicationConfig))
        zones = policy.body.get("zones")
        self.module.zone_controller.configure(None if zones is None else msgspec.convert(zones, ZonesConfig))
        differ = [key for key, _, _ in common.differences(self.file, policy.body)]
        if differ:
            self.log("policy.file_differs", version=policy.version, keys=differ[:TOLD])

    def ask(self, member: str) -> None:
        if self.module is not None:
            self.module.say(member, DecisionRequestFrame())

    def note(self, event: str, **fields: Any) -> None:
        self.log(event, **fields)

    # What the host asks.

    def _terms(self, body: common.Body, config: SidecarConfig) -> BalancerConfig:
        merged = common.merged(body, config.settings)
        return balancer_config_of(msgspec.structs.replace(config, settings=merged), "policy")

    def renewed(self, config: SidecarConfig) -> BalancerConfig:
        """The terms by a file that was read again. Raises `Unusable`: it changes what is the fleet's."""
        part = config.fleet or self.part
        now = common.common(config.settings, part.cover, part.zones)
        policy = self.policy_replica.in_force
        policy_controller = policy.body if policy.body is not None else self.file
        if edited := common.edited(self.file, now, policy_controller):
            raise ConfigError(
                f"version {policy.version} of the fleet's policy holds, a change is to be proposed: "
                + "; ".join(edited)
            )
        self.file, self.config = now, msgspec.structs.replace(self.config, settings=config.settings)
        return self._terms(policy_controller, config)

    def says(self, asked: PolicyQueryFrame) -> list[Frame]:
        """To one that we have no link with: our word, and those that we have heard over our links."""
        policy_replica = self.policy_replica
        policy_replica.now = self.module.loop.now()
        frames: list[Frame] = [
            PolicyStatusFrame(policy_replica.word(), policy_replica.lately(self.module.links, RELAYED))
        ]
        return [*frames, *self.given()] if policy_replica.known > asked.known else frames

    def given(self) -> list[Frame]:
        decision = self.policy_replica.decision
        return [] if decision is None else [DecisionFrame(msgspec.json.encode(decision))]

    def heard(self, frame: Frame) -> list[Frame]:
        """A frame about the policy; what is answered."""
        match frame:
            case PolicyStatusFrame(word, others):
                for one in (word, *others[:RELAYED]):
                    self.policy_replica.heard(one)
            case DecisionRequestFrame():
                return self.given()
            case DecisionFrame(data):
                try:
                    self.policy_replica.told(msgspec.json.decode(data, type=PolicyDecision))
                except (msgspec.DecodeError, UnicodeDecodeError) as error:
                    self.log("policy.unreadable", error=str(error))
        return []


class PolicyPoller(Actor):
    """Where the words of others are needed, asks for those that no link brings; and the arbiter again.

    Of each other cell one member is asked in turn, which passes on what it has heard of its own.
    """

    daemon = True

    def __init__(
        self,
        links: LinkManager,
        policy_replica: PolicyReplica,
        state_watcher: Actor,
        rng: random.Random,
        lease: float,
    ) -> None:
        self.links, self.policy_replica, self.state_watcher = links, policy_replica, state_watcher
        self.rng, self.counts = rng, STATUS_LIFETIME * lease
        self.anew_at = -inf
        self.asked: dict[int | str, float] = {}  # when each cell, or each name by itself, was asked last
        super().__init__(links.loop)

    def run(self) -> Coroutine[None]:
        while True:
            policy_replica, now = self.policy_replica, self.loop.now()
            until = now + EACH * self.counts * (0.75 + 0.5 * self.rng.random())
            at = policy_replica.uneasy_at()
            if at > now and not policy_replica.doubt_since:
                until = max(until, min(at, now + self.counts))
            while self.loop.now() < until:
                yield until
            now = policy_replica.now = self.loop.now()
            if not policy_replica.uneasy:
                continue
            for link in self.links.links.values():
                link.post(CHECK_LINKS)
            for address in self._addresses(now):
                MemberQuery(self.links, address, policy_replica.known).begin()
            if policy_replica.promise is not None and now >= max(policy_replica.promise.at, self.anew_at):
                # Guards against a watch that has gone quiet just when what it would tell is waited for.
                self.anew_at = now + policy_replica.lease
                self.state_watcher.post(REGISTER_AGAIN)

    def _addresses(self, now: float) -> list[str]:
        """Whom to ask now: of those whose words are the oldest."""
        view, words = self.links.view, self.policy_replica.words
        there = {m.name: m.address for m in view.members.values()}
        heard = {view.members[m].name for m in self.links.links if m in view}
        known = {name: at for name, at in self.policy_replica.kept.addresses.items() if name not in there}
        mine, ours = there.get(self.policy_replica.name, ""), view.cell_of(self.policy_replica.member_id)
        groups: dict[int | str, list[str]] = {}
        for name, address in (known | there).items():
            if name not in heard and address and address != mine:
                cell = view.cell_of(f"{name}.")
                groups.setdefault(name if cell == ours else cell, []).append(address)
        latest: dict[int | str, float] = {}
        for word in words.values():
            cell = view.cell_of(word.member)
            group = word.name if cell == ours else cell
            latest[group] = max(word.at, latest.get(group, -inf))
        self.asked = {group: at for group, at in self.asked.items() if group in groups}
        due = [
            group
            for group in groups
            if now >= latest.get(group, -inf) + AGAIN * self.counts
            and now >= self.asked.get(group, -inf) + SLOW * self.counts
        ]
        # Guards against all asking the same ones: in an order of our own.
        self.rng.shuffle(due)
        due.sort(key=lambda group: max(latest.get(group, -inf), self.asked.get(group, -inf)))
        chosen = due[:AT_ONCE]
        self.asked |= dict.fromkeys(chosen, now)
        return [self.rng.choice(groups[group]) for group in chosen]
