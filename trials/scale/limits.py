"""The layout of a fleet, and checks that the machine can run it, made before anything is started."""

from __future__ import annotations

import resource
from dataclasses import dataclass
from math import ceil

from .counts import machine_memory

DEFAULT_REAL_MEMBERS = 5  # real processes
DEFAULT_ALONE_MEMBERS = 2  # hollow members with a process of their own
MAX_MEMBERS = 4000  # members of a fleet
MAX_PROCESSES = 300
MAX_DESCRIPTORS = 20_000  # descriptors of a process
DESCRIPTOR_FRACTION = 3 / 4  # of the limit; members need more while links are dialed again
PROCESS_DESCRIPTORS = 64  # of a process, in addition to those of its members
MEMBER_DESCRIPTORS = 10  # of a member, in addition to its links: store, listening, liveness checks
MEMORY_FRACTION = 1 / 2  # of the machine's memory that a run may use
PROCESS_MEMORY = 32 << 20  # bytes
MEMBER_MEMORY = 320 << 10  # bytes
LINK_END_MEMORY = 12 << 10  # bytes


@dataclass(frozen=True)
class FleetLayout:
    """The members of a fleet and their processes.

    `real`: processes of the program. `alone`: hollow members with a process of their own.
    `shared_process_sizes`: the number of hollow members in each process that has several.
    """

    size: int
    real: int
    alone: int
    shared_process_sizes: list[int]

    @property
    def hollow(self) -> int:
        """The number of hollow members."""
        return self.alone + sum(self.shared_process_sizes)

    @property
    def processes(self) -> int:
        """The number of processes, including the run itself and the fake etcd."""
        return self.real + self.alone + len(self.shared_process_sizes) + 2


def make_layout(
    size: int, real: int, alone: int, cell_size: int, cores: int
) -> tuple[FleetLayout | None, str]:
    """Return the layout of a fleet of that size, or None and the reason why it is not possible."""
    if real < 1:
        return None, f"{real} real processes: at least one is needed for comparison"
    min_size = real + alone + 1
    if not min_size <= size <= MAX_MEMBERS:
        return (
            None,
            f"size {size}: must be from {min_size} (--real, --alone and one more) to {MAX_MEMBERS} members",
        )
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(soft, MAX_DESCRIPTORS) if soft != resource.RLIM_INFINITY else MAX_DESCRIPTORS
    # Shards are split and merged with hysteresis, so that a shard may have twice its mean size, and names are
    # spread unevenly.
    links = size if not cell_size else min(size, 4 * cell_size)
    member_descriptors = links + MEMBER_DESCRIPTORS
    members_per_process = int(DESCRIPTOR_FRACTION * (descriptors - PROCESS_DESCRIPTORS)) // member_descriptors
    if members_per_process < 1:
        reason = f"a process needs {member_descriptors + PROCESS_DESCRIPTORS} descriptors"
        return None, f"size {size}: {reason}, {descriptors} are allowed"
    store_descriptors = MEMBER_DESCRIPTORS * size
    if store_descriptors + PROCESS_DESCRIPTORS > descriptors:
        reason = f"the fake etcd needs {store_descriptors} descriptors, {descriptors} are allowed"
        return None, f"size {size}: {reason}"
    shared_members = size - real - alone
    count = min(shared_members, max(ceil(shared_members / members_per_process), cores - 2, 1))
    process_sizes = [shared_members // count + (i < shared_members % count) for i in range(count)]
    layout = FleetLayout(size, real, alone, process_sizes)
    if layout.processes > MAX_PROCESSES:
        return None, f"size {size}: {layout.processes} processes are needed, {MAX_PROCESSES} are allowed"
    needed = (
        layout.processes * PROCESS_MEMORY
        + layout.size * MEMBER_MEMORY
        + layout.size * links * LINK_END_MEMORY
    )
    total, free = machine_memory()
    allowed = min(int(total * MEMORY_FRACTION), free)
    if needed > allowed:
        reason = f"size {size}: {needed >> 20} MB are needed, {allowed >> 20} MB are allowed"
        return None, reason
    return layout, ""
