PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test setup lint

setup: $(VENV)/installed

$(VENV)/installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/python -m chicoryhold.trial.demo

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: setup
	$(BIN)/python tests/run_all.py

.PHONY: capacity decisions processes

capacity: setup
	$(BIN)/python -m bench.capacity

decisions: setup
	$(BIN)/python -m bench.decisions

processes: setup
	$(BIN)/python -m bench.processes

.PHONY: stops

SEED ?= 1
STOPS_SECONDS ?= 10

stops: setup
	$(BIN)/python -m bench.stops --seed=$(SEED) --seconds=$(STOPS_SECONDS)

.PHONY: storms

STORMS_SECONDS ?= 15

storms: setup
	$(BIN)/python -m bench.storms --seed=$(SEED) --seconds=$(STORMS_SECONDS)
