# Workspace commands; the README explains each.
VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
SOURCES := $(wildcard libs/*/src) platform
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(abspath $(SOURCES)))
export MYPYPATH := $(PYTHONPATH)
export PYTHONHASHSEED := 0
SEED ?= 1
SECONDS ?= 60

.PHONY: soak install test lint format types imports features setup demo up binary measure bench capacity fuzz compile reference

# Compares contents, not times: a fresh checkout has new times on old files.
setup:
	@cat requirements/*.txt | cmp -s - $(VENV)/.installed || $(MAKE) --no-print-directory install

install:
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --require-hashes -r requirements/runtime.txt -r requirements/dev.txt
	cat requirements/*.txt > $(VENV)/.installed

compile:
	$(BIN)/pip-compile -q --generate-hashes --no-emit-find-links --no-emit-index-url --strip-extras -o requirements/runtime.txt requirements/runtime.in
	$(BIN)/pip-compile -q --generate-hashes --allow-unsafe --no-emit-find-links --no-emit-index-url --strip-extras -o requirements/dev.txt requirements/dev.in

format: setup
	$(BIN)/ruff format -q .
	$(BIN)/ruff check -q --fix .

lint: setup
	$(BIN)/ruff format --check -q .
	$(BIN)/ruff check -q .
	$(BIN)/flake8 libs tools features platform

types: setup
	$(BIN)/mypy $(SOURCES)

imports: setup
	$(BIN)/lint-imports

features: setup
	$(BIN)/python tools/run_features.py

test: lint types imports features

demo: setup
	$(BIN)/python -m gypsumrelay_demo demo --deployment examples/lagos.json --seed $(SEED)

# For example: make measure MEASURE='--seeds 1 --seconds 10 --deployments examples/lagos.json'
MEASURE ?=
BENCH ?=
measure: setup
	$(BIN)/python -m gypsumrelay_bench $(MEASURE)

bench: setup
	$(BIN)/python -m gypsumrelay_bench.overhead $(BENCH)

up: setup
	exec $(BIN)/python -m gypsumrelay_demo up --deployment examples/lagos.json

binary: setup
	@$(BIN)/python tools/build_binary.py

reference: setup
	$(BIN)/python tools/write_reference.py

fuzz: setup
	$(BIN)/python -m gypsumrelay_demo chaos --deployment examples/lagos.json --seed $(SEED) --seconds $(SECONDS)

capacity: setup
	$(BIN)/python -m gypsumrelay_bench.capacity

effects: setup
	$(BIN)/python -m gypsumrelay_bench.effects

# For example: make soak SEED=7 RUNS=50
RUNS ?= 1
soak: setup
	$(BIN)/python -m gypsumrelay_soak --seed $(SEED) --runs $(RUNS)
