#!/bin/bash
# The stand-ins need only the standard library; this checks that they compile.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q -f .
