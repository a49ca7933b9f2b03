"""Helpers for the processes that trials start."""

from __future__ import annotations

import ctypes
import os
import signal
from pathlib import Path

PR_SET_PDEATHSIG = 1  # an option of prctl


def set_parent_death_signal() -> None:
    """Have the kernel kill this process when its parent ends, so that none outlives a killed trial."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def cpu_time(pid: int) -> float:
    """Return the seconds of CPU time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / os.sysconf("SC_CLK_TCK")
