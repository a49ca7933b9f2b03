"""What a run needs, and whether the machine has it: told before anything is started."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from math import ceil

from .counts import machine_memory

REAL = 5  # real processes, at least
ALONE = 2  # hollow members that have a process of their own
MOST = 4000  # entries that the program's client of the arbiter believes
PROCESSES = 300
DESCRIPTORS = 20_000  # a process, at most
SPARE = 3 / 4  # of them are planned for: where links are called again each takes more for a while
BESIDE = 64  # descriptors of a process that are no member's
EACH = 10  # of a member, beside its links: arbiter, listening, knocks
MEMORY = 1 / 2  # of the machine's
# Bytes, as measured at 25 to 200 members: of a process, of a member in it, of one end of a link.
A_PROCESS, A_MEMBER, AN_END = 32 << 20, 320 << 10, 12 << 10


@dataclass(frozen=True)
class Plan:
    """`shared`: hollow members of each process that has many."""

    size: int
    real: int
    alone: int
    shared: list[int]

    @property
    def hollow(self) -> int:
        return self.alone + sum(self.shared)

    @property
    def processes(self) -> int:
        return self.real + self.alone + len(self.shared) + 2


def planned(size: int, real: int, alone: int, cell_size: int, cores: int) -> tuple[Plan | None, str]:
    """How a fleet of that size is laid out, or why it can't be."""
    if real < 1:
        return None, f"{real} real processes: at least one is needed to compare with"
    least = real + alone + 1
    if not least <= size <= MOST:
        return None, f"size {size}: from {least} (real and alone ones, and one more) to {MOST} is possible"
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(soft, DESCRIPTORS) if soft != resource.RLIM_INFINITY else DESCRIPTORS
    # A cell is halved or doubled with hysteresis: it may come to twice its mean, and names spread unevenly.
    links = size if not cell_size else min(size, 4 * cell_size)
    needs = links + EACH
    a_process = int(SPARE * (descriptors - BESIDE)) // needs
    if a_process < 1:
        return None, f"size {size}: {needs + BESIDE} descriptors are needed a process, {descriptors} allowed"
    if EACH * size + BESIDE > descriptors:
        return (
            None,
            f"size {size}: the arbiter needs {EACH * size} descriptors, a process may have {descriptors}",
        )
    many = size - real - alone
    count = min(many, max(ceil(many / a_process), cores - 2, 1))
    shared = [many // count + (i < many % count) for i in range(count)]
    plan = Plan(size, real, alone, shared)
    if plan.processes > PROCESSES:
        return None, f"size {size}: {plan.processes} processes are needed, {PROCESSES} are allowed"
    needed = plan.processes * A_PROCESS + plan.size * A_MEMBER + plan.size * links * AN_END
    total, free = machine_memory()
    allowed = min(int(total * MEMORY), free)
    if needed > allowed:
        why = f"size {size}: {needed >> 20} MB are needed, {allowed >> 20} MB may be taken"
        return None, why
    return plan, ""
