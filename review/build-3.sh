#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python programs, of this
# project and of lib-3, that use the libraries of the deploy file's build; this
# checks that all of them can be loaded.
set -eu
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="target/deps:packages/core:packages/router:packages/standins:platform:review/lib-3" \
    python3 -c "
import ast, pathlib
import chervilwall_standins.loopback
import chervilwall_standins.users.store
import chervilwall_standins.users.target
import harness
for path in pathlib.Path('review').glob('1[1-5]/case.py'):
    ast.parse(path.read_text())
"
chmod +x review/1[1-5]/run.sh
