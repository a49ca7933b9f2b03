"""The options of a run, named as on the command line and in the JSON lines of the results."""

from __future__ import annotations

from dataclasses import dataclass

from starlingwheel.decisions.config import RetrySafety

SCENES = ("calm", "slow", "errors", "hangs")

TIMEOUT_OBJECTIVES = 2.0  # timeout of a call as a multiple of the latency objective


@dataclass(frozen=True)
class Plan:
    """The options of one run.

    `rate`: calls a second of each sidecar. `use`: fraction of the servers' capacity that first attempts take.
    `room`: calls that wait in the queue of a server; it rejects further ones. `due`: the latency objective in
    seconds. `effect`: the retry safety of the calls. `copies`: hedging is allowed. `budget`: hedges and
    retries that a sidecar may make for each first attempt; None: no bound, as in the program. `tells`: an
    application whose caller is gone abandons its own call too. `hands_down`: an application sends the time
    left with its call. `passes_on`: what-if: an application whose own call was rejected rejects the call of
    its caller as never run.
    `reports`: each response has a load report. `part`: fraction of the calls at the leaf that the fault hits.
    `learn`: seconds without a fault before counting begins. `lasts`: seconds of the fault. `last`: seconds
    that are counted, from the beginning of the fault. `most`: events after which a run is void, since its
    load has grown beyond what is worth simulating.
    """

    seed: int = 1
    scene: str = "calm"
    depth: int = 7
    services: int = 2
    instances: int = 5  # of a service: 1,600 sidecars in 310 services
    rate: float = 344.0
    use: float = 0.4
    cores: int = 2
    room: int = 256
    due: float = 1.0
    effect: str = "rerunnable"
    max_attempts: int = 3
    copies: bool = True
    budget: float | None = None
    passes_on: bool = False
    tells: bool = True
    hands_down: bool = True
    reports: bool = True
    part: float = 1.0
    learn: float = 2.0
    lasts: float = 2.0
    last: float = 3.0
    most: int = 6_000_000

    def validation_errors(self) -> list[str]:
        """Return a message for each invalid option."""
        errors = (
            [f"scene: {self.scene!r} is not one of {', '.join(SCENES)}"] if self.scene not in SCENES else []
        )
        for name, minimum, maximum in (
            ("depth", 1, 12), ("services", 1, 64), ("instances", 1, 256), ("rate", 0.1, 1e5),
            ("use", 0.001, 0.95), ("part", 0.0, 1.0), ("lasts", 0.0, 600.0), ("cores", 1, 256),
            ("max_attempts", 1, 16), ("due", 0.01, 60.0), ("learn", 0.0, 600.0), ("last", 0.1, 600.0),
        ):  # fmt: skip
            value = getattr(self, name)
            if not minimum <= value <= maximum:
                errors.append(f"{name}: {value} is not from {minimum} to {maximum}")
        if self.budget is not None and not 0 <= self.budget <= 10:
            errors.append(f"budget: {self.budget} is not from 0 to 10")
        if self.effect not in [effect.value for effect in RetrySafety]:
            errors.append(f"effect: {self.effect!r} is unknown")
        calls = self.rate * self.services * self.instances * self.depth * (self.learn + self.last)
        if not errors and 8 * calls > self.most:
            errors.append(
                f"{calls:.0f} calls need more than {self.most} events; reduce the rate or the duration"
            )
        return errors
