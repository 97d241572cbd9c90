PYTHON ?= python3
VENV = .venv
BIN = $(VENV)/bin

.PHONY: setup up demo test lint bench soak regression generate check-generated

$(VENV)/.ready: constraints.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --constraint constraints.txt uv
	$(BIN)/uv pip install --quiet --python $(BIN)/python \
	    --constraint constraints.txt --requirement requirements.in
	touch $@

setup: $(VENV)/.ready

generate: setup
	tools/generate.sh
	$(BIN)/python tools/settings_reference.py

check-generated: setup
	tools/check_generated.sh

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: setup
	tools/run_tests.sh $(ARGS)

up: setup
	$(BIN)/python -m plantaincart_testing.up $(ARGS)

demo: setup
	$(BIN)/python -m plantaincart_testing.demo $(ARGS)

bench: setup
	$(BIN)/python -m plantaincart_testing.bench $(PART) $(ARGS)

soak: setup
	PYTHONPATH=platform $(BIN)/python -m plantaincart_soak $(ARGS)

regression:
	tools/regression.sh $(ARGS)
