"""The views that the watcher of the coordination store publishes."""

from collections.abc import Iterator

import msgspec
import pytest

from starlingwheel.fleet.membership import Member, MembershipView
from starlingwheel.net.fleet.etcd import StateWatcher
from starlingwheel.net.fleet.etcd.messages import Event, KeyValue, WatchEvents, encode_base64
from starlingwheel.net.fleet.messages import ViewChanged
from starlingwheel.net.loop import Loop

LEASE = 1.0  # seconds


class WatcherHarness:
    """A state watcher that receives the lines of a watch from the test, and the views that it publishes."""

    def __init__(self) -> None:
        """Start as if all records up to revision 1 had been read."""
        self.messages: list[object] = []
        self.loop = Loop(lambda actor, error: None)
        self.watcher = StateWatcher(
            self.loop,
            ["127.0.0.1:1"],
            LEASE,
            None,
            lambda *_, **__: None,
            None,
            "f",
            notify=self.messages.append,
        )
        self.watcher.revision = 1

    def receive(self, *events: Event) -> None:
        """Have the watcher receive one line with these events."""
        self.watcher.apply_events(WatchEvents(events=list(events)))

    @property
    def views(self) -> list[MembershipView]:
        """The published views, in order."""
        return [message.view for message in self.messages if isinstance(message, ViewChanged)]


@pytest.fixture
def watcher_harness() -> Iterator[WatcherHarness]:
    """Provide a state watcher whose loop is closed after the test."""
    harness = WatcherHarness()
    yield harness
    harness.loop.close()


def event(key: str, value: object, revision: int, type_: str = "PUT") -> Event:
    """Return the event of a change of an entry."""
    pair = KeyValue(encode_base64(f"/f/{key}"), encode_base64(msgspec.json.encode(value)))
    pair.create_revision = pair.mod_revision = str(revision)
    return Event(pair, type_)


def test_views_come_in_the_order_of_changes_of_members_and_of_shards(watcher_harness: WatcherHarness) -> None:
    """Each change is published by itself, because other members may use the view in between."""
    a, b, c = (Member(f"n{i}.00", f"n{i}", "") for i in range(3))
    watcher_harness.receive(
        event("members/n0.00", a, 2),
        event("cells", {"count": 2}, 3),
        event("members/n1.00", b, 4),
        event("zones/said/n1.00", {"at": 1.0, "zones": {}}, 4),
        # One transaction: a member and the shard count in one revision are one change.
        event("members/n2.00", c, 5),
        event("cells", {"count": 4}, 5),
        event("cells", None, 6, "DELETE"),
    )
    views = [(len(view.members), view.shard_count) for view in watcher_harness.views]
    assert views == [(1, 1), (1, 2), (2, 2), (3, 4), (3, 1)]
    assert len({view.digest for view in watcher_harness.views}) == 5


@pytest.mark.parametrize("value", [None, 3, {}, {"count": 3}, {"count": 0}, {"count": 1 << 20}])
def test_an_invalid_shard_count_does_not_replace_the_previous_one(
    watcher_harness: WatcherHarness, value: object
) -> None:
    """A value that is not a power of two within bounds is ignored."""
    member = Member("n0.00", "n0", "")
    watcher_harness.receive(event("members/n0.00", member, 2), event("cells", {"count": 4}, 3))
    watcher_harness.receive(event("cells", value, 4))
    assert watcher_harness.views[-1].shard_count == 4
