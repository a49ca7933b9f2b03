"""Stories of new settings at SIGHUP: whole or not at all, and open work keeps the old ones."""

import copy

import msgspec
import pytest
from conftest import SETTINGS, categories


def changed(path, value):
    """The settings with the value at a path replaced, or gone (`...`)."""
    settings = copy.deepcopy(SETTINGS)
    *way, last = path
    table = settings
    for step in way:
        table = table[step]
    if value is ...:
        del table[last]
    else:
        table[last] = value
    return settings


WRONG = [
    ("settings.categories[1].expiry", ("categories", 1, "expiry"), ...),
    ("settings.categories[0].expiry", ("categories", 0, "expiry"), None),
    ("expiry", ("categories", 0, "expiry"), 0),
    ("expiry", ("categories", 0, "expiry"), -1),
    ("expiry", ("categories", 0, "expiry"), True),
    ("expiry", ("categories", 0, "expiry"), "1000000"),
    ("dueTime", ("categories", 2, "dueTime"), 0),
    ("settings.categories[0].name", ("categories", 0, "name"), ...),
    ("mostHandOffs", ("caps", "mostHandOffs"), 0),
    ("mostHandOffs", ("caps", "mostHandOffs"), True),
    ("mostHandOffs", ("caps", "mostHandOffs"), None),
    ("mostHandOffs", ("caps", "mostHandOffs"), ...),
    ("mostHandOffs", ("caps", "mostHandOffs"), "3"),
    ("settings.rules", ("rules",), ...),
    ("settings.caps.cancel", ("caps", "cancel"), ...),
    ("categories", ("categories",), []),
    ("settings", ("categories",), 5),
    ("settings", ("caps",), 7),
    ("settings", ("categories", 1), "look"),
]


@pytest.mark.parametrize(("named", "path", "value"), WRONG)
def test_nothing_is_taken_from_settings_that_are_wrong(around, named, path, value):
    before = around.context.config, around.context.balancer_config, around.context.discovery.address
    around.reconfigure(settings=changed(path, value), discovery="127.0.0.1:9")
    [line] = around.logged("config.unusable")
    assert named in line["error"] and not around.logged("config.read")
    assert (around.context.config, around.context.balancer_config, around.context.discovery.address) == before
    assert around.context.coordinator.scheduler.balancer.config is before[1]


@pytest.mark.parametrize("text", [b" ", b"{", b"{}", b"[]", b'{"listen":"127.0.0.1:0"}'])
def test_nothing_is_taken_from_a_file_that_is_not_whole(around, text):
    before = around.context.config, around.context.balancer_config
    around.reconfigure(text)
    assert (
        around.logged("config.unusable") and (around.context.config, around.context.balancer_config) == before
    )


@pytest.mark.parametrize("key", ["settings", "limits", "peers", "name"])
def test_a_key_that_was_there_is_missed(make_surroundings, key):
    around = make_surroundings(name="n0")
    told = {k: v for k, v in around.told.items() if k != key}
    around.reconfigure(msgspec.json.encode(told))
    [line] = around.logged("config.unusable")
    assert key in line["error"]


def test_a_new_category_is_served_by_its_rules_and_a_dropped_one_still_by_its_own(around):
    times = {"dueTime": 1000000, "expiry": 2000000}
    # `look` is dropped, `buy` may be repeated now, `gaze` is new.
    now = [
        {"name": "gaze", "effect": "free"} | times,
        {"name": "buy", "effect": "guarded", "window": 2000000} | times,
        {"name": "move", "effect": "guarded", "window": 2000000} | times,
    ]
    around.reconfigure(settings=SETTINGS | {"categories": now})
    [line] = around.logged("config.read")
    assert line["taken_over"] == ["settings"] and line["need_restart"] == []
    asked = [
        around.request("look", x_trace_id="a"),
        around.request("buy", b"one", x_trace_id="b"),
        around.request("buy", b"one", x_trace_id="c", idempotency_key="k"),
        around.request("look", x_trace_id="d", x_qos="gaze", lead="GET /gaze/1 HTTP/1.1"),
    ]
    upstream = None
    for text in asked:
        client = around.client()
        client.sendall(text)
        upstream = upstream or around.accept()
        around.received(upstream)
        around.reply(upstream)
        assert around.status(client) == 200
        around.rested()
    around.context.former_request_classes = [
        (0.0, c) for _, c in around.context.former_request_classes
    ]  # three seconds later
    assert around.status(around.ask("look", x_trace_id="e")) == 404
    assert around.status(around.ask("buy", b"one", x_trace_id="f")) == 400


def test_settings_are_replaced_several_times_with_work_open(around):
    client = around.ask("look")
    upstream = around.accept()
    around.received(upstream)
    for due_time in (500000, 600000, 700000):
        only = [c for c in categories(due_time) if c["name"] == "buy"]
        around.reconfigure(settings=SETTINGS | {"categories": only})
        assert around.context.shortest_objective == due_time / 1e6
        clock = around.context.coordinator.scheduler.balancer.clock
        around.until(lambda clock=clock, wanted=due_time / 1e6: clock.shortest_objective == wanted)
    # Its category has gone twice over; it is answered all the same.
    around.reply(upstream)
    assert around.status(client) == 200 and not around.logged("module.defect")


def test_what_sockets_were_made_from_waits_for_a_restart(around):
    around.reconfigure(settings=SETTINGS | {"replicasOfMe": 3, "slotNo": 1})
    [line] = around.logged("config.read")
    assert line["need_restart"] == ["settings: sidecar_index", "settings: sidecars"]
    assert (around.context.balancer_config.sidecar_index, around.context.balancer_config.sidecars) == (0, 2)
