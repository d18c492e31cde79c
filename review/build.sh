#!/bin/sh
# Builds the stand-ins of all cases, after the build of the deploy file. They are plain Python and need nothing
# beyond the standard library, so that building them is checking that each can be compiled.
cd "$(dirname "$0")/.." || exit 2
[ -x .venv/bin/python ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 2; }
exec .venv/bin/python - <<'PROGRAM'
from pathlib import Path

for source in sorted(Path("review").rglob("*.py")):
    compile(source.read_text(), str(source), "exec")
PROGRAM
