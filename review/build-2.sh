#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: small Python programs that use the
# standard library alone, so compiling them is all there is to do.
set -e
cd "$(dirname "$0")"
python3 - loopback.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py <<'PY'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
    print("compiled", name)
PY
