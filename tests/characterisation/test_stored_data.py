"""Files and records written at commit b81049c are read, and written again unchanged."""

import json
import shutil
from pathlib import Path
from typing import Any

import msgspec
import pytest

from starlingwheel.fleet.membership import Member
from starlingwheel.fleet.records import (
    PastProposal,
    PolicyDecision,
    PolicyProposal,
    Sharding,
    StoreEntry,
    StoreRecords,
    ZonePlan,
    ZoneReport,
)
from starlingwheel.net.discovery.messages import DiscoveredEndpoint as ListedEndpoint
from starlingwheel.net.fleet.policy import VoteStore
from starlingwheel.net.state.overrides import EndpointOverrides

STORED = Path(__file__).with_name("stored")
RECORDS = json.loads((STORED / "records.json").read_text())
TYPES = {
    "members/": Member,
    "policy/now": PolicyDecision,
    "policy/next": PolicyProposal,
    "policy/votes/": str,
    "policy/past/": PastProposal,
    "zones/plan": ZonePlan,
    "zones/said/": ZoneReport,
    "cells": Sharding,
}
NOW = 1_000_000_000.0
LISTED = ["s0", "s1", "s2", "s3"]


@pytest.mark.parametrize("key", [key for key in RECORDS if not key.startswith("names/")])
def test_a_record_of_the_coordination_store_is_written_again_unchanged(key: str) -> None:
    """The encoding of each type of record is the recorded one."""
    kind = next(kind for prefix, kind in TYPES.items() if key.startswith(prefix))
    value = RECORDS[key].encode()
    assert msgspec.json.encode(msgspec.json.decode(value, type=kind)) == value


def test_every_record_of_the_coordination_store_is_accepted() -> None:
    """A new version starts with the records of the old one."""
    records = StoreRecords()
    for key, value in RECORDS.items():
        revision = 12 if key == "policy/next" else 11
        assert (
            records.put(key, StoreEntry(value.encode(), create_revision=revision, mod_revision=revision))
            == ""
        ), key
    assert list(records.members) == ["m1.a"] and list(records.registered_names) == ["m1"]
    assert records.votes == {"m1": "no room"} and list(records.past_proposals) == [9]
    assert records.shard_count == 4 and records.plan_revision == 11 and list(records.zone_reports) == ["m1"]


def test_the_policy_file_is_read_and_written_again_unchanged(tmp_path: Path) -> None:
    """The vote file of a member keeps its content across an upgrade."""
    name = "starlingwheel-f-m1.json"
    shutil.copy(STORED / name, tmp_path / name)
    errors: list[Any] = []
    stored = VoteStore(str(tmp_path), "f", "m1", lambda *args, **fields: errors.append((args, fields))).read()
    assert not errors
    assert msgspec.json.encode(stored) == (STORED / name).read_bytes()


def test_the_operators_file_is_read_and_applied(tmp_path: Path) -> None:
    """Endpoints drained by an operator stay drained, and one put back into use keeps its start time."""
    name = "starlingwheel-operators.json"
    shutil.copy(STORED / name, tmp_path / name)
    errors: list[Any] = []
    overrides = EndpointOverrides(
        str(tmp_path), lambda: NOW, lambda *args, **fields: errors.append((args, fields))
    )
    assert not errors
    endpoints = [
        ListedEndpoint(id=endpoint_id, addr="127.0.0.1:1", started_ms=5000.0) for endpoint_id in LISTED
    ]
    applied = {
        entry.id: (entry.state, entry.started_ms) for entry in overrides.apply_watch_message(True, endpoints)
    }
    assert applied == {
        "s0": ("active", 5000.0),
        "s1": ("leaving", 5000.0),
        "s2": ("leaving", 5000.0),
        "s3": ("active", 4102444800000.0),
    }


def test_the_operators_file_is_written_again_unchanged(tmp_path: Path) -> None:
    """Changing a setting and changing it back restores the recorded content."""
    name = "starlingwheel-operators.json"
    shutil.copy(STORED / name, tmp_path / name)
    overrides = EndpointOverrides(str(tmp_path), lambda: NOW, lambda *_, **__: None)
    overrides.set_sidecar_draining(False)
    overrides.set_sidecar_draining(True)
    assert (tmp_path / name).read_bytes() == (STORED / name).read_bytes()
