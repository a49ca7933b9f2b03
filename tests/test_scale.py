"""Stories of a fleet's members without a sidecar round them, and of small scale runs: counts, never times."""

import subprocess
import sys

from trials.rig import ROOT


def test_a_members_actors_load_nothing_of_a_sidecars_start():
    code = (
        "import sys, starlingwheel.net.fleet.start, starlingwheel.net.fleet.policy;"
        "print([m for m in sys.modules if m.startswith('starlingwheel.net.')"
        " and m.rpartition('.')[2] in ('module', 'sidecar', 'calls', 'connection', 'upstream', 'client')"
        " or m == 'starlingwheel.net.lifecycle.start'])"
    )
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"
