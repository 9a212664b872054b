PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test format binary

demo: .venv/stamp
	$(BIN)/python -m standins.demo

test: .venv/stamp
	$(BIN)/black --check --quiet src tests bench tools standins soak deploy
	$(BIN)/ruff check src tests bench tools standins soak deploy
	$(BIN)/mypy
	$(BIN)/python -m tools.suite

format: .venv/stamp
	$(BIN)/black --quiet src tests bench tools standins soak deploy
	$(BIN)/ruff check --fix --quiet src tests bench tools standins soak deploy

binary: dist/lovageway

dist/lovageway: .venv/stamp $(shell find src -name "*.py")
	mkdir -p dist
	$(BIN)/pex --sh-boot --disable-cache -r requirements.txt . -c lovageway -o dist/lovageway

.venv/stamp: requirements.txt requirements-relay.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $@
