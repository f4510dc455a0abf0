# Both work on a machine with Python 3.11 and nothing else.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: rehearse test check lock
rehearse: $(VENV)/.ready
	$(BIN)/python -m laureldock rehearse

test: $(VENV)/.ready
	$(BIN)/python -m pytest -q

check: $(VENV)/.ready
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/lint-imports
	$(BIN)/python -m pytest -q

$(VENV)/.ready: requirements-dev.txt
	test -d $(VENV) || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements-dev.txt
	touch $@

lock: $(VENV)/.ready
	$(BIN)/pip install -q pip-tools
	$(BIN)/pip-compile -q --strip-extras --no-emit-index-url --no-emit-find-links -o requirements.txt pyproject.toml
	$(BIN)/pip-compile -q --strip-extras --no-emit-index-url --no-emit-find-links --extra dev -o requirements-dev.txt pyproject.toml
