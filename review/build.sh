#!/usr/bin/env bash
# Checks the stand-ins of the review's scripts. They are Python programs of the standard library and need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins.py engines.py */case.py <<'PYTHON'
import sys
assert sys.version_info >= (3, 9), "the stand-ins need Python 3.9"
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
PYTHON
