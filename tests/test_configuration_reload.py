"""Reload of the configuration by SIGHUP: it is applied as a whole or not at all."""

import copy
from collections.abc import Callable
from types import EllipsisType
from typing import Any

import msgspec
import pytest
from conftest import SETTINGS, SidecarHarness, request_class_settings

Path = tuple[str | int, ...]  # of keys and indexes in the settings


def changed_settings(path: Path, value: object) -> dict[str, Any]:
    """Return the settings with the value at a path replaced, or removed if the value is `...`."""
    settings: dict[str, Any] = copy.deepcopy(SETTINGS)
    *parents, key = path
    table: Any = settings
    for parent in parents:
        table = table[parent]
    if value is ...:
        del table[key]
    else:
        table[key] = value
    return settings


INVALID: list[tuple[str, Path, object | EllipsisType]] = [
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


@pytest.mark.parametrize(("named", "path", "value"), INVALID)
def test_invalid_settings_change_nothing(
    harness: SidecarHarness, named: str, path: Path, value: object
) -> None:
    """A file with invalid settings is rejected as a whole, and the log names the key."""
    before = harness.context.config, harness.context.balancer_config, harness.context.discovery.address
    harness.reconfigure(settings=changed_settings(path, value), discovery="127.0.0.1:9")
    [line] = harness.log_lines("config.unusable")
    assert named in line["error"] and not harness.log_lines("config.read")
    assert (
        harness.context.config,
        harness.context.balancer_config,
        harness.context.discovery.address,
    ) == before
    assert harness.context.coordinator.scheduler.balancer.config is before[1]


@pytest.mark.parametrize("text", [b" ", b"{", b"{}", b"[]", b'{"listen":"127.0.0.1:0"}'])
def test_an_incomplete_file_changes_nothing(harness: SidecarHarness, text: bytes) -> None:
    """A half-written file, or one without required fields, is rejected."""
    before = harness.context.config, harness.context.balancer_config
    harness.reconfigure(text)
    assert (
        harness.log_lines("config.unusable")
        and (harness.context.config, harness.context.balancer_config) == before
    )


@pytest.mark.parametrize("key", ["settings", "limits", "peers", "name"])
def test_a_file_that_lacks_a_key_of_the_former_file_is_rejected(
    make_harness: Callable[..., SidecarHarness], key: str
) -> None:
    """A missing key that has a default is rejected too, and the log names it."""
    harness = make_harness(name="n0")
    config = {k: v for k, v in harness.config.items() if k != key}
    harness.reconfigure(msgspec.json.encode(config))
    [line] = harness.log_lines("config.unusable")
    assert key in line["error"]


def test_a_dropped_request_class_is_served_by_its_former_rules_for_a_while(harness: SidecarHarness) -> None:
    """The same applies to a class whose retry safety changed; after the retention both are gone."""
    times = {"dueTime": 1000000, "expiry": 2000000}
    # `look` is dropped, `buy` becomes retryable with a key, and `gaze` is new.
    classes = [
        {"name": "gaze", "effect": "free"} | times,
        {"name": "buy", "effect": "guarded", "window": 2000000} | times,
        {"name": "move", "effect": "guarded", "window": 2000000} | times,
    ]
    harness.reconfigure(settings=SETTINGS | {"categories": classes})
    [line] = harness.log_lines("config.read")
    assert line["taken_over"] == ["settings"] and line["need_restart"] == []
    requests = [
        harness.request_bytes("look", x_trace_id="a"),
        harness.request_bytes("buy", b"one", x_trace_id="b"),
        harness.request_bytes("buy", b"one", x_trace_id="c", idempotency_key="k"),
        harness.request_bytes("look", x_trace_id="d", x_qos="gaze", request_line="GET /gaze/1 HTTP/1.1"),
    ]
    upstream = None
    for request in requests:
        client = harness.connect_client()
        client.sendall(request)
        upstream = upstream or harness.accept()
        harness.read_request(upstream)
        harness.send_response(upstream)
        assert harness.read_status(client) == 200
        harness.wait_for_idle_connections()
    # After the retention of 3 s:
    former = harness.context.former_request_classes
    harness.context.former_request_classes = [(0.0, request_class) for _, request_class in former]
    assert harness.read_status(harness.send_request("look", x_trace_id="e")) == 404
    assert harness.read_status(harness.send_request("buy", b"one", x_trace_id="f")) == 400


def test_several_reloads_while_a_request_is_in_flight(harness: SidecarHarness) -> None:
    """Each reload applies at once, and the request is answered although its class has been dropped."""
    client = harness.send_request("look")
    upstream = harness.accept()
    harness.read_request(upstream)
    for microseconds in (500000, 600000, 700000):
        only = [c for c in request_class_settings(microseconds) if c["name"] == "buy"]
        harness.reconfigure(settings=SETTINGS | {"categories": only})
        objective = microseconds / 1e6
        assert harness.context.shortest_objective == objective
        clock = harness.context.coordinator.scheduler.balancer.clock
        harness.wait_until(lambda clock=clock, objective=objective: clock.shortest_objective == objective)
    harness.send_response(upstream)
    assert harness.read_status(client) == 200 and not harness.log_lines("module.defect")


def test_fields_that_are_fixed_at_the_start_need_a_restart(harness: SidecarHarness) -> None:
    """Such fields keep their values, and the log names them."""
    harness.reconfigure(settings=SETTINGS | {"replicasOfMe": 3, "slotNo": 1})
    [line] = harness.log_lines("config.read")
    assert line["need_restart"] == ["settings: sidecar_index", "settings: sidecars"]
    assert (harness.context.balancer_config.sidecar_index, harness.context.balancer_config.sidecars) == (0, 2)
