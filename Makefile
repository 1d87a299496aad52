PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
STAMP = $(VENV)/installed.stamp

.PHONY: venv test lint demo bench capacity clean

venv: $(STAMP)

$(STAMP): pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --editable '.[dev]'
	touch $@

test: venv
	$(BIN)/python tools/run_tests.py

lint: venv
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 .

demo: venv
	$(BIN)/python -m tools.demo

bench: venv
	$(BIN)/python -m bench.run_all

capacity: venv
	$(BIN)/python -m bench.capacity

clean:
	rm -rf build .ruff_cache .hypothesis
