PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
SETUP := $(VENV)/.ready
FUZZ_FACTOR ?= 5
FUZZ_PROCESSES ?= 5
FUZZ_PACKAGES := $(patsubst %,greengagehoist/%/tests,config quota quarantine quiet_hours filters answers membership orders codec server http1 memory)

.PHONY: demo test bench bench-quick capacity fuzz chaos soak soak-quick lint format setup lock

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

# Gateway processes under random faults; a fresh seed unless SEED is set, COUNT runs.
soak: $(SETUP)
	$(BIN)/python -m benchmarks.soak $(if $(SEED),--seed $(SEED),--count $(or $(COUNT),1))

# The seeds that ever failed, and one more, short.
soak-quick: $(SETUP)
	$(BIN)/python -m benchmarks.soak --seconds 6 --seed 1 --seed 50

capacity: $(SETUP)
	$(BIN)/python -m benchmarks.capacity

# Each package runs with a fresh seed; a failing one prints its seed and its output.
fuzz: $(SETUP)
	@printf '%s\n' $(FUZZ_PACKAGES) | HYPOTHESIS_PROFILE=fuzz FUZZ_FACTOR=$(FUZZ_FACTOR) \
	xargs -P $(FUZZ_PROCESSES) -I{} sh -c '\
	seed=$$(od -An -N4 -tu4 /dev/urandom | tr -d " "); \
	if out=$$($(BIN)/python -m pytest {} --hypothesis-seed=$$seed --hypothesis-show-statistics 2>&1); \
	then result=passed; else result=FAILED; echo "$$out"; fi; \
	count=$$(echo "$$out" | sed -n "s/.* \([0-9]*\) passing, .*/\1/p" | awk "{sum += \$$1} END {print sum + 0}"); \
	echo "$$result {} factor=$$FUZZ_FACTOR seed=$$seed examples=$$count"; test $$result = passed'
