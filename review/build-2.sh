#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of review/4 and review/5 start. They are all written in Python, use its standard
# library alone and run in the script's own process; nothing of the project's stand-ins is started. The daemon is the one
# of the deploy file's build, target/bin/plumdaled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
python3 - <<'CHECK'
import pathlib
for file in (pathlib.Path("review/common-2/standins.py"), *pathlib.Path("review").glob("[45]/case.py")):
    compile(file.read_text(), str(file), "exec")
CHECK
test -x target/bin/plumdaled || { echo "review/build-2.sh: target/bin/plumdaled is missing; run the build of deploy/system.toml" >&2; exit 1; }
