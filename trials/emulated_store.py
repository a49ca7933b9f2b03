"""The coordination store in emulated time: transactions as the real one applies them, by revision."""

from __future__ import annotations

import msgspec

from starlingwheel.fleet.records import DECISION_KEY, Condition, PolicyDecision, StoreEntry, Transaction

ABSENT = StoreEntry(b"", 0, 0)  # what a condition on a missing key compares with


class EmulatedStore:
    """Its entries, and every change of them for watches."""

    def __init__(self) -> None:
        """An empty store at revision 1."""
        self.revision = 1
        self.entries: dict[str, StoreEntry] = {}
        self.events: list[tuple[int, str, StoreEntry | None]] = []  # revision, key, None where it was deleted
        self.decided: list[PolicyDecision] = []
        self.calls = 0

    def holds(self, transaction: Transaction) -> bool:
        """Whether all conditions of the transaction hold."""
        return all(self._matches(condition) for condition in transaction.conditions)

    def _matches(self, condition: Condition) -> bool:
        if condition.prefix:
            found = [entry for key, entry in self.entries.items() if key.startswith(condition.key)]
        else:
            found = [self.entries.get(condition.key, ABSENT)]
        revisions = [
            entry.create_revision if condition.target == "CREATE" else entry.mod_revision for entry in found
        ]
        if condition.result == "EQUAL":
            return all(revision == condition.value for revision in revisions)
        return all(revision < condition.value for revision in revisions)

    def write(self, transaction: Transaction) -> bool:
        """Apply the transaction if its conditions hold; whether they did."""
        self.calls += 1
        if not self.holds(transaction):
            return False
        self.revision += 1
        for key, value in transaction.put:
            self.put(key, value)
        for deleted in transaction.delete:
            is_prefix = deleted.endswith("/")
            keys = [key for key in self.entries if key == deleted or (is_prefix and key.startswith(deleted))]
            for key in keys:
                self.delete(key)
        return True

    def put(self, key: str, value: bytes) -> None:
        """Write one entry at the present revision."""
        before = self.entries.get(key)
        entry = StoreEntry(value, before.create_revision if before else self.revision, self.revision)
        self.entries[key] = entry
        self.events.append((self.revision, key, entry))
        if key == DECISION_KEY:
            self.decided.append(msgspec.json.decode(value, type=PolicyDecision))

    def delete(self, key: str) -> None:
        """Delete one entry at the present revision."""
        del self.entries[key]
        self.events.append((self.revision, key, None))
