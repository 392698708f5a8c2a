# Everything a newcomer needs: make demo, make test.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := schema common node cli emulator

# Options of tools/run_tests.py, such as a module: make test TEST_OPTIONS=tests.test_logs
TEST_OPTIONS ?=

.PHONY: setup test demo lint format generate clean

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

clean:
	rm -rf $(VENV)
