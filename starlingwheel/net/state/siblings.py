"""Whether another process of this sidecar lives: at a replacement two share its limits for a while."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

LOCK_FILE = "starlingwheel-processes.lock"
MAX_PROCESSES = 8  # processes at a time


class SiblingProcesses:
    """Each process locks one byte of a file; the kernel drops the lock with the process, however it ends."""

    def __init__(self, folder: str) -> None:
        self.fd = os.open(Path(folder, LOCK_FILE), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.slot = next((slot for slot in range(MAX_PROCESSES) if self._lock(slot)), MAX_PROCESSES)

    def _lock(self, slot: int) -> bool:
        try:
            fcntl.lockf(self.fd, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, slot)
        except OSError:
            return False
        return True

    def others(self) -> bool:
        for slot in range(MAX_PROCESSES):
            if slot != self.slot:
                if not self._lock(slot):
                    return True
                fcntl.lockf(self.fd, fcntl.LOCK_UN, 1, slot)
        return False

    def close(self) -> None:
        os.close(self.fd)
