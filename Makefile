# `make test` and `make demo` set up what is missing first.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
export PYTHONPATH := src
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: setup test demo bench binary check-binary format lint generate

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --requirement requirements.lock
	touch $@

test: setup
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m anvillug bench demo

bench: setup
	$(BIN)/python -m anvillug bench tables

binary: setup
	$(BIN)/python tools/build_binary.py

check-binary: binary
	$(BIN)/python tools/check_binary.py

format: setup
	$(BIN)/ruff format src tests specs tools deploy
	$(BIN)/ruff check --fix --quiet src tests specs tools deploy

lint: setup
	$(BIN)/ruff format --check src tests specs tools deploy
	$(BIN)/ruff check src tests specs tools deploy
	$(BIN)/flake8 src tests specs tools deploy

generate: setup
	$(BIN)/python tools/generate_control.py
	$(BIN)/python tools/generate_settings_page.py
