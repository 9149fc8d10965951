PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SETUP := $(VENV)/.ready

.PHONY: demo test bench bench-quick capacity fuzz chaos lint format setup lock

setup: $(SETUP)

$(SETUP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(SETUP)

demo: $(SETUP)
	$(BIN)/python examples/demo.py

test: $(SETUP)
	$(BIN)/python -m pytest

bench: $(SETUP)
	$(BIN)/python -m benchmarks

bench-quick: $(SETUP)
	$(BIN)/python -m benchmarks --quick

lint: $(SETUP)
	$(BIN)/black --quiet --check --diff greengagehoist benchmarks examples conftest.py
	$(BIN)/ruff check greengagehoist benchmarks examples conftest.py

format: $(SETUP)
	$(BIN)/black --quiet greengagehoist benchmarks examples conftest.py
	$(BIN)/ruff check --quiet --fix greengagehoist benchmarks examples conftest.py

lock:
	$(BIN)/pip-compile --quiet --strip-extras --extra dev --no-emit-index-url --no-emit-find-links --no-header --output-file requirements.txt pyproject.toml

chaos: $(SETUP)
	$(BIN)/python -m benchmarks.chaos --seconds 300 --seed $${SEED:-1}

capacity: $(SETUP)
	$(BIN)/python -m benchmarks.capacity
