#!/usr/bin/env bash
# Checks that the stand-ins and the cases 6 to 10 compile. They need Python 3.11
# and nothing beyond its standard library.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.py [6-9]/*.py 10/*.py; do
  [ -f "$file" ] || continue
  python3 - "$file" <<'P'
import sys

with open(sys.argv[1], encoding="utf-8") as source:
    compile(source.read(), sys.argv[1], "exec")
P
done
