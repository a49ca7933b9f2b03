"""The file that outlives a process: the policy in force, and the vote that still binds."""

from __future__ import annotations

import contextlib
import os
import threading
from collections.abc import Callable
from pathlib import Path

import msgspec

from ...fleet.policy.document import digest
from ...fleet.policy.host import StoredPolicy

decoder = msgspec.json.Decoder(StoredPolicy)


class VoteStore:
    """Reads the file at the start, and writes it on a thread of its own: a slow disk holds up nothing."""

    def __init__(self, folder: str, fleet: str, name: str, log: Callable[..., None]) -> None:
        """`folder` empty: nothing is stored. `name`: of this member."""
        self.path = Path(folder, f"starlingwheel-{fleet}-{name}.json") if folder else None
        self.fleet, self.log = fleet, log
        self.data = b""  # what the file is to hold
        self.pending = threading.Event()
        self.written: bytes | None = None  # what it holds
        self.fault = ""
        if self.path is not None:
            threading.Thread(target=self._run, args=(self.path,), daemon=True).start()

    def read(self) -> StoredPolicy:
        """What the file holds; one that can't be used counts as missing, and is logged."""
        if self.path is None:
            return StoredPolicy(self.fleet)
        try:
            stored = decoder.decode(self.path.read_bytes())
            self._check(stored)
        except FileNotFoundError:
            return StoredPolicy(self.fleet)
        except (OSError, ValueError, msgspec.DecodeError) as error:
            self.log("policy.unreadable", error=str(error))
            return StoredPolicy(self.fleet)
        return stored

    def _check(self, stored: StoredPolicy) -> None:
        if stored.fleet != self.fleet:
            raise ValueError(f"of the fleet {stored.fleet!r}")
        if stored.decision is None:
            return
        for policy in (stored.decision.policy, stored.decision.previous):
            if policy.body is not None and digest(policy.body) != policy.digest:
                raise ValueError("its digest is another one's")

    def write(self, stored: StoredPolicy) -> None:
        """Have the file hold this; `state` tells when it does."""
        if self.path is not None:
            self.data = msgspec.json.encode(stored)
            self.pending.set()

    @property
    def state(self) -> str | None:
        """Empty: what was written last is on the disk; None: not yet; else why it is not."""
        if self.path is None or self.written == self.data:
            return ""
        return self.fault or None

    def _run(self, path: Path) -> None:
        while True:
            self.pending.wait()
            self.pending.clear()
            data = self.data
            if data == self.written:
                continue
            try:
                _replace(path, data)
                self.written, self.fault = data, ""
            except OSError as error:
                self.fault = error.strerror or "not written"


def _replace(path: Path, data: bytes) -> None:
    """Write the file in one step; raises `OSError`, and leaves the file as it was."""
    temporary = path.with_suffix(f".{os.getpid()}")
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())  # a vote is not forgotten when the machine goes down with the process
        os.replace(temporary, path)
    except OSError:
        with contextlib.suppress(OSError):
            temporary.unlink()
        raise
