"""Changes of the fleet's policy under faults: each applies at all sidecars or at none, as clients see it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from fakes.http1 import ConnectionBrokenError

from .policy_faults import FaultKind, PolicyFaultInjector
from .policy_observer import Change, PolicyObserver, find_violations
from .rig import CAPS, CATEGORIES, CATEGORY_TIMES, ROOT, Cluster
from .verdict import TrialResult

CLOCK_AHEAD = 0.2  # seconds by which the clock of one sidecar is ahead
SMALL_MEMORY_LIMIT = 24.0  # MB, of one sidecar, which cannot apply a large policy
LARGE_POLICY_TENANTS = 140
LEASE = 1  # seconds
POLL_INTERVAL = 0.05  # seconds
PROPOSAL_DELAY = 0.7  # seconds before the proposal, more than the earliest fault precedes it
END_TIMEOUT = 12.0  # seconds from the last fault of a change to its end
MAX_PROPOSERS = 4  # sidecars at which a proposal is tried
NOW_KEY, NEXT_KEY = b"/trial/policy/now", b"/trial/policy/next"


def policy_body(label: str, tenants: int = 0) -> dict[str, Any]:
    """Return a policy with a category named `label`, and with `tenants` tenants to make it large."""
    category = {"name": label, "effect": "free", "payoff": 1.0} | CATEGORY_TIMES
    settings: dict[str, Any] = {
        "categories": [*CATEGORIES, category],
        "caps": CAPS,
        "rules": {"mustAskIn": 8_000_000},
        "discovery": "ask",
    }
    if tenants:
        names = [f"t{number}".ljust(50, ".") for number in range(tenants)]
        settings["tenants"] = [{"name": name, "share": 1.0} for name in names]
    replicated = [category["name"] for category in CATEGORIES]
    cover = {"categories": replicated, "name_header": "x-work-name", "keepers": 1}
    return {"settings": settings, "cover": cover}


def decision_in_store(cluster: Cluster) -> dict[str, Any] | None:
    """Return the latest decision in the coordination store."""
    entry = cluster.store.entries.get(NOW_KEY)
    return json.loads(entry.value) if entry else None


def outcome(cluster: Cluster, label: str) -> str:
    """Return 'decided' or 'dropped' by the store; empty while the change is open or if never proposed."""
    decision = decision_in_store(cluster)
    if decision:
        categories = decision["policy"]["body"]["settings"]["categories"]
        if label in [category["name"] for category in categories]:
            return "decided"
    for _, key, value in cluster.store.write_history:
        if key == NEXT_KEY.decode() and label.encode() in value:
            proposal = cluster.store.entries.get(NEXT_KEY)
            return "" if proposal and label.encode() in proposal.value else "dropped"
    return ""


def _make_cluster(seed: int, sidecars: int, root: Path, fleet: bool) -> Cluster:
    categories = policy_body("a0")["settings"]["categories"]
    return Cluster(
        seed, sidecars, upstreams=4, service_time=0.01, root=root, fleet=fleet, lease=LEASE,
        categories=categories, clock_offsets={1: CLOCK_AHEAD}, memory_limits={2: SMALL_MEMORY_LIMIT},
    )  # fmt: skip


def _make_rng(seed: int) -> random.Random:
    return random.Random(f"{seed}-policy")


async def run_changes(
    seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True, count: int = 7, faulty: bool = True
) -> TrialResult:
    """Make `count` changes one after another, each with faults in some phase unless `faulty` is False."""
    async with _make_cluster(seed, sidecars, root, fleet) as cluster:
        rng = _make_rng(seed)
        observer, injector = PolicyObserver(cluster), PolicyFaultInjector(cluster, rng)
        changes: list[Change] = []
        await asyncio.sleep(0.5)
        for number in range(1, count + 1):
            changes.append(Change(f"a{number}"))
            observer.add_label(changes[-1].label)
            await _change_with_faults(cluster, rng, changes[-1], injector if faulty else None, fleet)
            await _wait_for_followers(cluster, observer, changes, 15.0 if fleet else 3.0)
        observer.stop()
        return _make_result(cluster, observer, changes)


async def _change_with_faults(
    cluster: Cluster, rng: random.Random, change: Change, injector: PolicyFaultInjector | None, fleet: bool
) -> None:
    """Make the change under faults and wait until it has ended."""
    faults = injector.draw() if injector is not None else []
    change.faults = [str(fault) for fault in faults]
    begin = asyncio.get_running_loop().time() + PROPOSAL_DELAY
    injections = [
        asyncio.create_task(injector.inject(fault, begin)) for fault in faults if injector is not None
    ]
    await asyncio.sleep(PROPOSAL_DELAY)
    if fleet:
        is_unfit = any(fault.kind == FaultKind.UNFIT_POLICY for fault in faults)
        await _propose(cluster, rng, change, LARGE_POLICY_TENANTS if is_unfit else 0)
    else:
        await _rewrite_files(cluster, change)
    await asyncio.gather(*injections)
    if fleet:
        # All faults have ended by now, so the change comes to an end.
        await _wait_until(
            lambda: not change.proposal_status or bool(outcome(cluster, change.label)), END_TIMEOUT
        )
        change.outcome = outcome(cluster, change.label)


async def _wait_for_followers(
    cluster: Cluster, observer: PolicyObserver, changes: list[Change], seconds: float
) -> None:
    """Wait until all sidecars serve under the last decided policy, and record those that do not."""
    loop = asyncio.get_running_loop()
    last_decided = ([change for change in changes if change.outcome == "decided"] or [Change("a0")])[-1]
    await asyncio.sleep(max(0.0, last_decided.switch_at - loop.time()))
    since = loop.time()

    def lagging() -> list[str]:
        return [s.name for s in cluster.sidecars if not observer.serves(s, last_decided.label, since)]

    await _wait_until(lambda: not lagging(), seconds)
    if lagging():
        changes[-1].faults.append(f"lagging behind {last_decided.label}: {lagging()}")


async def store_outage(seed: int, sidecars: int = 8, root: Path = ROOT, fleet: bool = True) -> TrialResult:
    """Stop the store for twenty lease times: no request is deferred because of the outage."""
    async with _make_cluster(seed, sidecars, root, fleet) as cluster:
        rng, change = _make_rng(seed), Change("a1")
        observer, loop = PolicyObserver(cluster), asyncio.get_running_loop()
        await _change_without_faults(cluster, rng, change, 1.0)
        down_at = loop.time()
        await cluster.store.take_down()
        await asyncio.sleep(20.0 * LEASE)
        up_at = loop.time()
        await cluster.store.start()
        await asyncio.sleep(3.0 * LEASE)
        observer.stop()
        result = _make_result(cluster, observer, [change])
        answers_during = [a for a in observer.answers if down_at < a.sent_at < up_at and a.label == "a1"]
        deferred = sum(answer.status != 200 for answer in answers_during)
        result.counts |= {"asked while it was gone": len(answers_during), "not finished of these": deferred}
        if deferred:
            result.violations.append(f"{deferred} requests did not succeed while the store was down")
        return result


async def restart_without_store(
    seed: int, sidecars: int = 6, root: Path = ROOT, fleet: bool = True
) -> TrialResult:
    """Restart all sidecars while the store is down: they follow the last policy from their stored data."""
    async with _make_cluster(seed, sidecars, root, fleet) as cluster:
        rng, change = _make_rng(seed), Change("a1")
        observer, loop = PolicyObserver(cluster), asyncio.get_running_loop()
        await _change_without_faults(cluster, rng, change, 0.5)
        await cluster.store.take_down()
        for sidecar in cluster.sidecars:
            sidecar.kill()
        since = loop.time()
        for sidecar in cluster.sidecars:
            sidecar.start()
        await _wait_until(lambda: all(observer.serves(s, "a1", since) for s in cluster.sidecars), 20.0)
        restored = [sidecar.name for sidecar in cluster.sidecars if observer.serves(sidecar, "a1", since)]
        duration = loop.time() - since
        observer.stop()
        result = _make_result(cluster, observer, [change])
        result.counts |= {"back without the arbiter": len(restored), "after ms": round(1000 * duration)}
        if len(restored) < sidecars:
            result.violations.append(f"only {restored} serve the policy after the restart")
        return result


async def rolling_restart(seed: int, sidecars: int = 5, root: Path = ROOT, fleet: bool = True) -> TrialResult:
    """Stop sidecars by SIGTERM and restart them while changes are made."""
    async with _make_cluster(seed, sidecars, root, fleet) as cluster:
        rng, observer = _make_rng(seed), PolicyObserver(cluster)
        changes = [Change(f"a{number}") for number in range(1, 4)]
        for change in changes:
            observer.add_label(change.label)
            await _propose(cluster, rng, change, 0)
            for sidecar in rng.sample(cluster.sidecars, 2):
                sidecar.signal(signal.SIGTERM)
                assert sidecar.process is not None
                await asyncio.to_thread(sidecar.process.wait)
                sidecar.start()
            await _wait_until(
                lambda c=change: not c.proposal_status or bool(outcome(cluster, c.label)), END_TIMEOUT
            )
            change.outcome = outcome(cluster, change.label)
            await asyncio.sleep(max(0.0, change.switch_at + 0.5 - asyncio.get_running_loop().time()))
        observer.stop()
        return _make_result(cluster, observer, changes)


CASES = {"quiet": store_outage, "restart": restart_without_store, "replaced": rolling_restart}


async def _wait_until(condition: Callable[[], bool], seconds: float) -> None:
    until = asyncio.get_running_loop().time() + seconds
    while not condition() and asyncio.get_running_loop().time() < until:
        await asyncio.sleep(POLL_INTERVAL)


async def _change_without_faults(cluster: Cluster, rng: random.Random, change: Change, delay: float) -> None:
    """Make a change without faults and wait until `delay` seconds past its switch time."""
    await _propose(cluster, rng, change, 0)
    await _wait_until(lambda: bool(outcome(cluster, change.label)), 5.0)
    change.outcome = outcome(cluster, change.label)
    await asyncio.sleep(max(0.0, change.switch_at + delay - asyncio.get_running_loop().time()))


async def _propose(cluster: Cluster, rng: random.Random, change: Change, tenants: int) -> None:
    """Propose the change at random sidecars until one accepts it, at most MAX_PROPOSERS."""
    loop = asyncio.get_running_loop()
    for sidecar in rng.sample(cluster.sidecars, len(cluster.sidecars))[:MAX_PROPOSERS]:
        began_at = loop.time()
        with contextlib.suppress(ConnectionBrokenError, TimeoutError, OSError):
            call = {"policy": policy_body(change.label, tenants)}
            change.proposal_status, _ = await sidecar.admin_call("PUT", "/_policy/propose", call)
            if change.proposal_status in (200, 503):  # 503: the proposal may be in the store
                break
    proposal = cluster.store.entries.get(NEXT_KEY)
    entry_value = json.loads(proposal.value) if proposal else decision_in_store(cluster)
    if entry_value is not None:
        change.switch_at = began_at + entry_value["at"] - cluster.to_wall_clock(began_at)
    if change.proposal_status == 200:
        await _wait_until(lambda: bool(outcome(cluster, change.label)), 2.0)
        change.ended_after = loop.time() - began_at


async def _rewrite_files(cluster: Cluster, change: Change) -> None:
    """Without a fleet, rewrite each sidecar's file and send SIGHUP; one of the files is cut short."""
    cluster.categories = policy_body(change.label)["settings"]["categories"]
    for sidecar in cluster.sidecars:
        text = json.dumps(sidecar.configuration())
        sidecar.config_path.write_text(text if sidecar is not cluster.sidecars[-1] else text[:-5])
        sidecar.signal(signal.SIGHUP)
    change.switch_at, change.outcome = asyncio.get_running_loop().time(), "decided"


