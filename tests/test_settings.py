"""Stories of configurations: what is refused at the start, and what follows from the settings."""

import copy

import msgspec
import pytest
from conftest import SETTINGS, categories

from starlingwheel.net.lifecycle.config import Unusable, configured

PUSHED = {
    "categories": categories(),
    "discovery": "push",
    "weightKind": "live",
    "replicasOfMe": 300,
    "slotNo": 7,
    "caps": {"streamsPerConn": 100, "probing": False, "mostHandOffs": 3, "connectTimeout": 100000},
    "charges": {"crossZone": 0.12, "connection": 0.03, "handshake": 0.03},
    "loadReport": {"how": "inline", "columns": ["failed_ps", "served_ps", "pending"]},
}


@pytest.fixture
def told(tmp_path):
    """The terms that a sidecar with these settings begins with."""

    def told(settings, **changed):
        settings = copy.deepcopy(settings)
        for key, value in changed.items():
            table, _, name = key.rpartition("__")
            (settings.setdefault(table, {}) if table else settings)[name] = value
        path = tmp_path / "config.json"
        given = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": settings}
        path.write_bytes(msgspec.json.encode(given))
        return configured({"EDGE_CONFIG": str(path)})[1]

    return told


def test_the_old_shape_follows_from_settings_that_say_nothing_new(told):
    terms = told(SETTINGS)
    assert terms.must_subscribe and terms.streams == 1 and not terms.sizes_move and not terms.keeping_price
    assert told({k: v for k, v in SETTINGS.items() if k != "discovery"}).must_subscribe


def test_the_new_shape_follows_from_the_settings_alone(told):
    terms = told(PUSHED)
    assert not terms.must_subscribe and terms.streams == 100 and terms.sizes_move
    assert terms.keeping_price == 0.03 and terms.sidecars == 300 and terms.number == 7


@pytest.mark.parametrize(
    ("settings", "changed", "named"),
    [
        (SETTINGS, {"caps__streamsPerConn": 100}, "caps.streamsPerConn"),
        (SETTINGS, {"weightKind": "live"}, "weightKind"),
        (PUSHED, {"caps__streamsPerConn": 1}, "caps.streamsPerConn"),
        (PUSHED, {"discovery": "ask"}, "caps.streamsPerConn"),
        (PUSHED, {"caps__probing": True}, "caps.probing"),
        (PUSHED, {"loadReport__how": "on_probe"}, "loadReport.how"),
        (PUSHED, {"charges__probe": 0.01}, "charges.probe"),
        (PUSHED, {"slotNo": 300}, "slotNo"),
        (PUSHED, {"discovery": "pull"}, "discovery"),
        (PUSHED, {"weightKind": 3}, "weightKind"),
        (PUSHED, {"weightKind": ["live"]}, "weightKind"),
        (PUSHED, {"loadReport__how": "sometimes"}, "loadReport.how"),
        (PUSHED, {"loadReport__columns": "served_ps"}, "loadReport.columns"),
        (PUSHED, {"caps__streamsPerConn": 0}, "caps.streamsPerConn"),
        (PUSHED, {"caps__streamsPerConn": 2.5}, "caps.streamsPerConn"),
        (PUSHED, {"caps__streamsPerConn": True}, "caps.streamsPerConn"),
        (PUSHED, {"caps__probing": "no"}, "caps.probing"),
        (PUSHED, {"charges__connection": -1}, "charges.connection"),
        (PUSHED, {"charges__crossZone": "dear"}, "charges.crossZone"),
        (PUSHED, {"replicasOfMe": 0}, "replicasOfMe"),
    ],
)
def test_what_is_wrong_or_mixed_is_refused_in_one_line_that_names_the_key(told, settings, changed, named):
    with pytest.raises(Unusable) as refused:
        told(settings, **changed)
    assert f"settings: {named}: " in str(refused.value) and "\n" not in str(refused.value)


def test_a_mixture_read_while_it_runs_leaves_what_is_in_force(make_surroundings):
    around = make_surroundings()
    around.reconfigure(settings=SETTINGS | {"weightKind": "live"})
    assert "weightKind" in around.logged("config.unusable")[0]["error"]
    client = around.ask()
    around.serve()
    assert around.status(client) == 200
