"""A coordination store in emulated time, which applies transactions by revision as the real one does."""

from __future__ import annotations

import msgspec

from starlingwheel.fleet.records import DECISION_KEY, Condition, PolicyDecision, StoreEntry, Transaction

ABSENT = StoreEntry(b"", 0, 0)  # stands for a missing key in conditions


class EmulatedStore:
    """The entries of the store, and the history of their changes for watches."""

    def __init__(self) -> None:
        """Create an empty store at revision 1."""
        self.revision = 1
        self.entries: dict[str, StoreEntry] = {}
        self.events: list[
            tuple[int, str, StoreEntry | None]
        ] = []  # revision, key, new entry or None if deleted
        self.decided: list[PolicyDecision] = []
        self.calls = 0

    def holds(self, transaction: Transaction) -> bool:
        """Return whether all conditions of the transaction hold."""
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
        """Apply the transaction if its conditions hold, and return whether they did."""
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
        """Write an entry at the current revision."""
        before = self.entries.get(key)
        entry = StoreEntry(value, before.create_revision if before else self.revision, self.revision)
        self.entries[key] = entry
        self.events.append((self.revision, key, entry))
        if key == DECISION_KEY:
            self.decided.append(msgspec.json.decode(value, type=PolicyDecision))

    def delete(self, key: str) -> None:
        """Delete an entry at the current revision."""
        del self.entries[key]
        self.events.append((self.revision, key, None))
