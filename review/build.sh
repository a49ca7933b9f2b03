#!/bin/sh
# Prepares what the test scripts start beside the sidecar: stand-ins in plain Python, run by the sidecar's own venv.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python - <<'PY'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
