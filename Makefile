# Everything a newcomer needs: make demo, make test.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := schema common node cli emulator

.PHONY: setup test demo lint format generate check-generated clean

setup: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.txt
	$(BIN)/pip install --quiet --no-build-isolation --no-deps $(foreach p,$(PACKAGES),--editable packages/$(p))
	touch $(STAMP)

test: setup
	$(BIN)/python -m nose2 --start-dir tests --top-level-directory .

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

generate: setup
	$(BIN)/pip install --quiet --requirement requirements-generate.txt
	$(BIN)/python tools/generate.py

demo: setup
	$(BIN)/python -m bronzepoint_emulator.demo
