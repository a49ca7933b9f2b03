"""A real process writes to client, upstream, discovery and administrator what it wrote at b81049c."""

import json
from pathlib import Path

from characterisation.real_process import transcript

RECORDED = json.loads(Path(__file__).with_name("real_process.json").read_text())


def test_all_that_a_process_writes_is_the_recorded_transcript():
    assert transcript() == RECORDED
