#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: they are Python source, so this
# checks that each of them compiles with the Python that runs them.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'P'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer"
files = [*pathlib.Path("review").rglob("*.py")]
files += [*pathlib.Path("packages/standins/chervilwall_standins").rglob("*.py")]
for path in files:
    ast.parse(path.read_text(), str(path))
sys.path[:0] = ["target/deps", "packages/standins"]
from chervilwall_standins.users.store import FakeStore  # noqa: F401
print(f"{len(files)} files compile")
P
