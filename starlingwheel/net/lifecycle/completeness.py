"""Which settings a new configuration file has to have: those that the files before it had.

A file may be half written or half edited, and a missing key would silently take its default. Entries of a
list, such as request classes, may be added and dropped. So each entry is compared with the entries that the
process has accepted so far:

- an entry of a known name, and of the same effect as before, has every key that it had;
- any entry has the keys that all entries of its effect had, and those that all entries of the list had.

Entries that were dropped still count: one that comes back has to be as complete as it was.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import reduce
from typing import Any

Keys = frozenset[str]
Entry = dict[str, Any]


def _present(table: Mapping[str, Any]) -> Keys:
    """Return the keys of a table that are not null: a null means the same as an absent key."""
    return frozenset(key for key, value in table.items() if value is not None)


@dataclass(frozen=True, slots=True)
class ListKeys:
    """The keys that the entries of one list had."""

    of_entry: dict[tuple[object, object], Keys] = field(default_factory=dict)  # by name and effect
    effect_of: dict[object, object] = field(default_factory=dict)  # the last one of the entry of a name
    of_effect: dict[object, Keys] = field(default_factory=dict)  # those that all entries of an effect had
    of_all: Keys | None = None  # those that all entries had; None: there was none

    def including(self, entry: Entry) -> ListKeys:
        """Return the keys with those of another entry that has been accepted."""
        keys, name, effect = _present(entry), entry.get("name"), entry.get("effect")
        return ListKeys(
            self.of_entry | {(name, effect): keys | self.of_entry.get((name, effect), Keys())},
            self.effect_of | {name: effect},
            self.of_effect | {effect: keys & self.of_effect.get(effect, keys)},
            keys if self.of_all is None else keys & self.of_all,
        )

    def missing(self, entry: object) -> list[str]:
        """Return the keys that a new entry lacks, in alphabetical order."""
        if not isinstance(entry, dict):
            return sorted(self.of_all or ())
        name = entry.get("name")
        effect = entry.get("effect") or self.effect_of.get(name)
        required = self.of_entry.get((name, effect), Keys()) | self.of_effect.get(effect, Keys())
        return sorted((required | (self.of_all or Keys())) - _present(entry))


@dataclass(frozen=True, slots=True)
class KnownKeys:
    """The keys of the settings that the process has accepted so far.

    The keys outside lists are those of the last settings, which have all keys of the earlier ones.
    """

    last: dict[str, Any] = field(default_factory=dict)
    lists: dict[str, ListKeys] = field(default_factory=dict)  # by the path of the list

    def including(self, settings: dict[str, Any]) -> KnownKeys:
        """Return the known keys with those of settings that have been accepted."""
        lists = dict(self.lists)
        for path, entries in _lists_of_tables(settings):
            lists[path] = reduce(ListKeys.including, entries, lists.get(path, ListKeys()))
        return KnownKeys(settings, lists)

    def missing(self, settings: dict[str, Any]) -> list[str]:
        """Return the paths of the keys that new settings lack."""
        return [*_missing_in_table(self.last, settings), *self._missing_in_lists(settings)]

    def _missing_in_lists(self, settings: dict[str, Any]) -> Iterator[str]:
        for path, known in self.lists.items():
            entries = _value_at(settings, path)
            for index, entry in enumerate(entries if isinstance(entries, list) else []):
                yield from (f"{path}[{index}].{key}" for key in known.missing(entry))


def _lists_of_tables(table: Mapping[str, Any], prefix: str = "") -> Iterator[tuple[str, list[Entry]]]:
    """Yield the path and the entries of each list of tables."""
    for key, value in table.items():
        if isinstance(value, dict):
            yield from _lists_of_tables(value, f"{prefix}{key}.")
        elif value and isinstance(value, list) and all(isinstance(entry, dict) for entry in value):
            yield prefix + key, value


def _value_at(table: Mapping[str, Any], path: str) -> object:
    """Return the value at a path, or None."""
    value: object = table
    for key in path.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return value


def _missing_in_table(before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[str]:
    for key, value in before.items():
        new_value = after.get(key)
        if new_value is None and value is not None:
            yield key
        elif isinstance(value, dict):
            inner_keys = _missing_in_table(value, new_value if isinstance(new_value, dict) else {})
            yield from (f"{key}.{inner}" for inner in inner_keys)
