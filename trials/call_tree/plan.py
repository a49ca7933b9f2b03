"""The options of a run. Their names are those of the command line and of the lines in the journal."""

from __future__ import annotations

from dataclasses import dataclass

from starlingwheel.decisions.config import RetrySafety

SCENES = ("calm", "slow", "errors", "hangs")


EXPIRY = 2.0  # times the latency objective


@dataclass(frozen=True)
class Plan:
    """What is played.

    `rate`: calls a second of each sidecar. `use`: part of the servers' capacity that first sends take.
    `budget`: second sends that a sidecar may make for each first send; None: as the program is, no bound.
    `tells`: an application whose caller is gone abandons its own call too. `hands_down`: it sends the time
    left. `passes_on`: what-if: an application whose own call was rejected rejects its caller's, as never run.
    `reports`: each response has a load report.
    """

    seed: int = 1
    scene: str = "calm"
    depth: int = 7
    services: int = 2
    instances: int = 5  # of a service: 1,600 sidecars in 310 services
    rate: float = 344.0
    use: float = 0.4
    cores: int = 2
    room: int = 256  # calls that wait at a server, before it rejects the next
    due: float = 1.0
    effect: str = "rerunnable"
    max_attempts: int = 3
    copies: bool = True
    budget: float | None = None
    passes_on: bool = False
    tells: bool = True
    hands_down: bool = True
    reports: bool = True
    part: float = 1.0  # of the calls at the leaf that fails
    learn: float = 2.0  # seconds of calm before the scene
    lasts: float = 2.0  # seconds of the fault
    last: float = 3.0  # seconds that are counted, from its begin
    most: int = 6_000_000  # events after which a run is void: it has grown past what is worth playing

    def faults(self) -> list[str]:
        """Return all that is wrong with it, each in a line."""
        wrong = [f"scene: {self.scene!r} is none of {', '.join(SCENES)}"] if self.scene not in SCENES else []
        for name, least, most in (
            ("depth", 1, 12), ("services", 1, 64), ("instances", 1, 256), ("rate", 0.1, 1e5),
            ("use", 0.001, 0.95), ("part", 0.0, 1.0), ("lasts", 0.0, 600.0), ("cores", 1, 256),
            ("max_attempts", 1, 16), ("due", 0.01, 60.0), ("learn", 0.0, 600.0), ("last", 0.1, 600.0),
        ):  # fmt: skip
            value = getattr(self, name)
            if not least <= value <= most:
                wrong.append(f"{name}: {value} is not from {least} to {most}")
        if self.budget is not None and not 0 <= self.budget <= 10:
            wrong.append(f"budget: {self.budget} is not from 0 to 10")
        if self.effect not in [effect.value for effect in RetrySafety]:
            wrong.append(f"effect: {self.effect!r} is unknown")
        calls = self.rate * self.services * self.instances * self.depth * (self.learn + self.last)
        if not wrong and 8 * calls > self.most:
            wrong.append(
                f"{calls:.0f} calls are more than {self.most} events allow; ask for fewer or less long"
            )
        return wrong
