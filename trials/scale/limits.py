"""What a run needs, and whether the machine has it: checked before anything is started."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from math import ceil

from .counts import machine_memory

DEFAULT_REAL_MEMBERS = 5  # real processes
DEFAULT_ALONE_MEMBERS = 2  # hollow members that have a process of their own
MAX_MEMBERS = 4000  # of a run
MAX_PROCESSES = 300
MAX_DESCRIPTORS = 20_000  # of a process
DESCRIPTOR_FRACTION = 3 / 4  # that is planned for: while links are dialed again, each takes more
PROCESS_DESCRIPTORS = 64  # of a process, beside those of members
MEMBER_DESCRIPTORS = 10  # of a member, beside its links: the store, listening, liveness checks
MEMORY_FRACTION = 1 / 2  # of the machine's
PROCESS_MEMORY = 32 << 20  # bytes
MEMBER_MEMORY = 320 << 10  # bytes
LINK_END_MEMORY = 12 << 10  # bytes


@dataclass(frozen=True)
class Plan:
    """How a fleet is laid out. `shared`: hollow members of each process that has many."""

    size: int
    real: int
    alone: int
    shared: list[int]

    @property
    def hollow(self) -> int:
        """All hollow members."""
        return self.alone + sum(self.shared)

    @property
    def processes(self) -> int:
        """All processes, with the run itself and the fake etcd."""
        return self.real + self.alone + len(self.shared) + 2


def make_plan(size: int, real: int, alone: int, cell_size: int, cores: int) -> tuple[Plan | None, str]:
    """Return how a fleet of that size is laid out, or None and why it can't be."""
    if real < 1:
        return None, f"{real} real processes: at least one is needed to compare with"
    least = real + alone + 1
    if not least <= size <= MAX_MEMBERS:
        return (
            None,
            f"size {size}: from {least} (real and alone ones, and one more) to {MAX_MEMBERS} is possible",
        )
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(soft, MAX_DESCRIPTORS) if soft != resource.RLIM_INFINITY else MAX_DESCRIPTORS
    # A cell is halved or doubled with hysteresis: it may come to twice its mean, and names spread unevenly.
    links = size if not cell_size else min(size, 4 * cell_size)
    needs = links + MEMBER_DESCRIPTORS
    members_per_process = int(DESCRIPTOR_FRACTION * (descriptors - PROCESS_DESCRIPTORS)) // needs
    if members_per_process < 1:
        why = f"{needs + PROCESS_DESCRIPTORS} descriptors are needed a process"
        return None, f"size {size}: {why}, {descriptors} allowed"
    store_needs = MEMBER_DESCRIPTORS * size
    if store_needs + PROCESS_DESCRIPTORS > descriptors:
        why = f"the arbiter needs {store_needs} descriptors, a process may have {descriptors}"
        return None, f"size {size}: {why}"
    many = size - real - alone
    count = min(many, max(ceil(many / members_per_process), cores - 2, 1))
    shared = [many // count + (i < many % count) for i in range(count)]
    plan = Plan(size, real, alone, shared)
    if plan.processes > MAX_PROCESSES:
        return None, f"size {size}: {plan.processes} processes are needed, {MAX_PROCESSES} are allowed"
    needed = plan.processes * PROCESS_MEMORY + plan.size * MEMBER_MEMORY + plan.size * links * LINK_END_MEMORY
    total, free = machine_memory()
    allowed = min(int(total * MEMORY_FRACTION), free)
    if needed > allowed:
        why = f"size {size}: {needed >> 20} MB are needed, {allowed >> 20} MB may be taken"
        return None, why
    return plan, ""
