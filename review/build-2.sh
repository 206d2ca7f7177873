#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They use Python's standard library alone, and the
# scripts start nothing else but the product, so that compiling them is enough.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q common-2 6 7 8 9 10
