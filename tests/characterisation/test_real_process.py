"""A real process writes to its clients, upstreams and discovery what it wrote at commit b81049c."""

import json
from pathlib import Path

from characterisation.real_process import transcript

RECORDED = json.loads(Path(__file__).with_name("real_process.json").read_text())


def test_the_output_of_a_process_is_the_recorded_transcript() -> None:
    """Each message must be equal, apart from the masked values."""
    assert transcript() == RECORDED
