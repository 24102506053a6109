# Every target sets up what it needs.
PYTHON ?= python3
VENV := .venv
PY := $(VENV)/bin/python
PKGS := packages/core:packages/router:packages/operator:packages/platform:packages/standins
export PYTHONPATH := $(PKGS):platform

.PHONY: demo test measure slopes flood relay-flood slow-host format

$(VENV)/.ready: requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	touch $@

demo: $(VENV)/.ready
	@$(PY) -m chervilwall_standins.demo

test: $(VENV)/.ready
	@$(PY) tools/check.py

measure: $(VENV)/.ready
	@$(PY) -m chervilwall_standins.measure

flood: $(VENV)/.ready
	@$(PY) -m chervilwall_standins.users.flood

relay-flood: $(VENV)/.ready
	@$(PY) -m chervilwall_standins.users.relay_flood

slow-host: $(VENV)/.ready
	@$(PY) -m chervilwall_standins.users.slow_host

slopes: $(VENV)/.ready
	@$(PY) -m chervilwall_standins.slopes

format: $(VENV)/.ready
	@$(VENV)/bin/ruff format packages platform tools examples
	@$(VENV)/bin/ruff check --fix packages platform tools examples
