"""Detection of other processes of the same sidecar, which share its limits while one replaces another."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

LOCK_FILE = "starlingwheel-processes.lock"
MAX_PROCESSES = 8  # processes of one sidecar at a time


class SiblingProcesses:
    """The lock of this process: one byte of a file that all processes of the sidecar share.

    The kernel releases the lock when the process ends, however it ends.
    """

    def __init__(self, folder: str) -> None:
        """Lock a byte of the file in `folder`; raises OSError if the file can't be opened."""
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
        """Return whether another process of this sidecar is running."""
        for slot in range(MAX_PROCESSES):
            if slot == self.slot:
                continue
            if not self._lock(slot):
                return True
            fcntl.lockf(self.descriptor, fcntl.LOCK_UN, 1, slot)
        return False

    def close(self) -> None:
        """Release the lock."""
        os.close(self.descriptor)
