# Everything a newcomer needs: make demo, make test.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := schema common node cli emulator

# Options of tools/run_tests.py, such as a module: make test TEST_OPTIONS=tests.test_logs
TEST_OPTIONS ?=

.PHONY: setup test demo bench slopes soak soak-platform soak-retries soak-core lint format generate clean

setup: $(STAMP)

$(STAMP): requirements.txt constraints.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt --constraint constraints.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps $(foreach p,$(PACKAGES),--editable packages/$(p))
	touch $(STAMP)

test: setup
	$(BIN)/python tools/run_tests.py $(TEST_OPTIONS)

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: setup
	$(BIN)/pip install --quiet --requirement requirements-generate.txt
	$(BIN)/python tools/generate.py
	$(BIN)/python tools/document_settings.py

demo: setup
	$(BIN)/python -m bronzepoint_emulator.demo

# Measurements; each writes its table and data under docs/measurements/.
SEEDS ?= 5
bench: setup
	mkdir -p docs/measurements
	$(BIN)/python -m bronzepoint_emulator.bench.overhead docs/measurements/overhead.json
	$(BIN)/python -m bronzepoint_emulator.experiments --seeds $(SEEDS)

# Cost against size, for docs/CAPACITY.md; one file for each part that is measured.
SLOPES := agreement decisions directory entry limits membership orders run_once scheduler \
	spread
slopes: setup
	mkdir -p docs/measurements/slopes
	set -e; for part in $(SLOPES); do \
		$(BIN)/python -m bronzepoint_emulator.slopes.$$part \
			> docs/measurements/slopes/$$part.jsonl; \
	done
	$(BIN)/python -m bronzepoint_emulator.slopes.system --out docs/measurements/slopes

# Random faults over real processes: make soak SECONDS=300 SEED=7
SECONDS ?= 60
SEED ?= 1
soak: setup
	$(BIN)/python -m bronzepoint_emulator.soak --seconds $(SECONDS) --seed $(SEED)

# The same over the programs of the users' platform, a line for each seed:
# make soak-platform SECONDS=12 ROUTES=1700 SEEDS_OF_SOAK="1 2 3"
SEEDS_OF_SOAK ?= $(SEED)
ROUTES ?= 0
soak-platform: setup
	$(BIN)/python -m tests._platform_soak $(SECONDS) $(ROUTES) $(SEEDS_OF_SOAK)

# Random faults beside targets that fail, checked against the retry budget of all hosts:
# make soak-retries SECONDS=40 SEEDS_OF_SOAK="1 2 3"
soak-retries: setup
	$(BIN)/python -m tests._retry_soak $(SECONDS) $(SEEDS_OF_SOAK)

# Core hosts replaced, hosts cut off and restarted in random order, after which all must
# have the newest catalogue: make soak-core SEEDS_OF_SOAK="1 2 3"
soak-core: setup
	$(BIN)/python -m tests._core_fleet_soak $(SEEDS_OF_SOAK)

clean:
	rm -rf $(VENV)
