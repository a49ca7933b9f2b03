"""Other processes of the same sidecar: while one replaces another, both share the sidecar's limits."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

LOCK_FILE = "starlingwheel-processes.lock"
MAX_PROCESSES = 8  # of one sidecar at a time


class SiblingProcesses:
    """Each process locks one byte of a file; the kernel drops the lock with the process, however it ends."""

    def __init__(self, folder: str) -> None:
        """Lock a byte of the file in `folder`. Raises OSError where the file can't be opened."""
        path = Path(folder, LOCK_FILE)
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.slot = next((slot for slot in range(MAX_PROCESSES) if self._lock(slot)), MAX_PROCESSES)

    def _lock(self, slot: int) -> bool:
        try:
            fcntl.lockf(self.descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, slot)
        except OSError:
            return False
        return True

    def has_others(self) -> bool:
        """Return whether another process of this sidecar runs."""
        for slot in range(MAX_PROCESSES):
            if slot == self.slot:
                continue
            if not self._lock(slot):
                return True
            fcntl.lockf(self.descriptor, fcntl.LOCK_UN, 1, slot)
        return False

    def close(self) -> None:
        """Give the lock up."""
        os.close(self.descriptor)
