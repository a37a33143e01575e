DEPLOYMENT ?= porth-data
VENV := .venv
PY := $(VENV)/bin/python

.PHONY: setup test lint format demo bench fuzz replay
setup: $(VENV)/.ready

$(VENV)/.ready: requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install -q -r requirements.txt
	$(PY) -m pip install -q --no-deps --no-build-isolation -e . || $(PY) -m pip install -q --no-deps -e .
	touch $(VENV)/.ready

test: setup
	$(PY) -m pytest

lint: setup
	$(PY) -m ruff format --check src tests demo benchmarks soak
	$(PY) -m flake8 src tests demo benchmarks soak
	$(PY) -m mypy

format: setup
	$(PY) -m ruff format src tests demo benchmarks soak

demo: setup
	@$(PY) -m demo --deployment $(DEPLOYMENT)

bench: setup
	$(PY) -m benchmarks
	benchmarks/baseline.sh

replay: setup
	$(PY) -m cuminhoist.emulator run examples/loads/*.json --plots=results/loads

fuzz: setup
	CUMINHOIST_FUZZ=200 $(PY) -m pytest -s tests/test_consensus.py
