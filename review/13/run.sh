#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1 TROUBLE="${TROUBLE:-1}"
exec timeout --preserve-status -k 2 118 python3 case.py
