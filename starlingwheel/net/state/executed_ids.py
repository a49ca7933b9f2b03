"""The ids of requests that may have run and must not run again, whoever sends them.

A request may have run from the moment it is accepted until it is known that it has not: its client may leave,
and send the same id again on another connection or to the process that replaces this one. The processes of a
sidecar share a log in a file, whose order decides which of them an id belongs to. Of an id a fingerprint is
kept, and of all ids the latest `MAX_IDS`.
"""

from __future__ import annotations

import hashlib
import os
import struct
from pathlib import Path

IDS_FILE = "starlingwheel-ids.log"
MAX_IDS = 16_384  # far more than a process accepts within the longest timeout
RECORD = struct.Struct("=Q")  # a fingerprint; its lowest bit says whether the id is claimed or released
CLAIMED_BIT = 1
MAX_LOG_SIZE = 4 * MAX_IDS * RECORD.size  # bytes; a longer log is written anew


def fingerprint_of(request_id: bytes) -> int:
    """Return the fingerprint of an id, with the lowest bit cleared."""
    digest = hashlib.blake2b(request_id, digest_size=RECORD.size).digest()
    return int.from_bytes(digest, "big") & ~CLAIMED_BIT


class ExecutedIds:
    """The ids that may have run, at this process or at another one of the same sidecar."""

    def __init__(self, folder: str | None) -> None:
        """Use the log in `folder`, or none; raises OSError if it can't be opened."""
        self._fingerprints: dict[int, None] = {}  # the latest last
        self._descriptor: int | None = None
        self._read_up_to = 0  # bytes of the log that are applied
        if folder is not None:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self._descriptor = os.open(Path(folder, IDS_FILE), flags, 0o600)
            self._apply_log(os.fstat(self._descriptor).st_size)

    def __len__(self) -> int:
        """Return the number of ids that are remembered."""
        return len(self._fingerprints)

    def claim(self, request_id: bytes) -> bool:
        """Reserve an id for a request that is about to run; return False if it may have run already.

        Raises OSError if the log can't be written.
        """
        fingerprint = fingerprint_of(request_id)
        if self._descriptor is not None:
            # What others have written before this record counts before it.
            end = self._append(fingerprint | CLAIMED_BIT)
            self._apply_log(end - RECORD.size)
            self._read_up_to = end
        if fingerprint in self._fingerprints:
            return False
        self._add(fingerprint)
        return True

    def release(self, request_id: bytes) -> None:
        """Record that a claimed id has not run, or may be sent again without harm. Raises OSError."""
        fingerprint = fingerprint_of(request_id)
        if self._fingerprints.pop(fingerprint, 0) is None and self._descriptor is not None:
            end = self._append(fingerprint)
            self._apply_log(end - RECORD.size)
            self._read_up_to = end

    def compact(self) -> None:
        """Write the log anew if it is long. Raises OSError.

        To be called while no other process of the sidecar is running.
        """
        if self._descriptor is None or os.fstat(self._descriptor).st_size <= MAX_LOG_SIZE:
            return
        self._apply_log(os.fstat(self._descriptor).st_size)
        os.ftruncate(self._descriptor, 0)
        records = b"".join(RECORD.pack(fingerprint | CLAIMED_BIT) for fingerprint in self._fingerprints)
        os.write(self._descriptor, records)
        # A process that starts just now may have written before these.
        end, self._read_up_to = os.lseek(self._descriptor, 0, os.SEEK_CUR), 0
        self._apply_log(end - len(records))
        self._read_up_to = end

    def close(self) -> None:
        """Close the log."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None

    def _append(self, record: int) -> int:
        """Append a record to the log; return its end, in bytes from the beginning of the log."""
        assert self._descriptor is not None
        os.write(self._descriptor, RECORD.pack(record))
        return os.lseek(self._descriptor, 0, os.SEEK_CUR)

    def _apply_log(self, end: int) -> None:
        """Apply the records of other processes up to `end`."""
        assert self._descriptor is not None
        if end < self._read_up_to:
            self._read_up_to = 0  # another process has written the log anew
        length = (end - self._read_up_to) // RECORD.size * RECORD.size
        if not length:
            return
        for (record,) in RECORD.iter_unpack(os.pread(self._descriptor, length, self._read_up_to)):
            if record & CLAIMED_BIT:
                self._add(record & ~CLAIMED_BIT)
            else:
                self._fingerprints.pop(record, None)
        self._read_up_to += length

    def _add(self, fingerprint: int) -> None:
        self._fingerprints[fingerprint] = None
        while len(self._fingerprints) > MAX_IDS:
            del self._fingerprints[next(iter(self._fingerprints))]