def _make_result(cluster: Cluster, observer: PolicyObserver, changes: list[Change]) -> TrialResult:
    result = TrialResult()
    result.violations = find_violations(observer.answers, changes, cluster.start)
    for change in changes:
        lagging = [fault for fault in change.faults if fault.startswith("lagging")]
        if lagging:
            result.violations.append(f"{change.label} ({change.outcome}): {lagging[0]}")
        if change.proposal_status == 200 and not change.outcome:
            result.violations.append(f"{change.label}: neither decided nor dropped")
    if defects := cluster.defects():
        result.violations.append(f"an error in the program was logged: {defects[0]}")
    if result.violations:
        result.violations += [
            f"{change.label}: {change.proposal_status} {change.outcome}"
            f" at {change.switch_at - cluster.start:.3f}: {change.faults}"
            for change in changes
        ]
    uncertain_times = [
        line["after"] for sidecar in cluster.sidecars for line in sidecar.log_lines("policy.sure")
    ]
    outcomes = Counter(change.outcome or "not taken" for change in changes)
    times = sorted(change.ended_after for change in changes if change.outcome == "decided")
    statuses = Counter(answer.status for answer in observer.answers)
    result.counts = {
        "changes": len(changes),
        **outcomes,
        "answers": len(observer.answers),
        "deferred": statuses[503],
        "doubts": len(uncertain_times),
        "doubt ms, worst": round(1000 * max(uncertain_times, default=0)),
        "decided after ms, median": round(1000 * times[len(times) // 2]) if times else 0,
    }
    return result
