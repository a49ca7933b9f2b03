"""What a seed draws: the settings of the sidecar, the requests of its clients, and the signals."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass, field
from math import inf

from fakes.delivery import Delivery, Ending, Framing

from ..backends import Json
from ..single import request_class

MAX_COUNTED_TIMEOUT = 3.0  # seconds of the longest timeout that count for the kill
KILL_DELAY = 0.7  # seconds from the longest timeout after SIGTERM to the earliest SIGKILL
LOAD_TIME = 6.0  # seconds of load before SIGTERM
METHODS = {"read": "GET", "pay": "POST", "change": "POST"}
CATEGORY_WEIGHTS = {"read": 0.4, "pay": 0.35, "change": 0.25}
LONG_BODY = 65_536  # bytes of a response up to which its last byte is timed
LIMITS = {"memory_mb": 80, "sockets": 384}
HALVED_SHARE = 0.3  # of the seeds, in which the limits are halved
SHORT_TIME_SHARE, SHORT_TIMES = 0.15, (0.2, 0.5)  # of the requests, and seconds that their clients wait
PIECES_SHARE, PIECE_SIZES, PIECE_PAUSES = 0.15, (1, 300), (0.0, 0.004)  # of the responses; bytes and seconds
MAX_PIECES = 200  # of one response
PAUSE_TIMES = (0.02, 0.15)  # seconds for which a process is held up
SERIES = 14  # signals within a second


class Kind(enum.Enum):
    """What is special about a request, its client or its response."""

    USUAL = "usual"
    LATE_BODY = "late body"  # a long response whose body comes long after its head
    TRICKLE = "trickle"  # a long response that comes slowly from the start
    SHORT_LATE = "short, late"
    HANG = "hang"  # a head or a part of a body, and nothing more
    BREAK = "break"  # a response that is reset
    BREAK_SOON = "break soon"  # one that ends or becomes unreadable at any share of its client's time
    ERROR = "error"  # a status that is no success, with a late body
    UPLOAD = "upload"  # a long request, read slowly
    SLOW_READER = "slow reader"
    LEAVE = "leave"  # the client leaves before the response; the id comes again


WEIGHTS = {
    Kind.USUAL: 10.0,
    Kind.LATE_BODY: 3.0,
    Kind.TRICKLE: 1.0,
    Kind.SHORT_LATE: 1.0,
    Kind.HANG: 0.5,
    Kind.BREAK: 0.7,
    Kind.BREAK_SOON: 3.0,
    Kind.ERROR: 0.8,
    Kind.UPLOAD: 1.2,
    Kind.SLOW_READER: 0.7,
    Kind.LEAVE: 1.5,
}


@dataclass(eq=False)
class RequestPlan:
    """One request: what its client sends and does, and how a server responds to it."""

    trace: str
    category: str
    kind: Kind
    timeout: float  # seconds that the client waits
    length: int = 40  # bytes of the response
    delivery: Delivery = field(default_factory=Delivery)
    work: float = 0.01  # seconds before the head of the response
    status: int = 200
    never_ran: bool = False  # the response says that the request has not run
    upload: int = 0  # bytes of the request
    upload_rate: float = inf  # bytes a second
    is_chunked: bool = False  # the request
    read_rate: float = inf  # bytes a second that the client reads
    leaves_after: float = inf  # seconds after its last byte at which the client leaves
    leaves_by_reset: bool = False
    repeats_after: float = inf  # seconds after it has left at which the id comes again

    @property
    def is_long(self) -> bool:
        """Whether the first bytes of the response are timed, and not the last one."""
        return self.length > LONG_BODY


class SoakPlan:
    """All draws of one seed."""

    def __init__(self, seed: int) -> None:
        """Draw the settings and the signals."""
        self.rng = rng = random.Random(seed)
        self.seed = seed
        scale = rng.choice([0.3, 0.5, 1.0])  # short deadlines and usual ones
        self.timeout = rng.uniform(2.0, 2.6) * scale + 0.4
        self.window = self.timeout
        self.objectives = {
            "read": rng.uniform(0.8, 1.1) * scale,
            "pay": rng.uniform(0.7, 0.9) * scale,
            "change": rng.uniform(0.6, 0.8) * scale,
        }
        self.scope = rng.choice(["all", "cell"])
        self.is_replaced = rng.random() < 0.5  # another process takes the place of the first one
        self.has_crowd = rng.random() < 0.4  # idle clients, and clients that write slowly
        self.has_noise = rng.random() < 0.4  # one client sends small and unsound requests at full speed
        self.sidecars = rng.choice([1, 2, 3, 5])
        self.rate = rng.uniform(25, 45) * self.sidecars**0.5  # requests a second at all sidecars
        self.reloads_at = self._draw_reloads()
        self.server_changes_at = sorted(rng.uniform(1, LOAD_TIME - 1) for _ in range(rng.choice([0, 1, 2])))
        self.drains_at = sorted(rng.uniform(1, LOAD_TIME) for _ in range(rng.choice([0, 1, 2])))
        self.moves_discovery = rng.random() < 0.5  # with each reload
        outage_at = rng.uniform(1, LOAD_TIME - 1)
        self.outage = (outage_at, outage_at + rng.uniform(1, 4)) if rng.random() < 0.4 else None
        self.pauses_at = sorted(rng.uniform(0.5, LOAD_TIME + 1) for _ in range(rng.choice([0, 0, 6])))
        factor = 0.5 if rng.random() < HALVED_SHARE else 1.0
        self.limits = {name: int(limit * factor) for name, limit in LIMITS.items()}
        self.count = 0

    def _draw_reloads(self) -> list[float]:
        """Return when the configuration is read again: a few times, or in a series."""
        rng, count = self.rng, self.rng.choice([0, 1, 3, SERIES])
        if count < SERIES:
            return sorted(rng.uniform(1, LOAD_TIME) for _ in range(count))
        begin = rng.uniform(1, LOAD_TIME - 2)
        return sorted(begin + rng.uniform(0, 1.5) for _ in range(count))

    @property
    def discovery_fails(self) -> bool:
        """Whether a change of the list may reach the sidecars late."""
        return self.outage is not None or (self.moves_discovery and bool(self.reloads_at))

    def categories(self) -> list[Json]:
        """Return the settings of the request classes."""
        return [
            request_class("read", "free", self.objectives["read"], self.timeout),
            request_class("pay", "single_shot", self.objectives["pay"], self.timeout, payoff=4.0),
            request_class(
                "change",
                "guarded",
                self.objectives["change"],
                self.timeout,
                dedupScope=self.scope,
                window=int(self.window * 1e6),
            ),
        ]

    @property
    def kill_after(self) -> float:
        """Seconds from SIGTERM to the earliest SIGKILL."""
        return min(self.timeout, MAX_COUNTED_TIMEOUT) + KILL_DELAY

    def describe(self) -> Json:
        """Return the draws as data."""
        return {
            "timeout": round(self.timeout, 3),
            "objectives": {name: round(value, 3) for name, value in self.objectives.items()},
            "scope": self.scope,
            "replaced": self.is_replaced,
            "crowd": self.has_crowd,
            "noise": self.has_noise,
            "rate": round(self.rate, 1),
            "reloads": [round(at, 2) for at in self.reloads_at],
            "server_changes": [round(at, 2) for at in self.server_changes_at],
            "drains": [round(at, 2) for at in self.drains_at],
            "sidecars": self.sidecars,
            "pauses": len(self.pauses_at),
            "limits": self.limits,
            "moves": self.moves_discovery,
            "outage": [round(at, 2) for at in self.outage or ()],
        }

    def next_request(self) -> RequestPlan:
        """Draw a request."""
        rng = self.rng
        category = rng.choices([*CATEGORY_WEIGHTS], [*CATEGORY_WEIGHTS.values()])[0]
        kind = rng.choices([*WEIGHTS], [*WEIGHTS.values()])[0]
        self.count += 1
        timeout = rng.uniform(0.8, 1.0) * self.timeout
        if rng.random() < SHORT_TIME_SHARE:
            timeout = min(timeout, rng.uniform(*SHORT_TIMES))
        plan = RequestPlan(f"{category}-{self.count}", category, kind, timeout)
        plan.work = rng.uniform(0.002, 0.03)
        plan.delivery.framing = rng.choice(list(Framing))
        if rng.random() < PIECES_SHARE:
            plan.delivery.piece_size = rng.randint(*PIECE_SIZES)
            plan.delivery.piece_pause = rng.choice(PIECE_PAUSES)
        self._draw_kind(plan, self.objectives[category])
        if plan.delivery.piece_size:
            plan.delivery.piece_size = max(plan.delivery.piece_size, plan.length // MAX_PIECES)
        return plan

    def _draw_kind(self, plan: RequestPlan, objective: float) -> None:
        rng, delivery = self.rng, plan.delivery
        match plan.kind:
            case Kind.LATE_BODY:
                plan.length = rng.randrange(70_000, 300_000)
                delivery.body_delay = rng.uniform(0.3, 2.0) * objective
                delivery.rate = rng.choice([inf, 400_000.0, 1_000_000.0])
            case Kind.TRICKLE:
                plan.length = rng.randrange(66_000, 120_000)
                delivery.rate = rng.uniform(40_000, 150_000)
            case Kind.SHORT_LATE:
                plan.length = rng.randrange(1, 60_000)
                delivery.body_delay = rng.uniform(0.5, 1.2) * objective
            case Kind.HANG | Kind.BREAK:
                plan.length = rng.choice([100, 5_000, 150_000])
                delivery.limit = rng.choice([0, 50, 90_000])
                delivery.ending = Ending.HANG if plan.kind is Kind.HANG else Ending.RESET
                delivery.body_delay = rng.choice([0.0, 0.4 * objective])
            case Kind.BREAK_SOON:
                self._draw_break(plan, objective)
            case Kind.ERROR:
                plan.status, plan.never_ran = rng.choice([(500, False), (503, True), (503, False)])
                plan.length = rng.choice([0, 20, 3_000, 100_000])
                delivery.body_delay = rng.choice([0.0, 1.5]) * objective * bool(plan.length)
            case Kind.UPLOAD if plan.category != "read":
                plan.upload = rng.randrange(66_000, 600_000)
                plan.upload_rate = rng.choice([inf, 300_000.0])
                plan.is_chunked = rng.random() < 0.5
            case Kind.SLOW_READER:
                plan.length = rng.randrange(100_000, 400_000)
                plan.read_rate = rng.uniform(100_000, 300_000)
            case Kind.LEAVE:
                plan.work = rng.uniform(0.05, 0.6) * objective
                plan.leaves_after = rng.uniform(0.002, 0.2)
                plan.leaves_by_reset = rng.random() < 0.5
                plan.repeats_after = rng.choice([inf, 0.01, 0.05, 0.5])

    def _draw_break(self, plan: RequestPlan, objective: float) -> None:
        """Draw one that breaks off milliseconds after its head, or at any share of its client's time."""
        rng, delivery = self.rng, plan.delivery
        plan.work = rng.uniform(0.01, 0.9) * min(objective, plan.timeout)
        plan.length = rng.choice([1_500, 60_000, 150_000])
        delivery.limit = min(rng.choice([0, 50, 900, 30_000]), plan.length - 1)
        delivery.ending_delay = rng.uniform(0.001, 0.005)
        if rng.random() < 0.4:
            delivery.ending_delay = rng.uniform(0.0, 1.1) * max(0.0, plan.timeout - plan.work)
        endings = [Ending.RESET]
        if delivery.framing is Framing.CHUNKED:
            endings += [Ending.CLOSE, Ending.NOISE]
        elif delivery.framing is Framing.LENGTH:
            endings.append(Ending.CLOSE)
        delivery.ending = rng.choice(endings)
